//! Tests of connections to upstream hosts.

use super::is_quiet;
use std::io::Write;
use std::net::{TcpListener, TcpStream};

#[test]
fn a_connection_with_bytes_unread_or_an_end_is_not_quiet() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let ours = || {
        let socket = TcpStream::connect(listener.local_addr().expect("bound")).expect("connects");
        socket.set_nonblocking(true).expect("set");
        (socket, listener.accept().expect("accepted").0)
    };
    let (quiet, _open) = ours();
    let (copied, mut host) = ours();
    let (ended, gone) = ours();
    host.write_all(b"HTTP/1.1 200 OK").expect("written");
    drop(gone);
    // Loopback hands over within the call of the other side, but nothing says that it must.
    let start = std::time::Instant::now();
    while is_quiet(&copied) || is_quiet(&ended) {
        assert!(start.elapsed().as_secs() < 20, "neither was noticed");
        std::thread::yield_now();
    }
    assert!(is_quiet(&quiet));
}
