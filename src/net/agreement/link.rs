//! One connection to the store for all that agreement asks of it.

use crate::net::resp::is_too_deep;
use redis_protocol::resp2::decode::decode;
use redis_protocol::resp2::types::OwnedFrame;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use switchhill_agreement::Ms;
use switchhill_recovery::Backoff;

/// After a failed connect the next try waits a random part of a ceiling that doubles from the first to the longest.
const CONNECTS_AGAIN: (Ms, Ms) = (50, 1000);
/// One connection to the store, made anew after a failure, after a wait that gateways do not share.
pub(super) struct Link {
    address: SocketAddr,
    timeout: Duration,
    socket: Option<TcpStream>,
    backoff: Backoff,
    try_at: Instant,
}

impl Link {
    pub(super) fn new(address: SocketAddr, timeout: Duration, seed: u64, first: Ms) -> Arc<Mutex<Link>> {
        let backoff = Backoff::new(CONNECTS_AGAIN.0, CONNECTS_AGAIN.1, seed);
        let try_at = Instant::now() + Duration::from_millis(first);
        Arc::new(Mutex::new(Link { address, timeout, socket: None, backoff, try_at }))
    }

    fn connect(&mut self) -> Result<TcpStream, String> {
        if Instant::now() < self.try_at {
            return Err("waits to connect again".into());
        }
        let made = TcpStream::connect_timeout(&self.address, self.timeout);
        // Danger: every gateway would be back within one period of each other when a store returns.
        self.try_at = Instant::now() + Duration::from_millis(self.backoff.next_delay());
        made.map_err(|e| e.to_string())
    }

    /// Sends commands and reads an answer to each.
    pub(super) fn call(&mut self, commands: &[Vec<&[u8]>]) -> Result<Vec<OwnedFrame>, String> {
        if self.socket.is_none() {
            let socket = self.connect()?;
            socket.set_read_timeout(Some(self.timeout)).map_err(|e| e.to_string())?;
            socket.set_write_timeout(Some(self.timeout)).map_err(|e| e.to_string())?;
            let _ = socket.set_nodelay(true);
            self.socket = Some(socket);
        }
        let result = self.exchange(commands);
        if result.is_ok() {
            self.backoff.reset();
        } else {
            // Danger: answers of a call given up could be read as those of the next one; the connection goes.
            self.socket = None;
        }
        result
    }

    fn exchange(&mut self, commands: &[Vec<&[u8]>]) -> Result<Vec<OwnedFrame>, String> {
        let socket = self.socket.as_mut().ok_or("no connection")?;
        let mut out = Vec::new();
        for words in commands {
            out.extend_from_slice(format!("*{}\r\n", words.len()).as_bytes());
            for word in words {
                out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
                out.extend_from_slice(word);
                out.extend_from_slice(b"\r\n");
            }
        }
        socket.write_all(&out).map_err(|e| e.to_string())?;
        let (mut bytes, mut some, mut answers) = (Vec::new(), [0; 4096], Vec::new());
        while answers.len() < commands.len() {
            if is_too_deep(&bytes) {
                return Err("arrays within arrays".into());
            }
            match decode(&bytes).map_err(|e| e.to_string())? {
                Some((frame, used)) => {
                    bytes.drain(..used);
                    answers.push(frame);
                }
                None => match socket.read(&mut some) {
                    Ok(0) => return Err("closed".into()),
                    Ok(n) => bytes.extend_from_slice(&some[..n]),
                    Err(e) => return Err(e.to_string()),
                },
            }
        }
        Ok(answers)
    }
}
