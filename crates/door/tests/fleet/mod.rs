//! Simulated fleet in virtual time behind an admission queue: a number of servers with a fixed service time.
#![allow(missing_docs)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use switchhill_door::{Action, Admission, AdmissionQueue, Arrival, Outcome, Refusal, Settings};

pub struct Fleet {
    pub queue: AdmissionQueue,
    pub now: f64,
    servers: usize,
    service_time: f64,
    dispatched_at: BTreeMap<u64, f64>,
    /// Stream and time of each dispatch.
    pub dispatched: Vec<(u64, f64)>,
    pub refused: Vec<(u64, f64, Refusal)>,
    running: BinaryHeap<Reverse<(u64, u64)>>,
    free_at: Vec<f64>,
}

fn micros(at: f64) -> u64 {
    (at * 1000.0) as u64
}

impl Fleet {
    /// `servers` streams run at once, each for `service_time` milliseconds; further dispatched streams wait
    /// for a free server.
    pub fn new(settings: Settings, servers: usize, service_time: f64) -> Self {
        Self {
            queue: AdmissionQueue::new(settings),
            now: 1_000_000.0,
            servers,
            service_time,
            dispatched_at: BTreeMap::new(),
            dispatched: Vec::new(),
            refused: Vec::new(),
            running: BinaryHeap::new(),
            free_at: vec![0.0; servers],
        }
    }

    fn dispatch(&mut self, stream: u64) {
        self.dispatched.push((stream, self.now));
        // The stream waits for the server that is free first.
        let server = (0..self.servers)
            .min_by(|&a, &b| self.free_at[a].total_cmp(&self.free_at[b]))
            .expect("at least one server");
        let ends = self.free_at[server].max(self.now) + self.service_time;
        self.free_at[server] = ends;
        self.dispatched_at.insert(stream, self.now);
        self.running.push(Reverse((micros(ends), stream)));
    }

    pub fn arrive(&mut self, arrival: &Arrival<'_>) -> Admission {
        let admission = self.queue.on_arrival(self.now, arrival);
        match &admission {
            Admission::Admitted => self.dispatch(arrival.stream),
            Admission::Refused(refusal) => self.refused.push((arrival.stream, self.now, refusal.clone())),
            Admission::Queued => {}
        }
        admission
    }

    /// Advances virtual time to `to`, completing streams and polling the queue on the way.
    pub fn advance_to(&mut self, to: f64) {
        loop {
            let ends = self.running.peek().map(|Reverse((at, _))| *at as f64 / 1000.0);
            let due = self.queue.next_poll_at().map(|due| due.max(self.now));
            let next = ends.into_iter().chain(due).fold(f64::INFINITY, f64::min);
            if next > to {
                break;
            }
            self.now = self.now.max(next);
            while self.running.peek().is_some_and(|Reverse((at, _))| *at as f64 / 1000.0 <= self.now) {
                let Some(Reverse((_, stream))) = self.running.pop() else { break };
                let dispatched_at = self.dispatched_at.remove(&stream).expect("a stream in flight");
                self.queue.on_completion(self.now, 0, self.now - dispatched_at, Outcome::Success);
            }
            self.poll();
        }
        self.now = to;
        self.poll();
    }

    fn poll(&mut self) {
        let mut actions = Vec::new();
        self.queue.poll(self.now, &mut actions);
        for action in actions {
            match action {
                Action::Dispatch(stream, _) => self.dispatch(stream),
                Action::Refuse(stream, refusal) => self.refused.push((stream, self.now, refusal)),
            }
        }
    }
}
