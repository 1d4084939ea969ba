//! The invariants, without sockets.

use super::streams::COMES_WITHIN;
use super::*;
use crate::interface::{BackendState, Effect, ListKind};
use crate::interface::{ColdStartRules, KeyScope, Limits, Plan, ReportMode};

const VIEW: usize = 0;
const TOP_UP: usize = 1;

fn settings() -> Settings {
    let class =
        |worth, target_latency, late_value, effect| Class { worth, target_latency, late_value, effect };
    Settings {
        gateways: 2,
        ordinal: 0,
        zone: 0,
        classes: vec![class(2.0, 1500.0, 0.0, Effect::Safe), class(6.0, 5000.0, 0.2, Effect::Unsafe)],
        plans: vec![Plan {
            price: 1.0,
            rate: 5.0,
            burst: 8.0,
            max_concurrent: 0.0,
            overage_value: 0.0,
            overage_cost: 0.8,
            ceiling_rate: 0.0,
            ceiling_depth: 0.0,
        }],
        cold_start: ColdStartRules {
            cold_share: 0.2,
            warm_up: 10_000.0,
            overload_multiple: 2.0,
            overload_window: 2000.0,
        },
        limits: Limits {
            max_attempts: 3,
            may_duplicate: true,
            may_probe: false,
            probe_price: 0.005,
            may_cancel: true,
            max_hold_off: 0.0,
            may_count: false,
        },
        report_fields: vec![],
        report_mode: ReportMode::Never,
        meter_period: 1000.0,
        max_units: 1.0,
        must_subscribe: false,
    }
}

fn hosts(ids: &[&str], state: BackendState) -> Vec<Backend> {
    ids.iter().map(|id| Backend { id: (*id).into(), state, rating: 1.0, ..Backend::default() }).collect()
}

fn terms(class: usize, wait: Millis) -> Terms {
    Terms { class, plan: 0, customer: 7, spread: 2, units: 1.0, wait, resent: false, coming: false }
}

struct Bench {
    core: Core,
    now: Millis,
    out: Vec<Command>,
}

impl Bench {
    fn new(ids: &[&str]) -> Self {
        let core = Core::new(settings(), 3).expect("sound settings");
        let mut bench = Self { core, now: 1000.0, out: Vec::new() };
        bench.tell(vec![Input::ListChanged(ListKind::Full, hosts(ids, BackendState::Ready))]);
        bench
    }

    fn tell(&mut self, mut inputs: Vec<Input>) {
        self.core.advance(self.now, &mut inputs, &mut self.out);
    }

    fn ended(&mut self, id: UpstreamId, end: End) {
        self.tell(vec![Input::UpstreamEnded { id, end, usage: None, report: None }]);
    }

    fn arrive(&mut self, id: StreamId, class: usize, wait: Millis) -> UpstreamId {
        self.tell(vec![Input::StreamArrived(id, terms(class, wait))]);
        self.last_send().expect("sent on").0
    }

    fn pass(&mut self, time: Millis) {
        let until = self.now + time;
        while let Some(due) = self.core.next_due().filter(|due| *due <= until) {
            self.now = due;
            self.tell(vec![]);
        }
        self.now = until;
    }

    fn sends(&self) -> usize {
        self.out.iter().filter(|c| matches!(c, Command::Send(..))).count()
    }

    fn last_send(&self) -> Option<(UpstreamId, BackendId)> {
        self.out.iter().rev().find_map(|c| match c {
            Command::Send(id, host, _) => Some((*id, host.clone())),
            _ => None,
        })
    }

    fn answers(&self, stream: StreamId) -> Vec<&Command> {
        let of = |c: &&Command| match c {
            Command::Deliver((id, _)) | Command::Refuse(id, ..) | Command::Fail(id, _) => *id == stream,
            _ => false,
        };
        self.out.iter().filter(of).collect()
    }
}

