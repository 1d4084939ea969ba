//! A fleet in virtual time behind a door: so many places, each stream taking its time.
#![allow(missing_docs)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use switchhill_door::{Action, Admission, AdmissionQueue, Arrival, Outcome, Refusal, Settings};

pub struct Fleet {
    pub door: AdmissionQueue,
    pub now: f64,
    places: usize,
    takes: f64,
    passed_at: BTreeMap<u64, f64>,
    /// Stream and time of each handing on.
    pub handed: Vec<(u64, f64)>,
    pub refused: Vec<(u64, f64, Refusal)>,
    running: BinaryHeap<Reverse<(u64, u64)>>,
    free_at: Vec<f64>,
}

fn micros(at: f64) -> u64 {
    (at * 1000.0) as u64
}

impl Fleet {
    /// `places` streams run at once, each for `takes` milliseconds; more wait behind them.
    pub fn new(settings: Settings, places: usize, takes: f64) -> Self {
        Self {
            door: AdmissionQueue::new(settings),
            now: 1_000_000.0,
            places,
            takes,
            passed_at: BTreeMap::new(),
            handed: Vec::new(),
            refused: Vec::new(),
            running: BinaryHeap::new(),
            free_at: vec![0.0; places],
        }
    }

    fn hand_on(&mut self, stream: u64) {
        self.handed.push((stream, self.now));
        // The place that is free first takes it; until then it waits there.
        let place =
            (0..self.places).min_by(|&a, &b| self.free_at[a].total_cmp(&self.free_at[b])).expect("some");
        let ends = self.free_at[place].max(self.now) + self.takes;
        self.free_at[place] = ends;
        self.passed_at.insert(stream, self.now);
        self.running.push(Reverse((micros(ends), stream)));
    }

    pub fn arrive(&mut self, arrival: &Arrival<'_>) -> Admission {
        let admission = self.door.on_arrival(self.now, arrival);
        match &admission {
            Admission::Admitted => self.hand_on(arrival.stream),
            Admission::Refused(refusal) => self.refused.push((arrival.stream, self.now, refusal.clone())),
            Admission::Queued => {}
        }
        admission
    }

    /// Lets time pass, ending streams and polling the door on the way.
    pub fn until(&mut self, to: f64) {
        loop {
            let ends = self.running.peek().map(|Reverse((at, _))| *at as f64 / 1000.0);
            let due = self.door.next_poll_at().map(|due| due.max(self.now));
            let next = ends.into_iter().chain(due).fold(f64::INFINITY, f64::min);
            if next > to {
                break;
            }
            self.now = self.now.max(next);
            while self.running.peek().is_some_and(|Reverse((at, _))| *at as f64 / 1000.0 <= self.now) {
                let Some(Reverse((_, stream))) = self.running.pop() else { break };
                let since = self.passed_at.remove(&stream).expect("running");
                self.door.on_completion(self.now, 0, self.now - since, Outcome::Success);
            }
            self.poll();
        }
        self.now = to;
        self.poll();
    }

    fn poll(&mut self) {
        let mut actions = Vec::new();
        self.door.poll(self.now, &mut actions);
        for action in actions {
            match action {
                Action::Dispatch(stream, _) => self.hand_on(stream),
                Action::Refuse(stream, refusal) => self.refused.push((stream, self.now, refusal)),
            }
        }
    }
}
