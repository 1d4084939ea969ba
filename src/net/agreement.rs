//! Agreement's wire: a blocking link to the store in a thread of its own, and the one handle that the loop keeps.
//! The thread carries out what the `Register`s (settings, hosts) and `Members` ask of the store; the loop reads what
//! it publishes and works out, on its own clock, what it acts on. What the loop asks lies on a desk of one slot each.
//! The rig's tests use the same `Wire`.
//! Keys, behind the fleet's prefix (`agreement`): `:K` (`EPOCH DIGEST`), `:K:settle` (the announcement, `PX`), `:K:EPOCH`
//! (the content), `:members` (a set of ids), `:member:ID` (a beat, `PX lease_ms`).

use super::resp::is_too_deep;
use redis_protocol::resp2::decode::decode;
use redis_protocol::resp2::types::OwnedFrame;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use switchhill_agreement::hosts::{compose, unmet, Hosts, Listing, Stamp, Stamper, Wishes};
use switchhill_agreement::{
    digest, Acting, Action, Answer, Listed, Members, Mode, Ms, Proposed, Register, Settings, State, Told,
    Version,
};
use switchhill_recovery::{first_at, Backoff};

/// Contents kept per register: the active, the pending and a few before.
const KEPT: usize = 4;

/// One connection to the store, made anew after a failure, after a wait that gateways do not share.
struct Link {
    address: SocketAddr,
    timeout: Duration,
    socket: Option<TcpStream>,
    backoff: Backoff,
    try_at: Instant,
}

/// After a failed connect the next try waits a random part of a ceiling that doubles from the first to the longest.
const CONNECTS_AGAIN: (Ms, Ms) = (50, 1000);
/// The first words of gateways that start together are spread over this long.
const SPREAD: Ms = 500;

/// A blocking link to the store for one register of one participant.
pub struct Wire {
    link: Arc<Mutex<Link>>,
    prefix: String,
    kind: String,
    /// Contents by epoch, each kept only where it matched its version's digest.
    contents: BTreeMap<u64, (Version, Arc<Vec<u8>>)>,
    /// What a content must pass beyond its digest to count as held.
    valid: fn(&[u8]) -> bool,
    /// The content this participant wants to propose, by its digest.
    pub offered: BTreeMap<u64, Vec<u8>>,
    /// Members seen in the last listing, whose beats are asked for with the next.
    known: BTreeSet<String>,
    beat: u64,
}

impl Wire {
    /// A wire to the store at `address` for register `kind`; each call gives up after `timeout`.
    pub fn new(address: SocketAddr, kind: &str, timeout: Duration) -> Wire {
        Wire::over(Link::new(address, timeout, 0, 0), PREFIX, kind, |_| true)
    }

    fn over(link: Arc<Mutex<Link>>, prefix: &str, kind: &str, valid: fn(&[u8]) -> bool) -> Wire {
        Wire {
            link,
            prefix: prefix.to_owned(),
            kind: kind.to_owned(),
            contents: BTreeMap::new(),
            valid,
            offered: BTreeMap::new(),
            known: BTreeSet::new(),
            beat: 0,
        }
    }

    /// The content of `version` if it is held here; it matched its digest when it was kept.
    pub fn content(&self, version: Version) -> Option<&Arc<Vec<u8>>> {
        self.contents.get(&version.epoch).filter(|(kept, _)| *kept == version).map(|(_, bytes)| bytes)
    }

    fn call(&self, commands: &[Vec<&[u8]>]) -> Result<Vec<OwnedFrame>, String> {
        held(&self.link).call(commands)
    }

    fn pointer_key(&self) -> String {
        format!("{}:{}", self.prefix, self.kind)
    }

    fn settle_key(&self) -> String {
        format!("{}:{}:settle", self.prefix, self.kind)
    }

    fn content_key(&self, epoch: u64) -> String {
        format!("{}:{}:{epoch}", self.prefix, self.kind)
    }

