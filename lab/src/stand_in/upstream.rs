//! An upstream host that speaks HTTP/1.1, and what upstream hosts of both protocols do with a request.

use super::{read_request, read_some, serve, whole};
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use switchhill::net::message::Message;

/// What an upstream host does with a request.
#[derive(Clone, Copy, PartialEq)]
pub enum Act {
    /// 200, with the request's body and id as its body.
    Serve,
    /// 200 after so many milliseconds.
    ServeAfter(u64),
    Error,
    TurnAway,
    /// Reads the request, then breaks the connection.
    Break,
    Hang,
    /// HTTP/2 only: `REFUSED_STREAM`.
    Refuse,
    /// These bytes as they stand; the connection stays open.
    Say(&'static str),
    /// These bytes in front of a good answer.
    ServeBehind(&'static str),
    /// These bytes right behind a good answer.
    ServeBefore(&'static str),
    /// An answer whose body never ends.
    KeepComing,
}

/// How often each id has come whole to any of the upstream hosts that share it.
#[derive(Default)]
pub struct Seen {
    ids: Mutex<HashMap<String, usize>>,
    pub probes: AtomicU64,
}

impl Seen {
    pub fn note(&self, id: &str) {
        *self.ids.lock().expect("lock").entry(id.into()).or_default() += 1;
    }

    pub fn times(&self, id: &str) -> usize {
        self.ids.lock().expect("lock").get(id).copied().unwrap_or(0)
    }

    pub fn all(&self) -> usize {
        self.ids.lock().expect("lock").values().sum()
    }

    pub fn most(&self) -> usize {
        self.ids.lock().expect("lock").values().copied().max().unwrap_or(0)
    }
}

pub fn id_of(message: &Message) -> String {
    let text = String::from_utf8_lossy(&message.headers).to_lowercase();
    text.lines().find_map(|l| l.strip_prefix("x-txn: ").map(String::from)).unwrap_or_default()
}

/// An upstream host that speaks HTTP/1.1.
pub fn host(seen: &Arc<Seen>, act: impl Fn(&Message) -> Act + Send + Sync + 'static) -> SocketAddr {
    let seen = seen.clone();
    serve(move |mut socket| {
        let mut bytes = Vec::new();
        while let Some(message) = read_request(&mut socket, &mut bytes) {
            let answered = if message.path() == "/stats" {
                seen.probes.fetch_add(1, Ordering::SeqCst);
                let _ = socket.write_all(&whole(200, "X-Pressure: latency_ms=1\r\n", b""));
                true
            } else {
                let act = act(&message);
                let id = id_of(&message);
                if act != Act::TurnAway {
                    seen.note(&id);
                }
                carry_out(act, &id, &message.body, &mut socket)
            };
            if !answered {
                return;
            }
        }
    })
}

/// Carries an act out on a connection; false where that ends it.
fn carry_out(act: Act, id: &str, body: &[u8], socket: &mut TcpStream) -> bool {
    let id = id.as_bytes();
    let answer = match act {
        Act::Serve => whole(200, "X-RateLimit-Used: 10\r\n", &[id, body].concat()),
        Act::ServeAfter(ms) => {
            thread::sleep(Duration::from_millis(ms));
            whole(200, "", &[id, body].concat())
        }
        Act::Say(bytes) => bytes.as_bytes().to_vec(),
        Act::ServeBehind(bytes) => {
            let answer = whole(200, "X-Pressure: ?=!\r\nX-RateLimit-Used: -\r\n", id);
            [bytes.as_bytes(), &answer].concat()
        }
        Act::ServeBefore(bytes) => [&whole(200, "", id), bytes.as_bytes()].concat(),
        Act::KeepComing => {
            let _ = socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\nX-Pad: ");
            while socket.write_all(&[b'p'; 8192]).is_ok() {}
            return false;
        }
        Act::Error => whole(500, "", b""),
        Act::TurnAway | Act::Refuse => whole(503, "X-Turned-Away: 1\r\n", b""),
        Act::Break => return false,
        Act::Hang => {
            // Until the gateway gives the connection up.
            let _ = read_some(socket, &mut [0; 1]);
            return false;
        }
    };
    socket.write_all(&answer).is_ok()
}
