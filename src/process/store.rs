//! The commands about the shared store: its error stated beforehand, and how a running gateway finds it.

use super::config::{Config, Files};
use crate::net::http1::{self, Parsed};
use crate::net::STORE_PERIOD;
use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use switchhill_store::{bounds, Plan, State};

/// A gateway that does not answer within this does not answer.
const PATIENCE: Duration = Duration::from_secs(2);
/// No answer of figures is longer.
const MOST: usize = 1 << 20;

/// What each fault of the store may let through beyond a quota, by plan, with the terms that make it.
///
/// # Errors
/// Where a file is at fault, or names no store.
pub fn bound(files: &Files) -> Result<String, String> {
    let config = Config::from_environment(files)?;
    let store = config.operator.store.as_ref().ok_or("the operator's file names no `store`")?;
    let module = &config.told.module;
    let period = if module.meter_period > 0.0 { module.meter_period } else { STORE_PERIOD };
    let mut text = format!(
        "{} gateways, period {period} ms, time-out {} ms; units of one customer beyond rate and burst, over a run with a \
         sound store\n",
        module.gateways, store.timeout
    );
    for (name, plan) in config.told.plans.iter().zip(&module.plans).filter(|(_, plan)| plan.rate > 0.0) {
        let plan = Plan {
            rate: plan.rate,
            burst: plan.burst,
            gateways: module.gateways,
            period,
            timeout: store.timeout,
        };
        let _ = writeln!(text, "\n{name}: {} a second, {} at once", plan.rate, plan.burst);
        for bound in bounds(&plan) {
            let of_quota = bound.units() / (plan.rate * period / 1000.0) * 100.0;
            let fault = format!("{:?}", bound.fault).to_lowercase();
            let _ = writeln!(
                text,
                "  {fault:<7}{:>8.2} units, {of_quota:.0}% of a period's quota",
                bound.units()
            );
            for (term, units) in &bound.terms {
                let _ = writeln!(text, "         {units:>8.2}  {term}");
            }
        }
    }
    Ok(text)
}

/// How the gateway that listens at `address` finds the store, and what to do about it.
///
/// # Errors
/// Where it does not answer, or keeps no account with a store.
pub fn status(address: SocketAddr) -> Result<String, String> {
    let failed = |e: std::io::Error| format!("no answer from {address}: {e}");
    let mut socket = TcpStream::connect_timeout(&address, PATIENCE).map_err(failed)?;
    socket.set_read_timeout(Some(PATIENCE)).map_err(failed)?;
    let call = format!("GET /health/counters HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    socket.write_all(call.as_bytes()).map_err(failed)?;
    let mut bytes = Vec::new();
    socket.take(MOST as u64).read_to_end(&mut bytes).map_err(failed)?;
    let Parsed::Whole(answer, ..) = http1::answer(&bytes, true) else {
        return Err(format!("no answer from {address} that can be read"));
    };
    let figures = String::from_utf8_lossy(&answer.body).into_owned();
    let figure = |name: &str| {
        figures.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse::<usize>().ok())
    };
    let state = figure("switchhill_store_state").and_then(|n| State::ALL.get(n).copied());
    let state = state.ok_or("this gateway keeps no account with a store")?;
    let what = match state {
        State::Sound => "nothing is to be done",
        State::Slow => "totals come late: look at the store's load and the network to it",
        State::Split => "parts of some gateways are missing: look for gateways that say silent, and whether all reach one store",
        State::Forgetful => "it was emptied or replaced; its totals are used again within seconds, nothing is to be done",
        State::Replaced => "it holds what is older than the one before: an old copy, or another store; look at its address",
        State::Refusing => "it answers errors: look at its memory, whether it is a replica, or still loading",
        State::Silent => "it cannot be reached: quotas are kept at this gateway's floor",
    };
    let mut text = format!("{state}: {what}\n");
    for name in ["store_batches", "store_failures", "store_lives"] {
        let _ = writeln!(text, "{name} {}", figure(&format!("switchhill_{name}")).unwrap_or(0));
    }
    Ok(text)
}
