//! An upstream host and a client that speak HTTP/2, each with a small runtime in a thread of its own.

use super::{id_of, Act, Seen};
use bytes::Bytes;
use h2::{server, Reason, RecvStream};
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use switchhill::net::message::{Answer, Message};

pub fn run<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    // Spawned tasks share the thread, so nothing needs to be sent between threads.
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// What tests set and read of an HTTP/2 upstream host.
#[derive(Default)]
pub struct Knobs {
    /// After so many streams on a connection, a GOAWAY names the last one taken; 0 for never.
    pub go_away_after: AtomicUsize,
    /// Streams taken at once on a connection; 0 for 100.
    pub most: AtomicUsize,
    /// The most that were open together on one connection.
    pub together: AtomicUsize,
    pub connections: AtomicUsize,
}

/// An upstream host in HTTP/2 with prior knowledge.
pub fn host(
    seen: &Arc<Seen>,
    knobs: &Arc<Knobs>,
    act: impl Fn(&Message) -> Act + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    listener.set_nonblocking(true).expect("set");
    let address = listener.local_addr().expect("bound");
    let (seen, knobs, act) = (seen.clone(), knobs.clone(), Arc::new(act));
    thread::spawn(move || {
        run(async move {
            let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
            while let Ok((socket, _)) = listener.accept().await {
                knobs.connections.fetch_add(1, Ordering::SeqCst);
                tokio::task::spawn_local(connection(socket, seen.clone(), knobs.clone(), act.clone()));
            }
        });
    });
    address
}

