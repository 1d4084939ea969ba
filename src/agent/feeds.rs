//! Connections of data planes on the address of this machine.

#[cfg(test)]
mod tests;
#[cfg(test)]
mod unread_feed_tests;

use crate::system::connection;
use crate::system::essential_tasks::EssentialTasks;
use crate::system::listen::listen;
use crate::system::memory_budget::MemoryBudget;
use crate::system::outgoing::Queues;
use std::net::SocketAddr;
use switchhill_distribution::{FeedId, RelayInput};
use switchhill_protocol::{Downstream, Upstream};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

type FeedQueues = Queues<FeedId, Downstream>;

/// All connections of data planes.
pub(super) struct Feeds {
    queues: FeedQueues,
}

impl Feeds {
    /// Listens; what happens to connections goes to `inputs`.
    pub(super) async fn listen(
        address: SocketAddr,
        memory: MemoryBudget,
        inputs: mpsc::UnboundedSender<RelayInput>,
        tasks: &mut EssentialTasks,
    ) -> anyhow::Result<Feeds> {
        let listener = listen(address).await?;
        let queues = FeedQueues::default();
        tasks.spawn_local("feeds", accept(listener, queues.clone(), memory, inputs));
        Ok(Feeds { queues })
    }

    /// Sends a message to a data plane. One that does not read has its connection reset.
    pub(super) fn send(&mut self, id: FeedId, message: Downstream) {
        self.queues.send(&[id], &message);
    }
}

async fn accept(
    listener: TcpListener,
    queues: FeedQueues,
    memory: MemoryBudget,
    inputs: mpsc::UnboundedSender<RelayInput>,
) {
    let mut next = 0;
    loop {
        let stream = connection::accept(&listener).await;
        if !is_from_this_machine(&stream) {
            log::debug!("feed refused: {:?} is no address of this machine", stream.peer_addr().ok());
            continue;
        }
        next += 1;
        tokio::task::spawn_local(serve(FeedId(next), stream, queues.clone(), memory.clone(), inputs.clone()));
    }
}

/// Whether a connection comes from the address that it came to: the data plane of this machine connects from there.
fn is_from_this_machine(stream: &TcpStream) -> bool {
    match (stream.peer_addr(), stream.local_addr()) {
        (Ok(peer), Ok(local)) => peer.ip() == local.ip(),
        _ => false,
    }
}

/// Speaks with one data plane until its connection ends. Nothing is kept of it then.
async fn serve(
    id: FeedId,
    mut stream: TcpStream,
    queues: FeedQueues,
    memory: MemoryBudget,
    inputs: mpsc::UnboundedSender<RelayInput>,
) {
    if let Err(error) = connection::read_kind(&mut stream).await {
        log::debug!("feed refused: {error}");
        return;
    }
    let waiting = queues.open(id);
    let received = |message: Upstream| inputs.send(RelayInput::Feed(id, message)).is_ok();
    let ended = connection::exchange(stream, waiting, &memory, received).await;
    log::debug!("feed ended: {ended}");
    queues.close(&id);
    let _ = inputs.send(RelayInput::FeedGone(id));
}
