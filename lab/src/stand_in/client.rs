//! A client that speaks HTTP/1.1.

use super::{read_some, PATIENCE};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use switchhill::net::http1::{self, Parsed};
use switchhill::net::message::Answer;

/// A client's connection in HTTP/1.1.
pub struct Client {
    pub socket: TcpStream,
    bytes: Vec<u8>,
}

/// The text of a request with an id; each customer has a quota of its own.
pub fn request(class: &str, id: u64, customer: u64, wait_ms: u64) -> String {
    let (method, body) = if class == "top-up" { ("POST", "pay") } else { ("GET", "") };
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id:016x}\r\nX-Tier: farm-pro\r\n\
         Cookie: client={customer:016x}\r\nX-Remaining-Ms: {wait_ms}\r\n{length}\
         X-Call-Terms: units=1,spread=1,first=0\r\n\r\n{body}"
    )
}

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        let socket = TcpStream::connect(address).expect("connects");
        socket.set_read_timeout(Some(PATIENCE)).expect("set");
        Self { socket, bytes: Vec::new() }
    }

    pub fn write(&mut self, text: &str) {
        // A gateway that has answered and closed may not take the rest.
        let _ = self.socket.write_all(text.as_bytes());
    }

    /// The next answer; `None` when the connection ends without one.
    pub fn answer(&mut self) -> Option<Answer> {
        loop {
            if let Parsed::Whole(answer, used, _) = http1::answer(&self.bytes, false) {
                self.bytes.drain(..used);
                return Some(answer);
            }
            let mut some = [0; 4096];
            match read_some(&mut self.socket, &mut some) {
                Ok(n) if n > 0 => self.bytes.extend_from_slice(&some[..n]),
                _ => return None,
            }
        }
    }

    pub fn ask(&mut self, class: &str, id: u64, customer: u64, wait_ms: u64) -> Answer {
        self.write(&request(class, id, customer, wait_ms));
        self.answer().expect("an answer")
    }
}

/// One of an answer's headers, whatever the case of its name.
pub fn header(answer: &Answer, name: &str) -> Option<String> {
    let text = String::from_utf8_lossy(&answer.headers);
    let mut lines = text.lines().filter_map(|line| line.split_once(": "));
    lines.find(|(own, _)| own.eq_ignore_ascii_case(name)).map(|(_, value)| value.to_string())
}

pub fn retry_after(answer: &Answer) -> Option<f64> {
    header(answer, "retry-after")?.parse().ok()
}
