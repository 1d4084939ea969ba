//! Every decision of the gateway. Its types, events and actions are in `src/interface.rs`.
//!
//! The parts stand in the order of a request's life: price, slice, ceiling, choice of backend,
//! attempts, timers. A [`Brain`] does no I/O and has no clock: [`Brain::handle`] takes the time.

pub mod standing;

use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How often prices are computed anew (t_c of the paper).
const PRICE_EVERY: Millis = 300.0;
/// Weight of the newest price (alpha of Eq. 7).
const ALPHA: f64 = 0.2;
/// How many price intervals the lowest latency is looked for in.
const RECENT: usize = 60;
/// Share of a figure that goes in each price interval in which nothing confirms it.
const FADE: f64 = 0.05;
/// How often on-call staff are told what was admitted and refused, and why.
const TELL_EVERY: Millis = 5000.0;
/// Answers over which a class's mean latency is taken.
const SURE: f64 = 60.0;
/// How often attempts that are still out are looked at.
const TICK: Millis = 100.0;
/// Backends compared for one attempt.
const FEW: usize = 8;
/// Gateways that share a backend where there are many: more even out the load, fewer know their backends.
const SHARED_BY: f64 = 20.0;
/// A started backend that chance leaves unused is used this long after its start, half of it apart.
const FIRST_USE: Millis = 1500.0;
/// Golden ratio: multiples of it, less their whole part, lie evenly on a ring whichever numbers are missing.
const GOLDEN: f64 = 0.618_033_988_749_894_9;
/// Answers of late below which one failed connect is reason enough to leave a backend alone.
const SELDOM: f64 = 15.0;
/// What a backend in another zone must be better by.
const CROSS_ZONE: f64 = 1.1;
/// Chance in what backends are compared by.
const DITHER: f64 = 0.3;
/// A race pays where the wait, as a share of the aim, is above this many times the price of one probe.
const RACE: f64 = 4.0;
/// Faults in a row after which a backend is left alone.
const FAULTS: u32 = 3;
/// Silence, as the sum of what is out over the usual latency, that puts a backend in doubt.
const SILENCE: f64 = 10.0;
/// How long it is left alone the first time; doubled up to eight times that.
const REST: Millis = 1000.0;
/// Further attempts earned by one admission, and the most saved up: many gateways' add up to a burst.
const EXTRA_EARNED: f64 = 0.1;
const EXTRA_MOST: f64 = 3.0;
/// Share of the aim after which an attempt is looked into.
const CHECK_SHARE: f64 = 0.3;
/// Share of the quota that slices aim at together, since readings are old; how fast one may double a second.
const SLICE_AIM: f64 = 0.85;
const DOUBLING: f64 = 0.5;
/// Least chance to be inside its quota, and the first, that a customer has of whom nothing is known here.
const UNREAD: f64 = 0.6;
/// Least chance of a first request where a part is below one; without readings, so many times its worth.
const LENT_READ: f64 = 0.25;
const LENT_BLIND: f64 = 2.5;
/// Bursts that all of a customer's gateways may lend together before the chance falls to that.
const BURSTS: f64 = 4.0;
/// Slots in which a gateway remembers what it let through; each is half a meter period.
const SLOTS: usize = 32;
/// Requests that tell a customer's own rate here; fewer are looked for further back.
const COUNT: f64 = 6.0;
/// A client that has been away this long is forgotten, and so is one that came but once.
const FORGET: Millis = 60_000.0;
const FORGET_ONCE: Millis = 10_000.0;

/// What is known of one class: the price and what it is computed from.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
pub struct ClassState {
    price: f64,
    mean: f64,
    /// Mean latency without what reports tell was waiting.
    served: f64,
    lows: VecDeque<f64>,
    floor: f64,
    known: f64,
    waits: f64,
    answers: f64,
    admitted: f64,
    asked: f64,
}

/// A customer's local share of its quota and of its ceiling.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
pub struct Customer {
    plan: usize,
    entry: f64,
    share: f64,
    store: f64,
    ceiling: f64,
    filled: Millis,
    shared_at: Millis,
    reading: f64,
    read_at: Millis,
    blind_at: Millis,
    past: [f64; SLOTS],
    slot: i64,
    out: f64,
}

#[derive(Debug, Clone, Default)]
struct Server {
    told: Backend,
    ramp_from: Millis,
    out: u32,
    ratio: f64,
    evidence: f64,
    lag: f64,
    silence: f64,
    answered: Millis,
    /// When the latest of what it has answered was sent.
    reached: Millis,
    faults: u32,
    rest: Millis,
    rest_until: Millis,
}

#[derive(Debug, Clone, Default)]
struct Open {
    class: usize,
    plan: usize,
    customer: u64,
    units: f64,
    inside: bool,
    since: Millis,
    deadline: Millis,
    tries: u32,
    most: u32,
    coming: bool,
    out: u32,
    streaming: bool,
    /// Send time, zone and cell of the earliest attempt that may have run.
    ran: Option<(Millis, u32, u32)>,
}

#[derive(Debug, Clone, Copy)]
struct Out {
    server: usize,
    class: usize,
    customer: u64,
    sent: Millis,
}

#[derive(Debug, Clone, Copy)]
enum Due {
    Tick,
    Subscribe,
    Check(RequestId),
    Deadline(RequestId),
}

/// One gateway's decisions.
#[derive(Debug)]
pub struct Brain {
    set: Settings,
    rng: fastrand::Rng,
    now: Millis,
    started: Option<Millis>,
    classes: Vec<ClassState>,
    customers: BTreeMap<u64, Customer>,
    /// Share of each plan's readings that tell of use within the quota.
    within: Vec<f64>,
    servers: Vec<Server>,
    by_id: BTreeMap<BackendId, usize>,
    open: BTreeMap<RequestId, Open>,
    /// Requests that wait for the first of these backends to answer a probe.
    races: Vec<(RequestId, Vec<usize>)>,
    out: BTreeMap<(RequestId, u32), Out>,
    timers: BTreeMap<u64, Due>,
    next_tag: u64,
    priced_at: Millis,
    /// When the last event came, and the latest one after a gap of the gateway's own.
    seen: Millis,
    stalled: Millis,
    extra: f64,
    wait: Millis,
    /// The wait by answers alone, and attempts that went without one since the last came.
    heard: Millis,
    missing: f64,
    usual_out: f64,
    asked_list: Millis,
    /// Admitted; refused by quota, ceiling, lack of a backend, price; since the last trace line.
    tally: [u32; 5],
    told_at: Millis,
}

