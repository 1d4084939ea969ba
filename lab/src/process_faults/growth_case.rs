//! A configuration that grows change by change.

use super::lone_process::raise_descriptor_limit;
use super::site_configuration::{first, growth};
use crate::local_system::http::{get, post, send};
use crate::local_system::{Site, SiteLimits, SiteSize};
use anyhow::{ensure, Context};
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// Core machines and edges of the site.
const SIZE: SiteSize = SiteSize { cores: 5, edges: 1 };

/// Time for a call that carries or brings a large configuration.
const CALL_WITHIN: Duration = Duration::from_secs(5);

/// Time in which a change is answered clearly, or the configuration is read back.
const CLEAR_WITHIN: Duration = Duration::from_secs(30);

/// The core machine that loses its disk.
const WIPED_CORE: usize = 1;

/// Pause before a call is made again.
const AGAIN_AFTER: Duration = Duration::from_millis(100);

/// How a configuration grows: so many changes, each as soon as the one before was acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Growth {
    /// Most changes that are sent.
    pub changes: usize,
    /// Routes that each adds.
    pub routes_each: usize,
    /// What happens once it has grown.
    pub afterwards: Afterwards,
}

/// What happens to a site whose configuration has grown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Afterwards {
    /// Nothing.
    Nothing,
    /// All processes are killed at once and started again, one core machine with an empty disk.
    AllKilled,
}

/// What came of a growing configuration.
#[derive(Debug, Clone)]
pub struct GrowthOutcome {
    /// Changes that were acknowledged.
    pub acknowledged: usize,
    /// The answer to the change that was refused, if one was.
    pub refused: Option<(u16, String)>,
    /// Whether a change got no clear answer in time.
    pub unanswered: bool,
    /// Longest time to an acknowledgement.
    pub slowest: Duration,
    /// The most memory that processes of each program had resident, in megabytes.
    pub peak_mb: BTreeMap<String, u64>,
    /// The process that had ended, if one had.
    pub ended: Option<String>,
    /// Number of routes of the newest acknowledged configuration.
    pub routes: usize,
    /// Number of routes of the configuration that was read back, if one was in time and is the newest acknowledged one.
    pub read_back: Option<usize>,
    /// Whether the edge knew a route of the last change in time.
    pub in_force: bool,
}

/// Lets the configuration of a site of its own grow until all changes are acknowledged or one is refused.
///
/// # Errors
/// The site does not come up, or the system does not tell a process's memory.
pub async fn grow_configuration(program: &Path, growth_plan: Growth) -> anyhow::Result<GrowthOutcome> {
    raise_descriptor_limit();
    let mut site = Site::start_with(program, SIZE, SiteLimits::SMALL_DEPLOYMENT)?;
    let cores = site.control_addresses();
    let Growth { changes, routes_each, afterwards } = growth_plan;
    let mut revision = 1;
    let (status, body) = change(&cores, "replace", 0, &first(revision)).await?;
    ensure!(status == 200, "the first configuration is answered {status}: {body}");
    let mut routes = first(revision)["routes"].as_array().map_or(0, Vec::len);
    let (mut acknowledged, mut refused, mut unanswered, mut slowest) = (0, None, false, Duration::ZERO);
    for number in 0..changes {
        let began = Instant::now();
        let wanted = growth(revision + 1, number * routes_each, routes_each);
        let Ok((status, body)) = change(&cores, "update", revision, &wanted).await else {
            unanswered = true;
            break;
        };
        if status != 200 {
            refused = Some((status, body));
            break;
        }
        slowest = slowest.max(began.elapsed());
        (acknowledged, revision, routes) = (acknowledged + 1, revision + 1, routes + routes_each);
    }
    if afterwards == Afterwards::AllKilled {
        site.kill_all()?;
        site.wipe_core(WIPED_CORE)?;
        site.start_all_again()?;
    }
    let read = read_back(&cores).await.ok().filter(|read| read["revision"] == revision);
    let read_back = read.and_then(|read| Some(read["routes"].as_array()?.len()));
    let in_force = is_in_force(&site, acknowledged * routes_each).await;
    let mut peak_mb = BTreeMap::new();
    let mut ended = None;
    for process in site.processes() {
        if let Some(status) = process.ended()? {
            ended = Some(format!("{}: {status}", process.name()));
            continue;
        }
        let program = process.name().split(' ').next().unwrap_or_default().to_owned();
        let peak: &mut u64 = peak_mb.entry(program).or_default();
        *peak = (*peak).max(process.peak_resident_bytes()? >> 20);
    }
    site.clear_away()?;
    Ok(GrowthOutcome {
        acknowledged,
        refused,
        unanswered,
        slowest,
        peak_mb,
        ended,
        routes,
        read_back,
        in_force,
    })
}

/// Whether the edge knows the route that was added last: it holds its request back for want of a worker, and answers no 404.
async fn is_in_force(site: &Site, added: usize) -> bool {
    let client = site.clients().swap_remove(0);
    let began = Instant::now();
    while began.elapsed() < CLEAR_WITHIN {
        let answer = client.ask(&format!("/grown{:07}/1", added - 1), "usual").await;
        if answer.is_ok_and(|answer| answer.status == 503) {
            return true;
        }
        tokio::time::sleep(AGAIN_AFTER).await;
    }
    false
}

async fn change(cores: &[SocketAddr], verb: &str, base: u64, body: &Value) -> anyhow::Result<(u16, String)> {
    let (base, body) = (base.to_string(), Bytes::from(body.to_string()));
    let path = format!("/api/config/{verb}");
    let request = |core| post(core, &path, &[("base-version", &base)], body.clone());
    let (status, body) = clear_answer(cores, request, |status| status < 500).await?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}

async fn read_back(cores: &[SocketAddr]) -> anyhow::Result<Value> {
    let request = |core| get(core, "/api/config/read");
    let (_, body) = clear_answer(cores, request, |status| status == 200).await?;
    Ok(serde_json::from_slice(&body)?)
}

/// Calls one core machine after the other until the answer's status is clear.
async fn clear_answer(
    cores: &[SocketAddr],
    request: impl Fn(SocketAddr) -> Request<Full<Bytes>>,
    is_clear: impl Fn(u16) -> bool,
) -> anyhow::Result<(u16, Bytes)> {
    let began = Instant::now();
    for core in cores.iter().copied().cycle() {
        if let Ok((status, body)) = call_patiently(core, request(core)).await {
            if is_clear(status) {
                return Ok((status, body));
            }
        }
        ensure!(began.elapsed() < CLEAR_WITHIN, "no clear answer within {CLEAR_WITHIN:?}");
        tokio::time::sleep(AGAIN_AFTER).await;
    }
    anyhow::bail!("there are no core machines")
}

async fn call_patiently(core: SocketAddr, request: Request<Full<Bytes>>) -> anyhow::Result<(u16, Bytes)> {
    let exchange = async {
        let response = send(core, request).await?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.context("body")?.to_bytes();
        anyhow::Ok((status, body))
    };
    tokio::time::timeout(CALL_WITHIN, exchange).await.context("no answer in time")?
}
