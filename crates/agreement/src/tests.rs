//! The register's rules one at a time.

use super::*;
use rstest::rstest;

const V1: Version = Version { epoch: 1, digest: 11 };
const V2: Version = Version { epoch: 2, digest: 22 };

fn settled(pointer: Version) -> Answer {
    Answer { pointer: Some(pointer), settle_ms: None, content: true }
}

fn active_on(version: Version) -> Register {
    let mut register = Register::new(Settings::default(), 0);
    assert_eq!(register.poll_action(0), Some(Action::Read { sent: 0 }));
    register.read(5, 0, settled(version));
    register
}

#[rstest]
#[case::older_epoch(Version { epoch: 1, digest: 22 })]
#[case::same_epoch_other_digest(Version { epoch: 2, digest: 99 })]
fn an_old_version_offered_again_is_refused_and_the_highest_given_back(#[case] offered: Version) {
    let mut register = active_on(V2);
    register.read(300, 250, settled(offered));
    assert_eq!(register.acting(300).active, Some(V2));
    assert_eq!(register.poll_action(300), Some(Action::Restore { version: V2, settle_ms: 1500 }));
}

#[test]
fn a_lease_that_ran_out_unseen_during_a_stop_is_still_told_after_the_next_confirmation() {
    let mut register = active_on(V1);
    register.read(5000, 4990, settled(V2));
    let state = register.state();
    assert_eq!((state.mode, state.active, state.lapsed), (Mode::Active, Some(V2), Some(1001)));
}

#[test]
fn a_lost_key_is_given_back_and_confirms_nothing() {
    let mut register = active_on(V1);
    register.read(300, 250, Answer { pointer: None, settle_ms: None, content: true });
    assert_eq!(register.poll_action(300), Some(Action::Restore { version: V1, settle_ms: 1500 }));
    assert_eq!(register.acting(1000).mode, Mode::Active);
    assert_eq!(register.acting(1001).mode, Mode::Safe, "the lease of the read at 0 ran out");
}

#[rstest]
#[case::slow(300, true, Mode::Safe)]
#[case::in_time(250, true, Mode::Active)]
#[case::content_missing(10, false, Mode::Safe)]
fn only_a_read_in_time_with_its_content_renews_the_lease(
    #[case] took: Ms,
    #[case] content: bool,
    #[case] after: Mode,
) {
    let mut register = active_on(V1);
    register.read(900 + took, 900, Answer { pointer: Some(V1), settle_ms: None, content });
    assert_eq!(register.acting(1500).mode, after);
}

#[test]
fn an_announcement_activates_at_the_stores_moment_and_not_before() {
    let mut register = active_on(V1);
    register.read(260, 250, Answer { pointer: Some(V2), settle_ms: Some(900), content: true });
    let before = register.acting(1159);
    assert_eq!((before.active, before.pending), (Some(V1), Some(V2)));
    assert_eq!(register.acting(1160).active, Some(V2));
    assert_eq!(register.state().changed, (1160, "announcement ran out"));
}

#[test]
fn a_starting_gateway_waits_for_an_announcement_to_settle() {
    let mut register = Register::new(Settings::default(), 0);
    register.read(5, 0, Answer { pointer: Some(V2), settle_ms: Some(800), content: true });
    assert_eq!(register.acting(900).mode, Mode::Starting);
    register.read(1005, 1000, settled(V2));
    assert_eq!(register.acting(1005).mode, Mode::Active);
}

#[test]
fn a_proposal_waits_for_confirmation_and_names_the_next_epoch() {
    let mut register = Register::new(Settings::default(), 0);
    register.propose(22);
    assert_eq!(register.poll_action(0), Some(Action::Read { sent: 0 }));
    assert_eq!(register.poll_action(1), None, "not Active yet, and a read is out");
    register.read(5, 0, settled(V1));
    assert_eq!(register.poll_action(5), Some(Action::Propose { version: V2, over: Some(V1) }));
    register.proposed(10, Proposed::Won);
    assert_eq!(register.poll_action(250), Some(Action::Read { sent: 250 }));
}

#[test]
fn a_proposal_of_what_is_active_is_dropped() {
    let mut register = active_on(V1);
    register.propose(V1.digest);
    assert_eq!(register.poll_action(6), None);
}

