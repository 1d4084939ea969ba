//! Model check of the version protocol: real `Register`s run against a simulated store in virtual time, under every
//! combination of a set of faults and under random faults. Property: no two active gateways have different versions
//! in force for longer than the bound.
#![allow(missing_docs)]

use proptest::prelude::*;
use switchhill_agreement::{Action, Mode, Ms, ProposalOutcome, ReadReply, Register, Settings, Version};

const STEP: Ms = 5;
const START: Ms = 2000;
const END: Ms = 7000;

/// Fault injected at one gateway; windows are `[from, to)`.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// Every store operation sent in the window is lost.
    Lost(Ms, Ms),
    /// Every store operation sent in the window has this round trip time.
    Slow(Ms, Ms, Ms),
    /// SIGSTOP at `from`, SIGCONT at `to`: the process does not run, but its clock advances.
    Stopped(Ms, Ms),
    /// SIGKILL and immediate restart at this time.
    Restart(Ms),
    /// The content of new versions is unavailable in the window.
    NoContent(Ms, Ms),
}

/// Fault injected at the store.
#[derive(Clone, Copy, Debug)]
enum StoreFault {
    None,
    /// The store loses all data at this time.
    Emptied(Ms),
}

struct Store {
    pointer: Option<Version>,
    announced_until: Option<Ms>,
}

impl Store {
    fn remaining_announcement(&self, at: Ms) -> Option<Ms> {
        self.announced_until.filter(|until| *until > at).map(|until| until - at)
    }
}

/// A gateway's monotonic clock: its value at simulated time 0, and its milliseconds per 1000 simulated milliseconds.
type Clock = (Ms, u64);

/// A clock that follows simulated time exactly.
const IDEAL_CLOCK: Clock = (0, 1000);

struct Node {
    register: Register,
    clock: Clock,
    fault: Fault,
    rtt: Ms,
    /// Replies in flight: (arrival time, send time, reply or `None` for a failed read).
    reads: Vec<(Ms, Ms, Option<ReadReply>)>,
    proposals: Vec<(Ms, ProposalOutcome)>,
    planned_change: Option<(Ms, u64)>,
}

impl Node {
    /// Returns the gateway's clock reading at a simulated time.
    fn local_time(&self, now: Ms) -> Ms {
        self.clock.0 + now * self.clock.1 / 1000
    }

    fn stopped(&self, now: Ms) -> bool {
        matches!(self.fault, Fault::Stopped(from, to) if now >= from && now < to)
    }
}

