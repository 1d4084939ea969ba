//! What a gateway tells of itself: whether it is ready, and its counters.

use super::gateway::STARTS_WITHIN;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// How long an answer may take.
const ANSWERS_WITHIN: Duration = Duration::from_secs(2);

/// Whether a gateway says within its time that it is ready.
pub(super) async fn ready(address: SocketAddr) -> bool {
    let start = Instant::now();
    while start.elapsed() < STARTS_WITHIN {
        if get(address, "/health/ready").await.is_some_and(|(status, _)| status == 200) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

/// One call and the body of its answer.
async fn get(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    let mut socket = TcpStream::connect(address).await.ok()?;
    let text = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    socket.write_all(text.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(ANSWERS_WITHIN, socket.read_to_end(&mut bytes)).await;
    read.ok()?.ok()?;
    let text = String::from_utf8(bytes).ok()?;
    let status = text.split_whitespace().nth(1)?.parse().ok()?;
    Some((status, text.split_once("\r\n\r\n")?.1.to_string()))
}

/// The sums of the gateways' counters; one that does not answer is left out.
pub(super) async fn counters(gateways: impl Iterator<Item = SocketAddr>) -> BTreeMap<String, f64> {
    let mut counters: BTreeMap<String, f64> = BTreeMap::new();
    for address in gateways {
        let Some((_, text)) = get(address, "/health/counters").await else { continue };
        for (name, value) in text.lines().filter_map(|line| line.rsplit_once(' ')) {
            if let (Some(name), Ok(value)) = (name.strip_prefix("switchhill_"), value.parse::<f64>()) {
                *counters.entry(name.to_string()).or_default() += value;
            }
        }
    }
    counters
}
