//! Speaks the simulator's wire on standard input and output for many gateways at once.
//!
//! Nothing is decided here: each message is translated to an event of its instance's decision engine, and the
//! engine's actions are translated back.

#![allow(missing_docs)]

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use switchhill::interface::Action;
use switchhill::DecisionEngine;

struct Instance {
    engine: DecisionEngine,
    bounds: wire::Bounds,
}

/// All instances, started ones and (as `None`) killed ones, and the batch being read.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u64, Option<Instance>>,
    now: Option<f64>,
    reply: String,
    actions: Vec<Action>,
}

impl Host {
    /// Takes one line; true when the batch is complete and the reply is ready.
    fn line(&mut self, line: &str) -> Result<bool, String> {
        let head: wire::Head = wire::read(line)?;
        if head.kind == "beginBatch" {
            let begin: wire::BeginBatch = wire::read(line)?;
            if self.now.is_some() {
                return Err("field `kind`: a batch begins inside another".into());
            }
            self.now = Some(begin.time_ms);
            self.reply.clear();
            return Ok(false);
        }
        let now = self.now.ok_or("field `kind`: outside a batch")?;
        if head.kind == "go" {
            self.reply.push_str("{\"kind\":\"done\"}\n");
            self.now = None;
            return Ok(true);
        }
        let i = match head.i {
            Some(i) => i,
            // Kinds that a later version adds need not belong to an instance.
            None if !wire::known(&head.kind) => return Ok(false),
            None => return Err("field `i`: missing".into()),
        };
        match head.kind.as_str() {
            "newInstance" => {
                let told: wire::NewInstance = wire::read(line)?;
                let settings = told.settings()?;
                let bounds = wire::Bounds { classes: settings.classes.len(), plans: settings.plans.len() };
                let engine = DecisionEngine::new(settings, told.random_seed).map_err(|e| e.to_string())?;
                self.instances.insert(i, Some(Instance { engine, bounds }));
            }
            "kill" => match self.instances.get_mut(&i) {
                Some(instance) => *instance = None,
                None => return Err("field `i`: no such instance was started".into()),
            },
            kind => match self.instances.get_mut(&i) {
                Some(Some(instance)) => {
                    if let Some(event) = wire::event(kind, line, instance.bounds)? {
                        instance.engine.handle(now, event, &mut self.actions);
                    }
                    for action in self.actions.drain(..) {
                        self.reply.push_str(&wire::action(i, &action)?);
                        self.reply.push('\n');
                    }
                }
                Some(None) => {}
                None if !wire::known(kind) => {}
                None => return Err("field `i`: no such instance was started".into()),
            },
        }
        Ok(false)
    }
}

fn run(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = Host::default();
    for (number, line) in input.lines().enumerate() {
        let at = |what: String| format!("line {}: {what}", number + 1);
        let line = line.map_err(|e| at(e.to_string()))?;
        if !line.trim().is_empty() && host.line(&line).map_err(at)? {
            output.write_all(host.reply.as_bytes()).map_err(|e| at(e.to_string()))?;
            output.flush().map_err(|e| at(e.to_string()))?;
        }
    }
    match host.now {
        Some(_) => Err("the input ends inside a batch".into()),
        None => Ok(()),
    }
}

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("switchhill-simhost: {message}");
            ExitCode::FAILURE
        }
    }
}