/// Simulates one schedule. Returns the longest disagreement among active gateways, and whether every gateway running
/// at the end was active on the last version, so that a run that merely stalls fails as well.
fn simulate(
    settings: Settings,
    faults: &[Fault],
    clocks: &[Clock],
    rtts: &[Ms],
    store_fault: StoreFault,
    changes: &[(usize, Ms, u64)],
) -> (Ms, bool) {
    let first = Version { epoch: 1, digest: 1 };
    let mut store = Store { pointer: Some(first), announced_until: None };
    let mut nodes: Vec<Node> = faults
        .iter()
        .zip(rtts)
        .zip(clocks)
        .map(|((fault, rtt), clock)| Node {
            register: Register::new(settings, clock.0),
            clock: *clock,
            fault: *fault,
            rtt: *rtt,
            reads: Vec::new(),
            proposals: Vec::new(),
            planned_change: None,
        })
        .collect();
    for (node, at, digest) in changes {
        nodes[*node].planned_change = Some((*at, *digest));
    }
    let mut longest = 0;
    let mut since: Option<Ms> = None;
    let mut now = 0;
    while now <= END {
        if let StoreFault::Emptied(at) = store_fault {
            if now == at {
                store = Store { pointer: None, announced_until: None };
            }
        }
        for node in nodes.iter_mut() {
            if let Fault::Restart(at) = node.fault {
                if now == at {
                    node.register = Register::new(settings, node.local_time(now));
                    node.reads.clear();
                    node.proposals.clear();
                }
            }
            if node.stopped(now) {
                continue;
            }
            let local_now = node.local_time(now);
            if let Some((at, digest)) = node.planned_change {
                if now >= at {
                    node.register.propose(digest);
                    node.planned_change = None;
                }
            }
            let due: Vec<_> = node.reads.iter().copied().filter(|read| read.0 <= now).collect();
            node.reads.retain(|read| read.0 > now);
            for (_, sent, answer) in due {
                match answer {
                    Some(answer) => node.register.read(local_now, sent, answer),
                    None => node.register.read_failed(local_now, sent),
                }
            }
            let due: Vec<_> = node.proposals.iter().copied().filter(|outcome| outcome.0 <= now).collect();
            node.proposals.retain(|outcome| outcome.0 > now);
            for (_, outcome) in due {
                node.register.proposal_finished(local_now, outcome);
            }
            while let Some(action) = node.register.poll_action(local_now) {
                let (rtt, lost, content) = match node.fault {
                    Fault::Lost(from, to) if now >= from && now < to => (node.rtt, true, true),
                    Fault::Slow(from, to, rtt) if now >= from && now < to => (rtt, false, true),
                    Fault::NoContent(from, to) if now >= from && now < to => (node.rtt, false, false),
                    _ => (node.rtt, false, true),
                };
                // A real store processes the operation halfway through the round trip. The model applies it at once and
                // computes remaining announcement times as of the middle of the round trip.
                let at = now + rtt / 2;
                match action {
                    Action::Read { sent } => {
                        if lost {
                            continue;
                        }
                        let answer = ReadReply {
                            pointer: store.pointer,
                            settle_ms: store.remaining_announcement(at),
                            content_available: content
                                || store.pointer.is_some_and(|pointer| pointer.epoch == 1),
                        };
                        node.reads.push((now + rtt, sent, Some(answer)));
                    }
                    Action::Propose { version, expected } => {
                        let won =
                            !lost && store.pointer == expected && store.remaining_announcement(at).is_none();
                        if won {
                            store.pointer = Some(version);
                            store.announced_until = Some(at + settings.announce_ms);
                        }
                        let outcome = if won { ProposalOutcome::Won } else { ProposalOutcome::Lost };
                        node.proposals.push((now + rtt, outcome));
                    }
                    Action::Restore { version, settle_ms } => {
                        if !lost && store.pointer.is_none_or(|pointer| pointer.epoch < version.epoch) {
                            store.pointer = Some(version);
                            store.announced_until = Some(at + settle_ms);
                        }
                    }
                }
            }
        }
        let mut active: Vec<Version> = Vec::new();
        for node in nodes.iter_mut() {
            if node.stopped(now) {
                continue;
            }
            let effective = node.register.effective_state(node.local_time(now));
            if effective.mode == Mode::Active {
                active.extend(effective.active);
            }
        }
        active.sort();
        active.dedup();
        if active.len() > 1 {
            let from = *since.get_or_insert(now);
            longest = longest.max(now - from + STEP);
        } else {
            since = None;
        }
        now += STEP;
    }
    let last_version = store.pointer;
    let converged = nodes.iter_mut().all(|node| {
        let effective = node.register.effective_state(node.local_time(END));
        node.stopped(END) || (effective.mode == Mode::Active && effective.active == last_version)
    });
    (longest, converged)
}

fn windows() -> Vec<(Ms, Ms)> {
    let t = START;
    vec![
        (t - 1000, t + 500),
        (t + 200, t + 1400),
        (t + 1000, t + 2500),
        (t - 200, t + 3000),
        (t + 1450, t + 1600),
    ]
}

fn faults() -> Vec<Fault> {
    let mut all = vec![Fault::None, Fault::Restart(START + 700), Fault::Restart(START + 1500)];
    for (from, to) in windows() {
        all.push(Fault::Lost(from, to));
        all.push(Fault::Slow(from, to, 300));
        all.push(Fault::Slow(from, to, 240));
        all.push(Fault::Stopped(from, to));
        all.push(Fault::NoContent(from, to));
    }
    all
}

