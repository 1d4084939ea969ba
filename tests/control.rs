//! The operators' door: its calls, its figures, cordons and drains by hand, on real sockets.
#![allow(missing_docs)]

use rstest::rstest;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use switchhill::net::control::{parse, Call};
use switchhill_lab::stand_in::*;

#[rstest]
#[case::health(b"health", Some(Call::Health))]
#[case::spaces(b"  counters \t", Some(Call::Counters))]
#[case::cordon(b"cordon s-1", Some(Call::Cordon("s-1".into())))]
#[case::uncordon(b"uncordon s-1", Some(Call::Uncordon("s-1".into())))]
#[case::quiesce(b"quiesce", Some(Call::Quiesce))]
#[case::resume(b"resume", Some(Call::Resume))]
#[case::empty(b"", None)]
#[case::unknown(b"restart", None)]
#[case::other_case(b"HEALTH", None)]
#[case::no_id(b"cordon", None)]
#[case::surplus(b"cordon s-1 s-2", None)]
#[case::argument(b"health s-1", None)]
#[case::no_text(b"cordon \xff\xfe", None)]
#[case::control(b"cordon s\x001", None)]
fn a_line_is_a_call_or_is_turned_down(#[case] line: &[u8], #[case] call: Option<Call>) {
    assert_eq!(parse(line).ok(), call);
}

