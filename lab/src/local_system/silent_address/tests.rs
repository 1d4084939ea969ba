//! Connections to a silent address.

use super::*;
use std::net::{Ipv4Addr, TcpListener};

#[test]
fn connections_hang_and_are_not_refused() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("its address");
    drop(listener);
    let _silent = SilentAddress::at(address).expect("it is made silent");
    for _ in 0..3 {
        let error = TcpStream::connect_timeout(&address, HANGS_AFTER).expect_err("no connection");
        assert_eq!(error.kind(), std::io::ErrorKind::TimedOut);
    }
}
