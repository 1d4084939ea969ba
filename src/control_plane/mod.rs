//! The control plane on a core machine: carries out what [`ControlNode`] decides.

mod disk;
mod http;
mod leave;
mod links;
#[cfg(test)]
mod tests;
mod workers;

use crate::site_settings::{ProcessLimits, SiteSettings};
use crate::system::clock::Clock;
use crate::system::essential_tasks::{EssentialTaskFailed, EssentialTasks};
use crate::system::listen::listen;
use crate::system::memory_budget::MemoryBudget;
use crate::system::memory_watch::{watch_memory, MemoryShortage};
use crate::system::{seeds::Seeds, stop::Stop};
use anyhow::Context;
use leave::Leave;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use switchhill_configuration::{DocumentSize, MemoryLimit};
use switchhill_control::{ControlNode, Input, NodeSettings, Output};
use switchhill_record_log::StandardFileSystem;
use switchhill_replica_file::Writer;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Time between two ticks of the node's decisions.
const TICK_EVERY: Duration = Duration::from_millis(25);

/// How long answers may still go out, and calls are still refused, before the process ends.
const LINGER: Duration = Duration::from_millis(150);

/// Runs until the process is told to stop, and then until the electorate goes on without its replica.
///
/// # Errors
/// The settings lack what a control plane needs, the replica's file cannot be read, a listener cannot be opened, or an
/// essential task has panicked.
pub async fn run(settings: SiteSettings, mut stop: Stop) -> anyhow::Result<()> {
    let opened = tokio::select! {
        biased;
        opened = ControlPlane::open(settings) => opened?,
        () = stop.requested() => return Ok(()),
    };
    opened.serve(async || stop.requested().await).await?;
    Ok(())
}

/// A control plane whose file and listeners are open.
struct ControlPlane {
    settings: SiteSettings,
    seeds: Seeds,
    clock: Clock,
    node: ControlNode,
    writer: Writer<StandardFileSystem>,
    internal: TcpListener,
    control: TcpListener,
}

impl ControlPlane {
    async fn open(settings: SiteSettings) -> anyhow::Result<ControlPlane> {
        let control = settings.bind.control.context("bind.control is missing from the settings")?;
        let folder = settings.data_dir.as_ref().context("dataDir is missing from the settings")?;
        let internal = SocketAddr::from((settings.ip, settings.internal_port()));
        let clock = Clock::new();
        let stored = disk::open(folder, &internal.to_string(), is_first_voter(&settings))?;
        let node_settings = node_settings(&settings, stored.identity.replica, internal);
        let has_not_voted = stored.identity.genesis && stored.records.is_empty();
        let genesis = has_not_voted.then(|| disk::genesis_members(&node_settings.seeds));
        Ok(ControlPlane {
            clock,
            node: ControlNode::new(clock.now(), node_settings, stored.records, genesis),
            writer: stored.writer,
            internal: listen(internal).await?,
            control: listen(control).await?,
            seeds: Seeds::of(&settings)?,
            settings,
        })
    }

    /// Serves until it was told to stop and has left. It runs inside a [`tokio::task::LocalSet`].
    async fn serve(self, mut stop: impl AsyncFnMut()) -> Result<(), EssentialTaskFailed> {
        let ControlPlane { settings, mut seeds, clock, mut node, writer, internal, control } = self;
        let (inputs, mut received) = mpsc::unbounded_channel();
        let mut tasks = EssentialTasks::default();
        let shortage = MemoryShortage::default();
        let listeners = Listeners { internal, control };
        let mut effects =
            Effects::start(writer, listeners, &inputs, &settings.limits, shortage.clone(), &mut tasks);
        let configuration_size = Rc::new(Cell::new(node.configuration_size()));
        let uses = memory_uses(effects.memory_budgets(), configuration_size.clone());
        tasks.spawn_local("memory watch", watch_memory(settings.limits.memory_mb, shortage, uses));
        let mut ticks = tokio::time::interval(TICK_EVERY);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut leave: Option<Leave> = None;
        loop {
            if let Some(leave) = &mut leave {
                if node.may_leave(clock.now()) {
                    effects.calls.close();
                }
                if leave.is_over() || effects.calls.are_done() {
                    break;
                }
            }
            let input = tokio::select! {
                () = stop() => {
                    leave.get_or_insert_with(|| Leave::begin(&settings));
                    Input::Leave
                }
                _ = ticks.tick() => Input::Tick,
                Some(input) = received.recv() => input,
                addresses = seeds.changed() => Input::Seeds(addresses),
                failed = tasks.failed() => return Err(failed),
            };
            for output in node.handle(clock.now(), input) {
                effects.carry_out(output);
            }
            configuration_size.set(node.configuration_size());
        }
        effects.calls.close();
        effects.calls.leave_open();
        tokio::time::sleep(LINGER).await;
        Ok(())
    }
}

