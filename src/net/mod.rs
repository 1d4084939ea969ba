//! What is spoken on the wire: one loop over all sockets, driving the core.
//!
//! Each round gathers what is ready, hands it to the core in one go, and carries out what came back.

pub mod http1;
pub mod message;
pub mod poll;

mod agreed;
pub mod agreement;
pub mod control;
mod discovery;
mod door;
mod downstream;
mod h2io;
pub mod handover;
mod http2;
mod http2_down;
mod http2_up;
mod recovery;
mod relay;
pub mod resp;
mod store;
mod upstream;

use crate::core::Timers;
use crate::core::{Command, Core, End, Input, StreamId, UpstreamId};
use crate::interface::{BackendId, Code, Effect, ListKind, Millis};
use crate::memory::buffer;
use crate::memory::counters::Counters;
use crate::memory::figures::{Now, Outcome as Ending};
use crate::memory::pool::{Slots, Token};
use crate::process::config::{Config, Files, List};
use crate::process::logs::Logs;
use crate::process::signals::{self, Asked, Signals};
use crate::settings::{positions, Told};
use control::{Caller, Control};
use discovery::Discovery;
use door::AtDoor;
use downstream::Down;
use h2io::Woken;
use handover::Beside;
use http2_down::Down2;
use http2_up::Up2;
use message::{Answer, Message};
use poll::{Interest, Poll};
use socket2::{Domain, Socket, Type};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::io;
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::{UnixListener, UnixStream};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use store::Account;
use switchhill_door::Ended;
use upstream::{Host, Up};

/// How often connections are looked over for what no event tells.
const SWEEP: Millis = 250.0;
/// Without a word from discovery, the list from the configuration does after this long.
const READY_ANYWAY: Millis = 1000.0;
/// After SIGTERM new connections are still taken for this long.
const ACCEPT_ON: Millis = 500.0;
/// Share of the memory for requests, what comes in by halves and answers that clients do not read; more is
/// turned away. The rest is for the program, its tables and what upstream hosts answer.
const HELD_SHARE: usize = 5;
/// What a client is told that came while connections or memory are scarce.
const SCARCE_HOLD_OFF: Millis = 500.0;
/// The meter period of a shared store where the settings name none.
pub(crate) const STORE_PERIOD: Millis = 2000.0;
/// Connections that the system takes for us before we accept them. Danger: past this it drops a client's first
/// segment, which comes again a second later; the standard library's 128 are less than one crowd of silent ones.
/// The system cuts it to its own limit.
const BACKLOG: i32 = 4096;
/// Descriptors kept for everything but clients and upstream hosts.
const RESERVE: usize = 24;

/// Unix time in milliseconds that never steps back.
struct Clock {
    base: Millis,
    start: Instant,
}

impl Clock {
    fn new() -> Self {
        let base = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { base: base.as_secs_f64() * 1000.0, start: Instant::now() }
    }

    fn now(&self) -> Millis {
        self.base + self.start.elapsed().as_secs_f64() * 1000.0
    }
}

enum Conn {
    Listener(TcpListener),
    Control(TcpListener),
    Caller(Caller),
    Beside(UnixListener),
    Link(handover::Link),
    Signal(UnixStream, Asked),
    Down(Down),
    Up(Up),
    Down2(Box<Down2>),
    Up2(Box<Up2>),
    Discovery(discovery::Link),
    Store(store::Link),
}

/// Where a stream's answer goes.
#[derive(Debug, Clone, Copy)]
enum Downstream {
    Http1(Token),
    Http2(Token, u32),
}

impl Downstream {
    /// The platform's clients read decimals in `Retry-After`; HTTP at large knows whole seconds only.
    fn whole_seconds(self) -> bool {
        matches!(self, Self::Http2(..))
    }
}

