//! Reads what goes wrong in a scenario.

use super::{Links, Range, RigFault, RigPlan, RigTrouble, Spoil, Trouble, Whom};
use crate::rig::proxy::Fault;
use std::time::Duration;
use switchhill::process::document::Reader;

/// Names of the faults between processes.
const RIG_FAULTS: [&str; 22] = [
    "cut",
    "cut-up",
    "cut-down",
    "reset",
    "delay",
    "slow",
    "lose",
    "freeze",
    "kill",
    "change",
    "bad-file",
    "cordon",
    "uncordon",
    "empty-store",
    "lose-keys",
    "old-version",
    "store-down",
    "split-store",
    "replace-store",
    "lose-half",
    "stale-list",
    "spoil",
];

/// What goes wrong around the gateways, in order of time.
pub(super) fn troubles(from: &Reader<'_>, boxes: usize) -> Vec<(f64, Trouble)> {
    let read = |each: &Reader<'_>| {
        each.only(&["at", "what", "box", "count", "for"]);
        let at = each.at("at").number(0.0..=600.0, 0.0);
        let which = each.at("box").count(0..=boxes as u64 - 1, 0) as usize;
        let long = each.at("for").number(0.0..=600.0, 1.0);
        let trouble = match each.at("what").word(&["pause", "drain", "restart", "new-key", "silent"]) {
            "drain" => Trouble::Drain(which),
            "restart" => Trouble::Restart(which, long),
            "new-key" => Trouble::NewKey,
            "silent" => Trouble::Silent(each.at("count").count(1..=2000, 100) as usize, long),
            _ => Trouble::Pause(which, long),
        };
        (at, trouble)
    };
    let mut troubles: Vec<(f64, Trouble)> = from.list().iter().map(read).collect();
    troubles.sort_by(|a, b| a.0.total_cmp(&b.0));
    troubles
}

fn range(from: &Reader<'_>, absent: f64) -> Range {
    let list = if from.given() { from.list_or_one() } else { Vec::new() };
    let number = |n: usize, absent: f64| list.get(n).map_or(absent, |each| each.number(0.0..=600.0, absent));
    if list.len() > 2 {
        from.fault("is neither a number nor a range of two");
    }
    let low = number(0, absent);
    let high = number(1, low);
    if high < low {
        from.fault("the range ends before it begins");
    }
    (low, high.max(low))
}

/// The fault rig, where there is one.
pub(super) fn rig(from: &Reader<'_>, gateways: usize, boxes: usize) -> Option<RigPlan> {
    from.only(&["faults", "last_epoch", "meter", "recovery"]);
    from.given().then(|| RigPlan {
        troubles: from.at("faults").list().iter().map(|each| rig_trouble(each, gateways, boxes)).collect(),
        last_epoch: from.at("last_epoch").count(1..=1000, 1),
        meter: from.at("meter").flag(false),
        recovery: from.at("recovery").flag(false),
    })
}

fn rig_trouble(from: &Reader<'_>, gateways: usize, boxes: usize) -> RigTrouble {
    from.only(&["at", "for", "what", "gateway", "pick", "links", "ms", "bytes", "percent", "box", "how"]);
    let (fault, whom) = (rig_fault(from, boxes), whom(from, gateways));
    RigTrouble { at: range(&from.at("at"), 0.0), lasts: range(&from.at("for"), 1.0), whom, fault }
}

fn rig_fault(from: &Reader<'_>, boxes: usize) -> RigFault {
    let links = links(&from.at("links"));
    let which = from.at("box").count(0..=boxes as u64 - 1, 0) as usize;
    match from.at("what").word(&RIG_FAULTS) {
        "cut-up" => RigFault::Link(links, Fault::CutUp),
        "cut-down" => RigFault::Link(links, Fault::CutDown),
        "reset" => RigFault::Link(links, Fault::Reset),
        "delay" => {
            RigFault::Link(links, Fault::Delay(Duration::from_millis(from.at("ms").count(1..=10_000, 100))))
        }
        "slow" => RigFault::Link(links, Fault::SlowRead(from.at("bytes").count(1..=65_536, 16) as usize)),
        "lose" => RigFault::Link(links, Fault::LoseConnections(from.at("percent").count(1..=100, 50) as u8)),
        "freeze" => RigFault::Freeze,
        "kill" => RigFault::Kill,
        "change" => RigFault::Change,
        "bad-file" => RigFault::BadFile,
        "cordon" => RigFault::Cordon(which),
        "uncordon" => RigFault::Uncordon(which),
        "empty-store" => RigFault::EmptyStore,
        "lose-keys" => RigFault::LoseKeys,
        "old-version" => RigFault::OldVersion,
        "store-down" => RigFault::StoreDown,
        "split-store" => RigFault::SplitStore,
        "replace-store" => RigFault::ReplaceStore,
        "lose-half" => RigFault::LoseHalf,
        "stale-list" => RigFault::StaleList,
        "spoil" => RigFault::Spoil(spoil(&from.at("how"))),
        _ => RigFault::Link(links, Fault::Cut),
    }
}

fn links(from: &Reader<'_>) -> Links {
    match from.word(&["store", "discovery", "both"]) {
        "discovery" => Links::Discovery,
        "both" => Links::Both,
        _ => Links::Store,
    }
}

fn spoil(from: &Reader<'_>) -> Spoil {
    match from.word(&["cut", "foreign", "old-format", "missing"]) {
        "foreign" => Spoil::Foreign,
        "old-format" => Spoil::OldFormat,
        "missing" => Spoil::Missing,
        _ => Spoil::Cut,
    }
}

fn whom(from: &Reader<'_>, gateways: usize) -> Whom {
    let (pick, gateway) = (from.at("pick"), from.at("gateway"));
    match (pick.given(), gateway.given()) {
        (true, true) => {
            gateway.fault("either gateway or pick");
            Whom::All
        }
        (true, _) => Whom::Pick(pick.count(1..=gateways.max(2) as u64 - 1, 1) as usize),
        (_, true) => Whom::Number(gateway.count(0..=gateways as u64 - 1, 0) as usize),
        _ => Whom::All,
    }
}
