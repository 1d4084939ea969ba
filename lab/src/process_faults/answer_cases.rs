//! Answers that fill the memory of a data plane.

use super::flood_worker::{AnswerCase, FloodWorker};
use super::lone_process::raise_descriptor_limit;
use super::site_configuration::{first, MODEL, PLAIN_PATH};
use super::unfinished::{hold_connections, unfinished_body, unfinished_head};
use crate::local_system::client::HOST;
use crate::local_system::{until, Client, Site, SiteLimits, SiteSize};
use anyhow::{ensure, Context};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Core machines and edges of the site.
const SIZE: SiteSize = SiteSize { cores: 3, edges: 1 };

/// Workers of the site.
const WORKERS: u8 = 8;

/// Time for a connection to come up.
const CONNECT_WITHIN: Duration = Duration::from_secs(3);

/// Bodies that do not end, of all kinds together, and what each has sent.
const UNFINISHED_BODIES: usize = 150;
const UNFINISHED_BODY_BYTES: usize = 1 << 20;

/// Heads that do not end, of all kinds together, and what each has sent.
const UNFINISHED_HEADS: usize = 800;
const UNFINISHED_HEAD_BYTES: usize = 15 << 10;

/// Requests of each case of answers, of all kinds together.
const REQUESTS_OF_EACH_CASE: usize = 450;

/// How long all kinds together are held.
const ALL_KINDS_HELD_FOR: Duration = Duration::from_secs(8);

/// Revision of the configuration.
const REVISION: u64 = 1;

/// Requests whose answers take memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerFlood {
    /// How their answers take it.
    pub case: AnswerCase,
    /// Requests at once. Their clients read nothing.
    pub requests: usize,
    /// How long they are held.
    pub held_for: Duration,
}

/// What a flood of answers did.
#[derive(Debug, Clone)]
pub struct AnswerOutcome {
    /// The most memory that the data plane had resident, in megabytes.
    pub peak_mb: u64,
    /// Whether all processes still ran.
    pub all_run: bool,
    /// Whether a request was answered by a worker once the flood had ended.
    pub serves_afterwards: bool,
    /// The last lines of the data plane's log that tell of its memory.
    pub memory_lines: Vec<String>,
}

/// Plays a flood of answers on a site of its own.
///
/// # Errors
/// The site does not come up, or the system does not tell a process's memory.
pub async fn flood_answers(program: &Path, flood: AnswerFlood) -> anyhow::Result<AnswerOutcome> {
    let hold = async |edge| hold_requests(edge, flood.case, flood.requests).await;
    play_on_site(program, hold, flood.held_for).await
}

/// Plays all floods of clients and workers together: answers of each case, heads and bodies that do not end.
///
/// # Errors
/// As for [`flood_answers`].
pub async fn flood_all_kinds(program: &Path) -> anyhow::Result<AnswerOutcome> {
    let hold = async |edge| {
        let mut held =
            hold_connections(edge, UNFINISHED_BODIES, unfinished_body(UNFINISHED_BODY_BYTES)).await;
        held.extend(hold_connections(edge, UNFINISHED_HEADS, unfinished_head(UNFINISHED_HEAD_BYTES)).await);
        for case in AnswerCase::ALL {
            held.extend(hold_requests(edge, case, REQUESTS_OF_EACH_CASE).await);
        }
        held
    };
    play_on_site(program, hold, ALL_KINDS_HELD_FOR).await
}

async fn play_on_site(
    program: &Path,
    hold: impl AsyncFnOnce(SocketAddr) -> Vec<TcpStream>,
    held_for: Duration,
) -> anyhow::Result<AnswerOutcome> {
    raise_descriptor_limit();
    let mut site = Site::start_with(program, SIZE, SiteLimits::SMALL_DEPLOYMENT)?;
    let cores = site.control_addresses();
    let _workers: Vec<FloodWorker> = (0..WORKERS)
        .map(|number| {
            FloodWorker::start(format!("flood-{number}"), site.worker_address(number), cores.clone())
        })
        .collect::<Result<_, _>>()?;
    let taken = site.operator().replace(0, &first(REVISION)).await?;
    ensure!(taken.status == 200, "the configuration is answered {taken:?}");
    let client = site.clients().swap_remove(0);
    until("a worker answers", || async { is_served(client).await.then_some(()) }).await?;
    let edge = site.edge_addresses()[0];
    let held = hold(edge).await;
    tokio::time::sleep(held_for).await;
    let peak_mb = site.data_plane(0).peak_resident_bytes()? >> 20;
    drop(held);
    let served =
        until("a worker answers after the flood", || async { is_served(client).await.then_some(()) });
    let serves_afterwards = served.await.is_ok();
    let all_run = site.all_run().is_ok();
    let log = std::fs::read_to_string(site.folder().join("edge-1-data-plane.log")).context("the log")?;
    let memory_lines = log.lines().filter(|line| line.contains("memory: ")).map(str::to_owned).collect();
    site.clear_away()?;
    Ok(AnswerOutcome { peak_mb, all_run, serves_afterwards, memory_lines })
}

async fn is_served(client: Client) -> bool {
    client.ask(&format!("{PLAIN_PATH}1"), MODEL).await.is_ok_and(|answer| answer.status == 200)
}

/// Sends requests, each on a connection of its own that is kept and not read.
async fn hold_requests(edge: SocketAddr, case: AnswerCase, requests: usize) -> Vec<TcpStream> {
    let mut opening = JoinSet::new();
    let path = case.path();
    for number in 0..requests {
        let request = format!(
            "POST {path}{number} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: flood-{number}\r\nModel: {MODEL}\r\n\
             Token-Usage: 100,20\r\nRequest-Deadline-Ms: 30000\r\nContent-Length: 2\r\n\r\nhi"
        );
        opening.spawn(async move {
            let connecting = tokio::time::timeout(CONNECT_WITHIN, TcpStream::connect(edge));
            let mut stream = connecting.await.ok()?.ok()?;
            stream.write_all(request.as_bytes()).await.ok()?;
            Some(stream)
        });
    }
    opening.join_all().await.into_iter().flatten().collect()
}
