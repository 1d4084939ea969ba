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
mod readiness;
mod recovery;
mod relay;
mod reload;
pub mod resp;
mod rounds;
mod store;
mod streams;
mod upstream;

use crate::core::Timers;
use crate::core::{Core, Input, StreamId, UpstreamId};
use crate::interface::{BackendId, ListKind, Millis};
use crate::memory::buffer;
use crate::memory::counters::Counters;
use crate::memory::pool::{Slots, Token};
use crate::process::config::{Config, Files, List};
use crate::process::logs::Logs;
use crate::process::signals::{Asked, Signals};
use crate::settings::Told;
use control::{Caller, Control};
use discovery::Discovery;
use door::StreamAdmission;
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
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use store::Account;
use upstream::{Host, Up};

/// How often connections are looked over for what no event tells.
const SWEEP: Millis = 250.0;
/// Share of the memory for requests, what comes in by halves and answers that clients do not read; more is
/// turned away. The rest is for the program, its tables and what upstream hosts answer.
const HELD_SHARE: usize = 5;
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
    door: Option<StreamAdmission>,
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
        let door = door.map(|door| StreamAdmission::new(door, &told, config.memory, most_held));
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
        gateway.core.metrics.set_classes(gateway.told.classes.iter().map(|(name, _)| name.as_str()));
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

    fn take_list(&mut self, list: List, kind: ListKind) {
        let mut backends = Vec::with_capacity(list.members.len());
        for member in list.members {
            let http2 = member.http2 || self.http2_hosts.contains(&*member.backend.id);
            self.place_host(&member.backend.id, member.address, http2);
            backends.push(member.backend);
        }
        self.inputs.push(Input::ListChanged(kind, backends));
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