#[rstest]
#[case::period_too_short(Settings { period_ms: 5, ..Settings::default() }, "period_ms")]
#[case::slow_read(Settings { slowest_read_ms: 300, ..Settings::default() }, "slowest_read_ms")]
#[case::lease(Settings { lease_ms: 400, ..Settings::default() }, "lease_ms")]
#[case::announce(Settings { announce_ms: 1250, ..Settings::default() }, "announce_ms")]
fn settings_that_break_the_bound_are_refused_by_name(#[case] settings: Settings, #[case] field: &str) {
    assert!(settings.check().unwrap_err().starts_with(field));
    assert!(Settings::default().check().is_ok());
}

#[test]
fn versions_read_back_what_they_store_and_digests_are_stable() {
    assert_eq!(Version::parse(&V2.stored()), Some(V2));
    assert_eq!(Version::parse("x 1"), None);
    assert_eq!(digest(b"classes"), digest(b"classes"));
    assert_ne!(digest(b"classes"), digest(b"classes "));
}

#[test]
fn members_are_counted_suspected_and_ranked_and_who_is_alone_keeps_the_last_number() {
    let mut members = Members::new(Settings::default(), "b");
    assert_eq!(members.told(0), Told::ALONE);
    let listed = |id: &str, beat| Listed { id: id.into(), beat };
    members.listed(10, 0, vec![listed("a", 1), listed("b", 1), listed("c", 1), listed("a", 1)]);
    assert_eq!(members.told(10), Told { gateways: 3, ordinal: 1, suspected: 0, alone: false });
    members.listed(520, 510, vec![listed("a", 2), listed("c", 1)]);
    assert_eq!(
        members.told(520),
        Told { gateways: 3, ordinal: 1, suspected: 1, alone: false },
        "c stands still"
    );
    members.listed(800, 510, vec![]);
    assert_eq!(members.told(800).gateways, 3, "a listing too slow tells nothing");
    let alone = members.told(1511);
    assert_eq!(
        (alone.gateways, alone.alone),
        (3, true),
        "counting itself alone would grant it the whole quota"
    );
    members.listed(1600, 1590, vec![listed("a", 9)]);
    assert_eq!(members.told(1600).gateways, 2, "c's key has run out");
}

fn listing(revision: u64, hosts: &[(&str, bool)]) -> hosts::Listing {
    let host =
        |(id, ready): &(&str, bool)| (id.to_string(), hosts::Host { ready: *ready, body: String::new() });
    hosts::Listing { stamp: (0, revision), hosts: hosts.iter().map(host).collect() }
}

#[test]
fn hosts_are_composed_over_the_newest_and_wishes_never_undo_each_other() {
    use hosts::{compose, held_out, unmet, Hosts, Wishes};
    assert_eq!(compose(None, None, &Wishes::from([("a".into(), true)])), None, "no list to cordon in yet");
    let first =
        compose(None, Some(&listing(4, &[("a", true), ("b", true)])), &Wishes::new()).expect("a first");
    assert_eq!(Hosts::read(&first.stored()), Ok(first.clone()));
    assert_eq!(compose(Some(&first), Some(&listing(3, &[("z", true)])), &Wishes::new()), None, "older");
    let (out_a, out_b) = (Wishes::from([("a".into(), true)]), Wishes::from([("b".into(), true)]));
    let second = compose(Some(&first), None, &out_a).expect("a cordon");
    assert_eq!(compose(Some(&second), None, &out_a), None);
    assert!(unmet(Some(&second), out_a.clone()).is_empty() && !unmet(Some(&first), out_a).is_empty());
    let third =
        compose(Some(&second), Some(&listing(5, &[("a", true), ("c", false)])), &out_b).expect("both");
    assert_eq!(third.cordons.iter().map(String::as_str).collect::<Vec<_>>(), ["a", "b"]);
    let back = compose(Some(&third), None, &Wishes::from([("a".into(), false)])).expect("a put back");
    let out = held_out([&third, &back], &Wishes::from([("d".into(), true), ("a".into(), false)]));
    assert_eq!(
        out.iter().map(String::as_str).collect::<Vec<_>>(),
        ["a", "b", "c", "d"],
        "the stricter of both"
    );
    assert!(back.out().all(|id| id != "a") && back.out().any(|id| id == "c"));
}