#[test]
fn a_served_stream_has_one_answer_however_often_its_end_is_told() {
    let mut bench = Bench::new(&["a", "b"]);
    let id = bench.arrive(1, VIEW, 3000.0);
    bench.ended(id, End::Served);
    bench.ended(id, End::Served);
    bench.ended(id, End::Reset);
    bench.pass(10_000.0);
    assert_eq!(bench.answers(1), [&Command::Deliver(id)]);
    assert_eq!(bench.core.counters.upstream_served, 1);
    assert_eq!(bench.core.counters.upstream_reset, 0);
}

#[test]
fn a_top_up_that_may_have_run_is_never_sent_again() {
    for end in [End::Reset, End::Error] {
        let mut bench = Bench::new(&["a", "b", "c"]);
        let id = bench.arrive(1, TOP_UP, 8000.0);
        bench.ended(id, end);
        bench.pass(20_000.0);
        assert_eq!(bench.sends(), 1, "{end:?}");
        assert_eq!(bench.answers(1), [&Command::Fail(1, false)], "{end:?}");
    }
}

#[test]
fn a_top_up_that_never_ran_may_go_to_another_host_or_be_refused() {
    for end in [End::NotConnected, End::TurnedAway, End::NeverSent] {
        let mut bench = Bench::new(&["a", "b", "c"]);
        let id = bench.arrive(1, TOP_UP, 8000.0);
        bench.ended(id, end);
        if let Some((again, _)) = bench.last_send().filter(|(again, _)| *again != id) {
            bench.ended(again, End::Served);
        }
        bench.pass(20_000.0);
        let answers = bench.answers(1);
        assert_eq!(answers.len(), 1, "{end:?}");
        assert!(!matches!(answers[0], Command::Fail(..)), "{end:?}: {answers:?}");
    }
}

#[test]
fn a_downstream_that_leaves_after_its_top_up_was_sent_on() {
    // Guarded against: the outcome of the abandoned request is lost to the module, or it is sent again.
    let mut bench = Bench::new(&["a", "b"]);
    let id = bench.arrive(1, TOP_UP, 8000.0);
    bench.tell(vec![Input::DownstreamLeft(1)]);
    assert!(bench.out.contains(&Command::Stop(id, false)));
    bench.ended(id, End::Served);
    bench.pass(20_000.0);
    assert_eq!(bench.sends(), 1);
    assert_eq!(bench.answers(1).len(), 0);
    assert_eq!((bench.core.counters.upstream_stopped, bench.core.counters.left), (1, 1));
    assert_eq!(bench.core.open_streams(), 0);
}

#[test]
fn a_hung_upstream_host_costs_the_stream_its_deadline_and_no_more() {
    for (class, wait) in [(VIEW, 700.0), (TOP_UP, 6000.0)] {
        let mut bench = Bench::new(&["a"]);
        bench.arrive(1, class, wait);
        let start = bench.now;
        while bench.answers(1).is_empty() {
            bench.pass(1.0);
            assert!(bench.now <= start + wait, "class {class} has no answer by its deadline");
        }
        bench.pass(20_000.0);
        assert_eq!(bench.answers(1).len(), 1);
        // Guarded against: the stream's end came first, and the module took a silent host for a sound one.
        let counters = &bench.core.counters;
        assert_eq!((counters.upstream_timed_out, counters.upstream_stopped), (bench.sends() as u64, 0));
    }
}

#[test]
fn nothing_is_sent_to_a_host_that_was_told_draining_or_gone() {
    for state in [BackendState::Draining, BackendState::Removed] {
        let mut bench = Bench::new(&["a"]);
        bench.tell(vec![Input::ListChanged(ListKind::Changes, hosts(&["a"], state))]);
        bench.tell(vec![Input::StreamArrived(1, terms(VIEW, 2000.0))]);
        assert_eq!(bench.sends(), 0);
        assert!(matches!(bench.answers(1)[..], [Command::Refuse(1, hold_off, _)] if *hold_off > 0.0));
    }
}

