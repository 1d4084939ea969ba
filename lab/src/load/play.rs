//! Plays the load: sends what is due, and asks again as each group does.

use super::client::{Ask, Due, Ended, GatewayClient};
use super::{Fate, Live, Planned, Try, PLANS};
use crate::scenario::{Group, Manner, Scenario};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{self, UnboundedSender};
use tokio::time::Instant;

/// Clients that ignore what they are told come back after this long.
const IGNORES: Duration = Duration::from_millis(200);
/// Those who obey come back later than told by up to this part of it.
const OBEYS_WITHIN: f64 = 0.1;

/// Plays the load against gateways and gives every try.
pub async fn play(
    scenario: Arc<Scenario>,
    planned: Arc<Vec<Planned>>,
    gateways: Vec<SocketAddr>,
    start: Instant,
    seed: u64,
    live: Arc<Live>,
) -> Vec<Try> {
    let (tell_end, mut ends) = mpsc::unbounded_channel();
    let mut player = Player::new(scenario, planned, &gateways, start, seed, live, tell_end);
    while !player.is_over() {
        let wake = player.next_due().map(|due| start + Duration::from_micros(due));
        tokio::select! {
            biased;
            Some(ended) = ends.recv() => player.end(ended),
            () = tokio::time::sleep_until(wake.unwrap_or_else(Instant::now)), if wake.is_some() => {
                player.send_due();
            }
        }
    }
    player.tries
}

/// The load on its way.
struct Player {
    scenario: Arc<Scenario>,
    planned: Arc<Vec<Planned>>,
    clients: Vec<Arc<GatewayClient>>,
    start: Instant,
    rng: ChaCha8Rng,
    live: Arc<Live>,
    tell_end: UnboundedSender<Ended>,
    /// Ids of tries count up from here.
    first_id: u64,
    serial: u64,
    /// The first of the planned that has not been sent.
    next: usize,
    /// Further tries by their time and serial number.
    again: BTreeMap<(u64, u64), Due>,
    /// Tries that are out.
    out: usize,
    tries: Vec<Try>,
}

impl Player {
    fn new(
        scenario: Arc<Scenario>,
        planned: Arc<Vec<Planned>>,
        gateways: &[SocketAddr],
        start: Instant,
        seed: u64,
        live: Arc<Live>,
        tell_end: UnboundedSender<Ended>,
    ) -> Self {
        let client = |address: &SocketAddr| {
            Arc::new(GatewayClient::new(*address, scenario.connections, scenario.http2))
        };
        let clients = gateways.iter().map(client).collect();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(u64::MAX);
        let first_id = rng.next_u64() & !0xFFFF_FFFF;
        let tries = Vec::with_capacity(planned.len());
        Self {
            scenario,
            planned,
            clients,
            start,
            rng,
            live,
            tell_end,
            first_id,
            serial: 0,
            next: 0,
            again: BTreeMap::new(),
            out: 0,
            tries,
        }
    }

    /// When the next try is due, in microseconds from the start.
    fn next_due(&self) -> Option<u64> {
        let planned = self.planned.get(self.next).map(|planned| planned.at);
        let again = self.again.first_key_value().map(|((at, _), _)| *at);
        planned.into_iter().chain(again).min()
    }

    fn is_over(&self) -> bool {
        self.out == 0 && self.next_due().is_none()
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// A try has ended: counts it, and plans the next one where there is one.
    fn end(&mut self, ended: Ended) {
        self.out -= 1;
        self.live.out.store(self.out as u64, Ordering::Relaxed);
        let kind = match ended.done.fate {
            Fate::Served => 0,
            Fate::Refused => 1,
            _ => 2,
        };
        self.live.ended[kind].fetch_add(1, Ordering::Relaxed);
        self.tries.push(ended.done);
        if let Some(due) = self.retry(ended) {
            self.serial += 1;
            self.again.insert((due.at, self.serial), due);
        }
    }

    /// The try that a group makes after one that was refused.
    fn retry(&mut self, ended: Ended) -> Option<Due> {
        let Ended { done, gateway, ticket } = ended;
        let scenario = self.scenario.clone();
        let first = self.planned[done.ask as usize];
        let group = &scenario.groups[first.group];
        if done.fate != Fate::Refused || done.number >= group.retries || group.manner == Manner::Never {
            return None;
        }
        let at = self.now() + self.wait(group, f64::from(done.told_ms) * 1000.0) as u64;
        if (at - first.at.min(at)) as f64 > group.patience * 1e6 {
            return None;
        }
        let gateway = if group.elsewhere { gateway + 1 } else { gateway };
        let ticket = ticket.filter(|_| group.tickets);
        Some(Due { at, ask: done.ask, number: done.number + 1, ticket, gateway })
    }

    /// How long a group waits that was told so, both in microseconds.
    fn wait(&mut self, group: &Group, told: f64) -> f64 {
        match group.manner {
            Manner::Ignore => IGNORES.as_micros() as f64,
            Manner::Obey => told * (1.0 + OBEYS_WITHIN * self.rng.random::<f64>()),
            Manner::Exactly | Manner::Never => told,
        }
    }

    /// Sends all that is due.
    fn send_due(&mut self) {
        let now = self.now();
        let mut ready = Vec::new();
        while let Some(entry) = self.again.first_entry().filter(|entry| entry.key().0 <= now) {
            ready.push(entry.remove());
        }
        while let Some(planned) = self.planned.get(self.next).filter(|planned| planned.at <= now) {
            let gateway = planned.customer as usize + self.next;
            ready.push(Due { at: planned.at, ask: self.next as u32, number: 0, ticket: None, gateway });
            self.next += 1;
        }
        ready.into_iter().for_each(|due| self.send(due));
        self.live.out.store(self.out as u64, Ordering::Relaxed);
    }

    fn send(&mut self, due: Due) {
        self.out += 1;
        self.serial += 1;
        self.live.sent.fetch_add(1, Ordering::Relaxed);
        let spread = self.clients.len();
        let gateway = due.gateway % spread;
        let (client, tell_end) = (self.clients[gateway].clone(), self.tell_end.clone());
        let (planned, id) = (self.planned[due.ask as usize], self.first_id + self.serial);
        let plan = PLANS[self.scenario.groups[planned.group].plan].0;
        let start = self.start;
        tokio::spawn(async move {
            let ask = Ask::new(&planned, id, plan, spread, due.ticket.as_deref());
            let (done, ticket) = client.try_once(&due, &ask, start).await;
            let _ = tell_end.send(Ended { done, gateway, ticket });
        });
    }
}
