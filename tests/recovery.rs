//! Coming back from a snapshot: what is used of it, and what is not.
#![allow(missing_docs)]

use proptest::prelude::*;
use rstest::rstest;
use std::path::PathBuf;
use std::time::Duration;
use switchhill::core::state::State;
use switchhill::process::snapshot::{bytes, parse, read, write, Stamp, Unusable};
use switchhill_lab::stand_in::*;

fn stamp() -> Stamp {
    Stamp { name: "n0".into(), saved_ms: 7, settings: 9 }
}

#[rstest]
#[case::whole(|_: &mut Vec<u8>| (), None)]
#[case::cut_in_half(|b: &mut Vec<u8>| b.truncate(b.len() / 2), Some("not of the length it says"))]
#[case::cut_in_its_head(|b: &mut Vec<u8>| b.truncate(9), Some("shorter than its head"))]
#[case::longer(|b: &mut Vec<u8>| b.push(0), Some("not of the length it says"))]
#[case::a_bit_turned(|b: &mut Vec<u8>| *b.last_mut().expect("bytes") ^= 4, Some("its sum is wrong"))]
#[case::something_else(|b: &mut Vec<u8>| b[0] = b'X', Some("no snapshot"))]
#[case::an_older_format(|b: &mut Vec<u8>| b[5] = 0, Some("it is of format 0"))]
fn a_snapshot_is_read_only_where_nothing_about_it_is_in_doubt(
    #[case] spoil: fn(&mut Vec<u8>),
    #[case] why: Option<&str>,
) {
    let mut whole = bytes(&stamp(), &State::default()).expect("fits");
    spoil(&mut whole);
    match (parse(&whole, "n0"), why) {
        (Ok((read, _)), None) => assert_eq!(read, stamp()),
        (Err(found), Some(why)) => assert!(found.to_string().contains(why), "{found}"),
        (found, why) => panic!("{:?}, not {why:?}", found.map(|(stamp, _)| stamp)),
    }
}

#[test]
fn one_of_another_gateway_is_not_read_and_one_is_replaced_whole() {
    let place = std::env::temp_dir().join(format!("switchhill-snapshot-{}", std::process::id()));
    let _ = std::fs::remove_file(&place);
    assert_eq!(read(&place, "n0").err(), Some(Unusable::Missing));
    write(&place, &bytes(&stamp(), &State::default()).expect("fits")).expect("written");
    assert!(read(&place, "n0").is_ok());
    assert_eq!(read(&place, "n1").err(), Some(Unusable::Foreign("n0".into())));
    // What was cut off while it was written is not in the way of the one in place.
    std::fs::write(place.with_extension("new"), b"SWHS").expect("written");
    assert!(read(&place, "n0").is_ok());
    let _ = (std::fs::remove_file(place.with_extension("new")), std::fs::remove_file(place));
}

proptest! {
    #[test]
    fn whatever_lies_there_is_no_state_and_no_panic(noise: Vec<u8>, at: prop::sample::Index, turned in 1..=255u8) {
        prop_assert!(parse(&noise, "n0").is_err());
        let mut whole = bytes(&stamp(), &State::default()).expect("fits");
        let at = at.index(whole.len());
        whole[at] ^= turned;
        prop_assert!(parse(&whole, "n0").is_err(), "byte {at}");
    }
}

struct Site {
    seen: std::sync::Arc<Seen>,
    _discovery: Discovery,
    snapshot: PathBuf,
    config: String,
}

fn site(name: &str) -> Site {
    let seen = std::sync::Arc::new(Seen::default());
    let discovery = Discovery::new(vec![member("s-1", host(&seen, |_| Act::Serve))]);
    let snapshot = std::env::temp_dir().join(format!("switchhill-{name}-{}.state", std::process::id()));
    let _ = std::fs::remove_file(&snapshot);
    let config = with_door(&config(discovery.address));
    Site { seen, _discovery: discovery, snapshot, config }
}

impl Site {
    fn start(&self) -> Gateway {
        let operator =
            format!("recovery: {{snapshot: \"{}\"}}\nlog: {{format: json}}\n", self.snapshot.display());
        Gateway::start_with(&self.config, Some(&operator))
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.snapshot);
    }
}

/// A gateway killed and started alone keeps a cordon, which without the snapshot it would have forgotten; the phases of
/// its return are told.
#[test]
fn a_gateway_that_was_killed_comes_back_with_what_was_called_out() {
    let site = site("killed");
    let gateway = site.start();
    assert_eq!(gateway.counter("recovery_snapshot_taken"), 0);
    assert!(gateway.call("cordon s-1").starts_with("200"));
    let made = || std::fs::metadata(&site.snapshot).and_then(|about| about.modified()).ok();
    let before = std::time::SystemTime::now();
    wait_for("a snapshot from after the call", || {
        made().is_some_and(|at| at > before + Duration::from_millis(50))
    });
    drop(gateway);
    let gateway = site.start();
    assert_eq!(gateway.counter("recovery_snapshot_taken"), 1);
    assert_eq!(
        Client::connect(gateway.address).ask("usage-view", 1, 1, 1000).status,
        503,
        "still called out"
    );
    assert_eq!(site.seen.all(), 0);
    assert!(gateway.call("uncordon s-1").starts_with("200"));
    let mut id = 10;
    wait_for("served again", || {
        id += 1;
        Client::connect(gateway.address).ask("usage-view", id, id, 1000).status == 200
    });
    wait_for("hosts warm, a phase before full service", || gateway.counter("recovery_phase") >= 2);
}

#[rstest]
#[case::cut("cut", |bytes: &mut Vec<u8>| bytes.truncate(bytes.len() / 2))]
#[case::empty("empty", |bytes: &mut Vec<u8>| bytes.clear())]
fn a_broken_snapshot_is_a_plain_start(#[case] name: &str, #[case] spoil: fn(&mut Vec<u8>)) {
    let site = site(name);
    let mut whole = bytes(&stamp(), &State::default()).expect("fits");
    spoil(&mut whole);
    std::fs::write(&site.snapshot, &whole).expect("written");
    let gateway = site.start();
    assert_eq!(gateway.counter("recovery_snapshot_taken"), 0);
    assert_eq!(Client::connect(gateway.address).ask("usage-view", 1, 1, 1000).status, 200);
}