impl Brain {
    /// Builds a gateway's decisions from its settings; equal seeds and events give equal actions.
    ///
    /// # Errors
    /// Names the first setting that no gateway could work with.
    pub fn new(set: Settings, seed: u64) -> Result<Self, SettingsError> {
        set.validate()?;
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            now: 0.0,
            started: None,
            classes: vec![ClassState::default(); set.classes.len()],
            customers: BTreeMap::new(),
            within: vec![UNREAD; set.plans.len()],
            servers: Vec::new(),
            by_id: BTreeMap::new(),
            open: BTreeMap::new(),
            races: Vec::new(),
            out: BTreeMap::new(),
            timers: BTreeMap::new(),
            next_tag: 0,
            priced_at: 0.0,
            seen: 0.0,
            stalled: f64::NEG_INFINITY,
            extra: 1.0,
            wait: 0.0,
            heard: 0.0,
            missing: 0.0,
            usual_out: 0.0,
            asked_list: f64::NEG_INFINITY,
            tally: [0; 5],
            told_at: 0.0,
            set,
        })
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Millis, event: Event, act: &mut Vec<Action>) {
        // A clock that steps back must not undo what was granted.
        self.now = if now.is_finite() { now.max(self.now) } else { self.now };
        // Danger: a gateway that stood still, longer than a tick, finds all at once: that tells no latency.
        if self.now - self.seen > 2.5 * TICK {
            self.stalled = self.now;
        }
        self.seen = self.now;
        if self.started.is_none() {
            self.started = Some(self.now);
            self.priced_at = self.now;
            self.remind(Due::Tick, TICK, act);
            act.extend(self.set.must_subscribe.then_some(Action::Subscribe));
        }
        match event {
            Event::List { kind, backends } => self.list(kind, backends, act),
            Event::Request(request) => self.request(&request, act),
            Event::Whole { request, budget } => self.whole(request, budget, act),
            Event::Started { request, .. } => {
                self.open.get_mut(&request).into_iter().for_each(|open| open.streaming = true);
            }
            Event::Outcome(outcome) => self.outcome(&outcome, act),
            Event::Lapsed(id) => self.end(id, act),
            Event::Timer(tag) => self.timer(tag, act),
            Event::Probed { backend, code, .. } => self.probed(&backend, code, act),
            Event::Counted { .. } | Event::Peer { .. } => {}
        }
    }

    // ---- Price (DESIGN steps 1 to 4; paper 3.3 and 3.4) ----

    /// Steps 1 to 3: what was let through and how long it waited, the price of that, smoothed.
    fn reprice(&mut self) {
        let seconds = (self.now - self.priced_at) / 1000.0;
        self.priced_at = self.now;
        // Waits are pooled over the classes: of a seldom one the spread of its work would look like waiting.
        // Danger: slow work makes a heavy class wait longer; with light ones priced out the mix alone would
        // keep the price up. Each wait counts as the mean of what is asked for would have waited.
        let asked: f64 = self.classes.iter().map(|c| c.asked).sum();
        let mean = self.classes.iter().map(|c| c.floor * c.asked).sum::<f64>() / asked.max(1.0);
        let as_mean = |c: &ClassState| if c.floor > 0.0 && mean > 0.0 { mean / c.floor } else { 1.0 };
        let mut sum: f64 = self.classes.iter().map(|c| c.waits * as_mean(c)).sum();
        let mut count: f64 = self.classes.iter().map(|c| c.answers).sum();
        // Danger: a hung backend tells nothing until its time-outs; a longer age than usual is wait so far.
        let usual = |o: &&Out| self.classes[o.class].floor + self.wait;
        let late = |o: &&Out| self.now - o.sent > usual(o) && self.tells(o.server) && !self.overtaken(o);
        let overdue: Vec<&Out> = self.out.values().filter(late).collect();
        let missing = self.missing + overdue.len() as f64;
        for out in &overdue {
            let age = self.now - out.sent - self.classes[out.class].floor;
            sum += self.silent_wait(out.class, age, missing) * as_mean(&self.classes[out.class]);
            count += 1.0;
        }
        if count > 0.0 {
            // A few samples tell little: they move the wait by their number.
            self.wait += (sum / count - self.wait) * (count / (count + 10.0));
        }
        let ready = self.servers.iter().filter(|s| s.told.state == BackendState::Ready).count().max(1) as f64;
        let delay_cost: f64 = (self.classes.iter().zip(&self.set.classes))
            .map(|(c, t)| f64::from(self.set.gateways) * t.worth / (t.aim / 1000.0) * c.admitted / seconds)
            .sum();
        let price = (self.wait.max(0.0) / 1000.0).powi(2) / ready * delay_cost;
        // Danger: with nothing admitted nothing is measured, and a bad figure would stand: it fades.
        if count <= 0.0 {
            self.wait *= 1.0 - FADE;
        }
        for s in &mut self.servers {
            (s.ratio, s.evidence) = (s.ratio + (1.0 - s.ratio) * FADE / 4.0, s.evidence * (1.0 - FADE / 4.0));
        }
        for class in &mut self.classes {
            if class.answers <= 0.0 && class.admitted <= 0.0 {
                class.mean *= 1.0 - FADE / 2.0;
                class.served *= 1.0 - FADE / 2.0;
            }
            class.lows.extend((class.known >= SURE).then_some(class.served));
            class.lows.drain(..class.lows.len().saturating_sub(RECENT));
            class.floor = class.lows.iter().copied().reduce(f64::min).unwrap_or(class.served);
            class.price = ALPHA * price + (1.0 - ALPHA) * class.price;
            (class.waits, class.answers, class.admitted) = (0.0, 0.0, 0.0);
            class.asked *= 1.0 - FADE;
        }
    }

    /// The share of a latency that was waiting, by the queue that the backend reports with the answer.
    fn queued(&self, report: Option<&[f64]>) -> f64 {
        // Danger: a gateway that starts in a jam takes its latency for the usual one; this lowers it.
        let value = |field| {
            let at = self.set.report_fields.iter().position(|f| *f == field)?;
            report?.get(at).copied().filter(|v| v.is_finite() && *v >= 0.0)
        };
        match (value(ReportField::Queued), value(ReportField::Concurrent)) {
            (Some(queued), Some(held)) if held > 0.0 => (queued / held).min(1.0),
            _ => 0.0,
        }
    }

    /// What an attempt without an answer tells of waiting: not more than the answers that come.
    fn silent_wait(&self, class: usize, age: Millis, missing: f64) -> Millis {
        // Danger: a time-out says that an answer is missing, not that the fleet queues; its square would
        // price out all. Silence counts up to a few times the wait that answers tell, more with each in a row
        // and while the usual latency is little known. May hurt: a jam with fast answers is braked later.
        let class = &self.classes[class];
        let least = if class.known > 0.0 { 0.1 * class.floor } else { age };
        let unsure = (SURE / class.known.max(1.0)).powi(2);
        age.min(self.heard.max(least) * (2.0 + missing) * unsure)
    }

    /// Step 4: is a unit worth more than its delay and its price?
    fn pays(&mut self, class: usize, value: f64, expected: Millis) -> bool {
        let price = self.classes[class].price * self.load() * (0.5 + self.rng.f64());
        let told = &self.set.classes[class];
        value - told.worth / told.aim * expected - price > 0.0
    }

    // ---- Slice (DESIGN, our slice rule) ----

    /// The customer's state, brought up to now.
    fn customer(&mut self, request: &Request) -> &mut Customer {
        let plan = &self.set.plans[request.plan];
        let now = self.now;
        let entry = f64::from(request.entry_points.max(1));
        let (burst, since_start) = (plan.burst / entry, (now - self.started.unwrap_or(now)) / 1000.0);
        // Danger: split over many gateways, a calm customer's first request would be refused: one is lent.
        let lent = if plan.at_once > 0.0 { (1.0 / plan.at_once).min(1.0) } else { 0.0 };
        let worth = UNREAD + (1.0 - UNREAD) * (plan.beyond_earns - plan.overrun_cost);
        let lot = if self.set.meter_period > 0.0 { LENT_READ } else { (LENT_BLIND * worth).clamp(0.0, 1.0) };
        let customer = self.customers.entry(request.customer).or_insert_with(|| Customer {
            plan: request.plan,
            entry,
            share: lent.max(1.0 / entry),
            // Danger: what each of hundreds lends adds up; never one each, but a chance of one.
            store: (BURSTS * burst).clamp(request.units * lot, request.units).max(burst),
            // Danger: a restarted gateway must not grant a fresh burst: the ceiling's store starts empty.
            ceiling: (plan.ceiling_rate / entry * since_start).min(plan.ceiling_depth / entry),
            filled: now,
            shared_at: now,
            read_at: f64::NEG_INFINITY,
            blind_at: f64::NEG_INFINITY,
            ..Customer::default()
        });
        customer.entry = customer.entry.max(entry);
        let floor = 1.0 / customer.entry;
        customer.roll(now, self.set.meter_period, plan.at_once);
        let seconds = (now - customer.shared_at) / 1000.0;
        if seconds >= 1.0 {
            customer.shared_at = now;
            let most = customer.share * (DOUBLING * seconds.min(4.0)).exp2();
            // A reading stands until answers come without one: a seldom seen customer's is the best there is.
            let fresh = customer.blind_at < customer.read_at + self.set.meter_period;
            let own = customer.let_through(plan, self.set.meter_period, request.units, since_start);
            // What was let through in the period that the reading tells of, scaled by quota over use.
            let aimed = match (fresh, customer.reading > 0.0) {
                _ if customer.read_at.is_infinite() => customer.share,
                (false, _) => customer.share / 2.0,
                (true, false) => most,
                (true, true) if plan.rate > 0.0 => SLICE_AIM * own / customer.reading,
                // Peaks do not add up as rates do: a cap leaves what the others did not hold then.
                (true, true) => 1.0 - (customer.reading - own).max(0.0),
            };
            customer.share = aimed.min(most).min(1.0).max(floor);
        }
        let gone = (now - customer.filled) / 1000.0;
        customer.filled = now;
        let depth = (plan.burst * customer.share).max(request.units);
        customer.store = (customer.store + plan.rate * customer.share * gone).min(depth);
        let (rate, depth) = (plan.ceiling_rate * floor, plan.ceiling_depth * floor);
        customer.ceiling = (customer.ceiling + rate * gone).min(depth);
        customer
    }

    // ---- A request's way in ----

    fn request(&mut self, request: &Request, act: &mut Vec<Action>) {
        let known = request.class < self.classes.len() && request.plan < self.set.plans.len();
        let sound = request.units.is_finite() && request.units >= 0.0 && request.budget > 0.0;
        if !known || !sound || self.open.contains_key(&request.id) {
            act.push(Action::Refuse { request: request.id, hold_off: 0.0, why: Why::Bad });
            return;
        }
        self.classes[request.class].asked += 1.0;
        let plan = self.set.plans[request.plan].clone();
        let class = self.set.classes[request.class].clone();
        let (chance, other, stale) = (self.rng.f64(), self.rng.f64(), self.set.meter_period);
        // Broken parts go to dear requests first; without readings that would starve the others.
        let asked = self.classes.iter().zip(&self.set.classes);
        let (n, sum) = asked.fold((0.0, 0.0), |(n, sum), (c, t)| (n + c.asked, sum + c.asked * t.worth));
        let lot = if stale > 0.0 { (chance * sum / n / class.worth).min(1.0) } else { chance };
        let customer = self.customer(request);
        // Danger: a part below one request tells nothing of the whole: there the last reading decides more.
        let part = if plan.rate > 0.0 { plan.burst / request.units.max(0.1) } else { plan.at_once };
        let read = customer.blind_at < customer.read_at + stale;
        let told = if read { (1.0 - customer.reading).max(0.0) } else { 0.0 };
        let room = other < told / (1.0 + part * customer.share).powi(4);
        let broken = part * customer.share < 1.0;
        let needed = if broken { request.units * lot } else { request.units };
        let inside = room
            || (plan.rate <= 0.0 || customer.store.max(0.0) >= needed)
            // Danger: many gateways that round their part of a cap up; a broken part is granted by chance.
            && (plan.at_once <= 0.0 || customer.out + chance < plan.at_once * customer.share);
        let unsure = broken && plan.rate > 0.0 && customer.reading <= 1.0 && inside != read;
        let under = plan.ceiling_rate <= 0.0 || customer.ceiling >= request.units;
        // Danger: a customer far beyond its quota is new at each of many gateways; its plan's readings tell.
        let likely = if unsure { self.within[request.plan].max(UNREAD) } else { f64::from(u8::from(inside)) };
        let told_worth = likely + (1.0 - likely) * (plan.beyond_earns - plan.overrun_cost);
        let value = class.worth * plan.price * told_worth;
        let hold_off = self.hold_off(request.class);
        let choice = if under && value > 0.0 { self.choose(None, None) } else { None };
        let Some(server) =
            choice.filter(|&s| self.pays(request.class, value, self.expected(request.class, s)))
        else {
            let why = match choice {
                _ if value <= 0.0 => 1,
                _ if !under => 2,
                None => 3,
                Some(_) => 4,
            };
            self.tally[why] += 1;
            if why == 3 && self.now - self.asked_list > 5000.0 {
                self.asked_list = self.now;
                act.push(Action::ReadList);
                act.push(Action::Trace("no backend may be sent to".into()));
            }
            let why = [Why::Bad, Why::Quota, Why::Quota, Why::NoBackend, Why::Price][why];
            act.push(Action::Refuse { request: request.id, hold_off, why });
            return;
        };
        self.tally[0] += 1;
        let customer = self.customer(request);
        customer.ceiling -= request.units;
        if inside {
            customer.store = (customer.store - request.units).max(-request.units);
        }
        if plan.rate > 0.0 {
            customer.past[0] += request.units;
        }
        // Danger: where no answer brings a reading, a cap's lent attempt would be lent again and again.
        customer.share = if customer.read_at.is_finite() { customer.share } else { 1.0 / customer.entry };
        self.classes[request.class].admitted += request.units;
        self.extra = (self.extra + EXTRA_EARNED).min(EXTRA_MOST);
        let open = Open {
            class: request.class,
            plan: request.plan,
            customer: request.customer,
            units: request.units,
            inside,
            since: self.now,
            deadline: self.now + if request.coming { f64::INFINITY } else { request.budget },
            most: self.set.limits.max_attempts,
            coming: request.coming,
            ..Open::default()
        };
        self.open.insert(request.id, open);
        if !request.coming {
            self.remind(Due::Deadline(request.id), request.budget, act);
        }
        self.remind(Due::Check(request.id), class.aim * CHECK_SHARE, act);
        self.race(request.id, server, act);
    }

    /// A request's last byte has come: its time, and that of its attempts, begins.
    fn whole(&mut self, id: RequestId, budget: Millis, act: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        (open.coming, open.since, open.deadline) = (false, self.now, self.now + budget);
        self.out.range_mut((id, 0)..=(id, u32::MAX)).for_each(|(_, out)| out.sent = self.now);
        self.remind(Due::Deadline(id), budget, act);
    }

    // ---- Choice of backend, with health and the cold ramp ----

    /// Share of its full work that a backend can surely do, from its start on.
    fn warmth(&self, server: &Server) -> f64 {
        let rules = &self.set.rules;
        let age = (self.now - server.ramp_from).max(0.0);
        if rules.warm_up <= 0.0 || age >= rules.warm_up {
            return 1.0;
        }
        rules.cold_share + (1.0 - rules.cold_share) * age / rules.warm_up
    }

    /// Whether its backend has answered something that was sent after this attempt.
    fn overtaken(&self, out: &Out) -> bool {
        // Danger: an answer that got lost looks like a queue; queues are served in turn: overtaken is lost.
        self.servers[out.server].reached > out.sent
    }

    /// Whether a latency there tells of waiting in the fleet.
    fn tells(&self, index: usize) -> bool {
        // Danger: a cold one is slow however little it holds, which squared would price out the warm ones.
        !self.servers[index].doubted() && self.warmth(&self.servers[index]) >= 1.0
    }

    fn may_take(&self, server: &Server) -> bool {
        server.told.state == BackendState::Ready && self.now >= server.rest_until
    }

    /// Draws by size and warmth over all backends; a cold one takes the attempt that falls to it.
    fn cold_turn(&mut self) -> Option<usize> {
        // Danger: what hundreds of gateways save up is a burst; chance adds up to the warmed part.
        let weigh = |s: &Server| if s.told.state == BackendState::Ready { s.size() } else { 0.0 };
        // Danger: chance may leave a started one unused. Few gateways give it one each; many would burst.
        let apart = (f64::from(self.set.gateways) / 2.0).max(1.0);
        let due = FIRST_USE * (1.0 + apart * (f64::from(self.set.ordinal) * GOLDEN).fract());
        let untried = |s: &Server| s.out == 0 && s.ratio <= 1.0 && s.reached < s.ramp_from;
        let unused = |s: &Server| 2.0 * apart <= SHARED_BY && untried(s) && self.now - s.ramp_from > due;
        if let Some(first) = self.servers.iter().position(|s| self.may_take(s) && unused(s)) {
            return Some(first);
        }
        let size: f64 = self.servers.iter().map(weigh).sum();
        let warm: f64 = self.servers.iter().map(|s| weigh(s) * self.warmth(s)).sum();
        // Where most of the fleet is cold its load must not fall on it: a part has no turn.
        let mut left = self.rng.f64() * warm.max(size / 2.0);
        self.servers.iter().position(|s| {
            let warmth = self.warmth(s);
            left -= if warmth < 1.0 { weigh(s) * warmth } else { 0.0 };
            left < 0.0
        })
    }

    /// Latency expected of a backend, as a multiple of its class's mean.
    fn slowness(server: &Server) -> f64 {
        // Danger: a backend that stands still answers nothing; the age of what it holds tells.
        server.ratio.max(server.lag)
    }

    /// What is out now against what was out when the waits at hand were measured.
    fn load(&self) -> f64 {
        ((self.sound_out() + 1.0) / (self.usual_out + 1.0)).min(4.0)
    }

    fn sound_out(&self) -> f64 {
        self.servers.iter().filter(|s| !s.doubted()).map(|s| f64::from(s.out)).sum()
    }

    fn expected(&self, class: usize, server: usize) -> Millis {
        // Danger: measured waits are old; a surge or a stop shows in what is out long before.
        (self.classes[class].floor + self.wait.max(0.0) * self.load()) * Self::slowness(&self.servers[server])
    }

    /// The latency of a class at present, over all backends.
    fn typical(&self, class: usize) -> Millis {
        let (known, floor) = (self.classes[class].known, self.classes[class].floor);
        // Danger: at a start nothing is known yet, and any silence would look long.
        if known > 0.0 {
            floor + self.wait.max(0.0)
        } else {
            self.set.classes[class].aim * CHECK_SHARE
        }
    }

    /// The backend with the lowest expected time among a random few; only those in `scope`, not `but`.
    fn choose(&mut self, scope: Option<(KeyScope, u32, u32)>, but: Option<usize>) -> Option<usize> {
        let cold = self.cold_turn();
        let fits = |s: &Server| match scope {
            Some((KeyScope::Zone, zone, _)) => s.told.zone == zone,
            Some((KeyScope::Cell, _, cell)) => s.told.cell == cell,
            _ => true,
        };
        let able = self.by_id.values().copied();
        let mut able: Vec<usize> =
            able.filter(|&i| fits(&self.servers[i]) && self.may_take(&self.servers[i])).collect();
        if let Some(cold) = cold.filter(|i| able.contains(i) && Some(*i) != but) {
            return Some(cold);
        }
        able.retain(|&i| self.warmth(&self.servers[i]) >= 1.0);
        // Danger: one of a hundred gateways never learns sixty backends: each keeps to a window of the ring.
        let share = SHARED_BY * able.len() as f64 / f64::from(self.set.gateways);
        let window = (share.ceil() as usize).max(FEW);
        if able.len() > window {
            let start = (f64::from(self.set.ordinal) * GOLDEN).fract() * able.len() as f64;
            able.rotate_left(start as usize);
            able.truncate(window);
        }
        if able.len() > 1 {
            able.retain(|&i| Some(i) != but);
        }
        // Danger: at a request a second nobody learns which backends are small; drawn by size they get it.
        let all: f64 = able.iter().map(|&i| self.servers[i].size()).sum();
        let mut drawn = |_| {
            let mut left = self.rng.f64() * all;
            able.iter().copied().find(|&i| {
                left -= self.servers[i].size();
                left < 0.0
            })
        };
        let few: Vec<usize> = (0..FEW).filter_map(&mut drawn).collect();
        // Danger: a fixed preference for the own zone would let it drown; chance keeps all in use and known.
        let cost = |i: &usize| {
            let s = &self.servers[*i];
            let far = if s.told.zone == self.set.zone { 1.0 } else { CROSS_ZONE };
            Self::slowness(s) * f64::from(s.out + 1) * far
        };
        let costs: Vec<f64> = few.iter().map(|i| cost(i) * (1.0 + DITHER * self.rng.f64())).collect();
        few.into_iter().zip(costs).min_by(|a, b| a.1.total_cmp(&b.1)).map(|best| best.0)
    }

    /// Judges a backend by what came of an attempt.
    fn judge(&mut self, out: &Out, code: Code, elapsed: Millis, act: &mut Vec<Action>) {
        let (index, overtaken) = (out.server, self.overtaken(out));
        let typical = self.typical(out.class);
        let server = &mut self.servers[index];
        match code {
            Code::Success => {
                (server.faults, server.rest, server.rest_until) = (0, 0.0, 0.0);
                (server.answered, server.lag, server.silence) = (self.now, 0.0, 0.0);
                server.reached = server.reached.max(out.sent);
                if self.classes[out.class].known > 0.0 && self.stalled < self.now {
                    let weight = (1.0 / (server.evidence + 4.0)).max(0.05);
                    server.ratio += ((elapsed / typical).clamp(0.05, 20.0) - server.ratio) * weight;
                    server.evidence += 1.0;
                }
            }
            Code::Overloaded => server.ratio = (server.ratio * 1.2).min(20.0),
            Code::Failure | Code::TimedOut | Code::Unreachable | Code::Broken | Code::Unknown => {
                // What is met seldom is judged from little evidence.
                let clear = code == Code::Unreachable && server.evidence < SELDOM && server.faults < FAULTS;
                server.faults = if clear { FAULTS } else { server.faults + u32::from(!overtaken) };
                server.ratio = (server.ratio * (1.0 + 1.0 / (server.evidence + 1.0)).max(1.1)).min(20.0);
                if server.faults == FAULTS && !overtaken && self.put_to_rest(index, act) {
                    // It may have started anew, and comes back cold; broken connections alone make none so.
                    if code == Code::Unreachable {
                        let server = &mut self.servers[index];
                        server.ramp_from = server.rest_until;
                    }
                }
            }
            Code::Withdrawn | Code::Void => {}
        }
    }

    /// Leaves a backend alone but for single tries, until one is answered.
    fn put_to_rest(&mut self, index: usize, act: &mut Vec<Action>) -> bool {
        let ready = |s: &&Server| s.told.state == BackendState::Ready;
        let doubted = self.servers.iter().filter(ready).filter(|s| s.doubted()).count();
        // Danger: judged alone, a common trouble would put most of the fleet to rest.
        if (doubted + 1) * 2 > self.servers.iter().filter(ready).count() {
            self.servers[index].faults = FAULTS - 1;
            return false;
        }
        let server = &mut self.servers[index];
        (server.faults, server.rest, server.rest_until) = (FAULTS, REST, self.now + REST);
        act.push(Action::Trace(format!("resting {} with {} out", server.told.id, server.out)));
        true
    }

    fn list(&mut self, kind: ListKind, backends: Vec<Backend>, act: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            self.remind(Due::Subscribe, 1000.0, act);
            return;
        }
        if kind != ListKind::Changes {
            self.servers.iter_mut().for_each(|s| s.told.state = BackendState::Gone);
        }
        let used: BTreeSet<usize> = self.by_id.values().copied().collect();
        let mut unused: Vec<usize> = (0..self.servers.len()).filter(|i| !used.contains(i)).collect();
        for mut told in backends {
            // Danger: a start in the future would never warm up; without a figure it was long ago.
            told.born = if told.born.is_finite() { told.born.min(self.now) } else { 0.0 };
            let (born, now) = (told.born, self.now);
            let ramp_from = if born > 0.0 { born } else { f64::NEG_INFINITY };
            let fresh = Server { ramp_from, answered: now, ratio: 1.0, ..Server::default() };
            let known = self.by_id.get(&told.id).copied();
            // Danger: backends are replaced under new ids all day; each takes the place of one that is gone.
            let index = known.or_else(|| unused.pop()).unwrap_or(self.servers.len());
            if index == self.servers.len() {
                self.servers.push(Server::default());
            }
            if known.is_none() {
                self.by_id.insert(told.id.clone(), index);
                self.servers[index] = Server { told, ..fresh };
            } else if born > self.servers[index].told.born {
                self.servers[index] = Server { told, out: self.servers[index].out, ..fresh };
            } else {
                self.servers[index].told = told;
            }
        }
        let (servers, races) = (&self.servers, &self.races);
        self.by_id.retain(|_, i| {
            let in_use = servers[*i].out > 0 || races.iter().any(|race| race.1.contains(i));
            servers[*i].told.state != BackendState::Gone || in_use
        });
    }

    // ---- Attempts ----

    /// Sends a first attempt; where it would wait long, to that one of two which answers a probe first.
    fn race(&mut self, id: RequestId, first: usize, act: &mut Vec<Action>) {
        // Danger: with little out of its own, a gateway cannot tell busy backends from idle ones; probes can.
        let ready = self.servers.iter().filter(|s| self.may_take(s)).count().max(1) as f64;
        let blind = (1.0 + FEW as f64 * self.usual_out / ready).powi(-2);
        let worth = RACE * self.set.limits.probe_price * self.set.classes[self.open[&id].class].aim;
        let pays = self.wait > worth && self.rng.f64() < blind;
        let second = if self.set.limits.may_probe && pays { self.choose(None, Some(first)) } else { None };
        let warm = |i: usize| self.warmth(&self.servers[i]) >= 1.0;
        match second.filter(|&second| second != first && warm(first) && warm(second)) {
            Some(second) => {
                for i in [first, second] {
                    act.push(Action::Probe(self.servers[i].told.id.clone()));
                }
                self.races.push((id, vec![first, second]));
            }
            None => self.send(id, first, act),
        }
    }

    /// A probe's end settles the oldest race that waits for it; the last to fail settles it by its code.
    fn probed(&mut self, backend: &str, code: Code, act: &mut Vec<Action>) {
        let Some(&index) = self.by_id.get(backend) else { return };
        let Some(at) = self.races.iter().position(|race| race.1.contains(&index)) else { return };
        let id = self.races[at].0;
        let able = code == Code::Success && self.may_take(&self.servers[index]);
        self.races[at].1.retain(|&i| i != index);
        if !able && !self.races[at].1.is_empty() {
            return;
        }
        self.races.remove(at);
        // Danger: in a jam a third backend is as full, and what is sent there keeps all of them full.
        let jam = !able && matches!(code, Code::TimedOut | Code::Overloaded);
        match able.then_some(index).or_else(|| self.choose(None, Some(index)).filter(|_| !jam)) {
            Some(index) if self.open.contains_key(&id) => self.send(id, index, act),
            _ => self.give_up(id, act),
        }
    }

    fn send(&mut self, id: RequestId, index: usize, act: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let (class, customer) = (open.class, open.customer);
        let told = &self.set.classes[class];
        // An answer that earns nothing is not worth the backend's work: stop waiting at the aim.
        let last = if told.late_value > 0.0 {
            open.deadline
        } else {
            open.deadline.min(open.since + told.aim - 5.0)
        };
        let timeout = (last - self.now).max(1.0).min(open.deadline - self.now);
        let sent = if open.coming { f64::INFINITY } else { self.now };
        let out = Out { server: index, class, customer, sent };
        self.out.insert((id, open.tries), out);
        open.tries += 1;
        open.out += 1;
        let at_once = self.set.plans[open.plan].at_once;
        if let Some(customer) = self.customers.get_mut(&customer) {
            customer.out += 1.0;
            if at_once > 0.0 {
                customer.past[0] = customer.past[0].max(customer.out);
            }
        }
        let server = &mut self.servers[index];
        server.out += 1;
        if server.doubted() {
            server.rest = (server.rest * 2.0).min(REST * 8.0);
            server.rest_until = self.now + server.rest;
        }
        act.push(Action::Attempt { request: id, backend: server.told.id.clone(), timeout });
    }

    fn outcome(&mut self, told: &Outcome, act: &mut Vec<Action>) {
        // Stale or repeated news of an attempt changes nothing but the end of its request.
        let Some(out) = self.out.remove(&(told.request, told.attempt)) else {
            if told.finished {
                self.end(told.request, act);
            }
            return;
        };
        let elapsed = self.now - out.sent;
        self.servers[out.server].out = self.servers[out.server].out.saturating_sub(1);
        self.judge(&out, told.code, elapsed, act);
        // Danger: what a backend in doubt holds or lets time out tells of that backend, not of waiting.
        let overtaken = self.overtaken(&out);
        let tells = self.tells(out.server);
        let sound = told.code == Code::TimedOut && tells && !overtaken;
        let age = elapsed - self.classes[out.class].floor;
        let wait = self.silent_wait(out.class, age, self.missing + 1.0);
        // A reset, or silence that outlasts all waiting, earns one more attempt; a jam earns none.
        let silent = matches!(told.code, Code::TimedOut | Code::Withdrawn) && wait < age;
        if told.code == Code::Broken || silent && self.set.limits.may_duplicate {
            self.extra = (self.extra + 1.0).min(EXTRA_MOST);
        }
        if sound && self.stalled < self.now {
            self.missing += 1.0;
            self.classes[out.class].waits += wait;
            self.classes[out.class].answers += 1.0;
        } else if told.code == Code::Success && self.stalled < self.now && tells {
            let queued = self.queued(told.report.as_deref());
            let class = &mut self.classes[out.class];
            class.known = (class.known + 1.0).min(SURE);
            class.mean += (elapsed - class.mean) / class.known;
            class.served += (elapsed * (1.0 - queued) - class.served) / class.known;
            if class.known < SURE {
                class.floor = class.served;
            }
            class.waits += elapsed - class.floor;
            class.answers += 1.0;
            self.heard += (elapsed - class.floor - self.heard) * 0.1;
            self.missing = 0.0;
        }
        if let Some(customer) = self.customers.get_mut(&out.customer) {
            customer.out = (customer.out - 1.0).max(0.0);
            if let Some(usage) = told.usage.filter(|u| u.is_finite() && *u >= 0.0) {
                customer.reading = usage / 100.0;
                customer.read_at = self.now;
                let within = &mut self.within[customer.plan];
                *within += (f64::from(u8::from(usage <= 100.0)) - *within) * FADE;
            } else if told.code == Code::Success {
                customer.blind_at = self.now;
            }
        }
        let Some(open) = self.open.get_mut(&told.request) else { return };
        open.out = open.out.saturating_sub(1);
        if told.finished || told.code == Code::Success {
            // Units told only with the answer: the difference is settled with the local store.
            if let (Some(units), true) = (told.settled_units.filter(|u| u.is_finite()), open.inside) {
                if let Some(customer) = self.customers.get_mut(&out.customer) {
                    customer.store += open.units - units;
                }
            }
            return self.end(told.request, act);
        }
        let proven = matches!(told.code, Code::Overloaded | Code::Unreachable | Code::Void);
        let server = &self.servers[out.server];
        if !proven && open.ran.is_none_or(|(sent, ..)| sent > out.sent) {
            open.ran = Some((out.sent, server.told.zone, server.told.cell));
        }
        if open.out == 0 && !open.streaming && !self.further(told.request, out.server, act) {
            self.give_up(told.request, act);
        }
    }

    /// Sends a further attempt if the effect, the budget, the time and the price allow one.
    fn further(&mut self, id: RequestId, but: usize, act: &mut Vec<Action>) -> bool {
        let Some(open) = self.open.get(&id).cloned() else { return false };
        let told = self.set.classes[open.class].clone();
        // What is still out may run as well.
        let still = self.out.range((id, 0)..=(id, u32::MAX)).map(|(_, o)| {
            let s = &self.servers[o.server];
            (o.sent, s.told.zone, s.told.cell)
        });
        let ran = open.ran.into_iter().chain(still).min_by(|a, b| a.0.total_cmp(&b.0));
        let mut scope = None;
        if let Some((sent, zone, cell)) = ran {
            match told.effect {
                Effect::Safe => {}
                Effect::Unsafe => return false,
                Effect::Keyed { scope: group, window } => {
                    // Danger: a key that is forgotten on the way runs twice; a tenth is kept as margin.
                    if self.now - sent > 0.9 * window {
                        return false;
                    }
                    scope = Some((group, zone, cell));
                }
            }
        }
        if open.tries >= open.most || self.extra < 1.0 || self.now >= open.deadline {
            return false;
        }
        let Some(server) = self.choose(scope, Some(but)) else { return false };
        let expected = self.expected(open.class, server);
        let late = self.now + expected - open.since > told.aim;
        let value = told.worth * self.set.plans[open.plan].price * if late { told.late_value } else { 1.0 };
        if !self.pays(open.class, value, expected) {
            return false;
        }
        self.extra -= 1.0;
        self.send(id, server, act);
        true
    }

    /// When a refused client should come back: soon enough for another try within the aim.
    fn hold_off(&self, class: usize) -> Millis {
        self.set.limits.max_hold_off.min(self.set.classes[class].aim / 4.0)
    }

    /// The final answer for a request with nothing out: refused when trying again is harmless, else failed.
    fn give_up(&mut self, id: RequestId, act: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let harmless = open.ran.is_none() && open.out == 0;
        if harmless || self.set.classes[open.class].effect == Effect::Safe {
            let hold_off = self.hold_off(open.class);
            act.push(Action::Refuse { request: id, hold_off, why: Why::Spent });
        } else {
            act.push(Action::Fail(id));
        }
        self.end(id, act);
    }

    /// Forgets a request that has had its answer and calls off what is still out for it.
    fn end(&mut self, id: RequestId, act: &mut Vec<Action>) {
        self.races.retain(|race| race.0 != id);
        if self.open.remove(&id).is_some() && self.set.limits.may_stop {
            for (key, _) in self.out.range((id, 0)..=(id, u32::MAX)) {
                act.push(Action::Stop { request: id, attempt: key.1 });
            }
        }
    }

    /// Looks into an attempt that takes long: heavy work is left alone, silence is acted on.
    fn look_into(&mut self, id: RequestId, act: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let (class, single) = (open.class, open.out == 1 && !open.streaming);
        let held = self.out.range((id, 0)..=(id, u32::MAX)).next().filter(|_| single);
        let Some((attempt, out)) = held.map(|(key, out)| (key.1, *out)) else { return };
        let silent = self.servers[out.server].answered <= out.sent || self.overtaken(&out);
        if silent && self.now - out.sent > 2.0 * self.typical(class) {
            if self.set.limits.may_duplicate {
                if self.further(id, out.server, act) {
                    return;
                }
            } else if self.set.limits.may_stop && self.extra >= 1.0 {
                act.push(Action::Stop { request: id, attempt });
            }
        }
        let again = self.set.classes[class].aim * CHECK_SHARE;
        self.remind(Due::Check(id), again, act);
    }

    // ---- Timers ----

    fn remind(&mut self, due: Due, delay: Millis, act: &mut Vec<Action>) {
        self.next_tag += 1;
        self.timers.insert(self.next_tag, due);
        act.push(Action::Timer { tag: self.next_tag, delay });
    }

    /// Whether a timer still matters. One whose request is over is forgotten, so nobody need wake up for it.
    pub fn wants(&mut self, tag: u64) -> bool {
        let wanted = match self.timers.get(&tag) {
            Some(Due::Check(id) | Due::Deadline(id)) => self.open.contains_key(id),
            Some(Due::Tick | Due::Subscribe) => true,
            None => false,
        };
        if !wanted {
            self.timers.remove(&tag);
        }
        wanted
    }

    fn timer(&mut self, tag: u64, act: &mut Vec<Action>) {
        match self.timers.remove(&tag) {
            Some(Due::Tick) => {
                if self.stalled < self.now {
                    self.tick(act);
                }
                self.remind(Due::Tick, TICK, act);
            }
            Some(Due::Subscribe) => {
                act.push(if self.set.must_subscribe { Action::Subscribe } else { Action::ReadList })
            }
            Some(Due::Check(id)) => self.look_into(id, act),
            Some(Due::Deadline(id)) if self.open.get(&id).is_some_and(|open| !open.streaming) => {
                act.push(Action::Fail(id));
                self.end(id, act);
            }
            Some(Due::Deadline(_)) | None => {}
        }
    }

    fn tick(&mut self, act: &mut Vec<Action>) {
        // How unlikely its silence is of each backend: ages of what was sent since its last answer, as
        // multiples of the usual latency.
        self.servers.iter_mut().for_each(|s| (s.lag, s.silence) = (0.0, 0.0));
        for out in self.out.values() {
            let known = self.classes[out.class].known > 0.0;
            let typical = if known { self.classes[out.class].mean } else { self.typical(out.class) };
            let server = &mut self.servers[out.server];
            if server.answered <= out.sent {
                let age = ((self.now - out.sent) / typical.max(1.0)).max(0.0);
                server.lag = server.lag.max(age);
                server.silence += age;
            }
        }
        for index in 0..self.servers.len() {
            if self.servers[index].silence > SILENCE && !self.servers[index].doubted() {
                self.put_to_rest(index, act);
            }
        }
        if self.now - self.told_at >= TELL_EVERY {
            self.told_at = self.now;
            let [admitted, quota, ceiling, backend, price] = std::mem::take(&mut self.tally);
            let figure = |c: &ClassState| format!("{:.0}/{:.0} ms at {:.2}", c.floor, c.mean, c.price);
            let figures: Vec<String> = self.classes.iter().map(figure).collect();
            act.push(Action::Trace(format!(
                "admitted {admitted}; refused by quota {quota}, ceiling {ceiling}, no backend {backend}, \
                 price {price}; out {}; floor/mean at price: {}",
                self.out.len(),
                figures.join(", ")
            )));
        }
        self.usual_out += (self.sound_out() - self.usual_out) * 0.1;
        if self.now - self.priced_at >= PRICE_EVERY - 1.0 {
            self.reprice();
            let now = self.now;
            self.customers.retain(|_, c| {
                let away = now - c.filled;
                let once = away >= FORGET_ONCE && c.past.iter().sum::<f64>() <= 1.0;
                c.out > 0.0 || away < FORGET && !once
            });
        }
    }
}

