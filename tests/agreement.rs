//! Agreement between real gateway processes, through a stand-in store and a fault proxy for each of them.
#![allow(missing_docs)]

use std::sync::{Arc, Mutex};
use switchhill_lab::rig::checker::{gather, longest_disagreement};
use switchhill_lab::rig::proxy::{Fault, Proxy};
use switchhill_lab::rig::store::Mood;
use switchhill_lab::rig::{operator, Site};
use switchhill_lab::stand_in::*;

/// Three gateways: one cut off from the store during a change goes to safe mode and says it is alone; one whose
/// file was not changed takes the agreed version from the store; the cut one does too once it is healed.
#[test]
fn three_gateways_agree_and_the_one_cut_off_or_behind_comes_to_the_change() {
    let site = Site::start();
    let (store, first) = (&site.store, &site.first);
    let proxies: Vec<Proxy> = (0..3).map(|seed| Proxy::start(store.address, seed)).collect();
    let gateways: Vec<Gateway> = proxies
        .iter()
        .enumerate()
        .map(|(n, proxy)| Gateway::start_with(first, Some(&operator(proxy.address, &format!("g{n}"), false))))
        .collect();
    wait_for("all active on the first version", || gateways.iter().all(|gateway| gateway.agreed() == (1, 0)));
    wait_for("three members", || gateways.iter().all(|gateway| gateway.counter("agreement_members") == 3));

    proxies[2].set(Fault::Cut);
    wait_for("the cut one safe and alone", || {
        gateways[2].agreed().1 == 1 && gateways[2].counter("agreement_alone") == 1
    });
    assert_eq!(gateways[0].agreed(), (1, 0), "the others go on");

    let second = first.replace("\"meterMs\": 2000.0", "\"meterMs\": 1500.0");
    assert_ne!(*first, second, "the change changes something");
    gateways[0].reload(&second);
    wait_for("the change active where it was made", || gateways[0].agreed() == (2, 0));
    wait_for("the one whose file was not changed on the change", || gateways[1].agreed() == (2, 0));
    assert_eq!(gateways[2].agreed().1, 1, "still cut off: still safe");

    proxies[2].set(Fault::Pass);
    wait_for("all active on the change", || gateways.iter().all(|gateway| gateway.agreed() == (2, 0)));
    assert_eq!(store.peek("agreement:settings").map(|bytes| bytes[0]), Some(b'2'));
}

/// A gateway stopped (SIGSTOP) before a change and woken after it: its lease ran out while it was stopped, so by
/// the logs of all three no two were Active on different versions beyond the bound, and it comes to the change.
#[test]
fn a_gateway_stopped_across_a_change_wakes_safe_and_the_logs_show_the_bound_held() {
    let site = Site::start();
    let (store, first) = (&site.store, &site.first);
    let events = Arc::new(Mutex::new(Vec::new()));
    let mut gateways: Vec<Gateway> = (0..3)
        .map(|n| Gateway::start_with(first, Some(&operator(store.address, &format!("g{n}"), true))))
        .collect();
    for (number, gateway) in gateways.iter_mut().enumerate() {
        gather(gateway.take_log(), number, &events);
    }
    wait_for("all active on the first version", || gateways.iter().all(|gateway| gateway.agreed() == (1, 0)));
    gateways[2].freeze();
    let second = first.replace("\"meterMs\": 2000.0", "\"meterMs\": 1500.0");
    gateways[0].reload(&second);
    wait_for("the change active at the two that run", || (0..2).all(|n| gateways[n].agreed() == (2, 0)));
    gateways[2].wake();
    wait_for("the woken one on the change", || gateways[2].agreed() == (2, 0));
    // The log is read by a thread of its own, which may lag behind the figures.
    wait_for("the woken one's log of the change", || {
        let events = events.lock().expect("lock");
        events.iter().any(|e| e.gateway == 2 && e.register == "settings" && e.version.starts_with("2:"))
    });
    let events = events.lock().expect("lock").clone();
    let (longest, from) = longest_disagreement(&events, "settings");
    assert!(longest <= 500, "disagreement for {longest} ms from {from:?}: {events:?}");
    let woken: Vec<&str> = events
        .iter()
        .filter(|e| e.gateway == 2 && e.register == "settings")
        .map(|e| e.mode.as_str())
        .collect();
    assert!(woken.windows(2).any(|pair| pair == ["active", "safe"]), "woke safe: {woken:?}");
    assert!(events.iter().any(|e| e.gateway == 0 && e.version.starts_with("2:")), "the logs tell the change");
}

