//! Replicas on a perfect network, for tests of single situations.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use switchhill_register::{
    Accepted, Input, Member, Message, Output, Record, RegisterError, Replica, ReplicaId,
};

/// Time between two ticks, in milliseconds.
const TICK_MS: u64 = 20;

/// Replicas, numbered from one, whose messages and writes take no time.
pub struct Cluster {
    pub now: u64,
    pub replicas: BTreeMap<u64, Replica>,
    pub disks: BTreeMap<u64, Vec<Record>>,
    /// Replicas that neither send nor receive.
    pub cut: BTreeSet<u64>,
    /// Replicas whose disks do not finish writes.
    pub stalled: BTreeSet<u64>,
    /// Replicas whose disks refuse writes.
    pub refusing: BTreeSet<u64>,
    /// Messages sent so far, in order.
    pub sent: Vec<(u64, Message)>,
    /// Results and prepared states by operation.
    pub results: BTreeMap<u64, Result<Accepted, RegisterError>>,
    pub prepared: BTreeMap<u64, Option<Accepted>>,
    in_flight: VecDeque<(u64, Message)>,
    unfinished: BTreeMap<u64, Vec<(u64, Record)>>,
}

pub fn member(id: u64) -> Member {
    Member { id: ReplicaId(id), address: format!("machine-{id}") }
}

pub fn members(ids: &[u64]) -> Vec<Member> {
    ids.iter().map(|id| member(*id)).collect()
}

impl Cluster {
    /// A first electorate of replicas 1 to `count`.
    pub fn of(count: u64) -> Cluster {
        let ids: Vec<u64> = (1..=count).collect();
        let mut cluster = Cluster {
            now: 0,
            replicas: BTreeMap::new(),
            disks: BTreeMap::new(),
            cut: BTreeSet::new(),
            stalled: BTreeSet::new(),
            refusing: BTreeSet::new(),
            sent: Vec::new(),
            results: BTreeMap::new(),
            prepared: BTreeMap::new(),
            in_flight: VecDeque::new(),
            unfinished: BTreeMap::new(),
        };
        for id in &ids {
            cluster.add(Replica::genesis(ReplicaId(*id), members(&ids), *id));
        }
        cluster.run(TICK_MS);
        cluster
    }

    pub fn add(&mut self, replica: Replica) {
        let id = replica.id().0;
        self.disks.insert(id, replica.records());
        self.replicas.insert(id, replica);
    }

    pub fn replica(&self, id: u64) -> &Replica {
        &self.replicas[&id]
    }

    /// Lets the time pass, with ticks.
    pub fn run(&mut self, length: u64) {
        let end = self.now + length;
        while self.now < end {
            self.now += TICK_MS;
            let ids: Vec<u64> = self.replicas.keys().copied().collect();
            for id in ids {
                self.input(id, Input::Tick);
            }
        }
    }

    /// Gives a replica an input and carries out all that follows.
    pub fn input(&mut self, id: u64, input: Input) {
        self.handle(id, input);
        while let Some((from, message)) = self.in_flight.pop_front() {
            let to = message.to.0;
            if !self.cut.contains(&from) && !self.cut.contains(&to) {
                self.handle(to, Input::Message { from: ReplicaId(from), message });
            }
        }
    }

    fn handle(&mut self, id: u64, input: Input) {
        let Some(replica) = self.replicas.get_mut(&id) else {
            return;
        };
        for output in replica.handle(self.now, input) {
            self.carry_out(id, output);
        }
    }

    fn carry_out(&mut self, id: u64, output: Output) {
        match output {
            Output::Send { message, .. } => {
                self.sent.push((id, message.clone()));
                self.in_flight.push_back((id, message));
            }
            Output::Persist { token, record } => self.persist(id, token, record),
            Output::Prepared { operation, current } => {
                self.prepared.insert(operation, current);
            }
            Output::Done { operation, result } => {
                self.results.insert(operation, result);
            }
            Output::Committed(_) => {}
        }
    }

    fn persist(&mut self, id: u64, token: u64, record: Record) {
        if self.refusing.contains(&id) {
            self.handle(id, Input::PersistFailed { token });
        } else if self.stalled.contains(&id) {
            self.unfinished.entry(id).or_default().push((token, record));
        } else {
            self.disks.get_mut(&id).expect("every replica has a disk").push(record);
            self.handle(id, Input::Persisted { token });
        }
    }

    /// Finishes the writes of a stalled disk.
    pub fn unstall(&mut self, id: u64) {
        self.stalled.remove(&id);
        for (token, record) in self.unfinished.remove(&id).unwrap_or_default() {
            self.disks.get_mut(&id).expect("every replica has a disk").push(record);
            self.input(id, Input::Persisted { token });
        }
    }

    /// Restarts a replica from what its disk holds. Unfinished writes are lost.
    pub fn restart(&mut self, id: u64) {
        self.unfinished.remove(&id);
        let records = self.disks[&id].clone();
        let seed = self.now + id;
        self.replicas.insert(id, Replica::recover(ReplicaId(id), records.into_iter(), seed));
    }

    pub fn begin(&mut self, id: u64, operation: u64) {
        self.input(id, Input::Begin { operation });
    }

    pub fn write(&mut self, id: u64, operation: u64, data: &'static str, members: Option<Vec<Member>>) {
        self.input(id, Input::Write { operation, data: Bytes::from_static(data.as_bytes()), members });
    }

    /// A whole change; returns its result if it has ended at once.
    pub fn change(
        &mut self,
        id: u64,
        operation: u64,
        data: &'static str,
        members: Option<Vec<Member>>,
    ) -> Option<Result<Accepted, RegisterError>> {
        self.begin(id, operation);
        self.write(id, operation, data, members);
        self.results.get(&operation).cloned()
    }

    /// A read; returns its content if it has ended within the time.
    pub fn read(&mut self, id: u64, operation: u64, length: u64) -> Option<Result<Bytes, RegisterError>> {
        self.input(id, Input::Read { operation });
        self.run(length);
        let result = self.results.get(&operation)?.clone();
        Some(result.map(|accepted| accepted.value.data))
    }
}
