//! Exhaustive search of short histories: three replicas, two proposers, messages lost, repeated and reordered, a restart.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use stateright::{Checker, Model, Property};
use switchhill_register::{Ballot, Input, Member, Message, Output, Record, Replica, ReplicaId, Value};

const REPLICAS: u64 = 3;

/// The replicas that each write once.
const PROPOSERS: [u64; 2] = [1, 2];

/// The replica whose disk takes its time and which is restarted; the others finish their writes at once.
const RESTARTED: u64 = 3;

/// A step of time long enough for every backoff, in milliseconds.
const STEP_MS: u64 = 100;

/// What is searched.
struct Register {
    restarts: u8,
    time_steps: u8,
    /// Whether the first proposer has written, with the vote of the replica that is restarted, before the search begins.
    starts_written: bool,
    /// Planted fault: a restarted replica has forgotten its records.
    forgets: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    replicas: Vec<Replica>,
    /// Durable records of the replica that is restarted.
    disk: Vec<Record>,
    /// Its records written but not durable yet.
    unsynced: Vec<(u64, Record)>,
    /// Every message ever sent: it may arrive at any time, several times, or never.
    network: BTreeSet<(u64, u64, Bytes)>,
    /// Chosen values by ballot.
    chosen: BTreeMap<Ballot, Value>,
    /// Origins of the values whose proposers were told of success.
    acknowledged: BTreeSet<Ballot>,
    restarts_left: u8,
    time_steps_left: u8,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Deliver(u64, u64, Bytes),
    Sync,
    Restart,
    PassTime,
}

fn index(id: u64) -> usize {
    (id - 1) as usize
}

fn seeds() -> Vec<Member> {
    (1..=REPLICAS).map(|id| Member { id: ReplicaId(id), address: id.to_string() }).collect()
}

impl State {
    fn new(model: &Register) -> State {
        let replicas: Vec<Replica> =
            (1..=REPLICAS).map(|id| Replica::genesis(ReplicaId(id), seeds(), id)).collect();
        let mut state = State {
            now: 0,
            disk: replicas[index(RESTARTED)].records(),
            unsynced: Vec::new(),
            replicas,
            network: BTreeSet::new(),
            chosen: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            restarts_left: model.restarts,
            time_steps_left: model.time_steps,
        };
        for id in 1..=REPLICAS {
            state.input(id, Input::Tick);
        }
        state.sync();
        for id in PROPOSERS {
            state.input(id, Input::Begin { operation: id });
            if model.starts_written {
                state.run_between(PROPOSERS[0], RESTARTED);
            }
        }
        state
    }

    /// Delivers all messages between two replicas, once each.
    fn run_between(&mut self, one: u64, other: u64) {
        let mut delivered = BTreeSet::new();
        let next = |network: &BTreeSet<(u64, u64, Bytes)>, delivered: &BTreeSet<_>| {
            let between = |packet: &&(u64, u64, Bytes)| {
                [(one, other), (other, one)].contains(&(packet.0, packet.1)) && !delivered.contains(*packet)
            };
            network.iter().find(between).cloned()
        };
        while let Some(packet) = next(&self.network, &delivered) {
            self.deliver(packet.0, packet.1, &packet.2);
            self.sync();
            delivered.insert(packet);
        }
    }

    fn deliver(&mut self, from: u64, to: u64, bytes: &[u8]) {
        let message = Message::decode(&Bytes::copy_from_slice(bytes)).expect("messages decode");
        self.input(to, Input::Message { from: ReplicaId(from), message });
    }

    fn input(&mut self, id: u64, input: Input) {
        for output in self.replicas[index(id)].handle(self.now, input) {
            self.carry_out(id, output);
        }
    }

    fn carry_out(&mut self, id: u64, output: Output) {
        match output {
            Output::Send { to, message, .. } => {
                self.network.insert((id, to.0, message.encode()));
            }
            Output::Persist { token, record } => self.persist(id, token, record),
            Output::Prepared { operation, .. } => {
                let data = Bytes::copy_from_slice(&operation.to_le_bytes());
                self.input(id, Input::Write { operation, data, members: None });
            }
            Output::Done { result: Ok(accepted), .. } => {
                self.acknowledged.insert(accepted.value.origin());
                self.chosen.insert(accepted.ballot, accepted.value);
            }
            Output::Done { .. } => {}
            Output::Committed(accepted) => {
                self.chosen.insert(accepted.ballot, accepted.value);
            }
        }
    }

    fn persist(&mut self, id: u64, token: u64, record: Record) {
        if id == RESTARTED {
            self.unsynced.push((token, record));
        } else {
            self.input(id, Input::Persisted { token });
        }
    }

    fn sync(&mut self) {
        for (token, record) in std::mem::take(&mut self.unsynced) {
            self.disk.push(record);
            self.input(RESTARTED, Input::Persisted { token });
        }
    }

    fn restart(&mut self, forgets: bool) {
        self.unsynced.clear();
        let id = ReplicaId(RESTARTED);
        self.replicas[index(RESTARTED)] = if forgets {
            Replica::genesis(id, seeds(), RESTARTED)
        } else {
            Replica::recover(id, self.disk.clone().into_iter(), RESTARTED)
        };
        self.restarts_left -= 1;
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

impl Model for Register {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State::new(self)]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (from, to, bytes) in &state.network {
            actions.push(Action::Deliver(*from, *to, bytes.clone()));
        }
        if !state.unsynced.is_empty() {
            actions.push(Action::Sync);
        }
        if state.restarts_left > 0 {
            actions.push(Action::Restart);
        }
        if state.time_steps_left > 0 {
            actions.push(Action::PassTime);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Deliver(from, to, bytes) => state.deliver(from, to, &bytes),
            Action::Sync => state.sync(),
            Action::Restart => state.restart(self.forgets),
            Action::PassTime => {
                state.now += STEP_MS;
                state.time_steps_left -= 1;
                for id in 1..=REPLICAS {
                    state.input(id, Input::Tick);
                }
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one chain", |_, state: &State| state.is_one_chain()),
            Property::sometimes("written", |_, state: &State| !state.acknowledged.is_empty()),
        ]
    }
}

fn search(model: Register, depth: usize) -> impl Checker<Register> {
    let checker = model.checker().threads(3).target_max_depth(depth).spawn_bfs().join();
    println!("{} states, depth {}", checker.unique_state_count(), checker.max_depth());
    checker
}

#[test]
fn two_writes_with_a_restart_keep_one_chain() {
    let model = Register { restarts: 1, time_steps: 0, starts_written: false, forgets: false };
    search(model, 10).assert_properties();
}

#[test]
fn two_writes_with_retries_keep_one_chain() {
    let model = Register { restarts: 0, time_steps: 1, starts_written: false, forgets: false };
    search(model, 10).assert_properties();
}

#[test]
fn a_write_over_another_with_a_restart_keeps_one_chain() {
    let model = Register { restarts: 1, time_steps: 0, starts_written: true, forgets: false };
    search(model, 9).assert_properties();
}

#[test]
fn a_replica_that_forgets_is_found() {
    let model = Register { restarts: 1, time_steps: 0, starts_written: true, forgets: true };
    search(model, 9).assert_any_discovery("one chain");
}