/// Gateways with names and numbers of their own over one store, each with an operators' door and a proxy to the store.
struct Fleet {
    site: Site,
    proxies: Vec<Proxy>,
    gateways: Vec<Gateway>,
    configs: Vec<String>,
}

impl Fleet {
    fn start(count: usize) -> Self {
        let site = Site::start();
        let proxies: Vec<Proxy> = (0..count).map(|n| Proxy::start(site.store.address, n as u64)).collect();
        let own = |n: usize| with_door(&site.first.replace("\"ordinal\": 0", &format!("\"ordinal\": {n}")));
        let configs: Vec<String> = (0..count).map(own).collect();
        let start = |(n, proxy): (usize, &Proxy)| {
            Gateway::start_with(&configs[n], Some(&operator(proxy.address, &format!("g{n}"), false)))
        };
        let gateways: Vec<Gateway> = proxies.iter().enumerate().map(start).collect();
        let fleet = Self { site, proxies, gateways, configs };
        fleet.wait("all on the first version", |gateway| gateway.agreed() == (1, 0));
        fleet.wait("the hosts agreed", |gateway| gateway.counter("agreement_hosts_safe") == 0);
        fleet.wait("all counted", |gateway| gateway.counter("agreement_told_number") == count as u64);
        fleet
    }

    fn wait(&self, what: &str, done: impl Fn(&Gateway) -> bool) {
        wait_for(what, || self.gateways.iter().all(&done));
    }

    fn ask(&self, at: usize, class: &str, id: u64) -> u16 {
        Client::connect(self.gateways[at].address).ask(class, id, id, 1000).status
    }
}

#[test]
fn numbers_are_each_gateways_own_and_follow_who_is_live_but_never_to_all_of_the_quota_for_one_cut_off() {
    let mut fleet = Fleet::start(3);
    for (n, gateway) in fleet.gateways.iter().enumerate() {
        assert_eq!(
            gateway.counter("agreement_told_ordinal"),
            n as u64,
            "not the number of who offered first"
        );
    }
    let versions = fleet.gateways[1].call("versions");
    let lines: Vec<&str> = versions.lines().collect();
    assert!(versions.starts_with("200 ") && versions.ends_with("EOF\n") && lines.len() == 5, "{versions}");
    assert!(
        lines[1].starts_with("settings active 1:") && lines[2].starts_with("hosts active 1:"),
        "{versions}"
    );
    fleet.gateways.remove(2);
    fleet.wait("two divide the quotas", |gateway| gateway.counter("agreement_told_number") == 2);
    fleet.proxies[1].set(Fault::Cut);
    wait_for("alone", || fleet.gateways[1].counter("agreement_alone") == 1);
    assert_eq!(
        fleet.gateways[1].counter("agreement_told_number"),
        3,
        "its share as configured, not all of it"
    );
    wait_for("one left", || fleet.gateways[0].counter("agreement_told_number") == 1);
}