/// What is held of a stream while it is open.
struct Exchange {
    downstream: Downstream,
    message: Message,
    answer: Option<(u32, Answer)>,
    deadline: Millis,
    /// It must not run twice, so nothing that may have run is sent again.
    once: bool,
    /// How long its client waits, from the request's last byte.
    wait: Millis,
    /// Its body is long and passes on as it comes.
    passing: Option<relay::Passing>,
}

impl Exchange {
    /// Whether all of its request can be sent, now or as it comes.
    fn is_at_hand(&self) -> bool {
        self.passing.as_ref().is_none_or(|passing| !passing.gone && passing.to.is_none())
    }
}

/// What is due in the loop itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Sweep,
    Connect(Token),
    Probe(Token),
    Discovery(u64),
    Accept,
    Account,
    Close,
}

/// The running program.
pub struct Gateway {
    core: Core,
    told: Told,
    poll: Poll,
    clock: Clock,
    now: Millis,
    started: Millis,
    slots: Slots<Conn>,
    listener: Option<Token>,
    control: Control,
    beside: Beside,
    discovery: Discovery,
    hosts: BTreeMap<BackendId, Host>,
    account: Option<Account>,
    door: Option<AtDoor>,
    agreement: Option<agreement::Agreement>,
    returning: Option<recovery::Returning>,
    reuse: upstream::Reuse,
    http2_hosts: BTreeSet<String>,
    http2_downstream: bool,
    woken: Woken,
    exchanges: HashMap<StreamId, Exchange>,
    /// The ids that clients gave to the requests that are open.
    open_ids: HashSet<u64>,
    in_flight: HashMap<UpstreamId, Token>,
    /// Connections whose long request can go on being read, and those whose long answer can.
    resumed: Vec<Token>,
    hungry: Vec<Token>,
    held_bytes: usize,
    most_held: usize,
    /// Where bytes that nobody wants are received to; never read.
    dropped: Box<[MaybeUninit<u8>]>,
    next_stream: StreamId,
    inputs: Vec<Input>,
    timers: Timers<Due>,
    scratch: Vec<u8>,
    listed: bool,
    stopping: Option<Millis>,
    /// Drained by an operator's call, since then.
    drained: Option<Millis>,
    downstreams: usize,
    upstreams: usize,
    most_downstreams: usize,
    most_upstreams: usize,
    /// Descriptors, and bytes of memory, that the configuration allows.
    limits: (usize, usize),
    files: Files,
    /// The configuration in force, as it was written.
    text: String,
    logs: Option<Logs>,
}

