//! A worker whose answers take memory: events that do not end, long answers, answers that stand still before their end.

use super::site_configuration::MODEL;
use crate::local_system::configuration::SERVICE;
use crate::local_system::http::{call, post};
use bytes::Bytes;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;

/// Requests that a worker runs at once.
pub(super) const SLOTS: u32 = 400;

/// Time between two heartbeats.
const HEARTBEAT_EVERY: Duration = Duration::from_millis(300);

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 512;

/// Bytes of an event that are sent at once.
const EVENT_PIECE_BYTES: usize = 16 << 10;

/// Time between two pieces of an event.
const EVENT_PIECE_EVERY: Duration = Duration::from_millis(50);

/// Length of a long answer.
const LONG_ANSWER_BYTES: usize = 8 << 20;

/// Bytes of an answer that stands still, and its length.
const STALLED_ANSWER_BYTES: (usize, usize) = (61 << 10, 62 << 10);

/// Longest time for which an answer is kept open.
const ANSWER_WITHIN: Duration = Duration::from_secs(60);

/// How an answer takes memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerCase {
    /// A stream whose first event does not end.
    EndlessEvent,
    /// An answer of 8 MiB with a length.
    Long,
    /// An answer of 62 KiB that stands still 1 KiB before its end.
    Stalled,
}

impl AnswerCase {
    /// All cases.
    pub const ALL: [AnswerCase; 3] = [AnswerCase::EndlessEvent, AnswerCase::Long, AnswerCase::Stalled];

    /// The beginning of the paths of requests that are answered so.
    pub(super) fn path(self) -> &'static str {
        match self {
            AnswerCase::EndlessEvent => "/endless/",
            AnswerCase::Long => "/long/",
            AnswerCase::Stalled => "/stalled/",
        }
    }

    fn of(path: &str) -> Option<AnswerCase> {
        AnswerCase::ALL.into_iter().find(|case| path.starts_with(case.path()))
    }
}

/// A worker that lives until it is dropped.
pub(super) struct FloodWorker {
    tasks: [JoinHandle<()>; 2],
}

impl FloodWorker {
    /// Starts a worker that tells the core machines of itself.
    pub(super) fn start(
        id: String,
        address: SocketAddr,
        cores: Vec<SocketAddr>,
    ) -> anyhow::Result<FloodWorker> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(BACKLOG)?;
        let heartbeats = tokio::spawn(tell_of_itself(id, address, cores));
        Ok(FloodWorker { tasks: [tokio::spawn(serve(listener)), heartbeats] })
    }
}

impl Drop for FloodWorker {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn tell_of_itself(id: String, address: SocketAddr, cores: Vec<SocketAddr>) {
    let mut ticks = tokio::time::interval(HEARTBEAT_EVERY);
    let path = format!("/api/instances/{id}/heartbeat");
    for sequence in 1u64.. {
        ticks.tick().await;
        let heartbeat = json!({
            "service": SERVICE, "address": address, "zone": "here", "revision": "v1", "slots": SLOTS,
            "state": "ready", "coldRemainingMs": 0, "phase": "both",
            "models": [{"name": MODEL, "revision": 1, "adapters": []}], "sequence": sequence,
        });
        for core in &cores {
            let body = Bytes::from(heartbeat.to_string());
            if call(*core, post(*core, &path, &[], body)).await.is_ok_and(|answer| answer.status == 200) {
                break;
            }
        }
    }
}

async fn serve(listener: TcpListener) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            // A connection that breaks is the caller's matter.
            tokio::spawn(async move { drop(serve_connection(stream).await) });
        }
    }
}

async fn serve_connection(stream: TcpStream) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    while let Some(request) = read_request(&mut stream).await? {
        let answering = answer(stream.get_mut(), &request);
        match tokio::time::timeout(ANSWER_WITHIN, answering).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return Err(error),
            Err(_) => return Ok(()),
        }
    }
    Ok(())
}

struct WorkerRequest {
    path: String,
    id: String,
}

/// Reads a request with its body; `None` at the end of the connection.
async fn read_request(stream: &mut BufReader<TcpStream>) -> std::io::Result<Option<WorkerRequest>> {
    let mut line = String::new();
    if stream.read_line(&mut line).await? == 0 {
        return Ok(None);
    }
    let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
    let mut request = WorkerRequest { path, id: String::new() };
    let mut length = 0;
    loop {
        line.clear();
        stream.read_line(&mut line).await?;
        let Some((name, value)) = line.split_once(':') else { break };
        match name.to_ascii_lowercase().as_str() {
            "request-id" => value.trim().clone_into(&mut request.id),
            "content-length" => length = value.trim().parse().unwrap_or(0),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(Some(request))
}

async fn answer(stream: &mut TcpStream, request: &WorkerRequest) -> std::io::Result<()> {
    let head = |rest: &str| {
        format!("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Stamp: stamp\r\n{rest}\r\n\r\n", request.id)
    };
    match AnswerCase::of(&request.path) {
        Some(AnswerCase::EndlessEvent) => {
            let head = head("Content-Type: text/event-stream\r\nConnection: close");
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(b"id: 1\ndata: ").await?;
            let mut pieces = tokio::time::interval(EVENT_PIECE_EVERY);
            loop {
                pieces.tick().await;
                stream.write_all(&[b'e'; EVENT_PIECE_BYTES]).await?;
            }
        }
        Some(AnswerCase::Long) => {
            stream.write_all(head(&format!("Content-Length: {LONG_ANSWER_BYTES}")).as_bytes()).await?;
            for _ in 0..LONG_ANSWER_BYTES / EVENT_PIECE_BYTES {
                stream.write_all(&[b'l'; EVENT_PIECE_BYTES]).await?;
            }
            Ok(())
        }
        Some(AnswerCase::Stalled) => {
            let (sent, length) = STALLED_ANSWER_BYTES;
            stream.write_all(head(&format!("Content-Length: {length}")).as_bytes()).await?;
            stream.write_all(&vec![b's'; sent]).await?;
            std::future::pending().await
        }
        None => stream.write_all((head("Content-Length: 2") + "ok").as_bytes()).await,
    }
}
