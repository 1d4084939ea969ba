//! What upstream hosts answer wrongly, or too much of, on real sockets.
#![allow(missing_docs)]

use rstest::rstest;
use std::io::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};
use switchhill_lab::stand_in::*;

#[rstest]
#[case::noise("\u{1}\u{2}\u{3} noise\r\n\r\n")]
#[case::no_status("HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok")]
#[case::two_lengths("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nok")]
#[case::negative_length("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok")]
#[case::three_gigabytes("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok")]
#[case::bad_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\n")]
#[case::length_too_long("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nok")]
#[case::half_a_head("HTTP/1.1 200 OK\r\nContent-Le")]
#[case::nothing_behind_an_interim_one("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nConte")]
fn a_spoilt_answer_is_a_failed_attempt_that_may_have_run(#[case] answer: &'static str) {
    // Guarded against: waiting for the rest of it until the request's time is up, and a second charge.
    let seen = Arc::new(Seen::default());
    let hosts = ["s-1", "s-2"].map(|id| member(id, host(&seen, move |_| Act::Say(answer))));
    let gateway = Gateway::start(&Discovery::new(hosts.to_vec()));
    let start = Instant::now();
    assert_eq!(Client::connect(gateway.address).ask("top-up", 1, 1, 11_000).status, 502);
    assert!(start.elapsed() < Duration::from_secs(8), "at once, not at the deadline");
    assert_eq!((seen.all(), gateway.counter("upstream_errors")), (1, 1));
}

#[test]
fn an_answer_that_keeps_coming_is_cut_off_and_not_kept() {
    let seen = Arc::new(Seen::default());
    let discovery = Discovery::new(vec![member("s-1", host(&seen, |_| Act::KeepComing))]);
    let gateway = Gateway::start(&discovery);
    assert_eq!(Client::connect(gateway.address).ask("top-up", 1, 1, 11_000).status, 502);
    assert!(gateway.memory_kb() < 24 * 1024, "{} KB", gateway.memory_kb());
}

const COPY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";

#[rstest]
#[case::interim(Act::ServeBehind("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\n"))]
#[case::copy(Act::ServeBefore(COPY))]
#[case::noise(Act::ServeBefore("\u{1}\u{2}noise"))]
fn a_good_answer_stays_good_whatever_comes_with_it(#[case] act: Act) {
    let seen = Arc::new(Seen::default());
    let gateway = Gateway::start(&Discovery::new(vec![member("s-1", host(&seen, move |_| act))]));
    let mut client = Client::connect(gateway.address);
    for id in 1..=20 {
        let answer = client.ask("top-up", id, id, 5000);
        assert_eq!((answer.status, answer.body), (200, format!("{id:016x}").into_bytes()));
    }
    assert_eq!((seen.all(), seen.most()), (20, 1));
}

#[test]
fn top_ups_leave_kept_connections_alone_while_these_are_found_dead() {
    // Guarded against: hosts, or what stands before them, that drop a kept connection at its next request;
    // a `top-up` written to one may have run and cannot be sent again.
    let seen = Arc::new(Seen::default());
    let noted = seen.clone();
    let address = serve(move |mut socket| {
        let mut bytes = Vec::new();
        if let Some(message) = read_request(&mut socket, &mut bytes) {
            let id = id_of(&message);
            noted.note(&id);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
            let _ = socket.write_all(answer.as_bytes());
            let _ = read_request(&mut socket, &mut bytes);
        }
    });
    let gateway = Gateway::start(&Discovery::new(vec![member("s-1", address)]));
    let mut client = Client::connect(gateway.address);
    for id in 1..=6 {
        assert!(matches!(client.ask("usage-view", id, id, 3000).status, 200 | 503));
        settle();
    }
    let resets = gateway.counter("upstream_reset");
    for id in 11..=20 {
        let answer = client.ask("top-up", id, id, 5000);
        assert_eq!((answer.status, answer.body), (200, format!("{id:016x}").into_bytes()));
    }
    assert!(resets > 0);
    assert_eq!((gateway.counter("upstream_reset"), seen.most()), (resets, 1));
}