#[test]
fn a_list_older_than_the_agreed_one_is_kept_out_until_discovery_has_begun_anew() {
    use hosts::{Stamper, Verdict, BEGINS_ANEW_MS};
    let mut stamper = Stamper::default();
    assert_eq!(stamper.judge(0, 7, None), Verdict::Take((0, 7)));
    assert_eq!(stamper.judge(0, 9, Some((2, 8))), Verdict::Take((2, 9)));
    assert_eq!(stamper.judge(100, 3, Some((2, 9))), Verdict::Older);
    assert_eq!(
        stamper.judge(200, 9, Some((2, 9))),
        Verdict::Take((2, 9)),
        "heard again: the wait begins anew"
    );
    assert_eq!(stamper.judge(300, 3, Some((2, 9))), Verdict::Older);
    assert_eq!(stamper.judge(299 + BEGINS_ANEW_MS, 4, Some((2, 9))), Verdict::Older);
    assert_eq!(stamper.judge(300 + BEGINS_ANEW_MS, 4, Some((2, 9))), Verdict::Take((3, 4)));
}

#[test]
fn a_fleets_first_version_is_proposed_over_nothing() {
    let mut register = Register::new(Settings::default(), 0);
    register.propose(11);
    assert_eq!(register.poll_action(0), Some(Action::Read { sent: 0 }));
    register.read(5, 0, Answer { pointer: None, settle_ms: None, content: false });
    assert_eq!(register.poll_action(5), Some(Action::Propose { version: V1, over: None }));
}

#[test]
fn what_a_process_was_started_with_is_proposed_over_nothing_and_never_over_a_version() {
    let mut register = Register::new(Settings::default(), 0);
    register.propose_first(11);
    assert_eq!(register.poll_action(0), Some(Action::Read { sent: 0 }));
    register.read(5, 0, settled(V2));
    assert_eq!(register.poll_action(6), None, "the fleet has a version");
    register.propose_first(11);
    assert_eq!(register.poll_action(7), None);
    register.propose(11);
    let version = Version { epoch: 3, digest: 11 };
    assert_eq!(
        register.poll_action(8),
        Some(Action::Propose { version, over: Some(V2) }),
        "an operator's wish"
    );
    let mut fresh = Register::new(Settings::default(), 0);
    fresh.propose_first(11);
    assert_eq!(fresh.poll_action(0), Some(Action::Read { sent: 0 }));
    fresh.read(5, 0, Answer { pointer: None, settle_ms: None, content: false });
    assert_eq!(fresh.poll_action(6), Some(Action::Propose { version: V1, over: None }));
}

#[rstest]
#[case::first_version(None)]
#[case::during_an_announcement(Some(V1))]
fn a_lost_proposal_waits_for_a_read_before_the_next(#[case] over: Option<Version>) {
    let mut register = match over {
        Some(version) => active_on(version),
        None => Register::new(Settings::default(), 0),
    };
    register.propose(99);
    if over.is_none() {
        assert_eq!(register.poll_action(0), Some(Action::Read { sent: 0 }));
        register.read(5, 0, Answer { pointer: None, settle_ms: None, content: false });
    }
    assert!(matches!(register.poll_action(6), Some(Action::Propose { .. })));
    register.proposed(7, Proposed::Lost);
    assert_eq!(register.poll_action(8), None, "no second proposal before a read");
    assert_eq!(register.poll_action(250), Some(Action::Read { sent: 250 }));
}

#[test]
fn a_version_won_is_given_back_if_the_store_loses_it_before_anyone_read_it() {
    let mut register = active_on(V1);
    register.propose(V2.digest);
    assert_eq!(register.poll_action(6), Some(Action::Propose { version: V2, over: Some(V1) }));
    register.proposed(10, Proposed::Won);
    register.read(260, 250, Answer { pointer: None, settle_ms: None, content: false });
    assert_eq!(register.poll_action(260), Some(Action::Restore { version: V2, settle_ms: 1250 }));
    assert_eq!(register.acting(1510).active, Some(V2), "at the end of its announcement");
}
