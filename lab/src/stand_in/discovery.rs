//! Discovery as a stand-in: it lists upstream hosts and answers a watch with every change.

use super::{read_request, serve, whole};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use switchhill::net::message::Message;

/// A watch without a change is answered after this long.
const WATCH: Duration = Duration::from_secs(3);

/// One entry of discovery's list.
#[derive(Clone)]
pub struct Member {
    pub id: &'static str,
    pub address: SocketAddr,
    pub phase: &'static str,
    pub http2: bool,
}

pub fn member(id: &'static str, address: SocketAddr) -> Member {
    Member { id, address, phase: "in_service", http2: false }
}

#[derive(Default)]
struct Listed {
    revision: AtomicU64,
    members: Mutex<Vec<Member>>,
    silent: AtomicBool,
    calls: AtomicU64,
}

/// Discovery: tells the whole list, and a watch every change.
pub struct Discovery {
    pub address: SocketAddr,
    listed: Arc<Listed>,
}

impl Discovery {
    pub fn new(members: Vec<Member>) -> Self {
        let listed =
            Arc::new(Listed { revision: 1.into(), members: Mutex::new(members), ..Listed::default() });
        let told = listed.clone();
        let address = serve(move |mut socket| {
            let mut bytes = Vec::new();
            while let Some(call) = read_request(&mut socket, &mut bytes) {
                told.calls.fetch_add(1, Ordering::SeqCst);
                let known = known_revision(&call);
                told.wait_for_news(known);
                let body = told.list(known);
                if socket.write_all(&whole(200, "", body.as_bytes())).is_err() {
                    return;
                }
            }
        });
        Self { address, listed }
    }

    pub fn change(&self, id: &str, phase: &'static str) {
        let mut members = self.listed.members.lock().expect("lock");
        members.iter_mut().filter(|m| m.id == id).for_each(|m| m.phase = phase);
        self.listed.revision.fetch_add(1, Ordering::SeqCst);
    }

    pub fn calls(&self) -> u64 {
        self.listed.calls.load(Ordering::SeqCst)
    }

    pub fn silence(&self, on: bool) {
        self.listed.silent.store(on, Ordering::SeqCst);
    }
}

/// The revision that a call names as known, 0 for none.
fn known_revision(call: &Message) -> u64 {
    let known = call.target.split_once("index=").map(|(_, rest)| rest.split('&').next().unwrap_or(""));
    known.and_then(|known| known.parse().ok()).unwrap_or(0)
}

impl Listed {
    /// Holds a watch until there is something newer or its time is over, and every call while discovery is silent.
    fn wait_for_news(&self, known: u64) {
        let start = Instant::now();
        while self.revision.load(Ordering::SeqCst) == known && start.elapsed() < WATCH {
            thread::sleep(Duration::from_millis(2));
        }
        while self.silent.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn list(&self, known: u64) -> String {
        let members = self.members.lock().expect("lock");
        // Danger: read before the lock, a change in between is told as known without ever having been listed.
        let revision = self.revision.load(Ordering::SeqCst);
        let nothing_new = revision == known;
        let entry = |m: &Member| {
            let protocol = if m.http2 { "h2c" } else { "http/1.1" };
            list_entry(m.id, m.address, m.phase, protocol)
        };
        let entries: Vec<String> = if nothing_new { vec![] } else { members.iter().map(entry).collect() };
        list_text(revision, !nothing_new, &entries)
    }
}

/// One entry of discovery's list.
pub fn list_entry(id: &str, address: SocketAddr, phase: &str, protocol: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"room-a","flavor":"big-box","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0,"protocol":"{protocol}"}}"#
    )
}

/// Discovery's list.
pub fn list_text(revision: u64, complete: bool, entries: &[String]) -> String {
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, entries.join(","))
}