#[test]
fn what_is_held_for_room_never_reaches_a_host_that_drains_meanwhile() {
    // Guarded against: a request that waits for an HTTP/2 peer's limit starts after the drain was told.
    let mut bench = Bench::new(&["a", "b"]);
    let id = bench.arrive(1, TOP_UP, 8000.0);
    let (_, host) = bench.last_send().expect("sent on");
    bench.tell(vec![Input::UpstreamHeld(id)]);
    bench.tell(vec![Input::ListChanged(ListKind::Changes, hosts(&[&host], BackendState::Draining))]);
    let before = bench.sends();
    bench.tell(vec![Input::HostHasRoom(host.clone(), 10)]);
    assert_eq!(bench.sends(), before);
    assert!(bench.out.iter().skip(1).all(|c| !matches!(c, Command::Send(i, h, _) if *i != id && *h == host)));
    assert_eq!(bench.core.counters.upstream_void, 1);
}

#[test]
fn what_is_held_goes_out_when_there_is_room_and_only_as_much() {
    let mut bench = Bench::new(&["a"]);
    for stream in 1..=3 {
        let id = bench.arrive(stream, VIEW, 3000.0);
        bench.tell(vec![Input::UpstreamHeld(id)]);
    }
    bench.out.clear();
    bench.tell(vec![Input::HostHasRoom("a".into(), 2)]);
    let sent: Vec<UpstreamId> = (bench.out.iter())
        .filter_map(|c| if let Command::Send(id, ..) = c { Some(*id) } else { None })
        .collect();
    assert_eq!(sent, [(1, 0), (2, 0)]);
}

#[test]
fn held_requests_of_an_unreachable_host_never_ran() {
    let mut bench = Bench::new(&["a"]);
    let id = bench.arrive(1, TOP_UP, 8000.0);
    bench.tell(vec![Input::UpstreamHeld(id), Input::HostUnreachable("a".into())]);
    assert!(matches!(bench.answers(1)[..], [Command::Refuse(..)]) || bench.sends() > 1);
    assert_eq!(bench.core.counters.upstream_not_connected, 1);
}

#[test]
fn what_is_sent_on_is_accounted_once_per_stream() {
    let mut bench = Bench::new(&["a", "b", "c"]);
    bench.core.keep_account();
    let id = bench.arrive(1, VIEW, 3000.0);
    bench.ended(id, End::NotConnected);
    assert_eq!(bench.core.take_sent_on().get(&7), Some(&(1.0, 5.0)));
    assert!(bench.core.take_sent_on().is_empty());
}

#[test]
fn a_stream_with_no_time_left_is_answered_at_once() {
    let mut bench = Bench::new(&["a"]);
    bench.tell(vec![Input::StreamArrived(1, terms(VIEW, 0.0))]);
    assert_eq!(bench.answers(1).len(), 1);
    assert_eq!(bench.sends(), 0);
}

#[test]
fn nobody_wakes_up_for_a_stream_that_is_over() {
    // Guarded against: four timers of every ended stream each cost a round of the loop.
    let mut bench = Bench::new(&["a"]);
    bench.pass(1.0);
    for stream in 1..=50 {
        let id = bench.arrive(stream, VIEW, 3000.0);
        bench.ended(id, End::Served);
    }
    let (mut wakes, until) = (0, bench.now + 4000.0);
    while let Some(due) = bench.core.next_due().filter(|due| *due <= until) {
        bench.now = due;
        bench.tell(vec![]);
        wakes += 1;
    }
    // The module's own tick, ten times a second.
    assert!((39..=41).contains(&wakes), "{wakes}");
}

