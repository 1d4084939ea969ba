//! Exhaustive search over two proposers at once, one or both of which change the electorate.
//!
//! The voters are 1 to 3. Replica 1 proposes to go on with 1, 4 and 5; replica 2 writes in the old electorate. From the
//! moment at which the first message of the change has been sent, every message may arrive at any time, several times, or
//! never; replica 1, which drives the change, may be lost for good, and the new replicas may complete what they hold.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use stateright::{Checker, Model, Property};
use switchhill_register::{Ballot, Body, Input, Member, Message, Output, Replica, ReplicaId, Value};

const REPLICAS: u64 = 5;
const FIRST_VOTERS: u64 = 3;

/// Proposes the change of the electorate.
const CHANGER: u64 = 1;

/// Writes in the electorate before it.
const WRITER: u64 = 2;

/// Voters after the change: the old ones have no majority among them.
const NEW_VOTERS: [u64; 3] = [1, 4, 5];

/// Voters after the writer's change, if it makes one.
const OTHER_VOTERS: [u64; 3] = [2, 3, 4];

/// A step of time after which a new replica completes a value that it holds, in milliseconds.
const STEP_MS: u64 = 400;

/// What is searched.
#[derive(Clone, Copy)]
struct Changes {
    /// Whether replica 2 changes the electorate too, to 2, 3 and 4.
    both_change: bool,
    /// Whether the driver of the change may be lost.
    loses_driver: bool,
    /// Planted fault: the change is made in a single step. Acceptors are told of the new voters alone.
    single_step: bool,
}

type Packet = (u64, u64, Bytes);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    replicas: Vec<Replica>,
    /// Every message ever sent.
    network: BTreeSet<Packet>,
    /// Chosen values by ballot.
    chosen: BTreeMap<Ballot, Value>,
    acknowledged: BTreeSet<Ballot>,
    lost: Option<u64>,
    time_passed: bool,
    single_step: bool,
    both_change: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Deliver(u64, u64, Bytes),
    LoseDriver,
    PassTime,
}

fn members(ids: impl IntoIterator<Item = u64>) -> Vec<Member> {
    ids.into_iter().map(|id| Member { id: ReplicaId(id), address: id.to_string() }).collect()
}

fn new_replica(id: u64) -> Replica {
    match id <= FIRST_VOTERS {
        true => Replica::genesis(ReplicaId(id), members(1..=FIRST_VOTERS), id),
        false => Replica::joining(ReplicaId(id), id),
    }
}

impl State {
    fn new(model: Changes) -> State {
        let mut state = State {
            now: 0,
            replicas: (1..=REPLICAS).map(new_replica).collect(),
            network: BTreeSet::new(),
            chosen: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            lost: None,
            time_passed: false,
            single_step: model.single_step,
            both_change: model.both_change,
        };
        (1..=REPLICAS).for_each(|id| state.input(id, Input::Tick));
        // The changer is prepared by replica 3 and itself, and has sent the first messages of its change.
        state.input(CHANGER, Input::Begin { operation: CHANGER });
        state.deliver_all(CHANGER, 3);
        state.deliver_all(3, CHANGER);
        // What else it sent before is lost.
        state.network.retain(|(from, _, bytes)| *from == CHANGER && is_accept(bytes));
        state.input(WRITER, Input::Begin { operation: WRITER });
        state
    }

    fn deliver_all(&mut self, from: u64, to: u64) {
        let packets = self.network.iter().filter(|packet| (packet.0, packet.1) == (from, to));
        for (_, _, bytes) in packets.cloned().collect::<Vec<Packet>>() {
            self.deliver(from, to, &bytes);
        }
    }

    fn deliver(&mut self, from: u64, to: u64, bytes: &[u8]) {
        if self.lost == Some(to) {
            return;
        }
        let message = Message::decode(&Bytes::copy_from_slice(bytes)).expect("messages decode");
        self.input(to, Input::Message { from: ReplicaId(from), message });
    }

    fn input(&mut self, id: u64, input: Input) {
        let index = (id - 1) as usize;
        for output in self.replicas[index].handle(self.now, input) {
            self.carry_out(id, output);
        }
    }

