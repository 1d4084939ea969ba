//! Tests of a whole control plane without others, on sockets of its own; the test tells it to stop.

use super::ControlPlane;
use crate::site_settings::SiteSettings;
use googletest::prelude::*;
use std::future::Future;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// Longest time that anything awaited in a test may take.
const BOUND: Duration = Duration::from_secs(20);

const READ: &str = "GET /api/config/read HTTP/1.1\r\nHost: c\r\n\r\n";

/// A running control plane that is the whole electorate.
struct Lone {
    address: SocketAddr,
    stop: Rc<Notify>,
    ended: JoinHandle<()>,
}

impl Lone {
    async fn start(folder: &Path) -> Lone {
        let settings = serde_json::json!({
            "nodeName": "core-1", "ip": "127.0.0.1", "zone": "here", "portRange": [0, 1],
            "bind": {"control": "127.0.0.1:0"}, "seeds": ["127.0.0.1:1"], "bootstrap": true, "dataDir": folder,
        });
        let settings: SiteSettings = serde_json::from_value(settings).expect("settings");
        let plane = ControlPlane::open(settings).await.expect("it opens");
        let address = plane.control.local_addr().expect("an address");
        let stop = Rc::new(Notify::new());
        let told = stop.clone();
        let serving = plane.serve(async move || told.notified().await);
        let lone = Lone {
            address,
            stop,
            ended: tokio::task::spawn_local(async move { serving.await.expect("no task panics") }),
        };
        lone.until_it_serves().await;
        lone
    }

    async fn until_it_serves(&self) {
        while !self.ask(READ).await.contains("\"code\":3002") && !self.ask(READ).await.contains("200 OK") {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// What is answered to a request on a connection of its own.
    async fn ask(&self, request: &str) -> String {
        let mut connection = connect(self.address);
        connection.write_all(request.as_bytes()).expect("written");
        answer(connection).await
    }

    /// SIGTERM, as it were. Nothing else runs before the next await.
    fn tell_to_stop(&self) {
        self.stop.notify_one();
    }
}

/// Connects without letting anything else run.
fn connect(address: SocketAddr) -> std::net::TcpStream {
    std::net::TcpStream::connect(address).expect("connected")
}

/// The first answer on a connection; empty where it was closed without one.
async fn answer(connection: std::net::TcpStream) -> String {
    connection.set_nonblocking(true).expect("a socket");
    let mut connection = TcpStream::from_std(connection).expect("a socket");
    let mut text = Vec::new();
    while !is_whole(&text) {
        match connection.read_buf(&mut text).await {
            Ok(0) | Err(_) => break,
            Ok(_) => {}
        }
    }
    String::from_utf8(text).expect("text")
}

fn is_whole(text: &[u8]) -> bool {
    let text = String::from_utf8_lossy(text);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length =
        head.lines().find_map(|line| line.to_lowercase().strip_prefix("content-length: ")?.parse().ok());
    length.is_some_and(|length: usize| body.len() >= length)
}

fn replace(base: u64, revision: u64) -> String {
    let body = serde_json::json!({"revision": revision, "routes": [], "services": []}).to_string();
    let length = body.len();
    format!(
        "POST /api/config/replace HTTP/1.1\r\nHost: c\r\nBase-Version: {base}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Runs a test on one thread, with a folder of its own.
fn run<F: Future<Output = ()>>(name: &str, test: impl FnOnce(PathBuf) -> F) {
    let folder = std::env::temp_dir().join(format!("switchhill-lone-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let bounded =
        async { tokio::time::timeout(BOUND, test(folder.clone())).await.expect("it took too long") };
    tokio::task::LocalSet::new().block_on(&runtime, bounded);
    std::fs::remove_dir_all(folder).expect("removed");
}

#[gtest]
fn a_change_sent_before_sigterm_is_answered_and_an_acknowledged_one_is_durable() {
    run("before", async |folder| {
        for yields in 0..12 {
            let lone = Lone::start(&folder).await;
            let mut connection = connect(lone.address);
            let revision = 1 + yields;
            connection.write_all(replace(revision - 1, revision).as_bytes()).expect("written");
            for _ in 0..yields {
                tokio::task::yield_now().await;
            }
            lone.tell_to_stop();
            let answer = answer(connection).await;
            let is_taken = answer.starts_with("HTTP/1.1 200");
            let is_refused = answer.starts_with("HTTP/1.1 503") && answer.contains("\"code\":3005");
            expect_true!(is_taken || is_refused, "after {yields} yields: {answer:?}");
            lone.ended.await.expect("it ends");
            let again = Lone::start(&folder).await;
            let held = again.ask(READ).await.contains(&format!("\"revision\":{revision}"));
            expect_true!(held || !is_taken, "after {yields} yields: acknowledged and not held");
            // The next round builds on this one.
            let taken = again.ask(&replace(revision - 1, revision)).await;
            expect_that!(taken, starts_with("HTTP/1.1 200"), "after {yields} yields");
            again.tell_to_stop();
            again.ended.await.expect("it ends");
        }
    });
}

#[gtest]
fn calls_after_sigterm_are_refused_at_once_on_new_and_kept_connections() {
    run("after", async |folder| {
        let lone = Lone::start(&folder).await;
        let mut kept = connect(lone.address);
        kept.write_all(READ.as_bytes()).expect("written");
        expect_that!(answer(kept.try_clone().expect("a socket")).await, contains_substring("\"code\":3002"));
        lone.tell_to_stop();
        kept.write_all(replace(0, 1).as_bytes()).expect("written");
        let mut new = connect(lone.address);
        new.write_all(replace(0, 1).as_bytes()).expect("written");
        for connection in [kept, new] {
            let answer = answer(connection).await;
            expect_that!(answer, starts_with("HTTP/1.1 503"));
            expect_that!(answer, contains_substring("\"code\":3005"));
            expect_that!(answer.to_lowercase(), contains_substring("connection: close"));
        }
        lone.ended.await.expect("it ends");
    });
}