#[test]
fn a_host_that_leaves_is_told_once() {
    for kind in [ListKind::Changes, ListKind::Full] {
        let mut bench = Bench::new(&["a", "b"]);
        let mut now = hosts(&["b"], BackendState::Ready);
        if kind == ListKind::Changes {
            now.extend(hosts(&["a"], BackendState::Draining));
        }
        for _ in 0..2 {
            bench.tell(vec![Input::ListChanged(kind, now.clone())]);
        }
        let left: Vec<_> = bench.out.iter().filter(|c| matches!(c, Command::HostLeft(_))).collect();
        assert_eq!(left, [&Command::HostLeft("a".into())]);
        // One that only drains is kept; of one that is gone nothing is.
        let gone = bench.out.iter().filter(|c| matches!(c, Command::HostGone(_))).count();
        assert_eq!((gone == 1, bench.core.knows("a")), (kind == ListKind::Full, kind == ListKind::Changes));
    }
}

#[test]
fn a_request_that_is_still_coming_in_has_its_time_from_its_last_byte_on() {
    let mut bench = Bench::new(&["a", "b"]);
    bench.tell(vec![Input::StreamArrived(1, Terms { coming: true, ..terms(TOP_UP, 1500.0) })]);
    let (id, _) = bench.last_send().expect("sent on");
    bench.pass(60_000.0);
    assert_eq!((bench.answers(1).len(), bench.core.open_streams()), (0, 1));
    bench.tell(vec![Input::BodyWhole(1)]);
    bench.pass(1000.0);
    assert_eq!(bench.answers(1).len(), 0);
    bench.pass(600.0);
    assert_eq!(bench.answers(1), [&Command::Fail(1, true)]);
    assert!(bench.out.contains(&Command::Stop(id, true)), "its time-out is told");
    // One that never ends its body is let go of in the end.
    bench.tell(vec![Input::StreamArrived(2, Terms { coming: true, ..terms(TOP_UP, 1500.0) })]);
    bench.pass(COMES_WITHIN + 1000.0);
    assert_eq!((bench.answers(2).len(), bench.core.open_streams()), (1, 0));
}

mod across_settings {
    use super::*;
    use proptest::prelude::*;

    /// The classes that names stand for; the effect of one may change from settings to settings.
    fn told(names: &[(usize, bool)], most: u32) -> Settings {
        let mut told = settings();
        told.classes = names
            .iter()
            .map(|(name, safe)| Class {
                worth: 1.0 + *name as f64,
                target_latency: 1000.0,
                late_value: 0.2,
                effect: if *safe { Effect::Safe } else { Effect::Unsafe },
            })
            .collect();
        told.limits.max_attempts = most;
        told
    }

    #[derive(Debug, Clone)]
    enum Step {
        Arrive(usize),
        End(usize, u8),
        Pass(u16),
        Retune(Vec<(usize, bool)>, u32),
    }

    fn steps() -> impl Strategy<Value = Vec<Step>> {
        let names = prop::collection::btree_map(0..4usize, any::<bool>(), 1..4)
            .prop_map(|map| map.into_iter().collect());
        let step = prop_oneof![
            4 => (0..4usize).prop_map(Step::Arrive),
            4 => (0..8usize, 0..5u8).prop_map(|(which, how)| Step::End(which, how)),
            1 => (1..800u16).prop_map(Step::Pass),
            2 => (names, 1..4u32).prop_map(|(names, most)| Step::Retune(names, most)),
        ];
        prop::collection::vec(step, 1..80)
    }

