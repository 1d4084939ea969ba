//! Stand-ins for what surrounds a gateway, on loopback: discovery, upstream hosts, clients.
#![allow(dead_code, missing_docs)]

mod client;
mod discovery;
mod gateway;
pub mod http2;
mod pauses;
mod process;
mod program;
mod upstream;
mod wire;

pub use client::{header, request, retry_after, Client};
pub use discovery::{list_entry, list_text, member, Discovery, Member};
pub use gateway::{call, Gateway};
pub use pauses::{pause_in, Pauses};
pub use process::{resident_kb, signal};
pub use program::{config, prepare, program, with_door, CONFIG, SETTINGS_VARIABLES};
pub use upstream::{host, id_of, Act, Seen};
pub use wire::{read_request, read_some, take_request, whole, Malformed};

use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// No wait in a test is longer.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < PATIENCE, "waited in vain for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Lets the gateway's connections to hosts rest long enough after an answer to be used again.
pub fn settle() {
    thread::sleep(Duration::from_millis(60));
}

/// Answers every connection in a thread of its own, for as long as the test runs.
pub fn serve(each: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("bound");
    let each = Arc::new(each);
    thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            let each = each.clone();
            thread::spawn(move || each(socket));
        }
    });
    address
}

/// An address on which nothing listens, for as long as the process runs: its port stays bound, or the system would hand
/// it to the next stand-in, which would then be called by whoever was told this address.
pub fn nowhere() -> SocketAddr {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&any.into()).expect("binds");
    let address = socket.local_addr().expect("bound").as_socket().expect("an IP address");
    std::mem::forget(socket);
    address
}