impl Gateway {
    /// Listens and begins to ask discovery.
    ///
    /// # Errors
    /// When the address cannot be listened on or the poller cannot be had.
    pub fn new(config: Config, signals: Option<Signals>) -> io::Result<Self> {
        let invalid = |e: crate::interface::SettingsError| io::Error::new(io::ErrorKind::InvalidInput, e);
        let agreement = agreed::begin(&config).map_err(|e| io::Error::new(io::ErrorKind::InvalidInput, e))?;
        let clock = Clock::new();
        let now = clock.now();
        let returning = recovery::Returning::begin(&config, now);
        let mut told = config.told;
        let account = config.operator.store.map(|store| {
            // Where the platform has no meter, the store's period is the module's.
            if told.module.meter_period <= 0.0 {
                told.module.meter_period = STORE_PERIOD;
            }
            let number = (told.module.gateways, told.module.ordinal);
            Account::new(store, told.module.meter_period, now, number, config.seed)
        });
        let mut core = Core::new(told.module.clone(), config.seed).map_err(invalid)?;
        if account.is_some() {
            core.keep_account();
        }
        let (most_downstreams, most_upstreams) = shares(config.sockets, config.control.is_some());
        let most_held = config.memory / HELD_SHARE;
        let door = config.operator.door.as_ref();
        let door = door.map(|door| AtDoor::new(door, &told, config.memory, most_held));
        let mut gateway = Self {
            core,
            told,
            poll: Poll::new()?,
            now,
            started: now,
            clock,
            slots: Slots::default(),
            listener: None,
            control: Control::default(),
            beside: Beside::new(handover::place(config.listen)),
            limits: (config.sockets, config.memory),
            discovery: Discovery::new(config.discovery),
            hosts: BTreeMap::new(),
            account,
            door,
            agreement,
            returning,
            reuse: upstream::Reuse::default(),
            http2_downstream: config.operator.http2_downstream,
            http2_hosts: config.operator.http2_hosts,
            woken: Woken::default(),
            exchanges: HashMap::new(),
            open_ids: HashSet::new(),
            in_flight: HashMap::new(),
            resumed: Vec::new(),
            hungry: Vec::new(),
            held_bytes: 0,
            most_held,
            dropped: Box::new_uninit_slice(downstream::DROPPED),
            next_stream: 0,
            inputs: Vec::new(),
            timers: Timers::default(),
            scratch: buffer::scratch(),
            listed: false,
            stopping: None,
            drained: None,
            downstreams: 0,
            upstreams: 0,
            most_downstreams,
            most_upstreams,
            files: config.files,
            text: config.text,
            logs: None,
        };
        gateway.core.figures.name(gateway.told.classes.iter().map(|(name, _)| name.as_str()));
        if let Some(control) = config.control {
            gateway.open_control(control)?;
        }
        let found = handover::find(gateway.beside.place(), config.listen)?;
        let token = gateway.slots.reserve();
        gateway.poll.add(&found.listener, token, Interest { read: false, write: false })?;
        gateway.slots.put(token, Conn::Listener(found.listener));
        gateway.listener = Some(token);
        gateway.beside.complaints.extend(found.complaint);
        gateway.join(found.socket);
        gateway.watch_listener();
        if let Some(signals) = signals {
            let sockets = [
                (signals.stop, Asked::Stop),
                (signals.counters, Asked::Counters),
                (signals.reload, Asked::Reload),
            ];
            for (socket, asked) in sockets {
                let token = gateway.slots.reserve();
                gateway.poll.add(&socket, token, Interest::READ)?;
                gateway.slots.put(token, Conn::Signal(socket, asked));
            }
        }
        if let Some(known) = config.known {
            gateway.take_list(known, ListKind::Saved);
        }
        gateway.timers.push(now + SWEEP, Due::Sweep);
        gateway.account_due();
        gateway.ask_discovery();
        Ok(gateway)
    }

    /// Hands over the log, which changes with the operator's file and tells what it had to drop.
    pub fn use_logs(&mut self, logs: Option<Logs>) {
        self.logs = logs;
    }

    /// Where clients connect.
    ///
    /// # Errors
    /// When it listens no more.
    pub fn address(&mut self) -> io::Result<SocketAddr> {
        match self.listener.and_then(|token| self.slots.get(token)) {
            Some(Conn::Listener(listener)) => listener.local_addr(),
            _ => Err(io::ErrorKind::NotConnected.into()),
        }
    }

