//! The agent beside each data plane: keeps the links to the control plane and feeds the data plane over loopback.

mod feeds;
mod links;

use crate::site_settings::SiteSettings;
use crate::system::clock::Clock;
use crate::system::essential_tasks::EssentialTasks;
use crate::system::incoming::incoming_memory;
use crate::system::memory_watch::{watch_memory, MemoryShortage};
use crate::system::seeds::Seeds;
use crate::system::stop::Stop;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use switchhill_configuration::DocumentSize;
use switchhill_distribution::{LinkSettings, Relay, RelayInput, RelayOutput};
use tokio::sync::mpsc;

/// Time between two ticks of the agent's decisions.
const TICK_EVERY: Duration = Duration::from_millis(50);

/// Links kept beyond the machines that may be lost at once: one is the home, one may be stale.
const SPARE_LINKS: usize = 2;

/// Runs until the process is told to stop.
///
/// # Errors
/// The feed's address cannot be listened on, or an essential task has panicked.
pub async fn run(settings: SiteSettings, mut stop: Stop) -> anyhow::Result<()> {
    let (inputs, mut received) = mpsc::unbounded_channel();
    let memory = incoming_memory(settings.limits.memory_mb);
    let feed_address = settings.feed_address();
    let mut tasks = EssentialTasks::default();
    let mut feeds = tokio::select! {
        biased;
        feeds = feeds::Feeds::listen(feed_address, memory.clone(), inputs.clone(), &mut tasks) => feeds?,
        () = stop.requested() => return Ok(()),
    };
    let configuration_size = Rc::new(Cell::new(DocumentSize::default()));
    let uses = {
        let (memory, configuration_size) = (memory.clone(), configuration_size.clone());
        move || vec![memory.to_string(), configuration_size.get().to_string()]
    };
    tasks.spawn_local(
        "memory watch",
        watch_memory(settings.limits.memory_mb, MemoryShortage::default(), uses),
    );
    let mut links = links::Links::new(memory.clone(), inputs.clone());
    let mut seeds = Seeds::of(&settings)?;
    let link_settings = LinkSettings {
        target_links: settings.fault_tolerance.machines + SPARE_LINKS,
        tolerated_zone_failures: settings.fault_tolerance.domains(),
        ..LinkSettings::default()
    };
    let addresses = crate::system::internal_addresses(&settings);
    let mut relay = Relay::new(&settings.node_name, &settings.zone, addresses, link_settings);
    let clock = Clock::new();
    let mut ticks = tokio::time::interval(TICK_EVERY);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let input = tokio::select! {
            _ = stop.requested() => return Ok(()),
            _ = ticks.tick() => RelayInput::Tick,
            Some(input) = received.recv() => input,
            addresses = seeds.changed() => RelayInput::Seeds(addresses),
            failed = tasks.failed() => return Err(failed.into()),
        };
        for output in relay.handle(clock.now(), input) {
            match output {
                RelayOutput::Connect(id, address) => links.connect(id, address),
                RelayOutput::Close(id) => links.close(id),
                RelayOutput::ToLink(id, message) => links.send(id, message),
                RelayOutput::ToFeed(id, message) => feeds.send(id, message),
            }
        }
        configuration_size.set(relay.state().configuration_size());
    }
}
