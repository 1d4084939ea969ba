//! Stand-in portal boxes: cores, a waiting room, a cold start, a fall under too much, pauses and drains.
//!
//! A box does no work: it knows when each request would be done and answers then. That keeps a fleet of any
//! size on a fraction of a core, so that what is measured is the gateway.

use crate::scenario::{Boxes, Trouble};
use crate::stand_in::{list_entry, list_text, take_request, whole};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
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
const FALL_SPAN: Duration = Duration::from_secs(2);
/// It is back after this long, cold.
const FALLEN_FOR: f64 = 3.0;
/// New work may reach a draining box for this long after it was told.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// The meter's period.
const METER: Duration = Duration::from_secs(2);

/// What the boxes have seen, by their own records.
#[derive(Debug, Default)]
pub struct Records {
    /// When each id came first, and how often it ran.
    seen: HashMap<u64, (Instant, u32)>,
    double_charges: u64,
    after_drain: u64,
    falls: u64,
    turned_away: u64,
    served: u64,
    /// Units by customer in this period and the last one.
    meter: [HashMap<u64, f64>; 2],
    turned: Option<Instant>,
    /// The greatest share of what a box can do that it was sent over [`FALL_SPAN`], at its speed then.
    peak_load: f64,
    /// By customer, what its quota still holds: a bucket of its burst, filled at its rate, over all boxes.
    quotas: HashMap<u64, (f64, Instant)>,
    /// Units served beyond that, by customer.
    beyond: HashMap<u64, f64>,
}

impl Records {
    /// The greatest load that a box was sent, as a share of what it can do.
    #[must_use]
    pub fn peak_load(&self) -> f64 {
        self.peak_load
    }

    /// Units served beyond the quotas: of all customers, and of the one with the most.
    #[must_use]
    pub fn beyond(&self) -> (f64, f64) {
        (self.beyond.values().sum(), self.beyond.values().copied().fold(0.0, f64::max))
    }

    /// From now on counts what is served beyond the quotas anew: the first fault begins.
    pub fn mark(&mut self) {
        self.beyond.clear();
        self.peak_load = 0.0;
    }

    /// One unit served to a customer of a plan with this rate and burst.
    fn take_from_quota(&mut self, now: Instant, customer: u64, (rate, burst): (f64, f64)) {
        let (left, at) = self.quotas.entry(customer).or_insert((burst, now));
        *left = (*left + rate * (now - *at).as_secs_f64()).min(burst);
        *at = now;
        if *left >= 1.0 {
            *left -= 1.0;
        } else {
            *self.beyond.entry(customer).or_default() += 1.0;
        }
    }

    /// When the request with this id first came to a box.
    #[must_use]
    pub fn came(&self, id: u64) -> Option<Instant> {
        self.seen.get(&id).map(|(at, _)| *at)
    }

    /// Payments that ran twice.
    #[must_use]
    pub fn double_charges(&self) -> u64 {
        self.double_charges
    }

    /// Requests that reached a box over 250 ms after it was told to drain.
    #[must_use]
    pub fn after_drain(&self) -> u64 {
        self.after_drain
    }

    /// Boxes pushed over.
    #[must_use]
    pub fn falls(&self) -> u64 {
        self.falls
    }

    /// Requests turned away, and served.
    #[must_use]
    pub fn turned_away_and_served(&self) -> (u64, u64) {
        (self.turned_away, self.served)
    }

    /// Counts a customer's units; gives its use in the last finished period.
    fn meter(&mut self, now: Instant, customer: u64) -> Option<f64> {
        let turned = *self.turned.get_or_insert(now);
        if now - turned >= METER {
            self.turned = Some(turned + METER * ((now - turned).as_nanos() / METER.as_nanos()) as u32);
            self.meter.swap(0, 1);
            self.meter[0].clear();
        }
        *self.meter[0].entry(customer).or_default() += 1.0;
        self.meter[1].get(&customer).copied()
    }
}

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