    /// `GET` the pointer and `PTTL` the announcement, then fetch a content not yet held.
    pub fn read(&mut self) -> Result<Answer, String> {
        let (pointer_key, settle_key) = (self.pointer_key(), self.settle_key());
        let answers =
            self.call(&[vec![b"GET", pointer_key.as_bytes()], vec![b"PTTL", settle_key.as_bytes()]])?;
        let pointer = bulk(&answers[0]).and_then(|text| Version::parse(&String::from_utf8_lossy(&text)));
        let settle_ms = match answers[1] {
            OwnedFrame::Integer(left) if left > 0 => Some(left as Ms),
            _ => None,
        };
        let mut content = false;
        if let Some(version) = pointer {
            if self.content(version).is_none() {
                let key = self.content_key(version.epoch);
                if let Some(bytes) = bulk(&self.call(&[vec![b"GET", key.as_bytes()]])?[0]) {
                    self.keep(version, Arc::new(bytes));
                }
            }
            content = self.content(version).is_some();
        }
        Ok(Answer { pointer, settle_ms, content })
    }

    /// Keeps a content where it matches `version`'s digest: the only place it is hashed.
    fn keep(&mut self, version: Version, bytes: Arc<Vec<u8>>) {
        if digest(&bytes) != version.digest || !(self.valid)(&bytes) {
            return;
        }
        self.contents.insert(version.epoch, (version, bytes));
        while self.contents.len() > KEPT {
            self.contents.pop_first();
        }
    }

    /// The compare-and-set of a proposal: content first, then the pointer and the announcement in one `EXEC`.
    pub fn propose(&mut self, version: Version, over: Option<Version>, announce_ms: Ms) -> Proposed {
        let Some(bytes) = self.offered.get(&version.digest).cloned() else { return Proposed::Lost };
        self.change(version, announce_ms, &bytes, |stored, pttl| stored == over && pttl <= 0)
    }

    /// Gives the pointer back where it holds less than `version`, with an announcement of `settle_ms`.
    pub fn restore(&mut self, version: Version, settle_ms: Ms) -> bool {
        let Some(bytes) = self.content(version).cloned() else { return false };
        let lower = |stored: Option<Version>, _| stored.is_none_or(|stored| stored.epoch < version.epoch);
        self.change(version, settle_ms, &bytes, lower) == Proposed::Won
    }

    fn change(
        &mut self,
        version: Version,
        settle_ms: Ms,
        bytes: &[u8],
        allowed: impl Fn(Option<Version>, i64) -> bool,
    ) -> Proposed {
        let (pointer_key, settle_key) = (self.pointer_key(), self.settle_key());
        let content_key = self.content_key(version.epoch);
        let (stored, settle) = (version.stored(), settle_ms.to_string());
        // Danger: the content goes in with the pointer, inside EXEC; written before the compare, a losing proposal
        // would overwrite the winner's content under the same epoch.
        let first = self.call(&[
            vec![b"WATCH", pointer_key.as_bytes(), settle_key.as_bytes()],
            vec![b"GET", pointer_key.as_bytes()],
            vec![b"PTTL", settle_key.as_bytes()],
        ]);
        let Ok(first) = first else { return Proposed::Lost };
        let now = bulk(&first[1]).and_then(|text| Version::parse(&String::from_utf8_lossy(&text)));
        let pttl = if let OwnedFrame::Integer(left) = first[2] { left } else { -2 };
        if !allowed(now, pttl) {
            let _ = self.call(&[vec![b"UNWATCH"]]);
            return Proposed::Lost;
        }
        let done = self.call(&[
            vec![b"MULTI"],
            vec![b"SET", content_key.as_bytes(), bytes],
            vec![b"SET", pointer_key.as_bytes(), stored.as_bytes()],
            vec![b"SET", settle_key.as_bytes(), b"1", b"PX", settle.as_bytes()],
            vec![b"EXEC"],
        ]);
        match done.as_deref() {
            Ok([.., OwnedFrame::Array(_)]) => {
                self.keep(version, Arc::new(bytes.to_vec()));
                Proposed::Won
            }
            _ => Proposed::Lost,
        }
    }

