//! Bodies over 64 KiB in both directions: passed on as they come, in bounded memory, and every form told apart.
#![allow(missing_docs)]

use rstest::rstest;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use switchhill_lab::stand_in::*;

const MB: usize = 1024 * 1024;

/// A digest of bytes in order, and how many there were (FNV-1a).
#[derive(Clone, Copy, PartialEq, Debug)]
struct Digest(u64, usize);

impl Digest {
    fn new() -> Self {
        Self(0xcbf2_9ce4_8422_2325, 0)
    }

    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        self.1 += bytes.len();
    }
}

/// Places after which a body's bytes come again: only the lowest byte of the product counts.
const PERIOD: usize = 256;

/// A piece of a body, different for each id and place. One period is made and copied: a hundred hosts that make each byte
/// by itself keep all cores busy.
fn piece(id: u64, at: usize, length: usize) -> Vec<u8> {
    let byte = |n: usize| (n as u64).wrapping_mul(0x9e37_79b9).wrapping_add(id) as u8;
    let period: Vec<u8> = (at..at + PERIOD).map(byte).collect();
    let mut piece = period.repeat(length.div_ceil(PERIOD));
    piece.truncate(length);
    piece
}

fn digest_of(id: u64, length: usize) -> Digest {
    let mut digest = Digest::new();
    for at in (0..length).step_by(65_536) {
        digest.add(&piece(id, at, 65_536.min(length - at)));
    }
    digest
}

/// How a body's end is told.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Form {
    Length,
    Chunks,
    End,
}

struct Head {
    first: String,
    headers: Vec<(String, String)>,
}

impl Head {
    fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(own, _)| own == name).map(|(_, value)| value.as_str())
    }
}

fn read_head(from: &mut impl BufRead) -> Option<Head> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_string();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let headers = lines[1..].iter().filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_lowercase(), value.trim().to_string())).collect();
    Some(Head { first: lines[0].clone(), headers })
}

/// Reads a body to its end; `None` where it is cut off. Between pieces it waits so long.
fn read_body(from: &mut impl BufRead, head: &Head, pause: Duration) -> Option<Digest> {
    let mut digest = Digest::new();
    let mut some = vec![0; 65_536];
    if head.get("transfer-encoding") == Some("chunked") {
        loop {
            let mut line = String::new();
            from.read_line(&mut line).ok().filter(|n| *n > 0)?;
            let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; size];
            from.read_exact(&mut chunk).ok()?;
            digest.add(&chunk);
            line.clear();
            from.read_line(&mut line).ok().filter(|n| *n > 0)?;
            if size == 0 {
                return Some(digest);
            }
            std::thread::sleep(pause);
        }
    }
    let length: Option<usize> = head.get("content-length").and_then(|l| l.parse().ok());
    let mut left = length.unwrap_or(usize::MAX);
    while left > 0 {
        let most = left.min(some.len());
        match read_some(from, &mut some[..most]) {
            Ok(0) if length.is_none() => return Some(digest),
            Ok(n) if n > 0 => {
                digest.add(&some[..n]);
                left -= n;
            }
            _ => return None,
        }
        std::thread::sleep(pause);
    }
    Some(digest)
}

fn write_body(
    to: &mut impl Write,
    id: u64,
    length: usize,
    form: Form,
    step: usize,
    pause: Duration,
) -> std::io::Result<()> {
    for at in (0..length).step_by(step) {
        let piece = piece(id, at, step.min(length - at));
        if form == Form::Chunks {
            write!(to, "{:x};note=\"a b\"\r\n", piece.len())?;
        }
        to.write_all(&piece)?;
        if form == Form::Chunks {
            to.write_all(b"\r\n")?;
        }
        std::thread::sleep(pause);
    }
    if form == Form::Chunks {
        to.write_all(b"0\r\nX-Check: none\r\n\r\n")?;
    }
    Ok(())
}

/// What a host saw: ids, with the digest of each whole body.
#[derive(Default)]
struct Came {
    whole: Mutex<Vec<(String, Digest)>>,
    begun: AtomicUsize,
}

