//! Agreement's wire: a blocking link to the store in a thread of its own, behind a bounded queue, and the one
//! handle that the loop keeps. The thread carries out what a `Register` and `Members` ask of the store; the loop
//! reads their state and works out, on its own clock, what it acts on. The rig's tests use the same `Wire`.
//! Keys: `agreement:K` (`EPOCH DIGEST`), `agreement:K:settle` (the announcement,
//! `PX`), `agreement:K:EPOCH` (the content), `agreement:member:ID` (`PX lease_ms`).

use redis_protocol::resp2::decode::decode;
use redis_protocol::resp2::types::OwnedFrame;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};
use switchhill_agreement::{
    digest, Acting, Action, Answer, Listed, Members, Mode, Ms, Proposed, Register, Settings, State, Told,
    Version,
};

/// Contents kept per register: the active, the pending and a few before.
const KEPT: usize = 4;

/// A blocking link to the store for one register of one participant.
pub struct Wire {
    address: SocketAddr,
    timeout: Duration,
    kind: String,
    socket: Option<TcpStream>,
    /// Contents by epoch, each kept only where it matched its version's digest.
    contents: BTreeMap<u64, (Version, Vec<u8>)>,
    /// The content this participant wants to propose, by its digest.
    pub offered: BTreeMap<u64, Vec<u8>>,
}

impl Wire {
    /// A wire to the store at `address` for register `kind`; each call gives up after `timeout`.
    pub fn new(address: SocketAddr, kind: &str, timeout: Duration) -> Wire {
        Wire {
            address,
            timeout,
            kind: kind.to_owned(),
            socket: None,
            contents: BTreeMap::new(),
            offered: BTreeMap::new(),
        }
    }

    /// The content of `version` if it is held here; it matched its digest when it was kept.
    pub fn content(&self, version: Version) -> Option<&[u8]> {
        self.contents
            .get(&version.epoch)
            .filter(|(kept, _)| *kept == version)
            .map(|(_, bytes)| bytes.as_slice())
    }