    /// Renews this member's key and lists the members whose keys live, in one round trip: the beats of those that
    /// the listing before named; who is new comes with the next.
    pub fn members(&mut self, me: &str, lease_ms: Ms) -> Result<Vec<Listed>, String> {
        let (mine, lease) = (self.member_key(me), lease_ms.to_string());
        let set = self.members_key();
        self.beat += 1;
        let beat = self.beat.to_string();
        let keys: Vec<String> = self.known.iter().map(|id| self.member_key(id)).collect();
        let mut asks: Vec<Vec<&[u8]>> = vec![
            vec![b"SET", mine.as_bytes(), beat.as_bytes(), b"PX", lease.as_bytes()],
            vec![b"SADD", set.as_bytes(), me.as_bytes()],
            vec![b"SMEMBERS", set.as_bytes()],
        ];
        if !keys.is_empty() {
            asks.push(std::iter::once(b"MGET".as_slice()).chain(keys.iter().map(|k| k.as_bytes())).collect());
        }
        let answers = self.call(&asks)?;
        let OwnedFrame::Array(ids) = &answers[2] else { return Err("SMEMBERS gave no list".into()) };
        let ids: BTreeSet<String> =
            ids.iter().filter_map(bulk).map(|id| String::from_utf8_lossy(&id).into_owned()).collect();
        let beats = match answers.get(3) {
            Some(OwnedFrame::Array(beats)) if beats.len() == self.known.len() => beats.as_slice(),
            Some(_) => return Err("MGET gave no list of its length".into()),
            None => &[],
        };
        let (mut listed, mut gone) = (Vec::new(), Vec::new());
        for (id, beat) in self.known.iter().zip(beats) {
            match bulk(beat).and_then(|beat| String::from_utf8_lossy(&beat).parse().ok()) {
                Some(beat) => listed.push(Listed { id: id.clone(), beat }),
                None if id != me => gone.push(id.as_bytes()),
                None => {}
            }
        }
        if !gone.is_empty() {
            // Who lives is back in the set with its next renewal; ids seen once do not stay in the store.
            let words: Vec<&[u8]> = [b"SREM".as_slice(), set.as_bytes()].into_iter().chain(gone).collect();
            self.call(&[words])?;
        }
        self.known = ids;
        Ok(listed)
    }

    /// Takes this member out at once, so that the others need not wait for its key to run out.
    fn leave(&mut self, me: &str) {
        let (mine, set) = (self.member_key(me), self.members_key());
        let _ = self.call(&[vec![b"DEL", mine.as_bytes()], vec![b"SREM", set.as_bytes(), me.as_bytes()]]);
    }

    fn members_key(&self) -> String {
        format!("{}:members", self.prefix)
    }

    fn member_key(&self, id: &str) -> String {
        format!("{}:member:{id}", self.prefix)
    }
}

/// What begins every key where an operator names nothing else.
pub const PREFIX: &str = "agreement";

impl Link {
    fn new(address: SocketAddr, timeout: Duration, seed: u64, first: Ms) -> Arc<Mutex<Link>> {
        let backoff = Backoff::new(CONNECTS_AGAIN.0, CONNECTS_AGAIN.1, seed);
        let try_at = Instant::now() + Duration::from_millis(first);
        Arc::new(Mutex::new(Link { address, timeout, socket: None, backoff, try_at }))
    }

    fn connect(&mut self) -> Result<TcpStream, String> {
        if Instant::now() < self.try_at {
            return Err("waits to connect again".into());
        }
        let made = TcpStream::connect_timeout(&self.address, self.timeout);
        // Danger: every gateway would be back within one period of each other when a store returns.
        self.try_at = Instant::now() + Duration::from_millis(self.backoff.failed());
        made.map_err(|e| e.to_string())
    }

