//! A TCP fault proxy: one listening port on loopback in front of one target, whose fault can be changed at any
//! moment and applies to connections already open as well as new ones.
//!
//! The names of directions: `up` is from whoever connects to the target, `down` the answers.

use crate::stand_in::read_some;
use socket2::SockRef;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How often a pump looks at the fault while nothing comes: the granularity of every fault's start.
const LOOK: Duration = Duration::from_millis(10);
/// A connection to the target that does not succeed within this is given up.
const CONNECT: Duration = Duration::from_secs(2);

/// What a link does to what crosses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Everything passes.
    Pass,
    /// Each piece is held this long before it is passed on.
    Delay(Duration),
    /// Open connections are reset (RST) and new ones reset when accepted.
    Reset,
    /// Nothing passes either way; connections stay open, as with packets dropped.
    Cut,
    /// Nothing passes up; answers still come down.
    CutUp,
    /// Nothing comes down; what is sent still reaches the target.
    CutDown,
    /// What comes down is passed on at most this many bytes each 10 ms.
    SlowRead(usize),
    /// Each new connection is reset with this chance in percent; open ones pass.
    LoseConnections(u8),
}

/// A running proxy.
pub struct Proxy {
    /// Where clients connect instead of the target.
    pub address: SocketAddr,
    fault: Arc<Mutex<Fault>>,
    accepted: Arc<AtomicU64>,
    aim: Arc<Aim>,
}

/// Where a proxy leads; a connection of an earlier aim is reset.
struct Aim {
    target: Mutex<SocketAddr>,
    turn: AtomicU64,
}

impl Proxy {
    /// Starts a proxy in front of `target`, passing everything.
    pub fn start(target: SocketAddr, seed: u64) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
        let address = listener.local_addr().expect("its address");
        let fault = Arc::new(Mutex::new(Fault::Pass));
        let accepted = Arc::new(AtomicU64::new(0));
        let aim = Arc::new(Aim { target: Mutex::new(target), turn: AtomicU64::new(0) });
        let (shared, count, aimed) = (fault.clone(), accepted.clone(), aim.clone());
        thread::spawn(move || {
            let mut chance = fastrand::Rng::with_seed(seed);
            for client in listener.incoming().flatten() {
                count.fetch_add(1, Ordering::Relaxed);
                let now = *shared.lock().expect("lock");
                let lost = matches!(now, Fault::LoseConnections(percent) if chance.u8(0..100) < percent);
                if now == Fault::Reset || lost {
                    reset(&client);
                    continue;
                }
                let turn = aimed.turn.load(Ordering::SeqCst);
                let target = *aimed.target.lock().expect("lock");
                let Ok(server) = TcpStream::connect_timeout(&target, CONNECT) else {
                    reset(&client);
                    continue;
                };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (up_from, up_to) = (client.try_clone(), server.try_clone());
                let (Ok(up_from), Ok(up_to)) = (up_from, up_to) else { continue };
                let (fault_up, fault_down) = (shared.clone(), shared.clone());
                let (aim_up, aim_down) = (aimed.clone(), aimed.clone());
                let gone = move |aim: &Aim| aim.turn.load(Ordering::SeqCst) != turn;
                thread::spawn(move || pump(up_from, up_to, &fault_up, true, || gone(&aim_up)));
                thread::spawn(move || pump(server, client, &fault_down, false, || gone(&aim_down)));
            }
        });
        Proxy { address, fault, accepted, aim }
    }

    /// Sets the fault from now on.
    pub fn set(&self, fault: Fault) {
        *self.fault.lock().expect("lock") = fault;
    }

    /// Leads to another target from now on; what is open is reset.
    pub fn aim(&self, target: SocketAddr) {
        *self.aim.target.lock().expect("lock") = target;
        self.aim.turn.fetch_add(1, Ordering::SeqCst);
    }

    /// The fault in force.
    pub fn fault(&self) -> Fault {
        *self.fault.lock().expect("lock")
    }

    /// Connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }
}

fn reset(socket: &TcpStream) {
    let _ = SockRef::from(socket).set_linger(Some(Duration::ZERO));
    let _ = socket.shutdown(Shutdown::Both);
}

/// Moves bytes one way until either side ends, doing to them what the fault says.
fn pump(mut from: TcpStream, mut to: TcpStream, fault: &Mutex<Fault>, up: bool, is_gone: impl Fn() -> bool) {
    let _ = from.set_read_timeout(Some(LOOK));
    let mut some = [0; 16 * 1024];
    let is_reset = || *fault.lock().expect("lock") == Fault::Reset || is_gone();
    loop {
        if is_reset() {
            reset(&from);
            reset(&to);
            return;
        }
        let n = match read_some(&mut from, &mut some) {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(n) => n,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) => {
                reset(&to);
                return;
            }
        };
        // The fault may have come while nothing did: what came after it passes no more.
        if is_reset() {
            continue;
        }
        let now = *fault.lock().expect("lock");
        let cut = match now {
            Fault::Cut => true,
            Fault::CutUp => up,
            Fault::CutDown => !up,
            _ => false,
        };
        if cut {
            continue;
        }
        let sent = match now {
            Fault::Delay(hold) => {
                thread::sleep(hold);
                to.write_all(&some[..n])
            }
            Fault::SlowRead(each) if !up => {
                let each = each.max(1);
                some[..n].chunks(each).try_for_each(|piece| {
                    thread::sleep(LOOK);
                    to.write_all(piece)
                })
            }
            _ => to.write_all(&some[..n]),
        };
        if sent.is_err() {
            reset(&from);
            return;
        }
    }
}

/// Proxies between named parts, to cut sets of them from each other.
#[derive(Default)]
pub struct Links {
    links: BTreeMap<(String, String), Proxy>,
}

impl Links {
    /// Puts a proxy on the link from `from` to `to`'s address and gives the address `from` is to use.
    pub fn link(&mut self, from: &str, to: &str, target: SocketAddr, seed: u64) -> SocketAddr {
        let proxy = Proxy::start(target, seed);
        let address = proxy.address;
        self.links.insert((from.to_owned(), to.to_owned()), proxy);
        address
    }

    /// Sets `fault` on every link from a part of `these` to a part of `those`; with `both`, the other way too.
    pub fn between(&self, these: &[&str], those: &[&str], fault: Fault, both: bool) {
        for ((from, to), proxy) in &self.links {
            let forth = these.contains(&from.as_str()) && those.contains(&to.as_str());
            let back = both && those.contains(&from.as_str()) && these.contains(&to.as_str());
            if forth || back {
                proxy.set(fault);
            }
        }
    }

    /// Every link passes again.
    pub fn heal(&self) {
        self.links.values().for_each(|proxy| proxy.set(Fault::Pass));
    }

    /// The proxy of one link.
    pub fn get(&self, from: &str, to: &str) -> Option<&Proxy> {
        self.links.get(&(from.to_owned(), to.to_owned()))
    }
}
