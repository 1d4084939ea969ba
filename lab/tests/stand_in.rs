//! The stand-ins themselves, where a fault of theirs would look like one of the program.
#![allow(missing_docs)]

use std::io::{Error, ErrorKind, Read};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;
use switchhill_lab::stand_in::{nowhere, pause_in, read_some};

/// Fails with these errors, the last one first, and then has bytes.
struct Interrupted(Vec<ErrorKind>);

impl Read for Interrupted {
    fn read(&mut self, to: &mut [u8]) -> std::io::Result<usize> {
        match self.0.pop() {
            Some(kind) => Err(Error::from(kind)),
            None => {
                to[0] = b'a';
                Ok(1)
            }
        }
    }
}

#[test]
fn a_read_that_a_signal_interrupts_goes_on() {
    let mut from = Interrupted(vec![ErrorKind::Interrupted; 3]);
    let mut to = [0; 4];
    assert_eq!(read_some(&mut from, &mut to).expect("bytes"), 1);
    assert_eq!(to[0], b'a');
}

#[test]
fn a_read_that_times_out_or_is_reset_ends() {
    for kind in [ErrorKind::WouldBlock, ErrorKind::TimedOut, ErrorKind::ConnectionReset] {
        let mut from = Interrupted(vec![kind, ErrorKind::Interrupted]);
        let read = read_some(&mut from, &mut [0; 4]);
        assert_eq!(read.expect_err("no bytes").kind(), kind);
    }
}

/// A port that is free again is handed to the next stand-in that asks for one, and with it the calls of all gateways that
/// were told that nothing listens there.
#[test]
fn an_address_on_which_nothing_listens_is_given_to_nobody_else() {
    let address = nowhere();
    let refused = TcpStream::connect(address).expect_err("nothing listens there");
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    let taken = TcpListener::bind(address).expect_err("the port stays bound");
    assert_eq!(taken.kind(), ErrorKind::AddrInUse);
}

#[test]
fn only_a_gap_that_no_busy_machine_makes_is_a_pause() {
    let ms = Duration::from_millis;
    assert_eq!(pause_in(ms(5)), Duration::ZERO);
    assert_eq!(pause_in(ms(100)), Duration::ZERO);
    assert_eq!(pause_in(ms(3_005)), ms(3_000));
}
