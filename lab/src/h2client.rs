//! Clients in HTTP/2 with prior knowledge: a few connections to each gateway, shared by many streams.

use crate::load::Ask;
use bytes::Bytes;
use h2::client::SendRequest;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use switchhill::net::message::Answer;
use tokio::net::TcpStream;
use tokio::sync::Mutex;

/// Connections to one gateway.
pub(crate) struct Pool {
    address: SocketAddr,
    slots: Vec<Mutex<Option<SendRequest<Bytes>>>>,
    next: AtomicUsize,
}

impl Pool {
    pub(crate) fn new(address: SocketAddr, connections: usize) -> Self {
        let slots = (0..connections.max(1)).map(|_| Mutex::new(None)).collect();
        Self { address, slots, next: AtomicUsize::new(0) }
    }

    async fn connection(&self) -> Option<SendRequest<Bytes>> {
        let slot = &self.slots[self.next.fetch_add(1, Ordering::Relaxed) % self.slots.len()];
        let mut kept = slot.lock().await;
        if let Some(connection) = kept.take() {
            if let Ok(ready) = connection.ready().await {
                *kept = Some(ready.clone());
                return Some(ready);
            }
        }
        let socket = TcpStream::connect(self.address).await.ok()?;
        let _ = socket.set_nodelay(true);
        let (send, connection) = h2::client::handshake(socket).await.ok()?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        let ready = send.ready().await.ok()?;
        *kept = Some(ready.clone());
        Some(ready)
    }

    /// One exchange; an error tells whether the request had been handed over whole.
    pub(crate) async fn exchange(&self, ask: &Ask<'_>, wait: u64) -> Result<Answer, bool> {
        let mut connection = self.connection().await.ok_or(false)?;
        let (method, path, body) = ask.target();
        let mut request = http::Request::builder().method(method).uri(format!("http://portal{path}"));
        for (name, value) in ask.headers(wait) {
            request = request.header(name, value);
        }
        let request = request.body(()).map_err(|_| false)?;
        let (response, mut send) = connection.send_request(request, body.is_empty()).map_err(|_| false)?;
        if !body.is_empty() {
            send.send_data(Bytes::from_static(body.as_bytes()), true).map_err(|_| true)?;
        }
        let (head, mut stream) = response.await.map_err(|_| true)?.into_parts();
        let mut answer = Answer { status: head.status.as_u16(), ..Answer::default() };
        for (name, value) in &head.headers {
            answer.header(name.as_str(), value.as_bytes());
        }
        while let Some(data) = stream.data().await {
            let data = data.map_err(|_| true)?;
            let _ = stream.flow_control().release_capacity(data.len());
            answer.body.extend_from_slice(&data);
        }
        Ok(answer)
    }
}
