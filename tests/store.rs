//! The shared store as the meter, against a stand-in that speaks RESP.
#![allow(missing_docs)]

use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use switchhill_lab::rig::proxy::{Fault, Proxy};
use switchhill_lab::rig::store::{Mood, Store};
use switchhill_lab::stand_in::*;

const RATE: f64 = 20.0;
const BURST: f64 = 20.0;

/// A gateway before a quick host without a meter, with a short meter period and one sharp quota.
fn gateway(discovery: &Discovery, store: SocketAddr) -> Gateway {
    gateway_with(discovery, &format!(r#"{{"address":"{store}","prefix":"t","timeout_ms":200}}"#))
}

fn gateway_with(discovery: &Discovery, store: &str) -> Gateway {
    let config = config(discovery.address)
        .replace("\"meterMs\": 2000.0", "\"meterMs\": 500.0")
        .replace("\"mostAtOnce\": 3.0", &format!("\"mostAtOnce\": {BURST}"))
        .replace("\"rate\": 0.89", &format!("\"rate\": {RATE}"));
    let operator = format!(r#"{{"store":{store}}}"#);
    Gateway::start_with(&config, Some(&operator))
}

fn site() -> (Arc<Seen>, Discovery) {
    let seen = Arc::new(Seen::default());
    let act = |_: &switchhill::net::message::Message| Act::ServeAfter(0);
    let discovery = Discovery::new(vec![member("s-1", host(&seen, act)), member("s-2", host(&seen, act))]);
    (seen, discovery)
}

/// Asks for one customer at about three times its quota for a while; how many a second were served.
fn press(client: &mut Client, id: &mut u64, time: Duration) -> f64 {
    let (start, mut served) = (Instant::now(), 0);
    while start.elapsed() < time {
        *id += 1;
        let text =
            request("usage-view", *id, 5, 5000).replace("farm-pro", "basic").replace("spread=1", "spread=2");
        client.write(&text);
        let asked = Instant::now();
        served += usize::from(client.answer().expect("an answer").status == 200);
        // The store never holds a stream up.
        assert!(asked.elapsed() < Duration::from_secs(2));
        thread::sleep(Duration::from_millis(15));
    }
    served as f64 / start.elapsed().as_secs_f64()
}

#[test]
fn a_customer_of_one_gateway_gets_its_whole_quota_and_every_key_expires() {
    let ((_, discovery), store) = (site(), Store::start());
    let gateway = gateway(&discovery, store.address);
    let (mut client, mut id) = (Client::connect(gateway.address), 0);
    // The floor is half the quota, since there are two gateways in the customer's set.
    press(&mut client, &mut id, Duration::from_secs(2));
    wait_for("more than the floor", || press(&mut client, &mut id, Duration::from_secs(1)) > 0.75 * RATE);
    let keys = store.keys();
    let counted = |what: &str| keys.iter().filter(|key| key.contains(what)).count();
    assert!(counted(":5") > 0 && counted("closed") > 0 && counted("seq") == 1, "{keys:?}");
    // Only the life's name stays for good.
    assert!(keys.iter().all(|key| store.expires(key) || key == "t:life"), "{keys:?}");
    wait_for("a sound link", || gateway.counter("store_state") == 0);
    let at = gateway.address.to_string();
    let status = std::process::Command::new(program()).args(["store", "status", "--at", &at]).output();
    let status = status.expect("runs");
    assert!(String::from_utf8_lossy(&status.stdout).starts_with("sound: "), "{status:?}");
    // In batches, not a call for each request.
    assert!(gateway.counter("store_batches") < gateway.counter("streams") / 2);
}

#[rstest]
#[case::silent(Mood::Silent, 6)]
#[case::refusing(Mood::Refuses("OOM command not allowed"), 5)]
#[case::read_only(Mood::Refuses("READONLY You can't write against a read only replica."), 5)]
#[case::loading(Mood::Refuses("LOADING the dataset in memory"), 5)]
#[case::moved(Mood::Refuses("MOVED 3999 127.0.0.1:1"), 5)]
#[case::slow(Mood::Slow(Duration::from_millis(400)), 6)]
#[case::cut(Mood::CutsAnswers, 6)]
#[case::wrong_types(Mood::WrongTypes, 5)]
#[case::nests(Mood::Nests, 6)]
#[case::huge(Mood::Huge, 6)]
fn without_totals_the_slice_stays_at_its_floor_and_no_stream_waits(#[case] mood: Mood, #[case] state: u64) {
    let ((_, discovery), store) = (site(), Store::start());
    store.behave(mood);
    let gateway = gateway(&discovery, store.address);
    let (mut client, mut id) = (Client::connect(gateway.address), 0);
    press(&mut client, &mut id, Duration::from_secs(2));
    let rate = press(&mut client, &mut id, Duration::from_secs(3));
    assert!(rate > 0.0 && rate < 0.65 * RATE, "{rate}");
    wait_for("the state", || gateway.counter("store_state") == state);
}

#[rstest]
#[case::resp3(true, false, true)]
#[case::asked_of_an_old_store(true, true, false)]
#[case::resp2(false, false, false)]
fn a_user_with_a_secret_is_let_in_whatever_version_the_store_speaks(
    #[case] resp3: bool,
    #[case] old: bool,
    #[case] speaks: bool,
) {
    use std::os::unix::fs::PermissionsExt;
    let ((_, discovery), store) = (site(), Store::start());
    store.admit("gate", "open sesame");
    if old {
        store.grow_old();
    }
    let secret = std::env::temp_dir().join(format!("switchhill-secret-{}-{resp3}-{old}", std::process::id()));
    std::fs::write(&secret, "open sesame\n").expect("written");
    std::fs::set_permissions(&secret, std::fs::Permissions::from_mode(0o600)).expect("set");
    let (place, address) = (secret.display(), store.address);
    let text = format!(
        r#"{{"address":"{address}","prefix":"t","user":"gate","secret_file":"{place}","resp3":{resp3}}}"#
    );
    let gateway = gateway_with(&discovery, &text);
    let (mut client, mut id) = (Client::connect(gateway.address), 0);
    wait_for("what is counted", || {
        press(&mut client, &mut id, Duration::from_millis(100));
        store.keys().iter().any(|key| key.ends_with(":5"))
    });
    let (known, of_3) = store.hailed();
    assert!(known > 0 && (of_3 > 0) == speaks, "{known} {of_3}");
    // An old store's no is a sign for a while.
    wait_for("a sound link", || gateway.counter("store_state") == 0);
    let _ = std::fs::remove_file(secret);
}

#[test]
fn a_replica_that_is_named_first_is_left_for_the_primary() {
    let ((_, discovery), replica, primary) = (site(), Store::start(), Store::start());
    replica.behave(Mood::Refuses("READONLY You can't write against a read only replica."));
    let (first, second) = (replica.address, primary.address);
    let gateway = gateway_with(&discovery, &format!(r#"{{"address":["{first}","{second}"],"prefix":"t"}}"#));
    let (mut client, mut id) = (Client::connect(gateway.address), 0);
    wait_for("what is counted", || {
        press(&mut client, &mut id, Duration::from_millis(100));
        primary.keys().iter().any(|key| key.ends_with(":5"))
    });
    // The replica becomes the primary.
    primary.behave(Mood::Refuses("READONLY You can't write against a read only replica."));
    replica.behave(Mood::Works);
    wait_for("what is counted there", || {
        press(&mut client, &mut id, Duration::from_millis(100));
        replica.keys().iter().any(|key| key.ends_with(":5"))
    });
}

#[test]
fn what_a_cut_in_the_middle_of_a_batch_leaves_open_is_counted_once() {
    let ((seen, discovery), store) = (site(), Store::start());
    let link = Proxy::start(store.address, 7);
    let gateway = gateway(&discovery, link.address);
    let (mut client, mut id) = (Client::connect(gateway.address), 0);
    wait_for("the store", || gateway.counter("store_state") == 0 && !store.keys().is_empty());
    for fault in [Fault::CutDown, Fault::Reset, Fault::CutUp, Fault::CutDown] {
        press(&mut client, &mut id, Duration::from_millis(400));
        link.set(fault);
        press(&mut client, &mut id, Duration::from_millis(300));
        link.set(Fault::Reset);
        thread::sleep(Duration::from_millis(30));
        link.set(Fault::Pass);
    }
    press(&mut client, &mut id, Duration::from_millis(700));
    let counted = |key: &String| {
        let total = store.peek(key).filter(|_| key.ends_with(":5"));
        total.map_or(0.0, |text| String::from_utf8_lossy(&text).parse().expect("a number"))
    };
    // Keys of periods that are over go; what is there is never more than was sent on.
    let most = store.keys().iter().map(counted).sum::<f64>();
    assert!(most > 0.0 && most <= seen.all() as f64, "{most} of {}", seen.all());
    assert!(gateway.counter("store_failures") > 0 && gateway.counter("store_lives") == 0);
}

#[test]
fn two_gateways_hold_one_customers_quota_together() {
    let ((seen, discovery), store) = (site(), Store::start());
    let gateways = [gateway(&discovery, store.address), gateway(&discovery, store.address)];
    let start = Instant::now();
    // First one is busy alone until it has the whole quota, then the other comes too.
    let (mut first, mut id) = (Client::connect(gateways[0].address), 0);
    press(&mut first, &mut id, Duration::from_secs(2));
    wait_for("the whole quota", || press(&mut first, &mut id, Duration::from_secs(1)) > 0.75 * RATE);
    let other = gateways[1].address;
    let second =
        thread::spawn(move || press(&mut Client::connect(other), &mut 1_000_000, Duration::from_secs(4)));
    let together = press(&mut first, &mut id, Duration::from_secs(4)) + second.join().expect("no panic");
    let mean = seen.all() as f64 / start.elapsed().as_secs_f64();
    assert!(gateways.iter().all(|g| g.counter("served") > 0));
    // Both learn of the other a period late; over the whole time the quota and one burst are not passed
    // by more than what the newcomer's floor lets in meanwhile.
    let most = RATE * start.elapsed().as_secs_f64() + BURST + RATE;
    assert!(seen.all() as f64 <= most, "{} sent on, {most} allowed, {mean} a second", seen.all());
    assert!(together < 1.5 * RATE && together > 0.5 * RATE, "{together}");
}