    proptest! {
        #[test]
        fn every_stream_keeps_its_rules_and_has_one_answer(steps in steps()) {
            let mut names = vec![(0, true), (1, false)];
            let mut most = 3;
            let mut bench = Bench { core: Core::new(told(&names, most), 3).expect("sound"), now: 1000.0, out: vec![] };
            bench.tell(vec![Input::ListChanged(ListKind::Full, hosts(&["a", "b", "c"], BackendState::Ready))]);
            let (mut next, mut rules, mut answers) = (0, HashMap::new(), HashMap::new());
            let (mut out, mut sent): (Vec<UpstreamId>, HashMap<StreamId, u32>) = (vec![], HashMap::new());
            for step in steps {
                match step {
                    Step::Arrive(at) if at < names.len() => {
                        rules.insert(next, (names[at].1, most));
                        bench.tell(vec![Input::StreamArrived(next, Terms { customer: next, ..terms(at, 3000.0) })]);
                        next += 1;
                    }
                    Step::End(which, how) if which < out.len() => {
                        let ends = [End::Served, End::Error, End::TurnedAway, End::Reset, End::NotConnected];
                        bench.ended(out.remove(which), ends[usize::from(how)]);
                    }
                    Step::Pass(ms) => bench.pass(f64::from(ms)),
                    Step::Retune(new, attempts) => {
                        let place = |(name, _): &(usize, bool)| new.iter().position(|(own, _)| own == name);
                        let classes: Vec<_> = names.iter().map(place).collect();
                        bench.core.retune(told(&new, attempts), &classes, &[Some(0)]).expect("sound");
                        (names, most) = (new, attempts);
                    }
                    _ => {}
                }
                for command in bench.out.drain(..) {
                    match command {
                        Command::Send(id, ..) => {
                            let (safe, most) = rules[&id.0];
                            let before = sent.entry(id.0).or_insert(0);
                            *before += 1;
                            prop_assert!(*before <= most, "stream {} has {} of {most}", id.0, before);
                            prop_assert!(safe || !out.iter().any(|o| o.0 == id.0), "two of an unsafe stream are out");
                            out.push(id);
                        }
                        Command::Stop(id, _) => out.retain(|o| *o != id),
                        Command::Deliver((stream, _)) | Command::Refuse(stream, ..) | Command::Fail(stream, _) => {
                            prop_assert!(answers.insert(stream, ()).is_none(), "stream {stream} has two answers");
                        }
                        _ => {}
                    }
                }
            }
            bench.pass(4000.0);
            for command in bench.out.drain(..) {
                if let Command::Deliver((stream, _)) | Command::Refuse(stream, ..) | Command::Fail(stream, _) = command {
                    prop_assert!(answers.insert(stream, ()).is_none(), "stream {stream} has two answers");
                }
            }
            prop_assert_eq!(answers.len(), next as usize);
            prop_assert_eq!(bench.core.classes.len() >= names.len(), true);
            // What no stream needs any more goes with the next settings.
            let classes: Vec<_> = (0..names.len()).map(Some).collect();
            bench.core.retune(told(&names, most), &classes, &[Some(0)]).expect("sound");
            prop_assert_eq!(bench.core.classes.len(), names.len());
        }
    }
}

#[test]
fn a_repeat_that_comes_up_after_the_window_in_which_hosts_know_it_does_not_begin() {
    let mut told = settings();
    told.classes[TOP_UP].effect = Effect::Keyed { scope: KeyScope::All, window: 400.0 };
    let mut bench = Bench::new(&["a", "b"]);
    bench.core = Core::new(told, 3).expect("sound settings");
    bench.tell(vec![Input::ListChanged(ListKind::Full, hosts(&["a", "b"], BackendState::Ready))]);
    let first = bench.arrive(1, TOP_UP, 9_000.0);
    let begun = bench.now;
    let host = bench.last_send().expect("sent").1;
    assert!(bench.core.may_begin(first, &host, begun + 600.0), "the first is no repeat");
    // It may have run; its repeat is decided on within the window, and its connect comes up later.
    bench.now += 300.0;
    bench.ended(first, End::Reset);
    let (repeat, host) = bench.last_send().expect("repeated");
    assert_eq!(repeat, (1, 1));
    assert!(bench.core.may_begin(repeat, &host, begun + 350.0));
    assert!(
        !bench.core.may_begin(repeat, &host, begun + 390.0),
        "a tenth of a second on its way, and it runs twice"
    );
    // What was turned away unseen leaves no window.
    let first = bench.arrive(2, TOP_UP, 9_000.0);
    bench.ended(first, End::TurnedAway);
    let (repeat, host) = bench.last_send().expect("sent again");
    assert_eq!(repeat, (2, 1));
    assert!(bench.core.may_begin(repeat, &host, bench.now + 600.0));
}