/// What a host does once a request's head has come.
#[derive(Clone, Copy)]
enum Does {
    /// Answers with so many bytes in this form, 64 KiB at a time, so many of them if it stops short.
    Answer(usize, Form, Option<usize>),
    /// Turns away at once, without reading the body.
    TurnAway,
    /// Reads so much of the body and breaks the connection.
    BreakAfter(usize),
}

fn host_of(came: &Arc<Came>, does: impl Fn(u64) -> Does + Send + Sync + 'static) -> SocketAddr {
    let came = came.clone();
    serve(move |socket| {
        let mut from = BufReader::new(socket.try_clone().expect("a socket"));
        let mut to = socket;
        while let Some(head) = read_head(&mut from) {
            let id = head.get("x-txn").unwrap_or("").to_string();
            let number = u64::from_str_radix(&id, 16).unwrap_or(0);
            came.begun.fetch_add(1, Ordering::SeqCst);
            let does = does(number);
            match does {
                Does::TurnAway => {
                    let _ =
                        to.write_all(b"HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
                    return;
                }
                Does::BreakAfter(bytes) => {
                    let mut some = vec![0; bytes];
                    let _ = from.read_exact(&mut some);
                    return;
                }
                Does::Answer(length, form, stops) => {
                    let has_body =
                        head.get("content-length").is_some() || head.get("transfer-encoding").is_some();
                    if has_body {
                        let Some(digest) = read_body(&mut from, &head, Duration::ZERO) else { return };
                        came.whole.lock().expect("lock").push((id.clone(), digest));
                    }
                    let told = match form {
                        Form::Length => format!("Content-Length: {length}\r\n"),
                        Form::Chunks => "Transfer-Encoding: chunked\r\n".to_string(),
                        Form::End => "Connection: close\r\n".to_string(),
                    };
                    let head = format!("HTTP/1.1 200 OK\r\nX-Note: {id}\r\n{told}\r\n");
                    let sent = stops.unwrap_or(length);
                    let mut body = Vec::new();
                    let done = to.write_all(head.as_bytes()).is_ok()
                        && if stops.is_some() {
                            write_body(&mut body, number, sent, form, 65_536, Duration::ZERO)
                                .expect("written");
                            let end = if form == Form::Chunks { body.len() - 20 } else { body.len() };
                            to.write_all(&body[..end]).is_ok()
                        } else {
                            write_body(&mut to, number, sent, form, 65_536, Duration::ZERO).is_ok()
                        };
                    if !done || stops.is_some() || form == Form::End {
                        return;
                    }
                }
            }
        }
    })
}

fn site(
    came: &Arc<Came>,
    limits: &str,
    does: impl Fn(u64) -> Does + Send + Sync + Copy + 'static,
) -> (Discovery, Gateway) {
    let members = ["s-1", "s-2"].map(|id| member(id, host_of(came, does)));
    let discovery = Discovery::new(members.to_vec());
    let text = with_door(&config(discovery.address)).replace("\"memory_mb\":192,\"sockets\":1024", limits);
    let gateway = Gateway::start_with(&text, None);
    (discovery, gateway)
}

const ROOMY: &str = "\"memory_mb\":192,\"sockets\":1024";

struct Asked {
    from: BufReader<TcpStream>,
    to: TcpStream,
}

impl Asked {
    fn connect(address: SocketAddr) -> Self {
        let to = TcpStream::connect(address).expect("connects");
        to.set_read_timeout(Some(PATIENCE)).expect("set");
        Self { from: BufReader::new(to.try_clone().expect("a socket")), to }
    }

    fn view(&mut self, id: u64, version: &str) {
        let text = request("usage-view", id, id, 4000).replace("HTTP/1.1", version);
        self.to.write_all(text.as_bytes()).expect("written");
    }

    /// Sends a long request; false where the gateway closed before all of it was taken.
    fn pay(&mut self, id: u64, length: usize, form: Form, step: usize, pause: Duration) -> bool {
        let told = match form {
            Form::Length => format!("Content-Length: {length}"),
            _ => "Transfer-Encoding: chunked".to_string(),
        };
        let text = request("top-up", id, id, 12_000).replace("Content-Length: 3", &told);
        let head = text.strip_suffix("pay").expect("its body");
        self.to.write_all(head.as_bytes()).is_ok()
            && write_body(&mut self.to, id, length, form, step, pause).is_ok()
    }

    fn answer(&mut self, pause: Duration) -> Option<(u16, Option<Digest>)> {
        let head = read_head(&mut self.from)?;
        let status = head.first.split(' ').nth(1)?.parse().ok()?;
        Some((status, read_body(&mut self.from, &head, pause)))
    }
}

#[rstest]
#[case::by_length(Form::Length)]
#[case::in_chunks(Form::Chunks)]
#[case::until_the_end(Form::End)]
fn a_long_answer_arrives_byte_for_byte_and_the_connection_goes_on(#[case] form: Form) {
    let came = Arc::new(Came::default());
    let (_discovery, gateway) = site(&came, ROOMY, move |_| Does::Answer(3 * MB + 17, form, None));
    let mut client = Asked::connect(gateway.address);
    for id in 1..4 {
        client.view(id, "HTTP/1.1");
        assert_eq!(client.answer(Duration::ZERO), Some((200, Some(digest_of(id, 3 * MB + 17)))));
    }
    // HTTP/1.0 knows no chunks: the end of the connection tells.
    let mut old = Asked::connect(gateway.address);
    old.view(9, "HTTP/1.0");
    assert_eq!(old.answer(Duration::ZERO), Some((200, Some(digest_of(9, 3 * MB + 17)))));
    assert_eq!(gateway.figure("calls.usage-view.success"), 4);
}

#[rstest]
#[case::by_length(Form::Length)]
#[case::in_chunks(Form::Chunks)]
fn a_long_request_arrives_byte_for_byte_with_the_next_one_behind_it(#[case] form: Form) {
    let came = Arc::new(Came::default());
    let (_discovery, gateway) = site(&came, ROOMY, |_| Does::Answer(5, Form::Length, None));
    let mut client = Asked::connect(gateway.address);
    assert!(client.pay(1, 5 * MB + 3, form, 50_000, Duration::ZERO));
    client.view(2, "HTTP/1.1");
    assert_eq!(client.answer(Duration::ZERO), Some((200, Some(digest_of(1, 5)))));
    assert_eq!(client.answer(Duration::ZERO), Some((200, Some(digest_of(2, 5)))));
    assert_eq!(*came.whole.lock().expect("lock"), [(format!("{:016x}", 1), digest_of(1, 5 * MB + 3))]);
    assert_eq!(gateway.figure("backend_calls"), 2);
}

#[rstest]
#[case::by_length(Form::Length)]
#[case::in_chunks(Form::Chunks)]
fn an_answer_that_breaks_off_is_told_by_the_connections_end(#[case] form: Form) {
    let came = Arc::new(Came::default());
    let (_discovery, gateway) = site(&came, ROOMY, move |_| Does::Answer(MB, form, Some(300_000)));
    let mut client = Asked::connect(gateway.address);
    client.view(1, "HTTP/1.1");
    assert_eq!(client.answer(Duration::ZERO), Some((200, None)));
}

#[test]
fn a_long_answer_that_breaks_before_it_proves_itself_is_asked_for_again() {
    let came = Arc::new(Came::default());
    let first = AtomicUsize::new(0);
    let first: &'static AtomicUsize = Box::leak(Box::new(first));
    let (_discovery, gateway) = site(&came, ROOMY, move |_| {
        let stops = (first.fetch_add(1, Ordering::SeqCst) == 0).then_some(500);
        Does::Answer(MB, Form::Length, stops)
    });
    let mut client = Asked::connect(gateway.address);
    client.view(1, "HTTP/1.1");
    assert_eq!(client.answer(Duration::ZERO), Some((200, Some(digest_of(1, MB)))));
}

#[rstest]
#[case::turned_away(Does::TurnAway)]
#[case::broken(Does::BreakAfter(200_000))]
fn a_long_payment_that_never_ran_is_refused_and_not_sent_again_without_its_body(#[case] does: Does) {
    // Guarded against: a payment of which the beginning has gone by, sent on without it; and a failure where
    // nothing can have run.
    let came = Arc::new(Came::default());
    let (_discovery, gateway) = site(&came, ROOMY, move |_| does);
    let mut client = Asked::connect(gateway.address);
    client.pay(1, 4 * MB, Form::Length, 65_536, Duration::from_millis(1));
    assert_eq!(client.answer(Duration::ZERO).map(|(status, _)| status), Some(503));
    assert_eq!(came.whole.lock().expect("lock").len(), 0);
    assert_eq!(gateway.figure("calls.top-up.busy"), 1);
    assert_eq!(gateway.figure("calls.top-up.failure"), 0);
}

#[test]
fn a_client_on_a_slow_line_may_take_its_time_and_its_time_counts_from_the_last_byte() {
    // Guarded against: a slow line taken for a bad client, and a host taken for slow since the body was.
    let came = Arc::new(Came::default());
    let (_discovery, gateway) = site(&came, ROOMY, |_| Does::Answer(5, Form::Length, None));
    let slow = std::thread::spawn({
        let address = gateway.address;
        move || {
            let mut client = Asked::connect(address);
            let text = request("top-up", 1, 1, 1500).replace("Content-Length: 3", "Content-Length: 250000");
            let (head, _) = text.split_at(text.len() - 3);
            let (half, rest) = head.split_at(head.len() / 2);
            client.to.write_all(half.as_bytes()).expect("written");
            std::thread::sleep(Duration::from_millis(1900));
            client.to.write_all(rest.as_bytes()).expect("written");
            // Some 64 kB a second.
            assert!(write_body(&mut client.to, 1, 250_000, Form::Length, 6400, Duration::from_millis(100))
                .is_ok());
            client.answer(Duration::ZERO)
        }
    });
    assert_eq!(slow.join().expect("ends"), Some((200, Some(digest_of(1, 5)))));
    assert_eq!(*came.whole.lock().expect("lock"), [(format!("{:016x}", 1), digest_of(1, 250_000))]);
}

#[rstest]
#[case::half_a_head("POST /top-up HTTP/1.1\r\nHost: a", 408)]
#[case::half_a_short_body("POST /top-up HTTP/1.1\r\nContent-Length: 1000\r\n\r\nabc", 408)]
#[case::too_long_by_length("POST /top-up HTTP/1.1\r\nContent-Length: 33554433\r\n\r\nabc", 413)]
#[case::negative("POST /top-up HTTP/1.1\r\nContent-Length: -1\r\n\r\nabc", 400)]
fn a_client_that_sends_no_more_has_its_error_within_three_seconds(#[case] text: &str, #[case] status: u16) {
    let came = Arc::new(Came::default());
    let (_discovery, gateway) = site(&came, ROOMY, |_| Does::Answer(5, Form::Length, None));
    let start = Instant::now();
    let mut client = Asked::connect(gateway.address);
    client.to.write_all(text.as_bytes()).expect("written");
    assert_eq!(client.answer(Duration::ZERO).map(|(status, _)| status), Some(status));
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
}

#[test]
fn a_long_upload_that_stands_still_is_given_up_and_frees_its_host() {
    let came = Arc::new(Came::default());
    let (_discovery, gateway) = site(&came, ROOMY, |_| Does::Answer(5, Form::Length, None));
    let mut client = Asked::connect(gateway.address);
    let text = request("top-up", 1, 1, 12_000).replace("Content-Length: 3", "Content-Length: 1000000");
    client.to.write_all(text.as_bytes()).expect("written");
    client.to.write_all(&[0; 100_000]).expect("written");
    wait_for("the host to have its head", || came.begun.load(Ordering::SeqCst) == 1);
    assert_eq!(client.answer(Duration::ZERO).map(|(status, _)| status), Some(408));
    wait_for("nothing in flight", || gateway.figure("inflight") == 0);
    assert_eq!((came.whole.lock().expect("lock").len(), gateway.figure("backend_calls")), (0, 0));
}

#[test]
fn slow_readers_and_slow_uploads_by_dozens_stay_within_a_small_memory_and_let_a_small_stream_by() {
    const EACH: usize = 50;
    let came = Arc::new(Came::default());
    let (_discovery, gateway) = site(&came, "\"memory_mb\":32,\"sockets\":512", |id| {
        Does::Answer(if id < 1000 { 32 * MB } else { 5 }, Form::Length, None)
    });
    let address = gateway.address;
    let most = Arc::new(AtomicUsize::new(0));
    let read = Arc::new(AtomicUsize::new(0));
    let readers: Vec<_> = (0..EACH as u64)
        .map(|id| {
            let read = read.clone();
            std::thread::spawn(move || {
                let mut client = Asked::connect(address);
                client.view(id, "HTTP/1.1");
                let head = read_head(&mut client.from).expect("an answer");
                // A few seconds' worth of a slow line, then as fast as it goes for a few, and the rest leave.
                let mut digest = Digest::new();
                let mut some = vec![0; 16_384];
                for _ in 0..60 {
                    let n = read_some(&mut client.from, &mut some).expect("bytes");
                    digest.add(&some[..n]);
                    std::thread::sleep(Duration::from_millis(50));
                }
                read.fetch_add(1, Ordering::SeqCst);
                if id >= 4 {
                    return (head.first.contains("200"), None);
                }
                while digest.1 < 32 * MB {
                    let n = read_some(&mut client.from, &mut some).expect("bytes");
                    assert!(n > 0, "cut off after {}", digest.1);
                    digest.add(&some[..n]);
                }
                (true, Some((id, digest)))
            })
        })
        .collect();
    let payers: Vec<_> = (0..EACH as u64)
        .map(|n| {
            std::thread::spawn(move || {
                let mut client = Asked::connect(address);
                let sent = client.pay(1000 + n, 300_000, Form::Chunks, 6400, Duration::from_millis(70));
                (sent, client.answer(Duration::ZERO))
            })
        })
        .collect();
    let (mut small, mut slowest) = (Asked::connect(address), Duration::ZERO);
    let mut id = 5000;
    while read.load(Ordering::SeqCst) < EACH {
        most.fetch_max(gateway.memory_kb() as usize, Ordering::SeqCst);
        id += 1;
        let start = Instant::now();
        small.view(id, "HTTP/1.1");
        assert_eq!(small.answer(Duration::ZERO), Some((200, Some(digest_of(id, 5)))));
        slowest = slowest.max(start.elapsed());
        std::thread::sleep(Duration::from_millis(20));
    }
    for reader in readers {
        let (begun, whole) = reader.join().expect("ends");
        assert!(begun);
        if let Some((id, digest)) = whole {
            assert_eq!(digest, digest_of(id, 32 * MB));
        }
    }
    for (n, payer) in (0..).zip(payers) {
        let (sent, answer) = payer.join().expect("ends");
        assert_eq!((sent, answer), (true, Some((200, Some(digest_of(1000 + n, 5))))), "{n}");
    }
    let mut came = came.whole.lock().expect("lock").clone();
    came.sort_by(|a, b| a.0.cmp(&b.0));
    let wanted: Vec<_> =
        (0..EACH as u64).map(|n| (format!("{:016x}", 1000 + n), digest_of(1000 + n, 300_000))).collect();
    assert!(came == wanted, "each payment came once, whole");
    assert!(most.load(Ordering::SeqCst) < 28 * 1024, "{} KB", most.load(Ordering::SeqCst));
    assert!(slowest < Duration::from_secs(1), "{slowest:?}");
}
