//! Orders over in-memory streams, and the end of their connections on loopback.

use super::*;
use switchhill_control::OrderTicket;
use switchhill_placement::OrderId;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::net::TcpListener;

const WORKER: &str = "worker-7-life-3";
const TAKEN: &str = "HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\n{}";

/// Time of a call on loopback that no busy machine uses up.
const LONG_WAIT: Duration = Duration::from_secs(20);

fn call(address: &str) -> OrderCall {
    OrderCall {
        ticket: OrderTicket { service: "large".to_owned(), planner: 1, epoch: 4, order: OrderId(9) },
        worker: WORKER.to_owned(),
        address: address.to_owned(),
        operation: Operation::Load,
        model: "m-1".to_owned(),
        adapter: None,
        if_revision: Some(5),
        holder: "core-1".to_owned(),
    }
}

fn on_one_thread<T>(test: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), test)
}

/// Sends an order on a stream, within the time of an order.
async fn order_on(stream: DuplexStream) -> Option<StatusCode> {
    let request = order_request(&call("10.0.0.7:80")).expect("a request");
    let answered = Answered::default();
    let exchange = exchange_on(stream, &answered, request);
    let answer = tokio::time::timeout(ANSWER_WITHIN, exchange).await.ok()?;
    answer.ok().map(|(status, _)| status)
}

/// All that comes until the other side's end.
async fn read_to_end(stream: &mut DuplexStream) -> String {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("an in-memory stream");
    String::from_utf8(bytes).expect("text")
}

#[test]
fn an_order_names_the_instance_the_fence_and_the_sequence_that_it_expects() {
    on_one_thread(async {
        let (ours, mut workers) = tokio::io::duplex(4096);
        let sent = tokio::task::spawn_local(order_on(ours));
        // Unanswered, it is given up: what is read is all that was sent.
        let text = read_to_end(&mut workers).await.to_lowercase();
        assert!(text.contains(&format!("expect-instance: {WORKER}\r\n")), "{text}");
        for member in ["\"fencingtoken\":4", "\"holder\":\"core-1\"", "\"ifrevision\":5"] {
            assert!(text.contains(member), "{member}: {text}");
        }
        assert_eq!(sent.await.expect("no panic"), None);
    });
}

#[test]
fn an_answer_that_was_there_before_the_order_belongs_to_no_order() {
    on_one_thread(async {
        let (ours, mut workers) = tokio::io::duplex(4096);
        workers.write_all(TAKEN.as_bytes()).await.expect("written");
        assert_eq!(order_on(ours).await, None);
    });
}

#[test]
fn an_answer_counts_only_once_it_is_whole_wherever_it_is_cut() {
    // At every byte of the answer: the worker closes there, or says no more there.
    for length in 0..=TAKEN.len() {
        for closes in [true, false] {
            on_one_thread(async {
                let (ours, mut workers) = tokio::io::duplex(4096);
                let sent = tokio::task::spawn_local(order_on(ours));
                let mut request = [0; 4096];
                let read = workers.read(&mut request).await.expect("a request");
                workers.write_all(&TAKEN.as_bytes()[..length]).await.expect("written");
                if closes {
                    workers.shutdown().await.expect("ended");
                }
                let rest = read_to_end(&mut workers).await;
                let status = sent.await.expect("no panic");
                let expected = (length == TAKEN.len()).then_some(StatusCode::ACCEPTED);
                assert_eq!(status, expected, "cut after {length} bytes, closes: {closes}");
                let request = format!("{}{rest}", String::from_utf8_lossy(&request[..read]));
                assert_eq!(
                    request.matches("POST ").count(),
                    1,
                    "sent once, cut after {length} bytes: {request}"
                );
            });
        }
    }
}