async fn connection(
    socket: tokio::net::TcpStream,
    seen: Arc<Seen>,
    knobs: Arc<Knobs>,
    act: Arc<impl Fn(&Message) -> Act + Send + Sync + 'static>,
) {
    let most = match knobs.most.load(Ordering::SeqCst) {
        0 => 100,
        most => most as u32,
    };
    let Ok(mut connection) =
        server::Builder::new().max_concurrent_streams(most).handshake::<_, Bytes>(socket).await
    else {
        return;
    };
    let (mut taken, open) = (0, Arc::new(AtomicUsize::new(0)));
    while let Some(Ok((request, mut respond))) = connection.accept().await {
        taken += 1;
        let limit = knobs.go_away_after.load(Ordering::SeqCst);
        if limit > 0 && taken > limit {
            // The library has no way to name an earlier stream than it accepted, and says so with
            // REFUSED_STREAM; what comes after the GOAWAY it drops as never taken.
            respond.send_reset(Reason::REFUSED_STREAM);
            continue;
        }
        if limit > 0 && taken == limit {
            connection.graceful_shutdown();
        }
        let (seen, act, open, knobs) = (seen.clone(), act.clone(), open.clone(), knobs.clone());
        tokio::task::spawn_local(async move {
            knobs.together.fetch_max(open.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
            answer(request, respond, &seen, &*act).await;
            open.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

async fn answer(
    request: http::Request<RecvStream>,
    mut respond: server::SendResponse<Bytes>,
    seen: &Seen,
    act: &(impl Fn(&Message) -> Act + ?Sized),
) {
    let (head, body) = request.into_parts();
    let mut message =
        Message { method: head.method.to_string(), target: head.uri.path().into(), ..Message::default() };
    for (name, value) in &head.headers {
        message.header(name.as_str(), value.as_bytes());
    }
    let Some(body) = read(body).await else { return };
    let id = id_of(&message);
    let (status, text, wait) = match act(&message) {
        Act::Serve => (200, [id.as_bytes(), &body].concat(), 0),
        Act::ServeAfter(ms) => (200, [id.as_bytes(), &body].concat(), ms),
        Act::Error => (500, vec![], 0),
        Act::TurnAway => (503, vec![], 0),
        Act::Refuse => return respond.send_reset(Reason::REFUSED_STREAM),
        Act::Break => {
            seen.note(&id);
            return respond.send_reset(Reason::INTERNAL_ERROR);
        }
        Act::Say(text) => {
            // An answer that begins and brings nothing more.
            seen.note(&id);
            let mut send = respond.send_response(http::Response::new(()), false).expect("open");
            let _ = send.send_data(Bytes::from_static(text.as_bytes()), false);
            let _ = std::future::poll_fn(|cx| send.poll_reset(cx)).await;
            return;
        }
        Act::ServeBehind(_) | Act::ServeBefore(_) | Act::KeepComing => unreachable!("in HTTP/1.1 only"),
        Act::Hang => {
            seen.note(&id);
            let _ = std::future::poll_fn(|cx| respond.poll_reset(cx)).await;
            return;
        }
    };
    if status != 503 {
        seen.note(&id);
    }
    tokio::time::sleep(Duration::from_millis(wait)).await;
    let mut response = http::Response::builder().status(status);
    if status == 503 {
        response = response.header("x-turned-away", "1");
    }
    let response = response.header("x-ratelimit-used", "10").body(()).expect("a response");
    if let Ok(mut send) = respond.send_response(response, false) {
        let _ = send.send_data(Bytes::from(text), true);
    }
}

async fn read(mut body: RecvStream) -> Option<Vec<u8>> {
    let mut all = Vec::new();
    while let Some(data) = body.data().await {
        let data = data.ok()?;
        let _ = body.flow_control().release_capacity(data.len());
        all.extend_from_slice(&data);
    }
    Some(all)
}

/// One request of a client: class, id, and how long it waits before it resets the stream, if it does.
#[derive(Clone)]
pub struct Ask {
    pub class: &'static str,
    pub id: u64,
    pub wait_ms: u64,
    pub reset_after: Option<u64>,
    pub body: Vec<u8>,
    pub units: &'static str,
}

pub fn ask(class: &'static str, id: u64) -> Ask {
    let body = if class == "top-up" { b"pay".to_vec() } else { vec![] };
    Ask { class, id, wait_ms: 8000, reset_after: None, body, units: "1" }
}

/// Sends all requests at once on one connection; the answers in their order, `None` for a reset stream.
pub fn ask_all(address: SocketAddr, asks: Vec<Ask>) -> Vec<Option<Answer>> {
    let results = Arc::new(Mutex::new(vec![None; asks.len()]));
    let filled = results.clone();
    run(async move {
        let socket = tokio::net::TcpStream::connect(address).await.expect("connects");
        let (send, connection) = h2::client::handshake(socket).await.expect("shakes hands");
        tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        let mut tasks = Vec::new();
        for (at, ask) in asks.into_iter().enumerate() {
            let mut send = send.clone().ready().await.expect("ready");
            let (method, filled) = (if ask.body.is_empty() { "GET" } else { "POST" }, filled.clone());
            let request = http::Request::builder()
                .method(method)
                .uri(format!("http://app.svc/{}", ask.class))
                .header("x-txn", format!("{:016x}", ask.id))
                .header("x-tier", "farm-pro")
                .header("cookie", format!("client={:016x}", ask.id))
                .header("x-remaining-ms", ask.wait_ms)
                .header("x-call-terms", format!("units={},spread=1,first=0", ask.units))
                .body(())
                .expect("a request");
            let (response, mut body) = send.send_request(request, ask.body.is_empty()).expect("sent");
            if !ask.body.is_empty() {
                body.send_data(Bytes::from(ask.body), true).expect("sent");
            }
            tasks.push(tokio::task::spawn_local(async move {
                if let Some(ms) = ask.reset_after {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    body.send_reset(Reason::CANCEL);
                    return;
                }
                let Ok(response) = response.await else { return };
                let (head, body) = response.into_parts();
                let mut answer = Answer { status: head.status.as_u16(), ..Answer::default() };
                for (name, value) in &head.headers {
                    answer.header(name.as_str(), value.as_bytes());
                }
                let Some(body) = read(body).await else { return };
                answer.body = body;
                filled.lock().expect("lock")[at] = Some(answer);
            }));
        }
        for task in tasks {
            tokio::time::timeout(super::PATIENCE, task).await.expect("in time").expect("no panic");
        }
    });
    let filled = results.lock().expect("lock").clone();
    filled
}
