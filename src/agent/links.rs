//! Connections to core nodes.

#[cfg(test)]
mod tests;

use crate::system::connection::{self, LinkKind};
use crate::system::memory_budget::MemoryBudget;
use crate::system::outgoing::{self, Outgoing, Waiting};
use std::collections::BTreeMap;
use std::time::Duration;
use switchhill_distribution::{LinkId, RelayInput};
use switchhill_protocol::{Downstream, Upstream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Time for a connection to come up.
const CONNECT_WITHIN: Duration = Duration::from_millis(500);

/// All links.
pub(super) struct Links {
    memory: MemoryBudget,
    inputs: mpsc::UnboundedSender<RelayInput>,
    open: BTreeMap<LinkId, (Outgoing<Upstream>, JoinHandle<()>)>,
}

impl Links {
    /// No link yet. What happens to links goes to `inputs`.
    pub(super) fn new(memory: MemoryBudget, inputs: mpsc::UnboundedSender<RelayInput>) -> Links {
        Links { memory, inputs, open: BTreeMap::new() }
    }

    /// Opens a link. Links that have ended by themselves are forgotten: each attempt is another link.
    pub(super) fn connect(&mut self, id: LinkId, address: String) {
        self.open.retain(|_, (_, task)| !task.is_finished());
        let (outgoing, waiting) = outgoing::queue();
        let task =
            tokio::task::spawn_local(serve(id, address, waiting, self.memory.clone(), self.inputs.clone()));
        self.open.insert(id, (outgoing, task));
    }

    /// Drops a link.
    pub(super) fn close(&mut self, id: LinkId) {
        if let Some((_, task)) = self.open.remove(&id) {
            task.abort();
        }
    }

    /// Sends a message on a link; one that has ended drops it, and one whose other side does not read is reset.
    pub(super) fn send(&mut self, id: LinkId, message: Upstream) {
        if let Some((outgoing, _)) = self.open.get(&id) {
            outgoing.send(&message);
        }
    }
}

async fn serve(
    id: LinkId,
    address: String,
    waiting: Waiting,
    memory: MemoryBudget,
    inputs: mpsc::UnboundedSender<RelayInput>,
) {
    match connection::connect(&address, LinkKind::Subscriber, CONNECT_WITHIN).await {
        Ok(stream) => {
            let _ = inputs.send(RelayInput::LinkUp(id));
            let received = |message: Downstream| inputs.send(RelayInput::Link(id, message)).is_ok();
            let ended = connection::exchange(stream, waiting, &memory, received).await;
            log::debug!("link to {address} ended: {ended}");
        }
        Err(error) => log::debug!("no link to {address}: {error}"),
    }
    let _ = inputs.send(RelayInput::LinkLost(id));
}
