//! A stand-in upstream host: cores, a waiting room, a cold start, a fall under too much, pauses and drains.

use super::records::{Records, METER};
use crate::scenario::{Boxes, Trouble};
use crate::stand_in::{take_request, whole};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use switchhill::net::message::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// A cold box does this share of what it can when warm, and is warm after so long.
const COLD: f64 = 0.16;
const WARM_AFTER: f64 = 13.0;
/// A box that is sent more than this multiple of what it can do over this span falls.
const FALL_MULTIPLE: f64 = 2.0;
pub(super) const FALL_SPAN: Duration = Duration::from_secs(2);
/// It is back after this long, cold.
const FALLEN_FOR: f64 = 3.0;
/// New work may reach a draining box for this long after it was told.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// The weight of the newest in the mean time of service that it reports.
const MEAN_WEIGHT: f64 = 0.05;
/// Position of the class that charges, and must run once.
const TOP_UP: usize = 1;

struct State {
    /// When each core is free.
    free: Vec<Instant>,
    started: Instant,
    down_until: Option<Instant>,
    draining: Option<Instant>,
    paused_until: Instant,
    /// Work that came lately, in milliseconds of service on a warm core.
    offered: VecDeque<(Instant, f64)>,
    offered_sum: f64,
    rng: ChaCha8Rng,
    mean_ms: f64,
    /// Raised when it goes down: connections of before are reset.
    life: u64,
}

impl State {
    /// It goes down, and is back, cold, after so many seconds.
    fn fall(&mut self, now: Instant, seconds: f64) {
        let back = now + Duration::from_secs_f64(seconds);
        self.down_until = Some(back);
        self.started = back;
        self.life += 1;
        self.offered.clear();
        self.offered_sum = 0.0;
        self.free.iter_mut().for_each(|free| *free = back);
    }

    /// Work comes; what came before [`FALL_SPAN`] is forgotten.
    fn offer(&mut self, now: Instant, work_ms: f64) {
        self.offered.push_back((now, work_ms));
        self.offered_sum += work_ms;
        while self.offered.front().is_some_and(|(at, _)| now - *at > FALL_SPAN) {
            let Some((_, work)) = self.offered.pop_front() else { break };
            self.offered_sum -= work;
        }
    }

    /// Puts work on the core that is free first; when it will be done.
    fn schedule(&mut self, now: Instant, takes_ms: f64) -> Instant {
        self.mean_ms += MEAN_WEIGHT * (takes_ms - self.mean_ms);
        let first = (0..self.free.len()).min_by_key(|&core| self.free[core]).unwrap_or(0);
        let starts = self.free[first].max(now).max(self.paused_until);
        let done = starts + Duration::from_secs_f64(takes_ms / 1000.0);
        self.free[first] = done;
        done
    }
}

