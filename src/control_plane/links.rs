//! Connections to and from other core nodes and subscribers.

#[cfg(test)]
mod tests;

use crate::system::connection::{self, LinkKind};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use switchhill_control::{Input, SubscriberId};
use switchhill_protocol::{write_frame, Downstream, PeerFrame, Upstream};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Time for a connection to another core node to come up.
const CONNECT_WITHIN: Duration = Duration::from_millis(400);

/// Messages to one core node that may wait; more are dropped, as a network would.
const PEER_QUEUE: usize = 512;

/// Time for one message to be written before the connection is given up.
const WRITE_WITHIN: Duration = Duration::from_millis(700);

type SubscriberSenders = Rc<RefCell<BTreeMap<SubscriberId, mpsc::UnboundedSender<Downstream>>>>;

/// All connections.
pub(super) struct Links {
    peers: BTreeMap<String, mpsc::Sender<PeerFrame>>,
    subscribers: SubscriberSenders,
}

impl Links {
    /// Accepts connections; what they bring goes to `inputs`.
    pub(super) fn start(listener: TcpListener, inputs: mpsc::UnboundedSender<Input>) -> Links {
        let subscribers = SubscriberSenders::default();
        tokio::task::spawn_local(accept(listener, subscribers.clone(), inputs));
        Links { peers: BTreeMap::new(), subscribers }
    }

    /// Sends a message to the core node at an address.
    pub(super) fn send_peer(&mut self, address: String, frame: PeerFrame) {
        let sender = self.peers.entry(address.clone()).or_insert_with(|| {
            let (sender, queue) = mpsc::channel(PEER_QUEUE);
            tokio::task::spawn_local(serve_peer(address, queue));
            sender
        });
        let _ = sender.try_send(frame);
    }

    /// Sends a message to a subscriber.
    pub(super) fn send_subscriber(&mut self, id: SubscriberId, message: Downstream) {
        if let Some(sender) = self.subscribers.borrow().get(&id) {
            let _ = sender.send(message);
        }
    }

    /// Drops a subscriber's connection.
    pub(super) fn close_subscriber(&mut self, id: SubscriberId) {
        self.subscribers.borrow_mut().remove(&id);
    }
}

/// Keeps a connection to a core node and writes to it; messages that wait while there is none are dropped.
async fn serve_peer(address: String, mut queue: mpsc::Receiver<PeerFrame>) {
    while let Some(frame) = queue.recv().await {
        let Ok(mut stream) = connection::connect(&address, LinkKind::Peer, CONNECT_WITHIN).await else {
            while queue.try_recv().is_ok() {}
            continue;
        };
        let mut next = Some(frame);
        while let Some(frame) = next {
            match tokio::time::timeout(WRITE_WITHIN, write_frame(&mut stream, &frame)).await {
                Ok(Ok(())) => next = next_frame(&mut queue, &stream).await,
                Ok(Err(_)) => break,
                Err(_) => {
                    // The other side doesn't read. What waits would only grow, to the size of a whole value each.
                    while queue.try_recv().is_ok() {}
                    break;
                }
            }
        }
    }
}

/// The next message, or nothing once the other side has closed.
async fn next_frame(queue: &mut mpsc::Receiver<PeerFrame>, stream: &TcpStream) -> Option<PeerFrame> {
    tokio::select! {
        frame = queue.recv() => frame,
        _ = closed(stream) => None,
    }
}

/// Completes when the other side has closed: it never sends on this connection.
async fn closed(stream: &TcpStream) {
    let mut byte = [0];
    let _ = stream.peek(&mut byte).await;
}

async fn accept(listener: TcpListener, subscribers: SubscriberSenders, inputs: mpsc::UnboundedSender<Input>) {
    let mut next = 0;
    loop {
        let stream = connection::accept(&listener).await;
        next += 1;
        tokio::task::spawn_local(serve_accepted(
            SubscriberId(next),
            stream,
            subscribers.clone(),
            inputs.clone(),
        ));
    }
}

async fn serve_accepted(
    id: SubscriberId,
    mut stream: TcpStream,
    subscribers: SubscriberSenders,
    inputs: mpsc::UnboundedSender<Input>,
) {
    match connection::read_kind(&mut stream).await {
        Ok(LinkKind::Peer) => receive_peer(stream, inputs).await,
        Ok(LinkKind::Subscriber) => serve_subscriber(id, stream, subscribers, inputs).await,
        Err(error) => log::debug!("connection refused: {error}"),
    }
}

async fn receive_peer(stream: TcpStream, inputs: mpsc::UnboundedSender<Input>) {
    // Held so that the queue of messages to send stays open: this side sends none.
    let (_nothing, queue) = mpsc::unbounded_channel::<PeerFrame>();
    let received = |frame: PeerFrame| inputs.send(Input::Peer(frame)).is_ok();
    let ended = connection::exchange(stream, queue, received).await;
    log::debug!("connection of a core node ended: {ended}");
}

async fn serve_subscriber(
    id: SubscriberId,
    stream: TcpStream,
    subscribers: SubscriberSenders,
    inputs: mpsc::UnboundedSender<Input>,
) {
    let (sender, queue) = mpsc::unbounded_channel();
    subscribers.borrow_mut().insert(id, sender);
    let received = |message: Upstream| inputs.send(Input::Subscriber(id, message)).is_ok();
    let ended = connection::exchange(stream, queue, received).await;
    log::debug!("subscriber's connection ended: {ended}");
    subscribers.borrow_mut().remove(&id);
    let _ = inputs.send(Input::SubscriberGone(id));
}
