//! Connections to and from other core nodes and subscribers.

#[cfg(test)]
mod departed_peer_tests;
#[cfg(test)]
mod frozen_receiver_tests;
mod newest;
#[cfg(test)]
mod reconnect_tests;
#[cfg(test)]
mod unread_subscriber_tests;

use crate::system::connection::{self, LinkKind};
use crate::system::essential_tasks::EssentialTasks;
use crate::system::incoming::{incoming_memory, read_message};
use crate::system::memory_budget::{reserved_bytes, MemoryBudget};
use crate::system::outgoing::{Queues, BATCH_BYTES};
use bytes::{Bytes, BytesMut};
use newest::{ConnectionNumber, NewestConnections};
use std::collections::BTreeMap;
use std::time::Duration;
use switchhill_control::{Input, SubscriberId};
use switchhill_protocol::{encode_frame, Downstream, FrameError, PeerFrame, Upstream};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Time for a connection to another core node to come up.
const CONNECT_WITHIN: Duration = Duration::from_millis(400);

/// Messages to one core node that may wait; more are dropped, as a network would.
const PEER_QUEUE: usize = 512;

/// Share of the process's memory for messages that wait for other core nodes; more are dropped, as a network would.
const PEER_MEMORY_SHARE: f64 = 0.125;

/// Time for which another core node may take nothing of what is written before the connection is given up. A large value
/// may take longer as a whole.
const LONGEST_PEER_STALL: Duration = Duration::from_millis(700);

/// Time without a message for a core node after which its queue and its connection are given up. Heartbeats go to each known
/// one several times a second, so the node has been forgotten by then.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

type SubscriberQueues = Queues<SubscriberId, Downstream>;

/// All connections.
pub(super) struct Links {
    /// Queues of the core nodes, by address. The task of one that is closed has ended.
    peers: BTreeMap<String, mpsc::Sender<Bytes>>,
    peer_memory: MemoryBudget,
    incoming_memory: MemoryBudget,
    subscribers: SubscriberQueues,
}

impl Links {
    /// Accepts connections; what they bring goes to `inputs`. `memory_mb` is the process's memory limit.
    pub(super) fn start(
        listener: TcpListener,
        inputs: mpsc::UnboundedSender<Input>,
        memory_mb: u64,
        tasks: &mut EssentialTasks,
    ) -> Links {
        let subscribers = SubscriberQueues::default();
        let incoming_memory = incoming_memory(memory_mb);
        tasks.spawn_local("links", accept(listener, subscribers.clone(), incoming_memory.clone(), inputs));
        let peer_memory = MemoryBudget::new("messages for core nodes", memory_mb, PEER_MEMORY_SHARE);
        Links { peers: BTreeMap::new(), peer_memory, incoming_memory, subscribers }
    }

    /// What messages that wait may hold.
    pub(super) fn memory_budgets(&self) -> Vec<MemoryBudget> {
        vec![self.peer_memory.clone(), self.incoming_memory.clone()]
    }

    /// Sends a message to the core nodes at some addresses. It is encoded once for all of them.
    pub(super) fn send_peers(&mut self, addresses: Vec<String>, frame: &PeerFrame) {
        let frame = match encode_frame(frame) {
            Ok(frame) => frame,
            Err(error) => return log::warn!("not sent to other core nodes: {error}"),
        };
        let Some(reservation) = self.peer_memory.reserve(frame.len()) else {
            return log::info!(
                "not sent to other core nodes: {} bytes beside what waits for them",
                frame.len()
            );
        };
        let frame = reserved_bytes(frame, reservation);
        addresses.into_iter().for_each(|address| self.send_peer(address, frame.clone()));
    }

    fn send_peer(&mut self, address: String, frame: Bytes) {
        if self.peers.get(&address).is_none_or(mpsc::Sender::is_closed) {
            self.open_queue(address.clone());
        }
        if let Some(queue) = self.peers.get(&address) {
            let _ = queue.try_send(frame);
        }
    }

    /// Opens the queue of a core node and drops those that have been given up.
    fn open_queue(&mut self, address: String) {
        self.peers.retain(|_, queue| !queue.is_closed());
        let (sender, queue) = mpsc::channel(PEER_QUEUE);
        self.peers.insert(address.clone(), sender);
        tokio::task::spawn_local(serve_peer(queue, async move || {
            connection::connect(&address, LinkKind::Peer, CONNECT_WITHIN).await
        }));
    }

    /// Sends a message to subscribers. One that does not read has its connection reset.
    pub(super) fn send_subscribers(&mut self, ids: &[SubscriberId], message: &Downstream) {
        self.subscribers.send(ids, message);
    }

    /// Drops a subscriber's connection.
    pub(super) fn close_subscriber(&mut self, id: SubscriberId) {
        self.subscribers.close(&id);
    }
}