    fn call(&mut self, commands: &[Vec<&[u8]>]) -> Result<Vec<OwnedFrame>, String> {
        if self.socket.is_none() {
            let socket = self.connect()?;
            socket.set_read_timeout(Some(self.timeout)).map_err(|e| e.to_string())?;
            socket.set_write_timeout(Some(self.timeout)).map_err(|e| e.to_string())?;
            let _ = socket.set_nodelay(true);
            self.socket = Some(socket);
        }
        let result = self.exchange(commands);
        if result.is_ok() {
            self.backoff.succeeded();
        } else {
            // Danger: answers of a call given up could be read as those of the next one; the connection goes.
            self.socket = None;
        }
        result
    }

    fn exchange(&mut self, commands: &[Vec<&[u8]>]) -> Result<Vec<OwnedFrame>, String> {
        let socket = self.socket.as_mut().ok_or("no connection")?;
        let mut out = Vec::new();
        for words in commands {
            out.extend_from_slice(format!("*{}\r\n", words.len()).as_bytes());
            for word in words {
                out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
                out.extend_from_slice(word);
                out.extend_from_slice(b"\r\n");
            }
        }
        socket.write_all(&out).map_err(|e| e.to_string())?;
        let (mut bytes, mut some, mut answers) = (Vec::new(), [0; 4096], Vec::new());
        while answers.len() < commands.len() {
            if is_too_deep(&bytes) {
                return Err("arrays within arrays".into());
            }
            match decode(&bytes).map_err(|e| e.to_string())? {
                Some((frame, used)) => {
                    bytes.drain(..used);
                    answers.push(frame);
                }
                None => match socket.read(&mut some) {
                    Ok(0) => return Err("closed".into()),
                    Ok(n) => bytes.extend_from_slice(&some[..n]),
                    Err(e) => return Err(e.to_string()),
                },
            }
        }
        Ok(answers)
    }
}

fn bulk(frame: &OwnedFrame) -> Option<Vec<u8>> {
    match frame {
        OwnedFrame::BulkString(bytes) => Some(bytes.clone()),
        _ => None,
    }
}

/// Carries out the next thing `register` asks at `now` (milliseconds of `clock`), telling it the answer; false when
/// there was nothing to do. One at a time, so that a caller looks at what it acts on between two blocking calls.
pub fn drive(register: &mut Register, wire: &mut Wire, clock: impl Fn() -> Ms, announce_ms: Ms) -> bool {
    let Some(action) = register.poll_action(clock()) else { return false };
    match action {
        Action::Read { sent } => match wire.read() {
            Ok(answer) => register.read(clock(), sent, answer),
            Err(_) => register.read_failed(clock(), sent),
        },
        Action::Propose { version, over } => {
            let outcome = wire.propose(version, over, announce_ms);
            register.proposed(clock(), outcome);
        }
        Action::Restore { version, settle_ms } => {
            wire.restore(version, settle_ms);
        }
    }
    true
}

/// The longest that the thread rests when there is nothing to do; what the loop asks wakes it.
const LONGEST_REST: Ms = 100;

/// A lock's contents, also after a panic elsewhere while it was held: what is inside is whole values only.
fn held<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One register as the thread publishes it, with the contents of its active and pending versions where held.
#[derive(Clone, Debug)]
pub(super) struct Published<T> {
    pub(super) state: State,
    contents: Vec<(Version, Arc<T>)>,
}

impl<T> Default for Published<T> {
    fn default() -> Self {
        Self { state: State::default(), contents: Vec::new() }
    }
}

impl<T> Published<T> {
    /// The content of a version, where it is held.
    pub(super) fn content(&self, version: Option<Version>) -> Option<&Arc<T>> {
        self.contents.iter().find(|(held, _)| Some(*held) == version).map(|(_, content)| content)
    }

