//! Unit tests of the register, member and host content rules, one rule per test.

use super::*;
use rstest::rstest;

const V1: Version = Version { epoch: 1, digest: 11 };
const V2: Version = Version { epoch: 2, digest: 22 };

fn settled(pointer: Version) -> ReadReply {
    ReadReply { pointer: Some(pointer), settle_ms: None, content_available: true }
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
fn a_pointer_regression_is_rejected_and_the_highest_version_restored(#[case] offered: Version) {
    let mut register = active_on(V2);
    register.read(300, 250, settled(offered));
    assert_eq!(register.effective_state(300).active, Some(V2));
    assert_eq!(register.poll_action(300), Some(Action::Restore { version: V2, settle_ms: 1500 }));
}

#[test]
fn a_lease_expiry_during_a_process_stop_is_reported_after_the_next_confirmation() {
    let mut register = active_on(V1);
    register.read(5000, 4990, settled(V2));
    let state = register.snapshot();
    assert_eq!((state.mode, state.active, state.lease_expired_at), (Mode::Active, Some(V2), Some(1001)));
}

#[test]
fn a_missing_pointer_is_restored_and_does_not_renew_the_lease() {
    let mut register = active_on(V1);
    register.read(300, 250, ReadReply { pointer: None, settle_ms: None, content_available: true });
    assert_eq!(register.poll_action(300), Some(Action::Restore { version: V1, settle_ms: 1500 }));
    assert_eq!(register.effective_state(1000).mode, Mode::Active);
    assert_eq!(register.effective_state(1001).mode, Mode::Safe, "the lease of the read at 0 has expired");
}

#[rstest]
#[case::slow(300, true, Mode::Safe)]
#[case::in_time(250, true, Mode::Active)]
#[case::content_missing(10, false, Mode::Safe)]
fn only_a_read_in_time_with_its_content_renews_the_lease(
    #[case] took: Ms,
    #[case] content_available: bool,
    #[case] after: Mode,
) {
    let mut register = active_on(V1);
    register.read(900 + took, 900, ReadReply { pointer: Some(V1), settle_ms: None, content_available });
    assert_eq!(register.effective_state(1500).mode, after);
}

#[test]
fn a_version_activates_when_its_announcement_expires_and_not_before() {
    let mut register = active_on(V1);
    register.read(260, 250, ReadReply { pointer: Some(V2), settle_ms: Some(900), content_available: true });
    let before = register.effective_state(1159);
    assert_eq!((before.active, before.pending), (Some(V1), Some(V2)));
    assert_eq!(register.effective_state(1160).active, Some(V2));
    assert_eq!(register.snapshot().last_change, (1160, "announcement ran out"));
}

#[test]
fn a_starting_gateway_waits_for_an_announcement_to_expire() {
    let mut register = Register::new(Settings::default(), 0);
    register.read(5, 0, ReadReply { pointer: Some(V2), settle_ms: Some(800), content_available: true });
    assert_eq!(register.effective_state(900).mode, Mode::Starting);
    register.read(1005, 1000, settled(V2));
    assert_eq!(register.effective_state(1005).mode, Mode::Active);
}

#[test]
fn a_proposal_waits_for_confirmation_and_names_the_next_epoch() {
    let mut register = Register::new(Settings::default(), 0);
    register.propose(22);
    assert_eq!(register.poll_action(0), Some(Action::Read { sent: 0 }));
    assert_eq!(register.poll_action(1), None, "not active yet, and a read is outstanding");
    register.read(5, 0, settled(V1));
    assert_eq!(register.poll_action(5), Some(Action::Propose { version: V2, expected: Some(V1) }));
    register.proposal_finished(10, ProposalOutcome::Won);
    assert_eq!(register.poll_action(250), Some(Action::Read { sent: 250 }));
}

#[test]
fn a_proposal_of_the_active_content_is_dropped() {
    let mut register = active_on(V1);
    register.propose(V1.digest);
    assert_eq!(register.poll_action(6), None);
}

#[rstest]
#[case::period_too_short(Settings { period_ms: 5, ..Settings::default() }, "period_ms")]
#[case::slow_read(Settings { read_timeout_ms: 300, ..Settings::default() }, "read_timeout_ms")]
#[case::lease(Settings { lease_ms: 400, ..Settings::default() }, "lease_ms")]
#[case::announce(Settings { announce_ms: 1250, ..Settings::default() }, "announce_ms")]
fn settings_that_break_the_bound_are_rejected_by_field_name(#[case] settings: Settings, #[case] field: &str) {
    assert!(settings.check().unwrap_err().starts_with(field));
    assert!(Settings::default().check().is_ok());
}

#[test]
fn versions_round_trip_and_digests_are_stable() {
    assert_eq!(Version::parse(&V2.encode()), Some(V2));
    assert_eq!(Version::parse("x 1"), None);
    assert_eq!(digest(b"classes"), digest(b"classes"));
    assert_ne!(digest(b"classes"), digest(b"classes "));
}

#[test]
fn members_are_counted_suspected_and_ranked_and_an_isolated_gateway_keeps_the_last_count() {
    let mut members = Members::new(Settings::default(), "b");
    assert_eq!(members.view(0), MembershipView::ISOLATED);
    let listed = |id: &str, heartbeat| ListedMember { id: id.into(), heartbeat };
    members.record_listing(10, 0, vec![listed("a", 1), listed("b", 1), listed("c", 1), listed("a", 1)]);
    assert_eq!(members.view(10), MembershipView { gateways: 3, ordinal: 1, suspected: 0, isolated: false });
    members.record_listing(520, 510, vec![listed("a", 2), listed("c", 1)]);
    assert_eq!(
        members.view(520),
        MembershipView { gateways: 3, ordinal: 1, suspected: 1, isolated: false },
        "the heartbeat of c has not changed"
    );
    members.record_listing(800, 510, vec![]);
    assert_eq!(members.view(800).gateways, 3, "a listing slower than the read timeout is ignored");
    let isolated = members.view(1511);
    assert_eq!(
        (isolated.gateways, isolated.isolated),
        (3, true),
        "counting only itself would give it the whole quota"
    );
    members.record_listing(1600, 1590, vec![listed("a", 9)]);
    assert_eq!(members.view(1600).gateways, 2, "the key of c has expired");
}

fn listing(revision: u64, hosts: &[(&str, bool)]) -> hosts::Listing {
    let host =
        |(id, ready): &(&str, bool)| (id.to_string(), hosts::Host { ready: *ready, body: String::new() });
    hosts::Listing { stamp: (0, revision), hosts: hosts.iter().map(host).collect() }
}

#[test]
fn host_content_is_composed_over_the_newest_and_cordon_requests_do_not_overwrite_each_other() {
    use hosts::{compose, excluded_hosts, pending_requests, CordonRequests, Hosts};
    assert_eq!(
        compose(None, None, &CordonRequests::from([("a".into(), true)])),
        None,
        "there is no host list yet"
    );
    let first = compose(None, Some(&listing(4, &[("a", true), ("b", true)])), &CordonRequests::new())
        .expect("a first content");
    assert_eq!(Hosts::parse(&first.encode()), Ok(first.clone()));
    assert_eq!(
        compose(Some(&first), Some(&listing(3, &[("z", true)])), &CordonRequests::new()),
        None,
        "an older listing"
    );
    let (cordon_a, cordon_b) =
        (CordonRequests::from([("a".into(), true)]), CordonRequests::from([("b".into(), true)]));
    let second = compose(Some(&first), None, &cordon_a).expect("a is cordoned");
    assert_eq!(compose(Some(&second), None, &cordon_a), None);
    assert!(
        pending_requests(Some(&second), cordon_a.clone()).is_empty()
            && !pending_requests(Some(&first), cordon_a).is_empty()
    );
    let third = compose(Some(&second), Some(&listing(5, &[("a", true), ("c", false)])), &cordon_b)
        .expect("a newer listing and b cordoned");
    assert_eq!(third.cordons.iter().map(String::as_str).collect::<Vec<_>>(), ["a", "b"]);
    let uncordoned =
        compose(Some(&third), None, &CordonRequests::from([("a".into(), false)])).expect("a is uncordoned");
    let excluded = excluded_hosts(
        [&third, &uncordoned],
        &CordonRequests::from([("d".into(), true), ("a".into(), false)]),
    );
    assert_eq!(
        excluded.iter().map(String::as_str).collect::<Vec<_>>(),
        ["a", "b", "c", "d"],
        "the union of both versions and the local request"
    );
    assert!(uncordoned.excluded().all(|id| id != "a") && uncordoned.excluded().any(|id| id == "c"));
}

#[test]
fn a_stale_listing_is_rejected_until_the_revision_reset_time_has_passed() {
    use hosts::{ListingOrder, RevisionTracker, REVISION_RESET_MS};
    let mut tracker = RevisionTracker::default();
    assert_eq!(tracker.classify(0, 7, None), ListingOrder::Current((0, 7)));
    assert_eq!(tracker.classify(0, 9, Some((2, 8))), ListingOrder::Current((2, 9)));
    assert_eq!(tracker.classify(100, 3, Some((2, 9))), ListingOrder::Stale);
    assert_eq!(
        tracker.classify(200, 9, Some((2, 9))),
        ListingOrder::Current((2, 9)),
        "a current listing restarts the reset time"
    );
    assert_eq!(tracker.classify(300, 3, Some((2, 9))), ListingOrder::Stale);
    assert_eq!(tracker.classify(299 + REVISION_RESET_MS, 4, Some((2, 9))), ListingOrder::Stale);
    assert_eq!(tracker.classify(300 + REVISION_RESET_MS, 4, Some((2, 9))), ListingOrder::Current((3, 4)));
}

#[test]
fn the_first_version_is_proposed_against_an_absent_pointer() {
    let mut register = Register::new(Settings::default(), 0);
    register.propose(11);
    assert_eq!(register.poll_action(0), Some(Action::Read { sent: 0 }));
    register.read(5, 0, ReadReply { pointer: None, settle_ms: None, content_available: false });
    assert_eq!(register.poll_action(5), Some(Action::Propose { version: V1, expected: None }));
}

#[test]
fn startup_content_is_proposed_against_an_absent_pointer_and_never_over_a_version() {
    let mut register = Register::new(Settings::default(), 0);
    register.propose_initial(11);
    assert_eq!(register.poll_action(0), Some(Action::Read { sent: 0 }));
    register.read(5, 0, settled(V2));
    assert_eq!(register.poll_action(6), None, "the fleet has a version");
    register.propose_initial(11);
    assert_eq!(register.poll_action(7), None);
    register.propose(11);
    let version = Version { epoch: 3, digest: 11 };
    assert_eq!(
        register.poll_action(8),
        Some(Action::Propose { version, expected: Some(V2) }),
        "an operator's change"
    );
    let mut fresh = Register::new(Settings::default(), 0);
    fresh.propose_initial(11);
    assert_eq!(fresh.poll_action(0), Some(Action::Read { sent: 0 }));
    fresh.read(5, 0, ReadReply { pointer: None, settle_ms: None, content_available: false });
    assert_eq!(fresh.poll_action(6), Some(Action::Propose { version: V1, expected: None }));
}

#[rstest]
#[case::first_version(None)]
#[case::during_an_announcement(Some(V1))]
fn a_lost_proposal_waits_for_a_read_before_the_next(#[case] expected: Option<Version>) {
    let mut register = match expected {
        Some(version) => active_on(version),
        None => Register::new(Settings::default(), 0),
    };
    register.propose(99);
    if expected.is_none() {
        assert_eq!(register.poll_action(0), Some(Action::Read { sent: 0 }));
        register.read(5, 0, ReadReply { pointer: None, settle_ms: None, content_available: false });
    }
    assert!(matches!(register.poll_action(6), Some(Action::Propose { .. })));
    register.proposal_finished(7, ProposalOutcome::Lost);
    assert_eq!(register.poll_action(8), None, "no second proposal before a read");
    assert_eq!(register.poll_action(250), Some(Action::Read { sent: 250 }));
}

#[test]
fn a_won_version_is_restored_if_the_store_loses_it_before_any_read() {
    let mut register = active_on(V1);
    register.propose(V2.digest);
    assert_eq!(register.poll_action(6), Some(Action::Propose { version: V2, expected: Some(V1) }));
    register.proposal_finished(10, ProposalOutcome::Won);
    register.read(260, 250, ReadReply { pointer: None, settle_ms: None, content_available: false });
    assert_eq!(register.poll_action(260), Some(Action::Restore { version: V2, settle_ms: 1250 }));
    assert_eq!(register.effective_state(1510).active, Some(V2), "when its announcement expires");
}