/// Keeps a connection to a core node and writes to it, until nothing has been sent for [`PEER_IDLE_TIMEOUT`]; messages that
/// wait while there is no connection are dropped. No message is written twice: one whose write failed is lost.
async fn serve_peer<S>(mut queue: mpsc::Receiver<Bytes>, connect: impl AsyncFn() -> std::io::Result<S>)
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    while let Ok(Some(frame)) = tokio::time::timeout(PEER_IDLE_TIMEOUT, queue.recv()).await {
        let Ok(mut stream) = connect().await else {
            while queue.try_recv().is_ok() {}
            continue;
        };
        let mut next = Some(frame);
        while let Some(frame) = next {
            let frames = with_waiting(frame, &mut queue);
            match connection::write_unless_stalled(&mut stream, &frames, LONGEST_PEER_STALL).await {
                Ok(()) => next = next_frame(&mut queue, &mut stream).await,
                Err(error) if error.kind() == std::io::ErrorKind::TimedOut => {
                    // The other side doesn't read. What waits would only grow, to the size of a whole value each.
                    while queue.try_recv().is_ok() {}
                    break;
                }
                Err(_) => break,
            }
        }
    }
}

/// A message and those that wait behind it, up to what is written in one call.
fn with_waiting(first: Bytes, queue: &mut mpsc::Receiver<Bytes>) -> Bytes {
    if first.len() >= BATCH_BYTES {
        return first;
    }
    let Ok(second) = queue.try_recv() else { return first };
    let mut frames = BytesMut::from(first);
    frames.extend_from_slice(&second);
    while frames.len() < BATCH_BYTES {
        let Ok(next) = queue.try_recv() else { break };
        frames.extend_from_slice(&next);
    }
    frames.freeze()
}

/// The next message, or nothing once there has been none for [`PEER_IDLE_TIMEOUT`] or the other side has closed: it never sends
/// on this connection.
async fn next_frame(
    queue: &mut mpsc::Receiver<Bytes>,
    stream: &mut (impl AsyncRead + Unpin),
) -> Option<Bytes> {
    tokio::select! {
        frame = queue.recv() => frame,
        _ = stream.read_u8() => None,
        () = tokio::time::sleep(PEER_IDLE_TIMEOUT) => None,
    }
}

async fn accept(
    listener: TcpListener,
    subscribers: SubscriberQueues,
    memory: MemoryBudget,
    inputs: mpsc::UnboundedSender<Input>,
) {
    let newest = NewestConnections::default();
    let mut next = 0;
    loop {
        let stream = connection::accept(&listener).await;
        next += 1;
        tokio::task::spawn_local(serve_accepted(
            ConnectionNumber(next),
            stream,
            newest.clone(),
            subscribers.clone(),
            memory.clone(),
            inputs.clone(),
        ));
    }
}

async fn serve_accepted(
    number: ConnectionNumber,
    mut stream: TcpStream,
    newest: NewestConnections,
    subscribers: SubscriberQueues,
    memory: MemoryBudget,
    inputs: mpsc::UnboundedSender<Input>,
) {
    match connection::read_kind(&mut stream).await {
        Ok(LinkKind::Peer) => {
            let ended = receive_peer(stream, number, &newest, &memory, &inputs).await;
            log::debug!("connection of a core node ended: {ended}");
        }
        Ok(LinkKind::Subscriber) => {
            serve_subscriber(SubscriberId(number.0), stream, subscribers, &memory, inputs).await
        }
        Err(error) => log::debug!("connection refused: {error}"),
    }
}

/// Hands on the messages of a core node until the connection ends or a newer one has taken its place; returns why.
async fn receive_peer(
    stream: impl AsyncRead + Unpin,
    number: ConnectionNumber,
    newest: &NewestConnections,
    memory: &MemoryBudget,
    inputs: &mpsc::UnboundedSender<Input>,
) -> String {
    let mut reader = BufReader::new(stream);
    loop {
        let read: Result<PeerFrame, FrameError> = read_message(memory, &mut reader).await;
        let frame = match read {
            Ok(frame) => frame,
            Err(error) => return error.to_string(),
        };
        if !newest.takes(&frame.address, number) {
            return "a newer one has taken its place".to_owned();
        }
        if inputs.send(Input::Peer(frame)).is_err() {
            return "closed".to_owned();
        }
    }
}

async fn serve_subscriber(
    id: SubscriberId,
    stream: TcpStream,
    subscribers: SubscriberQueues,
    memory: &MemoryBudget,
    inputs: mpsc::UnboundedSender<Input>,
) {
    let waiting = subscribers.open(id);
    let received = |message: Upstream| inputs.send(Input::Subscriber(id, message)).is_ok();
    let ended = connection::exchange(stream, waiting, memory, received).await;
    log::debug!("subscriber's connection ended: {ended}");
    subscribers.close(&id);
    let _ = inputs.send(Input::SubscriberDisconnected(id));
}
