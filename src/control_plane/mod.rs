//! The control plane on a core machine: carries out what [`ControlNode`] decides.

mod disk;
mod http;
mod links;
mod workers;

use crate::site_settings::SiteSettings;
use crate::system::clock::Clock;
use crate::system::{connection, stop::Stop};
use std::net::SocketAddr;
use std::time::Duration;
use switchhill_control::{ControlNode, Input, NodeSettings, Output};
use tokio::sync::mpsc;

/// Time between two ticks of the node's decisions.
const TICK_EVERY: Duration = Duration::from_millis(25);

/// How long answers may still go out after the process was told to stop.
const LINGER: Duration = Duration::from_millis(150);

/// Time before SIGKILL at which the process ends even if the electorate still needs its replica.
const BEFORE_KILL: Duration = Duration::from_millis(1_000);

/// Runs until the process is told to stop, and then until the electorate goes on without its replica.
pub async fn run(settings: SiteSettings, mut stop: Stop) -> anyhow::Result<()> {
    let control =
        settings.bind.control.ok_or_else(|| anyhow::anyhow!("bind.control is missing from the settings"))?;
    let folder =
        settings.data_dir.clone().ok_or_else(|| anyhow::anyhow!("dataDir is missing from the settings"))?;
    let internal = SocketAddr::from((settings.ip, settings.internal_port()));
    let clock = Clock::new();
    let (inputs, mut received) = mpsc::unbounded_channel();

    let stored = disk::open(&folder, &internal.to_string(), is_first_voter(&settings))?;
    let node_settings = node_settings(&settings, stored.identity.replica, internal);
    let has_not_voted = stored.identity.genesis && stored.records.is_empty();
    let genesis = has_not_voted.then(|| disk::genesis_members(&node_settings.seeds));
    let mut node = ControlNode::new(clock.now(), node_settings, stored.records, genesis);
    let disk = disk::Disk::start(stored.writer, inputs.clone());

    let listener = connection::listen(internal).await?;
    let mut links = links::Links::start(listener, inputs.clone());
    let mut calls = http::Calls::start(connection::listen(control).await?, inputs.clone());
    let workers = workers::WorkerCalls::new(inputs.clone());
    let mut ticks = tokio::time::interval(TICK_EVERY);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let leave_within = settings.grace().saturating_sub(BEFORE_KILL);
    let mut leave_by: Option<tokio::time::Instant> = None;
    loop {
        let is_over = |by: tokio::time::Instant| by <= tokio::time::Instant::now();
        if leave_by.is_some_and(|by| is_over(by) || node.may_leave(clock.now())) {
            break;
        }
        let input = tokio::select! {
            _ = stop.requested() => {
                leave_by.get_or_insert(tokio::time::Instant::now() + leave_within);
                Input::Leave
            }
            _ = ticks.tick() => Input::Tick,
            Some(input) = received.recv() => input,
        };
        for output in node.handle(clock.now(), input) {
            match output {
                Output::Peer(address, frame) => links.send_peer(address, frame),
                Output::Subscriber(id, message) => links.send_subscriber(id, message),
                Output::CloseSubscriber(id) => links.close_subscriber(id),
                Output::Answer(id, answer) => calls.answer(id, answer),
                Output::Persist(token, record) => disk.append(token, record),
                Output::Rewrite(records) => disk.rewrite(records),
                Output::Order(call) => workers.order(call),
                Output::AskReport(call) => workers.ask_report(call),
            }
        }
    }
    tokio::time::sleep(LINGER).await;
    Ok(())
}

/// Whether this machine is of the first electorate: the whole system starts and the machine is a seed.
fn is_first_voter(settings: &SiteSettings) -> bool {
    let is_seed = settings.seeds.iter().any(|seed| seed.ip() == std::net::IpAddr::V4(settings.ip));
    settings.bootstrap && is_seed
}

fn node_settings(settings: &SiteSettings, replica: u64, internal: SocketAddr) -> NodeSettings {
    let life = disk::random_number(&internal.to_string());
    NodeSettings {
        replica,
        life,
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
        seed: life,
    }
}