/// What takes memory in this process, for the log.
fn memory_uses(
    budgets: Vec<MemoryBudget>,
    configuration: Rc<Cell<DocumentSize>>,
) -> impl Fn() -> Vec<String> {
    move || {
        let budgets = budgets.iter().map(MemoryBudget::to_string);
        budgets.chain([configuration.get().to_string()]).collect()
    }
}

/// Open listeners.
struct Listeners {
    internal: TcpListener,
    control: TcpListener,
}

/// What carries out the node's decisions.
struct Effects {
    disk: disk::Disk,
    links: links::Links,
    calls: http::Calls,
    workers: workers::WorkerCalls,
}

impl Effects {
    /// Begins to serve. What comes of it goes to `inputs`.
    fn start(
        writer: Writer<StandardFileSystem>,
        listeners: Listeners,
        inputs: &mpsc::UnboundedSender<Input>,
        limits: &ProcessLimits,
        shortage: MemoryShortage,
        tasks: &mut EssentialTasks,
    ) -> Effects {
        Effects {
            disk: disk::Disk::start(writer, inputs.clone(), tasks),
            links: links::Links::start(listeners.internal, inputs.clone(), limits.memory_mb, tasks),
            calls: http::Calls::start(listeners.control, inputs.clone(), limits, shortage, tasks),
            workers: workers::WorkerCalls::new(inputs.clone()),
        }
    }

    fn memory_budgets(&self) -> Vec<MemoryBudget> {
        [self.calls.memory_budgets(), self.links.memory_budgets()].concat()
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Peers(addresses, frame) => self.links.send_peers(addresses, &frame),
            Output::Subscribers(ids, message) => self.links.send_subscribers(&ids, &message),
            Output::CloseSubscriber(id) => self.links.close_subscriber(id),
            Output::Answer(id, answer) => self.calls.answer(id, answer),
            Output::Persist(token, record) => self.disk.append(token, record),
            Output::RewriteLog(records) => self.disk.rewrite(records),
            Output::Order(call) => self.workers.order(call),
            Output::RequestReport(call) => self.workers.ask_report(call),
        }
    }
}

/// Whether this machine is of the first electorate: the whole system starts and the machine is a seed.
fn is_first_voter(settings: &SiteSettings) -> bool {
    let is_seed = settings.seeds.iter().any(|seed| seed.ip() == std::net::IpAddr::V4(settings.ip));
    settings.bootstrap && is_seed
}

fn node_settings(settings: &SiteSettings, replica: u64, internal: SocketAddr) -> NodeSettings {
    let life = disk::random_number(&internal.to_string());
    NodeSettings {
        replica_id: replica,
        incarnation: life,
        node_name: settings.node_name.clone(),
        address: internal.to_string(),
        seeds: crate::system::internal_addresses(settings),
        machines_lost: settings.fault_tolerance.machines,
        zone: settings.failure_domain().to_owned(),
        zones_lost: settings.fault_tolerance.domains(),
        worker_heartbeat_ms: settings.heartbeat_ms,
        lease_ms: settings.bounds.lease_ms,
        ceiling_window_ms: (settings.bounds.ceiling_window_s * 1000.0) as u64,
        fencing: settings.bounds.fencing,
        configuration_limit: MemoryLimit::of_process(settings.limits.memory_mb),
        planner: settings.decisions.planner.clone(),
        seed: life,
    }
}