/// An upstream host.
pub struct UpstreamHost {
    /// Its id in discovery's list.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    set: Boxes,
    state: Mutex<State>,
    records: Arc<Mutex<Records>>,
    rates: Arc<HashMap<String, (f64, f64)>>,
    connections: AtomicUsize,
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// What becomes of a request.
enum Ask {
    Answer(Instant, Vec<u8>),
    Reset,
}

impl UpstreamHost {
    /// Starts a host that has been warm for long. `rates` are the plans' quotas, for the meter.
    ///
    /// # Errors
    /// When no address can be had.
    pub async fn start(
        number: usize,
        set: Boxes,
        seed: u64,
        records: Arc<Mutex<Records>>,
        rates: Arc<HashMap<String, (f64, f64)>>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let now = Instant::now();
        let state = State {
            free: vec![now; set.cores],
            started: now.checked_sub(Duration::from_secs(60)).unwrap_or(now),
            down_until: None,
            draining: None,
            paused_until: now,
            offered: VecDeque::new(),
            offered_sum: 0.0,
            rng: ChaCha8Rng::seed_from_u64(seed ^ (number as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15)),
            mean_ms: set.takes_ms[0],
            life: 0,
        };
        let host = Arc::new(Self {
            id: format!("box-{number}"),
            address: listener.local_addr()?,
            set,
            state: Mutex::new(state),
            records,
            rates,
            connections: AtomicUsize::new(0),
        });
        let accepting = host.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let host = accepting.clone();
                tokio::spawn(async move { host.connection(socket).await });
            }
        });
        Ok(host)
    }

    /// Something goes wrong with it.
    pub fn trouble(&self, trouble: Trouble) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        match trouble {
            Trouble::Pause(_, seconds) => {
                let span = Duration::from_secs_f64(seconds);
                state.paused_until = now + span;
                for free in &mut state.free {
                    *free = (*free).max(now) + span;
                }
            }
            Trouble::Drain(_) => state.draining = Some(now),
            Trouble::Restart(_, seconds) => state.fall(now, seconds),
            Trouble::NewKey | Trouble::Silent(..) => {}
        }
    }

    /// Whether it is down now.
    #[must_use]
    pub fn is_down(&self) -> bool {
        lock(&self.state).down_until.is_some_and(|until| Instant::now() < until)
    }

    async fn connection(&self, mut socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let life = lock(&self.state).life;
        if self.connections.fetch_add(1, Ordering::Relaxed) < self.set.slots && !self.is_down() {
            self.serve(&mut socket, life).await;
        }
        // Whatever ends it, the other side sees it break at once.
        let _ = socket.set_zero_linger();
        self.connections.fetch_sub(1, Ordering::Relaxed);
    }

    async fn serve(&self, socket: &mut TcpStream, life: u64) {
        let mut bytes = Vec::new();
        loop {
            let Some(message) = next_request(socket, &mut bytes).await else { return };
            let came = Instant::now();
            let Ask::Answer(at, answer) = self.ask(&message, came) else { return };
            tokio::time::sleep_until(at).await;
            if lock(&self.state).life != life || socket.write_all(&answer).await.is_err() {
                return;
            }
        }
    }

    fn speed(&self, state: &State, now: Instant) -> f64 {
        let age = (now - state.started).as_secs_f64();
        (COLD + (1.0 - COLD) * age / WARM_AFTER).min(1.0)
    }

    fn ask(&self, message: &Message, now: Instant) -> Ask {
        let class = usize::from(message.path().starts_with("/top-up"));
        let mut state = lock(&self.state);
        if state.down_until.is_some_and(|until| now < until) {
            return Ask::Reset;
        }
        if message.path().starts_with("/stats") || message.path().starts_with("/health/live") {
            let report = format!("mean_ms={:.2}", state.mean_ms);
            let headers = format!("X-Pressure: {report}\r\n");
            return Ask::Answer(now, whole(200, &headers, report.as_bytes()));
        }
        let Some(id) = message.id().ok() else { return Ask::Answer(now, whole(400, "", b"")) };
        if let Some(told) = state.draining {
            lock(&self.records).after_drain += u64::from(now - told > DRAIN_GRACE);
            return self.turn_away(now);
        }
        let speed = self.speed(&state, now);
        if self.falls_under(&mut state, now, self.set.takes_ms[class], speed) {
            lock(&self.records).falls += 1;
            state.fall(now, FALLEN_FOR);
            return Ask::Reset;
        }
        if !self.has_room(&state, now) {
            return self.turn_away(now);
        }
        let takes_ms = self.draw_service_ms(&mut state, self.set.takes_ms[class]) / speed;
        let done = state.schedule(now, takes_ms);
        drop(state);
        Ask::Answer(done, self.served(message, now, id, class))
    }

    fn turn_away(&self, now: Instant) -> Ask {
        lock(&self.records).turned_away += 1;
        Ask::Answer(now, whole(503, "X-Turned-Away: 1\r\n", b""))
    }

    /// Counts work that is sent to it, whether it has room or not; true where it falls under all of it.
    fn falls_under(&self, state: &mut State, now: Instant, work_ms: f64, speed: f64) -> bool {
        state.offer(now, work_ms);
        let able = self.set.cores as f64 * FALL_SPAN.as_secs_f64() * 1000.0 * speed;
        let mut records = lock(&self.records);
        records.peak_load = records.peak_load.max(state.offered_sum / able);
        state.offered_sum > FALL_MULTIPLE * able
    }

    /// Whether a core is free, or a place in the waiting room.
    fn has_room(&self, state: &State, now: Instant) -> bool {
        let busy = state.free.iter().filter(|free| **free > now).count();
        let backlog: f64 =
            state.free.iter().map(|free| free.saturating_duration_since(now).as_secs_f64()).sum();
        let line = backlog * 1000.0 / state.mean_ms.max(0.1) - busy as f64;
        busy < self.set.cores || line <= self.set.waiting as f64
    }

    /// Draws a time of service on a warm core.
    fn draw_service_ms(&self, state: &mut State, mean: f64) -> f64 {
        let sigma = (1.0 + self.set.spread * self.set.spread).ln().sqrt();
        match LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma) {
            Ok(times) if sigma > 0.0 => times.sample(&mut state.rng),
            _ => mean,
        }
    }

    /// Records a request that is served, and gives its answer.
    fn served(&self, message: &Message, now: Instant, id: u64, class: usize) -> Vec<u8> {
        let mut records = lock(&self.records);
        let again = records.begin(now, id);
        records.double_charges += u64::from(again && class == TOP_UP);
        records.served += 1;
        let quota = message.plan().and_then(|plan| self.rates.get(plan)).copied();
        if let (Some(customer), Some(quota)) = (message.customer(), quota) {
            records.take_from_quota(now, customer, quota);
        }
        let used = message.customer().filter(|_| self.set.tell_use).and_then(|customer| {
            let units = records.meter(now, customer)?;
            let (rate, _) = quota?;
            Some(100.0 * units / (rate * METER.as_secs_f64()))
        });
        let headers = used.map_or(String::new(), |used| format!("X-RateLimit-Used: {used:.0}\r\n"));
        whole(200, &headers, format!("{id:016x}").as_bytes())
    }
}

/// Reads the next request of a connection; `None` at its end.
pub(super) async fn next_request(socket: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<Message> {
    loop {
        if let Some(message) = take_request(bytes).ok()? {
            return Some(message);
        }
        bytes.reserve(4096);
        if !matches!(socket.read_buf(bytes).await, Ok(1..)) {
            return None;
        }
    }
}
