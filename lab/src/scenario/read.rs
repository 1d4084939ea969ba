//! Reads a scenario from its file: every field with its range and what stands for an absent one.

use super::read_faults;
use super::{Boxes, Expect, Group, Manner, Scenario};
use crate::load::PLANS;
use std::path::{Path, PathBuf};
use switchhill::process::document::Reader;

/// Reads all of a scenario; every fault is told to the reader.
pub(super) fn scenario(root: &Reader<'_>, name: &str, folder: &Path) -> Scenario {
    root.only(&[
        "seconds",
        "counted_from",
        "gateways",
        "clients",
        "boxes",
        "groups",
        "troubles",
        "rig",
        "expect",
    ]);
    let gateways = root.at("gateways");
    gateways.only(&["count", "memory_mb", "sockets", "operator", "keys", "bare"]);
    let clients = root.at("clients");
    clients.only(&["protocol", "connections"]);
    let seconds = root.at("seconds").number(1.0..=600.0, 10.0);
    let set = boxes(&root.at("boxes"));
    Scenario {
        name: name.into(),
        seconds,
        counted_from: root.at("counted_from").number(0.0..=600.0, 0.0),
        gateways: gateways.at("count").count(1..=16, 1) as usize,
        memory_mb: gateways.at("memory_mb").count(32..=192, 64),
        sockets: gateways.at("sockets").count(256..=1024, 1024),
        operator: operator(&gateways.at("operator"), folder),
        keys: gateways.at("keys").flag(false),
        bare: gateways.at("bare").flag(false),
        http2: clients.at("protocol").word(&["http1", "http2"]) == "http2",
        connections: clients.at("connections").count(1..=1000, 200) as usize,
        groups: root.at("groups").list().iter().map(|each| group(each, seconds)).collect(),
        troubles: read_faults::troubles(&root.at("troubles"), set.count),
        rig: read_faults::rig(&root.at("rig"), gateways.at("count").count(1..=16, 1) as usize, set.count),
        boxes: set,
        expect: root.at("expect").list().iter().map(expect).collect(),
    }
}

/// The text of the operator's file that is named.
fn operator(from: &Reader<'_>, folder: &Path) -> Option<String> {
    if !from.given() {
        return None;
    }
    let path: PathBuf = folder.join(from.text(""));
    match std::fs::read_to_string(&path) {
        Ok(text) => Some(text),
        Err(e) => {
            from.fault(format!("{} cannot be read: {e}", path.display()));
            None
        }
    }
}

fn boxes(from: &Reader<'_>) -> Boxes {
    from.only(&["count", "cores", "waiting", "slots", "usage_view_ms", "top_up_ms", "spread", "tell_use"]);
    let count = |name, range, absent| from.at(name).count(range, absent) as usize;
    Boxes {
        count: count("count", 1..=64, 4),
        cores: count("cores", 1..=256, 4),
        waiting: count("waiting", 0..=10_000, 32),
        slots: count("slots", 1..=10_000, 1000),
        takes_ms: [
            from.at("usage_view_ms").number(0.1..=10_000.0, 20.0),
            from.at("top_up_ms").number(0.1..=10_000.0, 60.0),
        ],
        spread: from.at("spread").number(0.0..=5.0, 0.3),
        tell_use: from.at("tell_use").flag(true),
    }
}

fn group(from: &Reader<'_>, seconds: f64) -> Group {
    from.only(&[
        "name",
        "plan",
        "subscribers",
        "per_second",
        "pace",
        "skew",
        "top_up",
        "from",
        "to",
        "retries",
        "patience",
        "manner",
        "tickets",
        "elsewhere",
    ]);
    let names = PLANS.map(|plan| plan.0);
    let name = from.at("plan").word(&names);
    Group {
        name: from.at("name").text(name),
        plan: names.iter().position(|plan| *plan == name).unwrap_or(0),
        subscribers: from.at("subscribers").count(1..=1_000_000, 1),
        per_second: from.at("per_second").number(1e-6..=10_000.0, 1.0),
        even: from.at("pace").word(&["poisson", "even"]) == "even",
        skew: from.at("skew").number(0.0..=3.0, 0.0),
        top_up: from.at("top_up").number(0.0..=1.0, 0.2),
        from: from.at("from").number(0.0..=600.0, 0.0),
        to: from.at("to").number(0.0..=600.0, seconds).min(seconds),
        retries: from.at("retries").count(0..=100, 2) as u32,
        patience: from.at("patience").number(0.0..=600.0, 600.0),
        manner: manner(&from.at("manner")),
        tickets: from.at("tickets").flag(false),
        elsewhere: from.at("elsewhere").flag(false),
    }
}

fn manner(from: &Reader<'_>) -> Manner {
    match from.word(&["obey", "exactly", "ignore", "never"]) {
        "exactly" => Manner::Exactly,
        "ignore" => Manner::Ignore,
        "never" => Manner::Never,
        _ => Manner::Obey,
    }
}

fn expect(from: &Reader<'_>) -> Expect {
    from.only(&["what", "at_least", "at_most"]);
    let (least, most) = (from.at("at_least"), from.at("at_most"));
    if !least.given() && !most.given() {
        from.fault("needs at_least or at_most");
    }
    if !from.at("what").given() {
        from.at("what").fault("missing: the path of a figure, such as plans.basic.served_share");
    }
    let any = -1e18..=1e18;
    Expect {
        what: from.at("what").text(""),
        least: least.number(any.clone(), f64::NEG_INFINITY),
        most: most.number(any, f64::INFINITY),
    }
}
