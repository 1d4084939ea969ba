//! Connections of data planes on the loopback address.

#[cfg(test)]
mod tests;

use crate::system::connection;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use switchhill_distribution::{FeedId, RelayInput};
use switchhill_protocol::{Downstream, Upstream};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

type Senders = Rc<RefCell<BTreeMap<FeedId, mpsc::UnboundedSender<Downstream>>>>;

/// All connections of data planes.
pub(super) struct Feeds {
    senders: Senders,
}

impl Feeds {
    /// Listens; what happens to connections goes to `inputs`.
    pub(super) async fn listen(
        address: SocketAddr,
        inputs: mpsc::UnboundedSender<RelayInput>,
    ) -> anyhow::Result<Feeds> {
        let listener = connection::listen(address).await?;
        let senders = Senders::default();
        tokio::task::spawn_local(accept(listener, senders.clone(), inputs));
        Ok(Feeds { senders })
    }

    /// Sends a message to a data plane.
    pub(super) fn send(&mut self, id: FeedId, message: Downstream) {
        if let Some(sender) = self.senders.borrow().get(&id) {
            let _ = sender.send(message);
        }
    }
}

async fn accept(listener: TcpListener, senders: Senders, inputs: mpsc::UnboundedSender<RelayInput>) {
    let mut next = 0;
    loop {
        let stream = connection::accept(&listener).await;
        next += 1;
        tokio::task::spawn_local(serve(FeedId(next), stream, senders.clone(), inputs.clone()));
    }
}

/// Speaks with one data plane until its connection ends. Nothing is kept of it then.
async fn serve(
    id: FeedId,
    mut stream: TcpStream,
    senders: Senders,
    inputs: mpsc::UnboundedSender<RelayInput>,
) {
    if let Err(error) = connection::read_kind(&mut stream).await {
        log::debug!("feed refused: {error}");
        return;
    }
    let (sender, messages) = mpsc::unbounded_channel();
    senders.borrow_mut().insert(id, sender);
    let received = |message: Upstream| inputs.send(RelayInput::Feed(id, message)).is_ok();
    let ended = connection::exchange(stream, messages, received).await;
    log::debug!("feed ended: {ended}");
    senders.borrow_mut().remove(&id);
    let _ = inputs.send(RelayInput::FeedGone(id));
}