    /// Contents of a register's active and pending versions, made by `make` where they were not published before.
    fn next(&self, register: &Register, wire: &Wire, make: impl Fn(&Arc<Vec<u8>>) -> Option<Arc<T>>) -> Self {
        let state = register.state();
        let versions = [state.active, state.pending.map(|(version, _)| version), register.highest()];
        let mut contents: Vec<(Version, Arc<T>)> = Vec::new();
        for version in versions.into_iter().flatten() {
            let kept = self.content(Some(version)).cloned();
            let content = kept.or_else(|| wire.content(version).and_then(&make));
            if let Some(content) = content.filter(|_| contents.iter().all(|(held, _)| *held != version)) {
                contents.push((version, content));
            }
        }
        Self { state, contents }
    }
}

/// What the thread tells the loop.
#[derive(Clone, Debug, Default)]
pub(super) struct View {
    pub(super) settings: Published<Vec<u8>>,
    pub(super) hosts: Published<Hosts>,
    members: Option<Told>,
}

/// What the loop asks of the thread: one slot each, so nothing piles up.
#[derive(Default)]
struct Desk {
    /// Settings that an operator offered; the last offer counts.
    offer: Option<Vec<u8>>,
    /// Settings as this gateway was started with: proposed only where there is no version at all.
    first: Option<Vec<u8>>,
    listing: Option<Arc<Listing>>,
    wishes: Wishes,
    leaving: bool,
}

/// Agreement at one gateway: its one field in the loop.
pub struct Agreement {
    desk: Arc<(Mutex<Desk>, Condvar)>,
    told: Arc<Mutex<Arc<View>>>,
    start: Instant,
    /// What was last logged, by register, and the moment that it told.
    logged: [(Mode, Option<Version>, Ms); 2],
    settings: Settings,
    /// Unix time in milliseconds at `start`: the events' moments are told in it.
    unix_start: Ms,
    /// What the loop has taken of the versions.
    pub(super) taken: super::agreed::Taken,
    /// Orders discovery's lists against the agreed one.
    pub(super) stamper: Stamper,
}

/// The registers' names, in the order of what is logged.
const REGISTERS: [&str; 2] = ["settings", "hosts"];

impl Agreement {
    /// Starts the thread that keeps both registers where and as who the operator says; `first` is this gateway's own shared
    /// settings, the fleet's first version where there is none. `own` is the configured number of gateways and this
    /// one's, and its seed: what spreads the gateways' first words and their returns.
    pub fn start(
        at: &crate::process::config::Agreement,
        first: Vec<u8>,
        own: ((u32, u32), u64),
    ) -> Agreement {
        let settings = Settings::default();
        let desk = Arc::new((Mutex::new(Desk { first: Some(first), ..Desk::default() }), Condvar::new()));
        let told = Arc::new(Mutex::new(Arc::new(View::default())));
        let start = Instant::now();
        let (prefix, id) = (at.prefix.clone(), at.id.clone());
        let (store, asked, shared) = (at.store, desk.clone(), told.clone());
        let spawned = thread::Builder::new()
            .name("agreement".into())
            .spawn(move || keep((store, &prefix, &id), settings, own, start, &asked, &shared));
        if let Err(why) = spawned {
            tracing::warn!("agreement cannot start its thread, and stays in safe mode: {why}");
        }
        Agreement {
            desk,
            told,
            start,
            logged: [(Mode::Starting, None, 0); 2],
            settings,
            unix_start: std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .map_or(0, |since| since.as_millis() as Ms),
            taken: super::agreed::Taken::default(),
            stamper: Stamper::default(),
        }
    }

    /// Milliseconds on the clock that the registers keep: monotonic, going on while the process is stopped.
    pub(super) fn now(&self) -> Ms {
        self.start.elapsed().as_millis() as Ms
    }

    /// What the thread last published.
    pub(super) fn view(&self) -> Arc<View> {
        held(&self.told).clone()
    }