    fn call(&mut self, commands: &[Vec<&[u8]>]) -> Result<Vec<OwnedFrame>, String> {
        if self.socket.is_none() {
            let socket =
                TcpStream::connect_timeout(&self.address, self.timeout).map_err(|e| e.to_string())?;
            socket.set_read_timeout(Some(self.timeout)).map_err(|e| e.to_string())?;
            socket.set_write_timeout(Some(self.timeout)).map_err(|e| e.to_string())?;
            let _ = socket.set_nodelay(true);
            self.socket = Some(socket);
        }
        let result = self.exchange(commands);
        if result.is_err() {
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

    fn pointer_key(&self) -> String {
        format!("agreement:{}", self.kind)
    }

    fn settle_key(&self) -> String {
        format!("agreement:{}:settle", self.kind)
    }

    fn content_key(&self, epoch: u64) -> String {
        format!("agreement:{}:{epoch}", self.kind)
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
                    self.keep(version, bytes);
                }
            }
            content = self.content(version).is_some();
        }
        Ok(Answer { pointer, settle_ms, content })
    }

    /// Keeps a content where it matches `version`'s digest: the only place it is hashed.
    fn keep(&mut self, version: Version, bytes: Vec<u8>) {
        if digest(&bytes) != version.digest {
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
        let Some(bytes) = self.content(version).map(<[u8]>::to_vec) else { return false };
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
                self.keep(version, bytes.to_vec());
                Proposed::Won
            }
            _ => Proposed::Lost,
        }
    }

    /// Renews this member's key and lists every member with what its key has left.
    pub fn members(&mut self, me: &str, lease_ms: Ms) -> Result<Vec<Listed>, String> {
        let key = format!("agreement:member:{me}");
        let lease = lease_ms.to_string();
        let answers = self.call(&[
            vec![b"SET", key.as_bytes(), b"1", b"PX", lease.as_bytes()],
            vec![b"KEYS", b"agreement:member:*"],
        ])?;
        let OwnedFrame::Array(keys) = &answers[1] else { return Err("KEYS gave no list".into()) };
        let keys: Vec<Vec<u8>> = keys.iter().filter_map(bulk).collect();
        let asks: Vec<Vec<&[u8]>> = keys.iter().map(|key| vec![b"PTTL".as_slice(), key.as_slice()]).collect();
        let lefts = if asks.is_empty() { Vec::new() } else { self.call(&asks)? };
        Ok(keys
            .iter()
            .zip(lefts)
            .filter_map(|(key, left)| match left {
                OwnedFrame::Integer(left) if left > 0 => Some(Listed {
                    id: String::from_utf8_lossy(&key["agreement:member:".len()..]).into_owned(),
                    left_ms: left as Ms,
                }),
                _ => None,
            })
            .collect())
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

/// Contents that may wait to be proposed; a newer one replaces what waits, so one is enough beside the one sent.
const WAITING: usize = 2;
/// The content of the latest agreed version that the thread holds, handed to the loop.
type Handed = Arc<Mutex<Option<(Version, Vec<u8>)>>>;

/// How long the thread rests when there is nothing to do.
const REST: Duration = Duration::from_millis(5);

/// A lock's contents, also after a panic elsewhere while it was held: what is inside is whole values only.
fn held<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// What the thread tells the loop.
#[derive(Clone, Copy, Default)]
struct Shared {
    state: State,
    members: Option<Told>,
}

/// Agreement at one gateway: its one field in the loop.
pub struct Agreement {
    asks: SyncSender<Vec<u8>>,
    told: Arc<Mutex<Shared>>,
    start: Instant,
    /// What was last logged: mode and version.
    logged: (Mode, Option<Version>),
    settings: Settings,
    /// The digest of the configuration this gateway has taken itself.
    own: Option<u64>,
    /// Contents of agreed versions, as the thread fetched them; the loop takes the one it needs.
    contents: Handed,
    /// An agreed version that could not be taken here: not tried again.
    refused: Option<Version>,
    /// Unix time in milliseconds at `start`: the events' moments are told in it.
    unix_start: Ms,
}

impl Agreement {
    /// Starts the thread that keeps the `settings` register at `store` for member `id`.
    pub fn start(store: std::net::SocketAddr, id: &str) -> Agreement {
        let settings = Settings::default();
        let (asks, asked) = sync_channel(WAITING);
        let told = Arc::new(Mutex::new(Shared::default()));
        let start = Instant::now();
        let (shared, id) = (told.clone(), id.to_owned());
        let contents: Handed = Arc::new(Mutex::new(None));
        let handed = contents.clone();
        let spawned = thread::Builder::new()
            .name("agreement".into())
            .spawn(move || keep(store, &id, settings, start, &asked, &shared, &handed));
        if let Err(why) = spawned {
            tracing::warn!("agreement cannot start its thread, and stays in safe mode: {why}");
        }
        Agreement {
            asks,
            told,
            start,
            logged: (Mode::Starting, None),
            settings,
            own: None,
            contents,
            refused: None,
            unix_start: std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .map_or(0, |since| since.as_millis() as Ms),
        }
    }

    fn now(&self) -> Ms {
        self.start.elapsed().as_millis() as Ms
    }

    /// Offers a configuration taken whole as the next version. A full queue drops it: a newer one follows.
    pub fn offer(&mut self, content: &[u8]) {
        self.own = Some(digest(content));
        let _ = self.asks.try_send(content.to_vec());
    }

    /// The agreed version's content where it is not what this gateway took itself: to be taken, then told with
    /// [`Agreement::took`] or [`Agreement::refuse`].
    pub fn to_take(&self) -> Option<(Version, Vec<u8>)> {
        let told = *held(&self.told);
        let active = told.state.at(self.now()).active?;
        if Some(active.digest) == self.own || Some(active) == self.refused {
            return None;
        }
        let contents = held(&self.contents);
        contents.as_ref().filter(|(version, _)| *version == active).cloned()
    }

    /// The agreed content was taken whole: this gateway acts on it as its own.
    pub fn took(&mut self, version: Version) {
        self.own = Some(version.digest);
    }

    /// The agreed content could not be taken here: this gateway stays safe on it until another version comes.
    pub fn refuse(&mut self, version: Version) {
        self.refused = Some(version);
    }

    /// What this gateway acts on now.
    pub fn acting(&self) -> Acting {
        let told = *held(&self.told);
        let mut acting = told.state.at(self.now());
        // Danger: a version agreed that is not the configuration taken here (a bad or missed file) would be
        // claimed while the old rules are kept: until the agreed content is taken, this gateway counts as safe.
        if acting.mode == Mode::Active && acting.active.map(|version| version.digest) != self.own {
            acting.mode = Mode::Safe;
        }
        acting
    }

    /// What this gateway acts on now; logs one JSON event where that changed. The event's `unix_ms` is the moment
    /// of the change itself (an announcement's end, a lease's end), not the later one at which the loop saw it, so
    /// that windows measured from the logs of several processes are true.
    pub fn round(&mut self) -> Acting {
        let acting = self.acting();
        if (acting.mode, acting.active) != self.logged {
            self.logged = (acting.mode, acting.active);
            let version = acting.active.map(|version| version.to_string()).unwrap_or_default();
            let state = held(&self.told).state;
            let now = self.now();
            let due = state.pending.map(|(_, at)| at).filter(|at| *at <= now);
            let ended = state.lease_until.filter(|until| *until < now && acting.mode == Mode::Safe);
            let at = due.or(ended.map(|until| until + 1)).unwrap_or(now);
            let unix_ms = self.unix_start + at;
            tracing::info!(
                register = "settings",
                mode = %acting.mode,
                version = %version,
                unix_ms,
                bound_ms = self.settings.bound_ms(),
                "agreement"
            );
        }
        acting
    }

    /// The figures: the register's mode and epoch, and the members counted.
    pub fn figures(&self) -> String {
        let acting = self.acting();
        let told = held(&self.told).members;
        let told = told.unwrap_or(Told::ALONE);
        let (safe, epoch) = (acting.mode != Mode::Active, acting.active.map_or(0, |version| version.epoch));
        format!(
            "switchhill_agreement_settings_epoch {epoch}\nswitchhill_agreement_settings_safe {}\n\
             switchhill_agreement_members {}\nswitchhill_agreement_alone {}\n",
            u8::from(safe),
            told.gateways,
            u8::from(told.alone)
        )
    }
}

/// The thread: the register's reads and proposals, and the members' renewals, one call at a time.
fn keep(
    store: std::net::SocketAddr,
    id: &str,
    settings: Settings,
    start: Instant,
    asked: &Receiver<Vec<u8>>,
    told: &Mutex<Shared>,
    contents: &Mutex<Option<(Version, Vec<u8>)>>,
) {
    let clock = || start.elapsed().as_millis() as Ms;
    let timeout = Duration::from_millis(settings.slowest_read_ms);
    let mut register = Register::new(settings, clock());
    let (mut wire, mut links) =
        (Wire::new(store, "settings", timeout), Wire::new(store, "settings", timeout));
    let mut members = Members::new(settings, id);
    let mut next_listing = clock();
    loop {
        while let Ok(content) = asked.try_recv() {
            let digest = digest(&content);
            wire.offered.clear();
            wire.offered.insert(digest, content);
            register.propose(digest);
        }
        let busy = drive(&mut register, &mut wire, clock, settings.announce_ms);
        if clock() >= next_listing {
            let sent = clock();
            next_listing = sent + settings.period_ms;
            if let Ok(listed) = links.members(id, settings.lease_ms) {
                members.listed(clock(), sent, listed);
            }
        }
        let state = register.state();
        for version in [state.active, state.pending.map(|(version, _)| version)].into_iter().flatten() {
            if let Some(bytes) = wire.content(version) {
                let mut handed = held(contents);
                if handed.as_ref().is_none_or(|(before, _)| *before != version) {
                    *handed = Some((version, bytes.to_vec()));
                }
            }
        }
        let mut shared = held(told);
        *shared = Shared { state, members: Some(members.told(clock())) };
        drop(shared);
        if !busy {
            thread::sleep(REST);
        }
    }
}