fn fleet(ids: &[&'static str], act: Act) -> (Vec<Arc<Seen>>, Discovery, String) {
    let seen: Vec<Arc<Seen>> = ids.iter().map(|_| Arc::default()).collect();
    let members = ids.iter().zip(&seen).map(|(id, seen)| member(id, host(seen, move |_| act)));
    let discovery = Discovery::new(members.collect());
    let config = with_door(&config(discovery.address));
    (seen, discovery, config)
}

#[test]
fn what_cannot_be_read_or_names_nobody_is_a_no_and_changes_nothing() {
    let (seen, _discovery, config) = fleet(&["s-1"], Act::Serve);
    let gateway = Gateway::start_with(&config, None);
    for line in ["cordon s-2", "uncordon s-2", "cordon", "drain", "", "cordon s-1 now"] {
        let answer = gateway.call(line);
        assert!(answer.starts_with("400 ") && answer.lines().count() == 1, "{line}: {answer}");
    }
    let long = gateway.call(&format!("cordon {}", "x".repeat(4000)));
    assert!(long.starts_with("400 "), "{long}");
    assert_eq!(Client::connect(gateway.address).ask("usage-view", 1, 1, 3000).status, 200);
    assert_eq!((seen[0].all(), gateway.figure("hosts_down")), (1, 0));
    assert!(gateway.call("health").starts_with("200 "));
}

#[test]
fn callers_who_sit_there_keep_nobody_waiting_while_clients_hold_every_descriptor() {
    // Guarded against: a door that takes its turn behind a crowd of clients, or one caller after the other.
    let (_seen, _discovery, config) = fleet(&["s-1"], Act::ServeAfter(300));
    let config = config.replace("\"sockets\":1024", "\"sockets\":64");
    let gateway = Gateway::start_with(&config, None);
    let control = gateway.control.expect("a door");
    let mut sitting: Vec<TcpStream> = Vec::new();
    for said in ["", "cor", "health", "counters"] {
        for _ in 0..8 {
            let mut socket = TcpStream::connect(control).expect("connects");
            socket.write_all(said.as_bytes()).expect("written");
            sitting.push(socket);
        }
    }
    let done = Arc::new(AtomicBool::new(false));
    let crowd: Vec<_> = (0..80)
        .map(|n| {
            let (done, address) = (done.clone(), gateway.address);
            std::thread::spawn(move || {
                let mut id = n << 32;
                while !done.load(Ordering::Relaxed) {
                    id += 1;
                    let Ok(mut socket) = TcpStream::connect(address) else { continue };
                    let _ = socket.set_read_timeout(Some(Duration::from_millis(500)));
                    let _ = socket.write_all(request("usage-view", id, id, 3000).as_bytes());
                    let _ = socket.read(&mut [0; 512]);
                }
            })
        })
        .collect();
    for _ in 0..20 {
        let start = Instant::now();
        assert!(gateway.call("health").starts_with("200 "));
        assert!(gateway.call("counters").ends_with("EOF\n"));
        assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
        std::thread::sleep(Duration::from_millis(25));
    }
    done.store(true, Ordering::Relaxed);
    crowd.into_iter().for_each(|thread| thread.join().expect("ends"));
    drop(sitting);
}

#[rstest]
#[case::http1(false)]
#[case::http2(true)]
fn figures_tell_what_the_peers_saw(#[case] http2: bool) {
    let seen = Arc::new(Seen::default());
    let act =
        |m: &switchhill::net::message::Message| if m.method == "POST" { Act::Error } else { Act::Serve };
    let address = if http2 { http2::host(&seen, &Arc::default(), act) } else { host(&seen, act) };
    let discovery =
        Discovery::new(vec![Member { http2, ..member("s-1", address) }, member("s-2", nowhere())]);
    discovery.change("s-2", "terminating");
    let gateway = Gateway::start_with(&with_door(&config(discovery.address)), None);
    let mut client = Client::connect(gateway.address);
    let statuses: Vec<u16> = (1..=20).map(|id| client.ask("usage-view", id, id, 3000).status).collect();
    let failed = (21..=23).filter(|id| client.ask("top-up", *id, *id, 3000).status == 502).count();
    // A small plan: what is asked beyond its quota is refused.
    let beyond = (24..=60).filter(|id| {
        client.write(&request("usage-view", *id, 99, 3000).replace("farm-pro", "basic"));
        client.answer().expect("an answer").status == 503
    });
    let beyond = beyond.count();
    let all = |wanted: u16| statuses.iter().filter(|status| **status == wanted).count();
    assert!(beyond > 0 && all(200) + all(503) == 20);
    assert_eq!(gateway.figure("calls.usage-view.success"), (all(200) + 37 - beyond) as u64);
    assert_eq!(gateway.figure("calls.usage-view.busy"), (all(503) + beyond) as u64);
    assert_eq!(gateway.figure("calls.top-up.failure"), failed as u64);
    assert_eq!(gateway.figure("calls.usage-view.failure"), 0);
    assert_eq!(gateway.figure("backend_calls"), seen.all() as u64);
    assert_eq!((gateway.figure("inflight"), gateway.figure("hosts_listed")), (0, 2));
    let told = String::from_utf8(gateway.get("/health/counters").expect("told").body).expect("text");
    assert!(told.contains("edge_relay.backend_calls:"), "{told}");
}

#[test]
fn requests_that_are_taken_and_not_ended_are_in_flight() {
    let (seen, _discovery, config) = fleet(&["s-1"], Act::Hang);
    let gateway = Gateway::start_with(&config, None);
    let mut clients: Vec<Client> = (0..3).map(|_| Client::connect(gateway.address)).collect();
    for (client, id) in clients.iter_mut().zip(1..) {
        client.write(&request("top-up", id, id, 8000));
    }
    wait_for("the requests at the host", || seen[0].all() == 3);
    assert_eq!((gateway.figure("inflight"), gateway.figure("backend_calls")), (3, 3));
}

#[test]
fn a_cordoned_host_gets_nothing_whatever_the_list_says_and_comes_back_cold() {
    let (seen, discovery, config) = fleet(&["s-1", "s-2"], Act::Serve);
    let gateway = Gateway::start_with(&config, None);
    let mut client = Client::connect(gateway.address);
    let mut id = 0;
    let mut ask = |client: &mut Client| {
        id += 1;
        client.ask("usage-view", id, id, 3000).status
    };
    wait_for("both in use", || {
        ask(&mut client);
        seen.iter().all(|s| s.all() > 0)
    });
    assert!(gateway.call("cordon s-1").starts_with("200 "));
    assert!(gateway.call("cordon s-1").starts_with("200 "));
    let before = seen[0].all();
    for phase in ["terminating", "terminated", "in_service"] {
        // Danger: read after the change, the count may hold the news already, and no more comes.
        let told = gateway.counter("lists");
        discovery.change("s-1", phase);
        wait_for("the news", || gateway.counter("lists") > told);
        for _ in 0..10 {
            assert_eq!(ask(&mut client), 200);
        }
    }
    assert_eq!((seen[0].all(), gateway.figure("hosts_down")), (before, 1));
    // All others gone: it still gets nothing.
    assert!(gateway.call("cordon s-2").starts_with("200 "));
    assert_eq!((ask(&mut client), seen[0].all()), (503, before));
    assert!(gateway.call("uncordon s-2").starts_with("200 "));
    // Two calls out need one call back, and it is used again within seconds, though cold.
    assert!(gateway.call("uncordon s-1").starts_with("200 "));
    assert!(gateway.call("uncordon s-1").starts_with("200 "));
    wait_for("its return", || {
        ask(&mut client);
        seen[0].all() > before
    });
    assert_eq!(gateway.figure("hosts_down"), 0);
}

#[test]
fn a_drained_gateway_says_no_lets_go_of_connections_and_comes_back() {
    let (_seen, _discovery, config) = fleet(&["s-1"], Act::ServeAfter(50));
    let gateway = Gateway::start_with(&config, None);
    let (mut idle, mut busy) = (Client::connect(gateway.address), Client::connect(gateway.address));
    assert_eq!(idle.ask("usage-view", 1, 1, 3000).status, 200);
    let start = Instant::now();
    assert!(gateway.call("quiesce").starts_with("200 "));
    assert!(gateway.call("quiesce").starts_with("200 "));
    assert_eq!(gateway.get("/health/ready").expect("an answer").status, 503);
    assert!(gateway.call("health").starts_with("400 "));
    // A request on an open connection is served, and the connection ends with its answer.
    assert_eq!(busy.ask("usage-view", 2, 2, 3000).status, 200);
    assert!(busy.answer().is_none());
    assert!(idle.answer().is_none(), "an idle connection ends");
    assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
    assert!(gateway.call("resume").starts_with("200 "));
    assert!(gateway.call("resume").starts_with("200 "));
    assert_eq!(gateway.get("/health/ready").expect("an answer").status, 200);
    let mut kept = Client::connect(gateway.address);
    assert_eq!(kept.ask("usage-view", 3, 3, 3000).status, 200);
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(kept.ask("usage-view", 4, 4, 3000).status, 200);
}

#[test]
fn a_drain_takes_no_request_that_is_still_coming_in_and_sigterm_after_it_ends_the_program() {
    let (_seen, _discovery, config) = fleet(&["s-1"], Act::Serve);
    let mut gateway = Gateway::start_with(&config, None);
    let mut slow = Client::connect(gateway.address);
    assert!(gateway.call("quiesce").starts_with("200 "));
    std::thread::sleep(Duration::from_millis(600));
    slow.write("GET /usage-view HTTP/1.1\r\nHost");
    assert_eq!(slow.answer().map(|answer| answer.status), Some(503));
    gateway.terminate();
    assert_eq!(gateway.wait().status.code(), Some(0));
}