    /// How long until an announcement or a lease ends, so that the loop looks in time.
    pub(super) fn due_in(&self) -> Option<Ms> {
        let (view, now) = (self.view(), self.now());
        let ends =
            |state: &State| [state.pending.map(|(_, at)| at), state.lease_until.map(|until| until + 1)];
        let both = [ends(&view.settings.state), ends(&view.hosts.state)];
        both.into_iter().flatten().flatten().filter(|at| *at > now).min().map(|at| at - now)
    }

    /// Puts something on the thread's desk and wakes it.
    fn ask<T>(&self, what: impl FnOnce(&mut Desk) -> T) -> T {
        let done = what(&mut held(&self.desk.0));
        self.desk.1.notify_one();
        done
    }

    /// Offers settings as the next version. A later offer replaces one that was not announced yet.
    pub(super) fn offer(&self, shared: Vec<u8>) {
        self.ask(|desk| desk.offer = Some(shared));
    }

    /// Tells which hosts discovery lists here.
    pub(super) fn list(&self, listing: Listing) {
        self.ask(|desk| desk.listing = Some(Arc::new(listing)));
    }

    /// An operator wants a host left out or put back, at every gateway. False where too many wishes wait.
    pub(super) fn wish(&self, host: &str, out: bool) -> bool {
        self.ask(|desk| {
            let room = desk.wishes.len() < switchhill_agreement::hosts::MOST_CORDONS;
            let may = room || desk.wishes.contains_key(host);
            if may {
                desk.wishes.insert(host.to_owned(), out);
            }
            may
        })
    }

    /// The wishes that no version fulfils yet.
    pub(super) fn wishes(&self) -> Wishes {
        held(&self.desk.0).wishes.clone()
    }

    /// This gateway stops: the others are to know at once.
    pub(super) fn leave(&self) {
        self.ask(|desk| desk.leaving = true);
    }

    /// The stamp of the newest list that this gateway acts on by agreement.
    pub(super) fn agreed_stamp(&self) -> Option<Stamp> {
        let view = self.view();
        let active = view.hosts.state.at(self.now()).active;
        view.hosts.content(active).map(|hosts| hosts.stamp)
    }

    /// How many gateways share the quotas and this one's number among them, given what the configuration says. While
    /// alone, and at first, never under the configured number: the looser share is taken only on evidence.
    pub(super) fn told_number(&self, configured: (u32, u32)) -> (u32, u32) {
        let view = self.view();
        let told = view.members.unwrap_or(Told::ALONE);
        if told.alone
            || self.now() < 2 * self.settings.lease_ms
            || self.acting(&view)[0].0.mode == Mode::Starting
        {
            return (told.gateways.max(configured.0), configured.1);
        }
        (told.gateways, told.ordinal)
    }