#[test]
fn an_order_is_cut_at_every_byte_and_never_sent_again() {
    // The worker takes so many bytes of the order and is then gone.
    let whole = on_one_thread(async {
        let (ours, mut workers) = tokio::io::duplex(4096);
        let sent = tokio::task::spawn_local(order_on(ours));
        let bytes = read_to_end(&mut workers).await;
        assert_eq!(sent.await.expect("no panic"), None, "silence is no answer");
        bytes
    });
    for length in 1..whole.len() {
        on_one_thread(async {
            let (ours, mut workers) = tokio::io::duplex(length);
            let sent = tokio::task::spawn_local(order_on(ours));
            let mut taken = vec![0; length];
            workers.read_exact(&mut taken).await.expect("so many bytes");
            assert_eq!(taken, whole.as_bytes()[..length], "the order's own bytes, {length} of them");
            drop(workers);
            assert_eq!(sent.await.expect("no panic"), None, "gone after {length} bytes");
        });
    }
}

#[test]
fn what_answers_what_by_status() {
    let expected = [
        (202, OrderAnswer::Accepted),
        (200, OrderAnswer::AlreadyHolds),
        (409, OrderAnswer::Busy),
        (412, OrderAnswer::StaleFence),
        (400, OrderAnswer::Rejected),
        (421, OrderAnswer::WrongInstance),
    ];
    for code in 100..=599 {
        let status = StatusCode::from_u16(code).expect("a status");
        let known = expected.iter().find(|(known, _)| *known == code).map(|(_, answer)| *answer);
        assert_eq!(order_answer(status), known.unwrap_or(OrderAnswer::NoAnswer), "{status}");
    }
}

#[test]
fn two_answers_to_one_order_are_one() {
    on_one_thread(async {
        let (ours, mut workers) = tokio::io::duplex(4096);
        let sent = tokio::task::spawn_local(order_on(ours));
        let surplus = "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n";
        let mut request = [0; 4096];
        let _ = workers.read(&mut request).await.expect("a request");
        workers.write_all(format!("{TAKEN}{surplus}").as_bytes()).await.expect("written");
        assert_eq!(sent.await.expect("no panic"), Some(StatusCode::ACCEPTED));
    });
}

/// How the connection of a call on loopback ends at a worker that answers with this text, or not at all. The clock stands
/// still from the order's arrival on and jumps to the end of the wait where no answer comes: a busy machine can't make the
/// call give up before.
fn end_at_the_worker(answer: Option<&str>) -> std::io::Result<usize> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = listener.local_addr().expect("bound").to_string();
        let request = order_request(&call(&address)).expect("a request");
        let sent =
            tokio::task::spawn_local(async move { exchange(&address, request, LONG_WAIT).await.is_ok() });
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut bytes = [0; 4096];
        let read = stream.read(&mut bytes).await.expect("an order");
        assert!(read > 0, "the order comes");
        match answer {
            Some(answer) => stream.write_all(answer.as_bytes()).await.expect("written"),
            None => tokio::time::pause(),
        }
        let end = stream.read(&mut bytes).await;
        assert_eq!(sent.await.expect("no panic"), answer.is_some());
        end
    })
}

#[test]
fn a_call_that_is_given_up_resets_its_connection_and_one_that_is_answered_closes_it() {
    // A reset drops what the network still holds of the order; after an orderly close it would come when a cut ends.
    let given_up = end_at_the_worker(None).expect_err("a reset");
    assert_eq!(given_up.kind(), std::io::ErrorKind::ConnectionReset);
    assert_eq!(end_at_the_worker(Some(TAKEN)).expect("an orderly end"), 0);
}

#[test]
fn an_order_whose_connection_breaks_is_not_sent_again() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let order = call(&listener.local_addr().expect("bound").to_string());
        let sent = tokio::task::spawn_local(async move { send_order(&order).await });
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let read = stream.read(&mut [0; 4096]).await.expect("an order");
        assert!(read > 0, "the order comes");
        drop(stream);
        tokio::select! {
            answer = sent => assert!(answer.expect("no panic").is_err(), "no answer"),
            _ = listener.accept() => panic!("the order is sent again"),
        }
    });
}