    fn carry_out(&mut self, id: u64, output: Output) {
        match output {
            Output::Send { to, message, .. } => {
                let message = if self.single_step { in_a_single_step(message) } else { message };
                self.network.insert((id, to.0, message.encode()));
            }
            Output::Persist { token, .. } => self.input(id, Input::Persisted { token }),
            Output::Prepared { operation, .. } => {
                let data = Bytes::copy_from_slice(&operation.to_le_bytes());
                let members = match operation {
                    CHANGER => Some(members(NEW_VOTERS)),
                    _ => self.both_change.then(|| members(OTHER_VOTERS)),
                };
                self.input(id, Input::Write { operation, data, members });
            }
            Output::Done { result: Ok(accepted), .. } => {
                self.acknowledged.insert(accepted.value.origin());
                self.see_chosen(accepted.ballot, accepted.value);
            }
            Output::Done { .. } => {}
            Output::Committed(accepted) => self.see_chosen(accepted.ballot, accepted.value),
        }
    }

    fn see_chosen(&mut self, ballot: Ballot, value: Value) {
        self.chosen.insert(ballot, value);
    }

    /// Whether all chosen values form one chain that holds all acknowledged ones.
    fn is_one_chain(&self) -> bool {
        let mut successors = BTreeMap::new();
        let lineages = self.chosen.values().map(|value| &value.lineage);
        for lineage in lineages.clone() {
            let mut before = Ballot::NONE;
            for origin in lineage {
                if *successors.entry(before).or_insert(*origin) != *origin {
                    return false;
                }
                before = *origin;
            }
        }
        self.acknowledged.iter().all(|origin| lineages.clone().any(|lineage| lineage.contains(origin)))
    }
}

fn is_accept(bytes: &[u8]) -> bool {
    let message = Message::decode(&Bytes::copy_from_slice(bytes)).expect("messages decode");
    matches!(message.body, Body::Accept { .. } | Body::AcceptDelta { .. })
}

fn in_a_single_step(mut message: Message) -> Message {
    if let Body::Accept { value, .. } = &mut message.body {
        value.electorate.joint_with.clear();
    }
    message
}

impl Model for Changes {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State::new(*self)]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (from, to, bytes) in &state.network {
            actions.push(Action::Deliver(*from, *to, bytes.clone()));
        }
        if self.loses_driver && state.lost.is_none() {
            actions.push(Action::LoseDriver);
        }
        if !state.time_passed {
            actions.push(Action::PassTime);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Deliver(from, to, bytes) => state.deliver(from, to, &bytes),
            Action::LoseDriver => state.lost = Some(CHANGER),
            Action::PassTime => {
                state.now += STEP_MS;
                state.time_passed = true;
                (FIRST_VOTERS + 1..=REPLICAS).for_each(|id| state.input(id, Input::Tick));
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one chain", |_, state: &State| state.is_one_chain()),
            Property::sometimes("written", |_, state: &State| !state.acknowledged.is_empty()),
            Property::sometimes("changed", |_, state: &State| {
                state.chosen.values().any(|value| value.electorate.is_joint())
            }),
        ]
    }
}

fn search(model: Changes, depth: usize) -> impl Checker<Changes> {
    let checker = model.checker().threads(3).target_max_depth(depth).spawn_bfs().join();
    println!("{} states, depth {}", checker.unique_state_count(), checker.max_depth());
    checker
}

/// Steps within which the planted fault is found.
const DEPTH: usize = 10;

/// Steps of the wider searches.
const SHORTER: usize = 9;

const SOUND: Changes = Changes { both_change: false, loses_driver: false, single_step: false };

#[test]
fn a_change_beside_a_write_keeps_one_chain() {
    search(SOUND, DEPTH).assert_properties();
}

#[test]
fn two_changes_at_once_keep_one_chain() {
    // No write ends within so few steps: each needs its second round.
    let checker = search(Changes { both_change: true, ..SOUND }, SHORTER);
    checker.assert_no_discovery("one chain");
    checker.assert_any_discovery("changed");
}

#[test]
fn a_change_whose_driver_is_lost_keeps_one_chain() {
    search(Changes { loses_driver: true, ..SOUND }, SHORTER).assert_properties();
}

#[test]
fn a_change_in_a_single_step_is_found() {
    search(Changes { single_step: true, ..SOUND }, DEPTH).assert_any_discovery("one chain");
}
