//! Mock worker whose responses a test writes byte by byte.

use super::{with_timeout, worker_view};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use switchhill_routing::WorkerView;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// A worker that passes each request to the test.
pub struct MockWorker {
    pub id: String,
    pub address: SocketAddr,
    requests: mpsc::UnboundedReceiver<ReceivedRequest>,
    connections: Rc<RefCell<u32>>,
}

/// A request that a worker has received, and its connection.
pub struct ReceivedRequest {
    pub request_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    stream: TcpStream,
    request_sender: mpsc::UnboundedSender<ReceivedRequest>,
}

impl MockWorker {
    /// Starts a worker on loopback.
    pub async fn start(id: &str) -> MockWorker {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let (request_sender, requests) = mpsc::unbounded_channel();
        let connections = Rc::new(RefCell::new(0));
        let count = connections.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                *count.borrow_mut() += 1;
                tokio::task::spawn_local(read_request(stream, request_sender.clone()));
            }
        });
        MockWorker { id: id.to_owned(), address, requests, connections }
    }

    /// The worker's view, with the model `small` resident.
    pub fn view(&self) -> WorkerView {
        worker_view(&self.id, self.address, &["small"])
    }

    /// Waits for the next request.
    pub async fn next_request(&mut self) -> ReceivedRequest {
        with_timeout(self.requests.recv()).await.expect("worker ended")
    }

    /// Whether no further request has arrived.
    pub fn has_no_more_requests(&mut self) -> bool {
        self.requests.try_recv().is_err()
    }

    /// Number of connections opened to the worker.
    pub fn connections(&self) -> u32 {
        *self.connections.borrow()
    }
}

async fn read_request(mut stream: TcpStream, request_sender: mpsc::UnboundedSender<ReceivedRequest>) {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read_buf(&mut bytes).await {
            Ok(count) if count > 0 => {}
            _ => return,
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut lines = head.lines();
    let request_line = lines.next().unwrap_or_default().to_owned();
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers.get("content-length").map_or(0, |length| length.parse().expect("length"));
    let mut body = bytes.split_off(head_end);
    while body.len() < length {
        if stream.read_buf(&mut body).await.unwrap_or(0) == 0 {
            return;
        }
    }
    let sender = request_sender.clone();
    let _ = sender.send(ReceivedRequest { request_line, headers, body, stream, request_sender });
}

impl ReceivedRequest {
    /// Value of a header, or an empty string if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub async fn write(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).await.expect("write to the data plane");
    }

    /// Writes a response head with the request's id and these headers.
    pub async fn write_head(&mut self, status: &str, headers: &str) {
        let id = self.header("request-id").to_owned();
        self.write(&format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\n{headers}\r\n")).await;
    }

    /// Sends a complete response and reads the next request on the connection.
    pub async fn respond(mut self, status: &str, headers: &str, body: &str) {
        let headers = format!("Response-Stamp: stamp-1\r\nContent-Length: {}\r\n{headers}", body.len());
        self.write_head(status, &headers).await;
        self.write(body).await;
        tokio::task::spawn_local(read_request(self.stream, self.request_sender));
    }

    /// Refuses the request as not executed.
    pub async fn refuse(mut self) {
        self.write_head("503 Service Unavailable", "Not-Executed: full\r\nContent-Length: 0\r\n").await;
        tokio::task::spawn_local(read_request(self.stream, self.request_sender));
    }

    /// Begins an event stream.
    pub async fn begin_stream(&mut self, headers: &str) {
        let headers = format!(
            "Response-Stamp: stamp-1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{headers}"
        );
        self.write_head("200 OK", &headers).await;
    }

    /// Writes part of an event stream as one chunk.
    pub async fn write_chunk(&mut self, bytes: &str) {
        self.write(&format!("{:x}\r\n{bytes}\r\n", bytes.len())).await;
    }

    /// Ends the event stream and reads the next request on the connection.
    pub async fn end_stream(mut self) {
        self.write("0\r\n\r\n").await;
        tokio::task::spawn_local(read_request(self.stream, self.request_sender));
    }

    /// Resets the connection.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(&self.stream);
        socket.set_linger(Some(std::time::Duration::ZERO)).expect("linger");
    }

    /// Waits until the data plane closes the connection.
    pub async fn wait_closed(mut self) {
        let mut buffer = [0; 64];
        let closed = async { while matches!(self.stream.read(&mut buffer).await, Ok(count) if count > 0) {} };
        with_timeout(closed).await;
    }
}

/// An event with an id.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: token-{id}\n\n")
}
