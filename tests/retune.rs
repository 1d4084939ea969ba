//! Settings that change at SIGHUP: the whole file or nothing of it, and open requests keep their rules.
#![allow(missing_docs)]

use rstest::rstest;
use std::sync::Arc;
use switchhill_lab::stand_in::*;

fn site(
    act: impl Fn(&switchhill::net::message::Message) -> Act + Send + Sync + Copy + 'static,
) -> (Arc<Seen>, Discovery, String) {
    let seen = Arc::new(Seen::default());
    let members = ["s-1", "s-2", "s-3"].map(|id| member(id, host(&seen, act)));
    let discovery = Discovery::new(members.to_vec());
    let config = with_door(&config(discovery.address));
    (seen, discovery, config)
}

/// A request of any class, with the method of an effect.
fn ask(gateway: &Gateway, class: &str, method: &str, id: u64) -> u16 {
    let mut client = Client::connect(gateway.address);
    client.write(&text(class, method, id));
    client.answer().expect("an answer").status
}

fn text(class: &str, method: &str, id: u64) -> String {
    request("usage-view", id, id, 5000).replacen("GET /usage-view", &format!("{method} /{class}"), 1)
}

const TOP_UP: &str = "\"name\": \"top-up\"";

#[rstest]
#[case::empty(|_: &str| String::new())]
#[case::cut_off(|c: &str| c[..c.len() / 2].to_string())]
#[case::cut_at_the_end(|c: &str| c[..c.len() - 2].to_string())]
#[case::no_settings(|c: &str| c.replace("\"settings\"", "\"setting\""))]
#[case::no_discovery(|c: &str| c.replacen("\"discovery\":\"127", "\"discover\":\"127", 1))]
#[case::no_attempts(|c: &str| c.replace("\"maxAttempts\": 3", "\"maxAttempts\": 0"))]
#[case::attempts_missing(|c: &str| c.replace("\"maxAttempts\": 3, ", ""))]
#[case::deadline_zero(|c: &str| c.replace("\"giveUpMs\": 12000.0", "\"giveUpMs\": 0"))]
#[case::deadline_negative(|c: &str| c.replace("\"giveUpMs\": 12000.0", "\"giveUpMs\": -1"))]
#[case::deadline_missing(|c: &str| c.replace("\"giveUpMs\": 12000.0, ", ""))]
#[case::aim_zero(|c: &str| c.replace("\"onTimeMs\": 5000.0", "\"onTimeMs\": 0"))]
#[case::effect_unknown(|c: &str| c.replace("\"fragile\"", "\"brittle\""))]
#[case::no_classes(|c: &str| { let (a, b) = c.split_once("\"requestClasses\": [").expect("has it"); format!("{a}\"requestClasses\": []{}", &b[b.find(']').expect("ends") + 1..]) })]
#[case::one_name_twice(|c: &str| c.replace(TOP_UP, "\"name\": \"usage-view\""))]
#[case::key_of_a_plan_missing(|c: &str| c.replacen("\"rate\": 0.89", "\"rat\": 0.89", 1))]
#[case::key_of_the_rules_missing(|c: &str| c.replace("\"warmUpMs\"", "\"warmUp\""))]
#[case::sockets_no_number(|c: &str| c.replace("\"sockets\":1024", "\"sockets\":\"many\""))]
fn a_broken_file_leaves_the_old_settings_whole(#[case] spoil: fn(&str) -> String) {
    // Each spoilt file also names another discovery and renames a class: nothing of either may be taken.
    let (_, discovery, config) = site(|_| Act::Serve);
    let gateway = Gateway::start_with(&config, None);
    let elsewhere = Discovery::new(vec![]);
    let spoilt = spoil(&config).replace(&discovery.address.to_string(), &elsewhere.address.to_string());
    assert_ne!(spoilt, config);
    gateway.reload(&spoilt.replace("\"name\": \"usage-view\"", "\"name\": \"usage-look\""));
    wait_for("the file turned down", || gateway.figure("reconfig_failed") == 1);
    assert_eq!((ask(&gateway, "usage-view", "GET", 1), ask(&gateway, "usage-look", "GET", 2)), (200, 404));
    assert_eq!((gateway.figure("reconfig_ok"), elsewhere.calls()), (0, 0));
}

#[test]
fn classes_come_and_go_with_their_own_rules_and_keep_counting() {
    let (seen, _discovery, config) = site(|_| Act::Error);
    let gateway = Gateway::start_with(&config, None);
    assert_eq!((ask(&gateway, "top-up", "POST", 1), seen.times(&format!("{:016x}", 1))), (502, 1));
    // In its place a class of another name that may be repeated, in front of the other one.
    let (head, rest) = config.split_once("\"requestClasses\": [").expect("has them");
    let (classes, tail) = rest.split_once(']').expect("ends");
    let (view, pay) = classes.split_once("}, ").map(|(a, b)| (format!("{a}}}"), b)).expect("two");
    let plan_view = pay.replace("fragile", "retryable").replace("top-up", "plan-view");
    let changed = format!("{head}\"requestClasses\": [{plan_view}, {view}]{tail}")
        .replace("\"maxAttempts\": 3", "\"maxAttempts\": 2");
    gateway.reload(&changed);
    wait_for("the file taken", || gateway.figure("reconfig_ok") == 1);
    assert_eq!(ask(&gateway, "top-up", "POST", 2), 404);
    assert_eq!(ask(&gateway, "plan-view", "POST", 3), 405);
    ask(&gateway, "plan-view", "GET", 4);
    assert_eq!(seen.times(&format!("{:016x}", 4)), 2, "sent again, and no more often than now allowed");
    gateway.reload(&config);
    wait_for("the first file again", || gateway.figure("reconfig_ok") == 2);
    assert_eq!((ask(&gateway, "top-up", "POST", 5), gateway.figure("calls.top-up.failure")), (502, 2));
}

#[test]
fn an_open_request_keeps_the_rules_it_came_under() {
    // Guarded against: a payment in work whose class becomes one that may be repeated, at its place or under its
    // name, and is then sent again; and a reload that answers or forgets what is open.
    let (seen, _discovery, config) =
        site(|m| if m.target.contains("slow") { Act::ServeAfter(900) } else { Act::Hang });
    let gateway = Gateway::start_with(&config, None);
    let mut paying = Client::connect(gateway.address);
    paying.write(&text("top-up", "POST", 1).replace("X-Remaining-Ms: 5000", "X-Remaining-Ms: 1500"));
    let mut slow = Client::connect(gateway.address);
    slow.write(&text("top-up/slow", "POST", 2));
    wait_for("both at a host", || seen.all() == 2);
    let harmless = config.replace("\"fragile\"", "\"retryable\"").replace("12000.0", "3000.0");
    gateway.reload(&harmless);
    let renamed = config.replace("top-up", "plan-view").replace("\"fragile\"", "\"retryable\"");
    gateway.reload(&renamed);
    wait_for("the files taken", || gateway.figure("reconfig_ok") >= 1);
    assert_eq!(slow.answer().expect("an answer").status, 200);
    assert_eq!(paying.answer().expect("an answer").status, 504, "failed, not refused: it may have run");
    assert_eq!((seen.times(&format!("{:016x}", 1)), seen.all()), (1, 2));
}