/// Checks every pair of faults on two of three gateways, with and without loss of the store's data and with one or two
/// changes within a lease: the bound holds, and after the faults every gateway is active on the last version.
#[test]
fn the_bound_holds_under_every_schedule_of_the_faults() {
    let settings = Settings::default();
    let bound = settings.bound_ms();
    let mut runs = 0;
    let mut worst = 0;
    for first in faults() {
        for second in faults() {
            for store in
                [StoreFault::None, StoreFault::Emptied(START + 700), StoreFault::Emptied(START + 1700)]
            {
                for two_changes in [false, true] {
                    let mut changes = vec![(0, START, 2)];
                    if two_changes {
                        changes.push((1, START + 300, 3));
                    }
                    let (longest, converged) = simulate(
                        settings,
                        &[Fault::None, first, second],
                        &[IDEAL_CLOCK; 3],
                        &[2, 40, 120],
                        store,
                        &changes,
                    );
                    assert!(
                        longest <= bound,
                        "disagreement for {longest} ms over {bound}: {first:?} {second:?} {store:?} \
                         two_changes={two_changes}"
                    );
                    assert!(
                        converged,
                        "not converged at the end: {first:?} {second:?} {store:?} two_changes={two_changes}"
                    );
                    worst = worst.max(longest);
                    runs += 1;
                }
            }
        }
    }
    eprintln!("{runs} schedules, longest disagreement {worst} ms, bound {bound} ms");
    assert!(runs >= 4704, "{runs} schedules");
    // Round trips of 2 and 120 ms make activation times differ, so a working check observes some disagreement.
    assert!(worst > 0, "no disagreement observed: the check cannot detect one");
}

/// A lease longer than the announcement breaks the bound, which shows that the check can fail.
#[test]
fn a_lease_longer_than_the_announcement_breaks_the_bound() {
    let invalid = Settings { lease_ms: 4000, ..Settings::default() };
    let (longest, _) = simulate(
        invalid,
        &[Fault::None, Fault::Lost(START - 200, START + 3000), Fault::None],
        &[IDEAL_CLOCK; 3],
        &[2, 2, 2],
        StoreFault::None,
        &[(0, START, 2)],
    );
    assert!(longest > invalid.bound_ms(), "{longest}");
}

fn fault_strategy() -> impl Strategy<Value = Fault> {
    let window = (0..END - 500, 50..3000u64);
    prop_oneof![
        Just(Fault::None),
        window.clone().prop_map(|(from, len)| Fault::Lost(from, from + len)),
        (window.clone(), 1..600u64).prop_map(|((from, len), rtt)| Fault::Slow(from, from + len, rtt)),
        window.clone().prop_map(|(from, len)| Fault::Stopped(from, from + len)),
        window.prop_map(|(from, len)| Fault::NoContent(from, from + len)),
        (500..END - 500).prop_map(|at| Fault::Restart(at / STEP * STEP)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    /// Random faults, round trips and up to three changes on four gateways. Their clocks are days apart and run up to
    /// one percent fast or slow; the bound is extended by that drift over an announcement.
    #[test]
    fn the_bound_holds_under_random_schedules(
        faults in proptest::collection::vec(fault_strategy(), 4),
        clocks in proptest::collection::vec((0..1_000_000_000u64, 990..=1010u64), 4),
        rtts in proptest::collection::vec(1..200u64, 4),
        emptied in proptest::option::of(0..END / STEP),
        changes in proptest::collection::vec((0..4usize, 500..END - 2000, 2..9u64), 1..4),
    ) {
        let store = emptied.map_or(StoreFault::None, |at| StoreFault::Emptied(at * STEP));
        let (longest, _) = simulate(Settings::default(), &faults, &clocks, &rtts, store, &changes);
        let drift = 2 * Settings::default().announce_ms / 100;
        prop_assert!(longest <= Settings::default().bound_ms() + drift, "{} ms", longest);
    }
}