impl Server {
    fn size(&self) -> f64 {
        Some(self.told.rating).filter(|r| r.is_finite()).map_or(1.0, |r| r.clamp(0.1, 10.0))
    }

    /// Has failed or been silent for so long that it gets single tries only.
    fn doubted(&self) -> bool {
        self.faults >= FAULTS
    }
}

impl Customer {
    /// Moves the memory of what was let through on to the present slot.
    fn roll(&mut self, now: Millis, period: Millis, at_once: f64) {
        let slot = (now / (period / 2.0).max(100.0)).floor() as i64;
        for _ in 0..(slot - self.slot).clamp(0, SLOTS as i64) {
            self.past.rotate_right(1);
            self.past[0] = if at_once > 0.0 { self.out } else { 0.0 };
        }
        self.slot = slot;
    }

    /// What was let through in the period a reading tells of, as a share of the quota.
    fn let_through(&self, plan: &Plan, period: Millis, units: f64, since_start: f64) -> f64 {
        // A reading is about a period late; four half periods around its middle are looked at, and where
        // these hold too few requests to tell a rate, more before them.
        if plan.rate <= 0.0 {
            return self.past[1..5].iter().copied().fold(0.0, f64::max) / plan.at_once.max(1.0);
        }
        let half = (period / 2.0).max(100.0) / 1000.0;
        let (mut sum, mut slots) = (0.0, 0.0);
        for past in &self.past[1..] {
            if slots >= 4.0 && (sum >= COUNT * units || slots * half > since_start) {
                break;
            }
            sum += past;
            slots += 1.0;
        }
        sum / (slots * half) / plan.rate
    }
}