    /// What this gateway acts on by each register, and when and why that last changed.
    pub(super) fn acting(&self, view: &View) -> [(Acting, (Ms, &'static str)); 2] {
        let now = self.now();
        let mut settings = view.settings.state.told_at(now);
        // Danger: a version agreed that is not the one acted on here (it could not be taken) would be claimed while
        // other rules are kept: this gateway counts as safe.
        if settings.0.mode == Mode::Active && settings.0.active != self.taken.settings {
            (settings.0.mode, settings.1 .1) = (Mode::Safe, "the agreed version cannot be taken here");
        }
        [settings, view.hosts.state.told_at(now)]
    }

    /// Logs one JSON event for each register whose mode or version changed. The event's `unix_ms` is the moment of
    /// the change itself: every round looks before it decides anything, so nothing was decided by the old state
    /// after it, and windows measured from the logs of several processes are true.
    pub(super) fn log_changes(&mut self) {
        let view = self.view();
        for (n, (acting, (at, why))) in self.acting(&view).into_iter().enumerate() {
            let (mode, active, before) = self.logged[n];
            if (acting.mode, acting.active) == (mode, active) {
                continue;
            }
            // What is told later happened later: a renewal may come to the loop after it took the lease for run out.
            let at = at.max(before);
            self.logged[n] = (acting.mode, acting.active, at);
            let lapsed = [&view.settings.state, &view.hosts.state][n].lapsed;
            if let Some(lapsed) =
                lapsed.filter(|lapsed| mode == Mode::Active && (before..at).contains(lapsed))
            {
                // Woken from a stop and confirmed before this loop looked: it was safe meanwhile, and decided nothing.
                self.log(n, Mode::Safe, active, lapsed, "lease ran out");
            }
            self.log(n, acting.mode, acting.active, at, why);
        }
    }

    fn log(&self, register: usize, mode: Mode, version: Option<Version>, at: Ms, why: &str) {
        let version = version.map(|version| version.to_string()).unwrap_or_default();
        let (unix_ms, bound_ms) = (self.unix_start + at, self.settings.bound_ms());
        let register = REGISTERS[register];
        tracing::info!(register, mode = %mode, version = %version, unix_ms, bound_ms, why, "agreement");
    }

    /// What operators are told when they ask for versions: a line a register, then the members.
    pub(super) fn versions(&self, number: (u32, u32)) -> String {
        let view = self.view();
        let told = view.members.unwrap_or(Told::ALONE);
        let mut text = String::new();
        for (name, (acting, (at, why))) in REGISTERS.iter().zip(self.acting(&view)) {
            let version =
                |version: Option<Version>| version.map_or("none".into(), |version| version.to_string());
            let since = self.now().saturating_sub(at);
            let (mode, active, pending) = (acting.mode, version(acting.active), version(acting.pending));
            text += &format!("{name} {mode} {active} pending {pending} for {since} ms: {why}\n");
        }
        let (alone, (gateways, ordinal)) = (u8::from(told.alone), number);
        text + &format!(
            "members {} suspected {} alone {alone} quotas divided by {gateways} own number {ordinal}\n",
            told.gateways, told.suspected
        )
    }

    /// The figures: each register's mode, epoch and digest, and the members counted.
    pub(super) fn figures(&self, number: (u32, u32), held_out: usize) -> String {
        let view = self.view();
        let mut text = String::new();
        for (name, (acting, _)) in REGISTERS.iter().zip(self.acting(&view)) {
            let (epoch, digest) = acting.active.map_or((0, 0), |version| (version.epoch, version.digest));
            let safe = u8::from(acting.mode != Mode::Active);
            let start = format!("switchhill_agreement_{name}");
            text += &format!("{start}_epoch {epoch}\n{start}_digest {digest}\n{start}_safe {safe}\n");
        }
        let told = view.members.unwrap_or(Told::ALONE);
        let figures = [
            ("members", told.gateways),
            ("suspected", told.suspected),
            ("alone", u32::from(told.alone)),
            ("told_number", number.0),
            ("told_ordinal", number.1),
            ("hosts_held_out", held_out as u32),
        ];
        figures.iter().fold(text, |text, (name, n)| text + &format!("switchhill_agreement_{name} {n}\n"))
    }
}

/// The thread: the registers' reads and proposals, and the members' renewals, one call at a time.
fn keep(
    (store, prefix, id): (std::net::SocketAddr, &str, &str),
    settings: Settings,
    (number, seed): ((u32, u32), u64),
    start: Instant,
    (desk, asked): &(Mutex<Desk>, Condvar),
    told: &Mutex<Arc<View>>,
) {
    let clock = || start.elapsed().as_millis() as Ms;
    let timeout = Duration::from_millis(settings.slowest_read_ms);
    let link = Link::new(store, timeout, seed, first_at(SPREAD, number.0, number.1, seed));
    let mut registers = [Register::new(settings, clock()), Register::new(settings, clock())];
    let mut wires = [
        Wire::over(link.clone(), prefix, REGISTERS[0], |_| true),
        Wire::over(link, prefix, REGISTERS[1], |bytes| Hosts::read(bytes).is_ok()),
    ];
    let mut members = Members::new(settings, id);
    let mut next_listing = clock();
    let mut view = View::default();
    let mut composed_from = (None, false, None, Wishes::new());
    loop {
        let (offer, first, listing, mut wishes) = {
            let mut desk = held(desk);
            if desk.leaving {
                wires[0].leave(id);
                return;
            }
            (desk.offer.take(), desk.first.take(), desk.listing.clone(), desk.wishes.clone())
        };
        if let Some(content) = first {
            let digest = digest(&content);
            wires[0].offered.insert(digest, content);
            registers[0].propose_first(digest);
        }
        if let Some(content) = offer {
            want(&mut registers[0], &mut wires[0], Some(content));
        }
        let newest = view.hosts.content(registers[1].highest()).cloned();
        if !wishes.is_empty() {
            wishes = unmet(newest.as_deref(), wishes);
            let mut desk = held(desk);
            desk.wishes = unmet(newest.as_deref(), std::mem::take(&mut desk.wishes));
        }
        let from = (registers[1].highest(), newest.is_some(), listing.clone(), wishes.clone());
        if from != composed_from {
            // Without the newest content nothing is composed: it would undo what that content says.
            let knows = newest.is_some() || registers[1].highest().is_none();
            let next = knows.then(|| compose(newest.as_deref(), listing.as_deref(), &wishes)).flatten();
            want(&mut registers[1], &mut wires[1], next.map(|hosts| hosts.stored()));
        }
        composed_from = from;
        // Danger: what one blocking call has confirmed must not wait for the next one to be published: the loop would
        // take a lease for run out that was renewed.
        let mut publish = |registers: &[Register; 2], wires: &[Wire; 2], members: &Members| {
            view = View {
                settings: view.settings.next(&registers[0], &wires[0], |bytes| Some(bytes.clone())),
                hosts: view
                    .hosts
                    .next(&registers[1], &wires[1], |bytes| Hosts::read(bytes).ok().map(Arc::new)),
                members: Some(members.told(clock())),
            };
            *held(told) = Arc::new(view.clone());
        };
        let mut busy = false;
        for n in 0..registers.len() {
            busy |= drive(&mut registers[n], &mut wires[n], clock, settings.announce_ms);
            publish(&registers, &wires, &members);
        }
        if clock() >= next_listing {
            let sent = clock();
            next_listing = sent + settings.period_ms;
            if let Ok(listed) = wires[0].members(id, settings.lease_ms) {
                members.listed(clock(), sent, listed);
            }
            publish(&registers, &wires, &members);
        }
        if !busy {
            let due = registers.iter().map(Register::next_due).fold(next_listing, Ms::min);
            let rest = Duration::from_millis(due.saturating_sub(clock()).clamp(1, LONGEST_REST));
            let desk = held(desk);
            // What was asked since this round looked is not slept over.
            let old = |desk: &mut Desk| {
                desk.offer.is_none()
                    && !desk.leaving
                    && desk.wishes == composed_from.3
                    && same(&desk.listing, &composed_from.2)
            };
            drop(asked.wait_timeout_while(desk, rest, old));
        }
    }
}

/// Whether two listings are one and the same.
fn same(a: &Option<Arc<Listing>>, b: &Option<Arc<Listing>>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => Arc::ptr_eq(a, b),
        (a, b) => a.is_none() && b.is_none(),
    }
}

/// Makes `content` what the register is to propose, or nothing.
fn want(register: &mut Register, wire: &mut Wire, content: Option<Vec<u8>>) {
    let Some(content) = content else { return register.withdraw() };
    let digest = digest(&content);
    if !wire.offered.contains_key(&digest) {
        wire.offered.clear();
        wire.offered.insert(digest, content);
    }
    register.propose(digest);
}
