//! Drives a decision engine by hand: keeps its timers, its actions and the clock.
#![allow(dead_code, missing_docs)]

use switchhill::interface::*;
use switchhill::DecisionEngine;

pub fn class(effect: Effect) -> Class {
    Class { worth: 1.0, target_latency: 1000.0, late_value: 0.2, effect }
}

pub fn plan() -> Plan {
    Plan {
        price: 1.0,
        rate: 1000.0,
        burst: 1000.0,
        max_concurrent: 0.0,
        overage_value: 0.0,
        overage_cost: 0.5,
        ceiling_rate: 0.0,
        ceiling_depth: 0.0,
    }
}

pub fn settings() -> Settings {
    Settings {
        gateways: 2,
        ordinal: 0,
        zone: 0,
        classes: vec![class(Effect::Safe)],
        plans: vec![plan()],
        cold_start: ColdStartRules {
            cold_share: 0.2,
            warm_up: 10_000.0,
            overload_multiple: 3.0,
            overload_window: 1000.0,
        },
        limits: Limits {
            max_attempts: 4,
            may_duplicate: false,
            may_probe: false,
            probe_price: 0.005,
            may_cancel: true,
            max_hold_off: 0.0,
            may_count: false,
        },
        report_fields: vec![],
        report_mode: ReportMode::Never,
        meter_period: 1000.0,
        max_units: 4.0,
        must_subscribe: false,
    }
}

pub fn keyed(scope: KeyScope, window: f64) -> Effect {
    Effect::Keyed { scope, window }
}

pub fn backend(n: u32) -> Backend {
    let id = format!("10.0.0.{n}:80").into();
    Backend { id, zone: n % 2, cell: n % 3, state: BackendState::Ready, rating: 1.0, started_at: 0.0 }
}

pub fn request(id: u64) -> Request {
    Request {
        id: RequestId(id),
        class: 0,
        plan: 0,
        customer: 7,
        entry_points: 2,
        budget: 2000.0,
        units: 1.0,
        is_retry: false,
        body_incomplete: false,
    }
}

pub struct Driver {
    pub engine: DecisionEngine,
    pub now: Millis,
    pub log: Vec<(Millis, Action)>,
    /// The load report that comes with every answer.
    pub report: Option<Vec<f64>>,
    timers: Vec<(Millis, u64)>,
}

impl Driver {
    pub fn new(settings: Settings, backends: u32) -> Self {
        Self::seeded(settings, backends, 1)
    }

    pub fn seeded(settings: Settings, backends: u32, seed: u64) -> Self {
        let engine = DecisionEngine::new(settings, seed).expect("usable settings");
        let mut driver = Self { engine, now: 0.0, log: Vec::new(), report: None, timers: Vec::new() };
        driver.list(ListKind::Saved, (1..=backends).map(backend).collect());
        driver
    }

    /// Hands one event over; returns what was done, timers apart.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.engine.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::Timer { tag, delay } = action {
                self.timers.push((self.now + delay, *tag));
            }
        }
        actions.retain(|a| !matches!(a, Action::Timer { .. }));
        self.log.extend(actions.iter().cloned().map(|a| (self.now, a)));
        actions
    }

    /// Lets time pass, firing timers in order; returns what was done.
    pub fn advance(&mut self, to: Millis) -> Vec<Action> {
        let mut done = Vec::new();
        while let Some(at) =
            (0..self.timers.len()).min_by(|&a, &b| self.timers[a].0.total_cmp(&self.timers[b].0))
        {
            if self.timers[at].0 > to {
                break;
            }
            let (due, tag) = self.timers.remove(at);
            self.now = self.now.max(due);
            done.extend(self.event(Event::Timer(tag)));
        }
        self.now = to;
        done
    }

    pub fn list(&mut self, kind: ListKind, backends: Vec<Backend>) -> Vec<Action> {
        self.event(Event::List { kind, backends })
    }

    pub fn request(&mut self, request: Request) -> Vec<Action> {
        self.event(Event::Request(request))
    }

    pub fn outcome(&mut self, id: u64, attempt: u32, code: Code) -> Vec<Action> {
        self.metered(id, attempt, code, None)
    }

    pub fn metered(&mut self, id: u64, attempt: u32, code: Code, usage: Option<f64>) -> Vec<Action> {
        self.event(Event::Outcome(Outcome {
            request: RequestId(id),
            attempt,
            backend: "10.0.0.1:80".into(),
            code,
            finished: code == Code::Success,
            elapsed: 0.0,
            settled_units: None,
            usage,
            report: self.report.clone(),
        }))
    }
}

pub fn sent(actions: &[Action]) -> Option<&str> {
    actions.iter().find_map(|a| match a {
        Action::Attempt { backend, .. } => Some(&**backend),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}
