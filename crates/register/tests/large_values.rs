//! Proposers of a value that takes long to send, to write and to handle, on machines that do one thing at a time.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use googletest::prelude::*;
use switchhill_register::{Body, Input, Member, Message, Output, RegisterError, Replica, ReplicaId};

const MACHINES: u64 = 5;

/// Time between two ticks of a replica, in milliseconds.
const TICK_MS: u64 = 25;

/// Time that a machine takes to send a value to one other machine, or to take one in, in milliseconds: some 2 MB at a
/// sixth of a processor.
const VALUE_MS: u64 = 60;

/// Time that a small message is on its way, in milliseconds.
const DELAY_MS: u64 = 1;

/// Time that a value takes to be written to the disk, in milliseconds.
const WRITE_MS: u64 = 30;

/// Time in which callers that write at every machine at once must have written a value, in milliseconds.
const PROGRESS_WITHIN_MS: u64 = 10_000;

/// What a machine does next, in order.
enum Work {
    Receive { from: u64, message: Message },
    Send { to: u64, message: Message },
}

struct Machine {
    replica: Replica,
    work: VecDeque<Work>,
    busy_until: u64,
    /// Writes by the time at which they are done.
    writes: VecDeque<(u64, u64)>,
    /// The caller's operation under way.
    operation: u64,
}

struct Fleet {
    now: u64,
    machines: BTreeMap<u64, Machine>,
    written: usize,
    reads: usize,
    lost: u64,
}

fn members() -> Vec<Member> {
    (1..=MACHINES).map(|id| Member { id: ReplicaId(id), address: format!("machine-{id}") }).collect()
}

fn carries_value(body: &Body) -> bool {
    matches!(
        body,
        Body::Accept { .. }
            | Body::FetchReply { .. }
            | Body::Promise { value: Some(_), .. }
            | Body::Committed { value: Some(_), .. }
    )
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let machine = |id: u64| Machine {
            replica: Replica::genesis(ReplicaId(id), members(), seed * 100 + id),
            work: VecDeque::new(),
            busy_until: 0,
            writes: VecDeque::new(),
            operation: 0,
        };
        let machines = (1..=MACHINES).map(|id| (id, machine(id))).collect();
        Fleet { now: 0, machines, written: 0, reads: 0, lost: 0 }
    }

    /// Lets the time pass; callers at all machines go on as `next` says.
    fn run(&mut self, length: u64, next: fn(&mut Fleet, u64, Option<RegisterError>)) {
        let end = self.now + length;
        while self.now < end {
            self.now += 1;
            for id in 1..=MACHINES {
                self.step(id, next);
            }
        }
    }

    fn step(&mut self, id: u64, next: fn(&mut Fleet, u64, Option<RegisterError>)) {
        let now = self.now;
        let machine = self.machines.get_mut(&id).expect("a machine");
        if machine.busy_until > now {
            return;
        }
        let done = machine.writes.front().copied().filter(|(done_at, _)| *done_at <= now);
        if let Some((_, token)) = done {
            machine.writes.pop_front();
            return self.input(id, Input::Persisted { token }, next);
        }
        if (now + id).is_multiple_of(TICK_MS) {
            return self.input(id, Input::Tick, next);
        }
        match machine.work.pop_front() {
            Some(Work::Receive { from, message }) => {
                machine.busy_until = now + if carries_value(&message.body) { VALUE_MS } else { 0 };
                self.input(id, Input::Message { from: ReplicaId(from), message }, next);
            }
            Some(Work::Send { to, message }) => {
                machine.busy_until = now + if carries_value(&message.body) { VALUE_MS } else { DELAY_MS };
                let receiver = self.machines.get_mut(&to).expect("a machine");
                receiver.work.push_back(Work::Receive { from: id, message });
            }
            None => {}
        }
    }

    fn input(&mut self, id: u64, input: Input, next: fn(&mut Fleet, u64, Option<RegisterError>)) {
        let now = self.now;
        let outputs = self.machines.get_mut(&id).expect("a machine").replica.handle(now, input);
        for output in outputs {
            let machine = self.machines.get_mut(&id).expect("a machine");
            match output {
                Output::Send { to, message, .. } => machine.work.push_back(Work::Send { to: to.0, message }),
                Output::Persist { token, .. } => machine.writes.push_back((now + WRITE_MS, token)),
                Output::Prepared { operation, .. } => {
                    let write = Input::Write { operation, data: Bytes::from_static(b"large"), members: None };
                    self.input(id, write, next);
                }
                Output::Done { result, .. } => next(self, id, result.err()),
                Output::Committed(_) => {}
            }
        }
    }

    fn begin(&mut self, id: u64, start: fn(u64) -> Input, next: fn(&mut Fleet, u64, Option<RegisterError>)) {
        let machine = self.machines.get_mut(&id).expect("a machine");
        machine.operation += 1;
        let input = start(machine.operation);
        self.input(id, input, next);
    }
}

fn begin_write(operation: u64) -> Input {
    Input::Begin { operation }
}

fn begin_read(operation: u64) -> Input {
    Input::Read { operation }
}

/// Writes again and again, as operators do who send an order again that got no answer.
fn write_again(fleet: &mut Fleet, id: u64, error: Option<RegisterError>) {
    match error {
        None => fleet.written += 1,
        Some(_) => fleet.lost += 1,
    }
    fleet.begin(id, begin_write, write_again);
}

fn count_read(fleet: &mut Fleet, _id: u64, error: Option<RegisterError>) {
    fleet.reads += usize::from(error.is_none());
}

/// Guards against proposers that refuse each other's rounds for ever: at some 10,000 routes a round of the core took
/// longer than all waits between rounds, no change was acknowledged any more, and no configuration could be read back.
#[gtest]
fn proposers_of_a_large_value_at_every_machine_get_through() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed);
        fleet.run(100, count_read);
        for id in 1..=MACHINES {
            fleet.begin(id, begin_write, write_again);
        }
        for _ in 0..5 {
            let before = fleet.written;
            fleet.run(PROGRESS_WITHIN_MS, write_again);
            expect_that!(
                fleet.written,
                gt(before),
                "seed {seed}, {} operations without a result",
                fleet.lost
            );
        }
    }
}

#[gtest]
fn a_large_value_is_read_back_at_every_machine_after_the_writes_end() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed);
        fleet.run(100, count_read);
        for id in 1..=MACHINES {
            fleet.begin(id, begin_write, write_again);
        }
        fleet.run(PROGRESS_WITHIN_MS, write_again);
        fleet.run(PROGRESS_WITHIN_MS, count_read);
        let before = fleet.reads;
        for id in 1..=MACHINES {
            fleet.begin(id, begin_read, count_read);
        }
        fleet.run(PROGRESS_WITHIN_MS, count_read);
        expect_that!(fleet.reads - before, eq(MACHINES as usize), "seed {seed}");
    }
}