/// One box.
pub struct Portal {
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

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

enum Ask {
    Answer(Instant, Vec<u8>),
    Reset,
}

impl Portal {
    /// Starts a box that has been warm for long. `rates` are the plans' quotas, for the meter.
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
        let portal = Arc::new(Self {
            id: format!("box-{number}"),
            address: listener.local_addr()?,
            set,
            state: Mutex::new(state),
            records,
            rates,
            connections: AtomicUsize::new(0),
        });
        let accepting = portal.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let portal = accepting.clone();
                tokio::spawn(async move { portal.connection(socket).await });
            }
        });
        Ok(portal)
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
            Trouble::Restart(_, seconds) => fall(&mut state, now, seconds),
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
        if state.draining.is_some() {
            let late = state.draining.is_some_and(|told| now - told > DRAIN_GRACE);
            let mut records = lock(&self.records);
            records.after_drain += u64::from(late);
            records.turned_away += 1;
            return Ask::Answer(now, whole(503, "X-Turned-Away: 1\r\n", b""));
        }
        let speed = self.speed(&state, now);
        let mean = self.set.takes_ms[class];
        // What it is sent counts, whether it has room or not.
        state.offered.push_back((now, mean));
        state.offered_sum += mean;
        while state.offered.front().is_some_and(|(at, _)| now - *at > FALL_SPAN) {
            let Some((_, work)) = state.offered.pop_front() else { break };
            state.offered_sum -= work;
        }
        let able = self.set.cores as f64 * FALL_SPAN.as_secs_f64() * 1000.0 * speed;
        {
            let mut records = lock(&self.records);
            records.peak_load = records.peak_load.max(state.offered_sum / able);
        }
        if state.offered_sum > FALL_MULTIPLE * able {
            lock(&self.records).falls += 1;
            fall(&mut state, now, FALLEN_FOR);
            return Ask::Reset;
        }
        let busy = state.free.iter().filter(|free| **free > now).count();
        let backlog: f64 =
            state.free.iter().map(|free| free.saturating_duration_since(now).as_secs_f64()).sum();
        let line = backlog * 1000.0 / state.mean_ms.max(0.1) - busy as f64;
        if busy == self.set.cores && line > self.set.waiting as f64 {
            lock(&self.records).turned_away += 1;
            return Ask::Answer(now, whole(503, "X-Turned-Away: 1\r\n", b""));
        }
        let sigma = (1.0 + self.set.spread * self.set.spread).ln().sqrt();
        let takes = match LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma) {
            Ok(times) if sigma > 0.0 => times.sample(&mut state.rng),
            _ => mean,
        } / speed;
        state.mean_ms += 0.05 * (takes - state.mean_ms);
        let first = (0..state.free.len()).min_by_key(|&core| state.free[core]).unwrap_or(0);
        let done =
            state.free[first].max(now).max(state.paused_until) + Duration::from_secs_f64(takes / 1000.0);
        state.free[first] = done;
        drop(state);
        let mut records = lock(&self.records);
        let (_, runs) = records.seen.entry(id).or_insert((now, 0));
        *runs += 1;
        let again = *runs > 1 && class == 1;
        records.double_charges += u64::from(again);
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
        Ask::Answer(done, whole(200, &headers, format!("{id:016x}").as_bytes()))
    }
}

fn fall(state: &mut State, now: Instant, seconds: f64) {
    let back = now + Duration::from_secs_f64(seconds);
    state.down_until = Some(back);
    state.started = back;
    state.life += 1;
    state.offered.clear();
    state.offered_sum = 0.0;
    state.free.iter_mut().for_each(|free| *free = back);
}

/// Reads the next request of a connection; `None` at its end.
async fn next_request(socket: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<Message> {
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

/// Discovery's list of boxes with its watch.
pub struct Registry {
    /// Where it listens.
    pub address: SocketAddr,
    phases: Mutex<Vec<&'static str>>,
    revision: tokio::sync::watch::Sender<u64>,
    /// It answers with its first list, under its first revision.
    stale: AtomicBool,
    boxes: Vec<Arc<Portal>>,
}

impl Registry {
    /// Starts discovery for these boxes.
    ///
    /// # Errors
    /// When no address can be had.
    pub async fn start(boxes: Vec<Arc<Portal>>) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let registry = Arc::new(Self {
            address: listener.local_addr()?,
            phases: Mutex::new(vec!["in_service"; boxes.len()]),
            revision: tokio::sync::watch::Sender::new(1),
            stale: AtomicBool::new(false),
            boxes,
        });
        let accepting = registry.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let registry = accepting.clone();
                tokio::spawn(async move { registry.serve(socket).await });
            }
        });
        Ok(registry)
    }

    /// Tells everybody that a box drains.
    pub fn drain(&self, number: usize) {
        if let Some(phase) = lock(&self.phases).get_mut(number) {
            *phase = "terminating";
        }
        self.revision.send_modify(|revision| *revision += 1);
    }

    /// Goes back to the first list, as one restored from an old copy, or to the present one.
    pub fn go_back(&self, stale: bool) {
        self.stale.store(stale, Ordering::Relaxed);
        self.revision.send_modify(|_| {});
    }

    /// The list as JSON; nothing in it where nothing is new.
    #[must_use]
    pub fn list(&self, known: u64) -> String {
        let (mut revision, mut phases) = (*self.revision.borrow(), lock(&self.phases).clone());
        if self.stale.load(Ordering::Relaxed) {
            revision = 1;
            phases.iter_mut().for_each(|phase| *phase = "in_service");
        }
        let entry =
            |(portal, phase): (&Arc<Portal>, &str)| list_entry(&portal.id, portal.address, phase, "http/1.1");
        let entries: Vec<String> =
            if known == revision { Vec::new() } else { self.boxes.iter().zip(phases).map(entry).collect() };
        list_text(revision, known != revision, &entries)
    }

    async fn serve(&self, mut socket: TcpStream) {
        let mut bytes = Vec::new();
        loop {
            let Some(message) = next_request(&mut socket, &mut bytes).await else { return };
            let field = |name: &str| -> u64 {
                let value = message.target.split(['?', '&']).find_map(|pair| pair.strip_prefix(name));
                value.and_then(|text| text.parse().ok()).unwrap_or(0)
            };
            let (known, wait) = (field("index="), field("wait="));
            if known > 0 && wait > 0 {
                let mut news = self.revision.subscribe();
                let news = news.wait_for(|revision| *revision != known);
                let _ = tokio::time::timeout(Duration::from_millis(wait.min(60_000)), news).await;
            }
            if socket.write_all(&whole(200, "", self.list(known).as_bytes())).await.is_err() {
                return;
            }
        }
    }
}
