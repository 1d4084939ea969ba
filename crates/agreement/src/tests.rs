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
    let changes = register.take_changes();
    assert_eq!(changes.last().map(|change| (change.at, change.why)), Some((1160, "announcement ran out")));
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
fn members_count_themselves_and_are_alone_without_a_listing() {
    let settings = Settings::default();
    let mut members = Members::new(settings, "a");
    assert_eq!(members.told(0), Told { gateways: 1, suspected: 0, alone: true });
    let listed = |id: &str, left_ms| Listed { id: id.into(), left_ms };
    members.listed(10, 0, vec![listed("a", 1000), listed("b", 900), listed("c", 100), listed("b", 900)]);
    assert_eq!(members.told(10), Told { gateways: 3, suspected: 1, alone: false });
    assert!(members.told(1001).alone, "the listing's lease ran out");
}

#[test]
fn a_fleets_first_version_is_proposed_over_nothing() {
    let mut register = Register::new(Settings::default(), 0);
    register.propose(11);
    assert_eq!(register.poll_action(0), Some(Action::Read { sent: 0 }));
    register.read(5, 0, Answer { pointer: None, settle_ms: None, content: false });
    assert_eq!(register.poll_action(5), Some(Action::Propose { version: V1, over: None }));
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
