//! Agreement between real gateway processes, through a stand-in store and a fault proxy for each of them.
#![allow(missing_docs)]

use std::sync::{Arc, Mutex};
use switchhill_lab::rig::checker::{gather, longest_disagreement};
use switchhill_lab::rig::proxy::{Fault, Proxy};
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
    let events = events.lock().expect("lock").clone();
    let (longest, from) = longest_disagreement(&events);
    assert!(longest <= 500, "disagreement for {longest} ms from {from:?}: {events:?}");
    let woken: Vec<&str> = events.iter().filter(|e| e.gateway == 2).map(|e| e.mode.as_str()).collect();
    assert!(woken.windows(2).any(|pair| pair == ["active", "safe"]), "woke safe: {woken:?}");
    assert!(events.iter().any(|e| e.gateway == 0 && e.version.starts_with("2:")), "the logs tell the change");
}