#[test]
fn a_host_called_out_at_one_gateway_is_out_at_all_and_back_at_all_whoever_calls() {
    let fleet = Fleet::start(3);
    fleet.proxies[2].set(Fault::Cut);
    wait_for("one cut off", || fleet.gateways[2].counter("agreement_hosts_safe") == 1);
    assert!(fleet.gateways[0].call("cordon nobody").starts_with("400"));
    assert!(fleet.gateways[0].call("cordon s-1").starts_with("200"));
    assert_eq!(fleet.ask(0, "usage-view", 1), 503, "at once where it was called");
    wait_for("out at the next", || fleet.gateways[1].counter("agreement_hosts_held_out") == 1);
    assert_eq!(
        fleet.ask(1, "usage-view", 2),
        503,
        "before the version is active: what restricts holds at once"
    );
    fleet.proxies[2].set(Fault::Pass);
    wait_for("out at the one cut off", || fleet.gateways[2].counter("agreement_hosts_held_out") == 1);
    assert_eq!(fleet.ask(2, "usage-view", 3), 503);
    assert_eq!(fleet.site.seen.all(), 0, "nothing reached it");
    fleet.wait("all agree on it", |gateway| gateway.counter("agreement_hosts_safe") == 0);
    assert!(fleet.gateways[1].call("uncordon s-1").starts_with("200"));
    fleet.wait("back everywhere", |gateway| gateway.counter("agreement_hosts_held_out") == 0);
    // It comes back cold, as a host that was taken out to be restarted: used little at first.
    let mut id = 10;
    for at in 0..3 {
        wait_for("served again", || {
            id += 1;
            fleet.ask(at, "usage-view", id) == 200
        });
    }
}

#[test]
fn settings_offered_count_once_agreed_and_the_stricter_of_two_while_that_cannot_be() {
    let fleet = Fleet::start(2);
    let renamed = |text: &str| text.replace("\"name\": \"usage-view\"", "\"name\": \"balance\"");
    let next = renamed(&fleet.configs[0]);
    assert_ne!(next, fleet.configs[0]);
    fleet.proxies[0].set(Fault::Cut);
    wait_for("cut off", || fleet.gateways[0].agreed().1 == 1);
    fleet.gateways[0].reload(&next);
    wait_for("the class that one of the two lacks is gone", || fleet.ask(0, "usage-view", 1) == 404);
    assert_eq!(fleet.ask(0, "balance", 2), 404, "and the other one is not there yet");
    assert_eq!(fleet.ask(1, "usage-view", 3), 200, "the others know nothing of it");
    fleet.proxies[0].set(Fault::Pass);
    fleet.wait("the change is active", |gateway| gateway.agreed() == (2, 0));
    fleet.wait("with its class", |gateway| {
        Client::connect(gateway.address).ask("balance", 40, 40, 1000).status == 200
    });
    assert_eq!(fleet.ask(1, "usage-view", 5), 404);
    // The file of gateway 1 is behind and unchanged: a SIGHUP is no change, the call `offer` is one.
    fleet.gateways[1].hang_up();
    wait_for("read again", || fleet.gateways[1].figure("reconfig_ok") == 1);
    assert!(fleet.gateways[1].call("offer").starts_with("200 offered"));
    fleet.wait("turned back by who asked for it", |gateway| gateway.agreed() == (3, 0));
}

/// Whatever the store answers, the gateway goes on: safe while it lasts, and active again once the store makes sense.
#[rstest::rstest]
#[case::nested(Mood::Nests)]
#[case::wrong_types(Mood::WrongTypes)]
#[case::cut(Mood::CutsAnswers)]
fn a_store_that_answers_nonsense_makes_a_gateway_safe_and_ends_nothing(#[case] mood: Mood) {
    let site = Site::start();
    let gateway = Gateway::start_with(&site.first, Some(&operator(site.store.address, "g0", false)));
    wait_for("active on the first version", || gateway.agreed() == (1, 0));
    site.store.behave(mood);
    wait_for("safe", || gateway.agreed().1 == 1);
    assert_eq!(Client::connect(gateway.address).ask("usage-view", 1, 1, 3000).status, 200);
    site.store.behave(Mood::Works);
    wait_for("active again", || gateway.agreed() == (1, 0));
}