    /// What has been counted.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.core.counters
    }

    /// Runs until told to stop and all that was taken is answered.
    ///
    /// # Errors
    /// When the poller fails.
    pub fn run(&mut self) -> io::Result<()> {
        let mut ready = Vec::new();
        let mut commands = Vec::new();
        self.take_snapshot();
        while !self.finished() {
            let due =
                [self.core.next_due(), self.timers.next_due(), self.door.as_ref().and_then(AtDoor::next_due)];
            let due = due.into_iter().flatten().fold(f64::INFINITY, f64::min);
            let agreed = self.agreement.as_ref().and_then(agreement::Agreement::due_in);
            let wait = (due - self.clock.now()).min(agreed.map_or(SWEEP, |ms| ms as f64)).clamp(0.0, SWEEP);
            let quiet = self.inputs.is_empty()
                && self.woken.is_empty()
                && self.resumed.is_empty()
                && self.hungry.is_empty();
            let wait = if quiet { wait } else { 0.0 };
            self.poll.wait(Duration::from_micros((wait * 1000.0).ceil() as u64), &mut ready)?;
            self.now = self.clock.now();
            // Danger: a process woken from SIGSTOP has a lease that ran out; it is seen before any event is.
            self.conform();
            self.recovery_round();
            // Operators first, whatever else there is to do.
            ready.sort_by_key(|event| !self.control.concerns(event.0));
            for (token, readable, writable) in ready.drain(..) {
                self.ready(token, readable, writable);
            }
            while let Some(due) = self.timers.pop(self.now) {
                self.due(due);
            }
            if self.beside.waits() {
                self.sweep_beside();
            }
            self.door_round();
            self.core.advance(self.now, &mut self.inputs, &mut commands);
            for command in commands.drain(..) {
                self.carry_out(command);
            }
            for token in self.woken.take() {
                self.ready(token, false, false);
            }
            for token in std::mem::take(&mut self.resumed) {
                self.go_on_uploading(token);
            }
            for token in std::mem::take(&mut self.hungry) {
                self.go_on_feeding(token);
            }
        }
        self.last_snapshot();
        self.leave_place();
        Ok(())
    }

    fn finished(&self) -> bool {
        let Some(since) = self.stopping else { return false };
        self.now >= since + ACCEPT_ON
            && self.core.open_streams() == 0
            && self.exchanges.is_empty()
            && self.downstreams == 0
    }

    fn ready(&mut self, token: Token, readable: bool, writable: bool) {
        let Some(conn) = self.slots.take(token) else { return };
        let kept = match conn {
            Conn::Listener(listener) => {
                // Danger: what was readable before a hand-over in this very round is the other process's to take.
                if self.beside.decides() {
                    self.accept(&listener);
                }
                Some(Conn::Listener(listener))
            }
            Conn::Control(listener) => {
                self.accept_callers(&listener);
                Some(Conn::Control(listener))
            }
            Conn::Caller(caller) => self.caller_ready(token, caller, readable).map(Conn::Caller),
            Conn::Beside(door) => {
                self.accept_successor(&door);
                Some(Conn::Beside(door))
            }
            Conn::Link(link) => self.link_ready(token, link, readable).map(Conn::Link),
            Conn::Signal(socket, asked) => {
                signals::drain(&socket);
                match asked {
                    Asked::Stop => self.begin_stop(),
                    Asked::Counters => {
                        tracing::info!(counters = %self.told_counters().trim_end(), "counters")
                    }
                    Asked::Reload => self.reload(),
                }
                Some(Conn::Signal(socket, asked))
            }
            Conn::Down(down) => self.down_ready(token, down, readable),
            Conn::Up(up) => self.up_ready(token, up, readable, writable).map(Conn::Up),
            Conn::Down2(down) => {
                down.told(readable);
                self.down2_ready(token, *down).map(|down| Conn::Down2(Box::new(down)))
            }
            Conn::Up2(up) => {
                up.told(readable);
                self.up2_ready(token, *up).map(|up| Conn::Up2(Box::new(up)))
            }
            Conn::Store(link) => self.store_ready(token, link, readable).map(Conn::Store),
            Conn::Discovery(link) => {
                self.discovery_ready(token, link, readable, writable).map(Conn::Discovery)
            }
        };
        self.keep(token, kept);
    }

    /// Puts a connection back, or frees the slot of one that is closed.
    fn keep(&mut self, token: Token, conn: Option<Conn>) {
        match conn {
            Some(conn) => self.slots.put(token, conn),
            None => self.slots.release(token),
        }
    }

    fn due(&mut self, due: Due) {
        match due {
            Due::Sweep => {
                self.sweep();
                self.timers.push(self.now + SWEEP, Due::Sweep);
            }
            Due::Connect(token) => self.connect_overdue(token),
            Due::Probe(token) => self.probe_overdue(token),
            Due::Discovery(turn) => self.discovery_due(turn),
            Due::Accept => self.watch_listener(),
            Due::Account => self.account_due(),
            Due::Close => self.sweep(),
        }
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Send(id, host, wait) => self.send(id, &host, wait),
            Command::Stop(id, timed_out) => self.stop(id, timed_out),
            Command::Deliver((stream, _)) => {
                self.told_door(stream, Ended::Served);
                let Some(exchange) = self.take_exchange(stream) else { return };
                match exchange.answer {
                    Some((_, answer)) => self.answer(exchange.downstream, exchange.deadline, answer),
                    None => self.answer(exchange.downstream, exchange.deadline, local(502, b"")),
                }
            }
            Command::Refuse(stream, hold_off, why) => {
                if let Some(returning) = &mut self.returning {
                    returning.turned_away(self.now, why);
                }
                let at_door = self.door.as_mut().and_then(|at| at.refused_behind(self.now, stream, why));
                let Some(exchange) = self.drop_exchange(stream) else { return };
                let answer = match at_door {
                    Some(appointment) => door::told(&appointment, exchange.downstream),
                    None => refusal(hold_off, exchange.downstream),
                };
                self.answer(exchange.downstream, exchange.deadline, answer);
            }
            Command::Fail(stream, late) => {
                self.told_door(stream, if late { Ended::Pressed } else { Ended::Otherwise });
                let Some(exchange) = self.drop_exchange(stream) else { return };
                let answer = local(if late { 504 } else { 502 }, b"");
                self.answer(exchange.downstream, exchange.deadline, answer);
            }
            Command::Probe(host) => self.probe(&host),
            Command::CloseIdle(host) => self.close_idle(&host),
            Command::HostLeft(host) => self.host_left(&host),
            Command::HostGone(host) => self.host_gone(&host),
            Command::ReadList => self.discovery.whole_next = true,
            Command::Log(line) => tracing::info!("{line}"),
        }
    }

    fn told_door(&mut self, stream: StreamId, how: Ended) {
        if let Some(at) = &mut self.door {
            at.ended(self.now, stream, how);
        }
    }

    fn answer(&mut self, downstream: Downstream, deadline: Millis, answer: Answer) {
        match downstream {
            Downstream::Http1(token) => self.answer_http1(token, deadline, answer),
            Downstream::Http2(token, key) => self.answer_http2(token, key, deadline, &answer),
        }
    }

    /// Whether another stream would go over what is held in memory at once.
    fn holds_too_much(&self) -> bool {
        self.held_bytes > self.most_held || self.exchanges.len() >= self.told.max_open
    }

    /// Forgets a stream's exchange.
    fn take_exchange(&mut self, stream: StreamId) -> Option<Exchange> {
        let exchange = self.exchanges.remove(&stream)?;
        if let Ok(id) = exchange.message.id() {
            self.open_ids.remove(&id);
        }
        self.held_bytes -= exchange.message.size();
        if let Some(at) = &mut self.door {
            at.gone(self.now, stream);
        }
        Some(exchange)
    }

    /// Forgets a stream's exchange, and an answer to it that is on its way.
    fn drop_exchange(&mut self, stream: StreamId) -> Option<Exchange> {
        let exchange = self.take_exchange(stream)?;
        if let Some(long) = exchange.answer.as_ref().and_then(|(_, answer)| answer.long) {
            self.drop_feed(long.from);
        }
        Some(exchange)
    }

    /// Takes in a whole request, however it was spoken.
    fn stream_arrived(
        &mut self,
        downstream: Downstream,
        message: Message,
    ) -> Result<StreamId, (u16, &'static str)> {
        let mut terms = message.terms(&self.told)?;
        if let Some(agreement) = &self.agreement {
            // Through gateways that are gone nothing comes in.
            terms.spread = terms.spread.min(agreement.taken.number());
        }
        // Danger: a copy under the id of an open request would be that request's second copy at a box, and
        // the box's answer to one could end the other. The one that owns the id goes on untouched.
        if !self.open_ids.insert(message.id()?) {
            return Err((409, "X-Txn is the id of an open request"));
        }
        let id = self.next_stream;
        self.next_stream += 1;
        let deadline = self.now + terms.wait;
        let once = self.told.module.classes[terms.class].effect == Effect::Unsafe;
        self.held_bytes += message.size();
        let wait = terms.wait;
        let passing = message.coming.map(|_| relay::Passing::default());
        self.exchanges
            .insert(id, Exchange { downstream, message, answer: None, deadline, once, wait, passing });
        self.at_door(id, terms);
        Ok(id)
    }

    /// A local service: readiness and counters. `None` for what is a stream.
    fn own_service(&self, message: &Message) -> Option<Answer> {
        match message.path() {
            // Two processes are one gateway to its clients: the other one is ready.
            "/health/ready" if self.is_ready() || self.beside.left().is_some() => {
                Some(local(200, b"ready\n"))
            }
            "/health/ready" => Some(local(503, b"not ready\n")),
            "/health/counters" => Some(local(200, self.told_counters().as_bytes())),
            _ => None,
        }
    }

    fn is_ready(&self) -> bool {
        let knows = self.knows_enough() && self.knows_rules();
        self.stopping.is_none() && self.drained.is_none() && self.beside.decides() && knows
    }

    /// Whether hosts are known, or as well as they will be.
    fn knows_enough(&self) -> bool {
        self.listed || self.now >= self.started + READY_ANYWAY
    }

    fn why_not_ready(&self) -> &'static str {
        match (self.stopping, self.drained) {
            _ if self.beside.left().is_some() => "handed over",
            (Some(_), _) => "stopping",
            (None, Some(_)) => "drained",
            (None, None) if self.beside.waits() => "waiting for the state of another process",
            (None, None) if self.knows_enough() => "the agreed versions are not confirmed yet",
            (None, None) => "no list of upstream hosts yet",
        }
    }

    /// An answer given now is the last of its connection.
    fn is_leaving(&self) -> bool {
        self.stopping.is_some() || self.drained.is_some() || self.beside.left().is_some()
    }

    /// Sends clients away; goes on serving those who come.
    fn quiesce(&mut self) {
        if self.drained.is_none() {
            tracing::info!(streams = self.core.open_streams(), "drained by an operator: not ready");
            self.drained = Some(self.now);
        }
    }

    /// Takes clients again.
    fn resume(&mut self) {
        if self.drained.take().is_some() {
            tracing::info!("resumed by an operator");
        }
    }

    /// What operators fetch, a line a figure.
    fn figures(&self) -> String {
        let (hosts_listed, hosts_down) = self.core.hosts_listed_and_down();
        let feeding =
            self.slots.iter().filter(|conn| matches!(conn, Conn::Down(down) if down.feed.is_some()));
        let inflight = self.exchanges.len() + feeding.count();
        self.core.figures.render(Now { inflight, hosts_listed, hosts_down })
    }

    /// Counts a request that a front turned away before the core heard of it.
    fn turned_away(&mut self, message: &Message, how: Ending) {
        let class = message.class(&self.told).and_then(|class| self.core.figures.slot(class));
        if let Some(slot) = class {
            self.core.figures.count(slot, how);
        }
    }

    /// An upstream request has ended on the wire. False where its answer is not wanted.
    fn upstream_ended(&mut self, id: UpstreamId, end: End, answer: Option<Answer>) -> bool {
        self.in_flight.remove(&id);
        let usage = answer.as_ref().and_then(|a| a.used);
        let report = answer.as_ref().and_then(|a| a.report(&self.told.report_names));
        let mut taken = false;
        if let Some(exchange) = self.exchanges.get_mut(&id.0) {
            if let (End::Served, Some(answer), None) = (end, answer, &exchange.answer) {
                // Of two that come together, the core delivers the first.
                exchange.answer = Some((id.1, answer));
                taken = true;
            }
            if let Some(passing) = exchange.passing.as_mut().filter(|p| p.to == Some(id) && !p.gone) {
                passing.to = None;
            }
        }
        self.inputs.push(Input::UpstreamEnded { id, end, usage, report });
        taken
    }

    fn take_list(&mut self, list: List, kind: ListKind) {
        let mut backends = Vec::with_capacity(list.members.len());
        for member in list.members {
            let http2 = member.http2 || self.http2_hosts.contains(&*member.backend.id);
            self.place_host(&member.backend.id, member.address, http2);
            backends.push(member.backend);
        }
        self.inputs.push(Input::ListChanged(kind, backends));
    }

    /// Takes over what a running gateway can from the configuration as it is now: the settings, discovery's
    /// address and the limits, all of it or nothing. Streams and connections stay.
    fn reload(&mut self) {
        let taken = Config::from_files(&self.files).and_then(|config| match self.agreement {
            Some(_) => self.reload_agreed(config, false),
            None => self.take_config(config),
        });
        match taken {
            Ok(()) => self.core.figures.reconfig_ok += 1,
            Err(why) => {
                self.core.figures.reconfig_failed += 1;
                tracing::warn!("the new configuration is not taken, the old one stays: {why}");
            }
        }
    }

    /// Hands the core what this round has brought so far, and carries out what comes back.
    fn settle(&mut self) {
        let mut commands = Vec::new();
        self.core.advance(self.now, &mut self.inputs, &mut commands);
        commands.into_iter().for_each(|command| self.carry_out(command));
    }

    fn take_config(&mut self, config: Config) -> Result<(), String> {
        config.may_follow(&self.text)?;
        let moved_zones = self.told.zones != config.told.zones;
        self.adopt(config.told)?;
        self.limits = (config.sockets, config.memory);
        self.share_out();
        tracing::info!(discovery = %config.discovery, "configuration read again");
        if let Some(logs) = &self.logs {
            logs.change(&config.operator.log);
        }
        if let (Some(at), Some(door)) = (&mut self.door, config.operator.door) {
            at.use_keys(door.keys);
        }
        self.text = config.text;
        self.move_discovery(config.discovery, moved_zones);
        Ok(())
    }

    /// Whether settings may take the place of those in force as far as the door is concerned.
    fn fits_door(&self, told: &Told) -> Result<(), String> {
        if self.door.is_some()
            && (self.told.class_names() != told.class_names() || self.told.plans != told.plans)
        {
            return Err("field `settings`: with a door, classes and plans change only with a restart".into());
        }
        Ok(())
    }

    /// Goes on under other settings, all of them or none; `number` is how many gateways there are and which this
    /// one is, where that is not for the settings to say.
    fn adopt_under(&mut self, mut told: Told, number: Option<(u32, u32)>) -> Result<(), String> {
        if self.account.is_some() && told.module.meter_period <= 0.0 {
            told.module.meter_period = STORE_PERIOD;
        }
        let (before, after) = (self.told.class_names(), told.class_names());
        let (classes, plans) = (positions(&before, &after), positions(&self.told.plans, &told.plans));
        self.fits_door(&told)?;
        // Danger: what this round has brought so far is numbered by the settings that it came under.
        self.settle();
        let mut module = told.module.clone();
        (module.gateways, module.ordinal) = number.unwrap_or((module.gateways, module.ordinal));
        let (period, gateways) = (module.meter_period, module.gateways);
        let retuned = self.core.retune(module, &classes, &plans);
        retuned.map_err(|e| format!("field `settings`: {e}"))?;
        self.core.figures.name(after.iter().map(String::as_str));
        if let Some(account) = &mut self.account {
            account.retune(period, gateways, self.now);
        }
        self.told = told;
        Ok(())
    }

    /// The counters as operators read them, with what the log had to drop.
    fn told_counters(&self) -> String {
        let dropped = self.logs.as_ref().map_or(0, Logs::dropped);
        let door = self.door.as_ref().map_or(String::new(), AtDoor::figures);
        let number = self.told_number();
        let agreed =
            self.agreement.as_ref().map_or(String::new(), |at| at.figures(number, self.core.called_out()));
        let returned = self.returning.as_ref().map_or(String::new(), recovery::Returning::figures);
        let store = self.account.as_ref().map_or(String::new(), Account::figures);
        let counters = &self.core.counters;
        format!(
            "{counters}switchhill_log_lines_dropped {dropped}\n{door}{agreed}{returned}{store}{}",
            self.figures()
        )
    }

    fn begin_stop(&mut self) {
        if self.stopping.is_none() {
            tracing::info!(
                streams = self.core.open_streams(),
                "stopping: not ready, finishing what was taken"
            );
            self.stopping = Some(self.now);
            // One that has taken over goes on under the same name.
            if let Some(agreement) = self.agreement.as_ref().filter(|_| self.beside.left().is_none()) {
                agreement.leave();
            }
            self.timers.push(self.now + ACCEPT_ON, Due::Close);
        }
    }

    fn sweep(&mut self) {
        self.sweep_beside();
        if self.stopping.is_some_and(|since| self.now >= since + ACCEPT_ON) {
            if let Some(token) = self.listener.take() {
                if let Some(Conn::Listener(listener)) = self.slots.take(token) {
                    // What the system has accepted already is ours to answer, unless another process has the queue.
                    if self.beside.decides() {
                        self.accept(&listener);
                    }
                    self.poll.remove(&listener);
                }
                self.slots.release(token);
            }
        }
        for token in self.slots.tokens() {
            let Some(conn) = self.slots.take(token) else { continue };
            let kept = match conn {
                Conn::Down(down) => self.sweep_down(token, down),
                Conn::Caller(caller) => self.sweep_caller(token, caller).map(Conn::Caller),
                Conn::Up(up) => self.sweep_up(up).map(Conn::Up),
                Conn::Down2(down) => self.sweep_down2(token, *down).map(|down| Conn::Down2(Box::new(down))),
                Conn::Up2(up) => self.sweep_up2(token, *up).map(|up| Conn::Up2(Box::new(up))),
                other => Some(other),
            };
            self.keep(token, kept);
        }
    }

    fn probed(&mut self, host: BackendId, code: Code, since: Millis) {
        self.inputs.push(Input::ProbeEnded(host, code, self.now - since));
    }
}

/// Listens with room for a crowd that connects between two rounds of the loop.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    // A start beside a process that cannot be spoken to: both take clients until that one stops.
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// How the descriptors are shared out: for downstreams and for upstream hosts. Operators' calls have theirs.
fn shares(sockets: usize, control: bool) -> (usize, usize) {
    let left = sockets - RESERVE - if control { control::MOST_CALLERS } else { 0 };
    let upstreams = left * 2 / 5;
    (left - upstreams, upstreams)
}

/// An answer that the gateway words itself.
fn local(status: u16, body: &[u8]) -> Answer {
    Answer { status, body: body.to_vec(), ..Answer::default() }
}

/// A local reply that trying again is harmless, and when.
fn refusal(hold_off: Millis, downstream: Downstream) -> Answer {
    let seconds = hold_off.max(1.0) / 1000.0;
    let text =
        if downstream.whole_seconds() { format!("{:.0}", seconds.ceil()) } else { format!("{seconds:.3}") };
    let mut answer = local(503, b"");
    answer.header("retry-after", text.as_bytes());
    answer
}
