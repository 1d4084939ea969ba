//! Discovery's list of upstream hosts, over the wire and with its watch.

use super::host::{lock, next_request, UpstreamHost};
use crate::stand_in::{list_entry, list_text, whole};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// A watch is held no longer.
const LONGEST_WATCH_MS: u64 = 60_000;

/// Discovery's list of boxes with its watch.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    phases: Mutex<Vec<&'static str>>,
    revision: tokio::sync::watch::Sender<u64>,
    /// It answers with its first list, under its first revision.
    stale: AtomicBool,
    hosts: Vec<Arc<UpstreamHost>>,
}

impl Discovery {
    /// Starts discovery for these boxes.
    ///
    /// # Errors
    /// When no address can be had.
    pub async fn start(hosts: Vec<Arc<UpstreamHost>>) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let discovery = Arc::new(Self {
            address: listener.local_addr()?,
            phases: Mutex::new(vec!["in_service"; hosts.len()]),
            revision: tokio::sync::watch::Sender::new(1),
            stale: AtomicBool::new(false),
            hosts,
        });
        let accepting = discovery.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let discovery = accepting.clone();
                tokio::spawn(async move { discovery.serve(socket).await });
            }
        });
        Ok(discovery)
    }

    /// Tells everybody that a box drains.
    pub fn drain(&self, number: usize) {
        if let Some(phase) = lock(&self.phases).get_mut(number) {
            *phase = "terminating";
        }
        self.revision.send_modify(|revision| *revision += 1);
    }

    /// Goes back to the first list, as one restored from an old copy, or to the present one.
    pub fn go_back(&self, stale: bool) {
        self.stale.store(stale, Ordering::Relaxed);
        self.revision.send_modify(|_| {});
    }

    /// The list as JSON; nothing in it where nothing is new.
    #[must_use]
    pub fn list(&self, known: u64) -> String {
        let (mut revision, mut phases) = (*self.revision.borrow(), lock(&self.phases).clone());
        if self.stale.load(Ordering::Relaxed) {
            revision = 1;
            phases.iter_mut().for_each(|phase| *phase = "in_service");
        }
        let entry =
            |(host, phase): (&Arc<UpstreamHost>, &str)| list_entry(&host.id, host.address, phase, "http/1.1");
        let entries: Vec<String> =
            if known == revision { Vec::new() } else { self.hosts.iter().zip(phases).map(entry).collect() };
        list_text(revision, known != revision, &entries)
    }

    async fn serve(&self, mut socket: TcpStream) {
        let mut bytes = Vec::new();
        loop {
            let Some(message) = next_request(&mut socket, &mut bytes).await else { return };
            let field = |name: &str| -> u64 {
                let value = message.target.split(['?', '&']).find_map(|pair| pair.strip_prefix(name));
                value.and_then(|text| text.parse().ok()).unwrap_or(0)
            };
            let (known, wait) = (field("index="), field("wait="));
            if known > 0 && wait > 0 {
                let mut news = self.revision.subscribe();
                let news = news.wait_for(|revision| *revision != known);
                let _ = tokio::time::timeout(Duration::from_millis(wait.min(LONGEST_WATCH_MS)), news).await;
            }
            if socket.write_all(&whole(200, "", self.list(known).as_bytes())).await.is_err() {
                return;
            }
        }
    }
}
