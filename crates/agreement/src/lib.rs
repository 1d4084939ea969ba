//! Versions of settings and host lists that every gateway acts on together, through a register in the shared store.
//!
//! A register holds one kind of shared state under a version `(epoch, digest)`. A change is announced in the
//! store for [`Settings::announce_ms`] and becomes active, at every gateway that confirmed it, at the moment the
//! announcement runs out, as the store's `PTTL` tells: the store's clock is the only common moment, so no two
//! processes' clocks need to agree. A gateway that has not confirmed the register within its lease goes to
//! [`Mode::Safe`], which is never looser than any version it knows. The bound on disagreement follows:
//! two gateways both [`Mode::Active`] on different versions for at most [`Settings::bound_ms`].
//!
//! Everything here is a state machine without I/O. The caller tells what happened and when (milliseconds of its
//! monotonic clock) and carries out what comes back; see `docs/design/agreement.md`.
//!
//! ```
//! use switchhill_agreement::{Mode, ReadReply, Register, Settings, Version};
//!
//! let mut register = Register::new(Settings::default(), 0);
//! assert_eq!(register.effective_state(0).mode, Mode::Starting);
//! let sent = 0;
//! let current = Version { epoch: 4, digest: 9 };
//! register.read(10, sent, ReadReply { pointer: Some(current), settle_ms: None, content_available: true });
//! assert_eq!(register.effective_state(10).mode, Mode::Active);
//! assert_eq!(register.effective_state(10).active, Some(current));
//! ```

pub mod hosts;
mod members;

pub use members::{ListedMember, Members, MembershipView};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// A moment or a span on the caller's monotonic clock, in milliseconds.
pub type Ms = u64;

/// One version of a register's content: the epoch only grows, the digest names the content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Version {
    /// Grows by one with each change; an epoch lower than one seen is never taken again.
    pub epoch: u64,
    /// [`digest`] of the content.
    pub digest: u64,
}

impl std::fmt::Display for Mode {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Mode::Starting => "starting",
            Mode::Active => "active",
            Mode::Safe => "safe",
        })
    }
}

impl std::fmt::Display for Version {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{:016x}", self.epoch, self.digest)
    }
}

impl Version {
    /// Reads the store's form, `EPOCH DIGEST` with the digest in hexadecimal.
    pub fn parse(text: &str) -> Option<Version> {
        let (epoch, digest) = text.trim().split_once(' ')?;
        Some(Version { epoch: epoch.parse().ok()?, digest: u64::from_str_radix(digest, 16).ok()? })
    }

    /// The store's form, read by [`Version::parse`].
    pub fn encode(&self) -> String {
        format!("{} {:016x}", self.epoch, self.digest)
    }
}

/// The digest of a content: SipHash-1-3 with fixed keys, the same at every gateway and in every release.
pub fn digest(content: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x7377_6974_6368_6869, 0x6c6c_2d61_6772_6565);
    hasher.write(content);
    hasher.finish()
}

/// The protocol's times. All are milliseconds of each process's monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How often the register is read. Range 10 to 10,000.
    pub period_ms: Ms,
    /// A read answered later than this after it was sent confirms nothing: its moment is too uncertain.
    /// At most `period_ms`. This is the bound on disagreement.
    pub read_timeout_ms: Ms,
    /// How long a confirmation holds. At least `2 * period_ms`.
    pub lease_ms: Ms,
    /// How long an announcement lives before its version is active. Over `lease_ms + period_ms`.
    pub announce_ms: Ms,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { period_ms: 250, read_timeout_ms: 250, lease_ms: 1000, announce_ms: 1500 }
    }
}

impl Settings {
    /// Checks the relations that the bound rests on; the error names the field.
    pub fn check(&self) -> Result<(), String> {
        if !(10..=10_000).contains(&self.period_ms) {
            return Err(format!("period_ms: {} is not within 10 to 10000", self.period_ms));
        }
        if self.read_timeout_ms == 0 || self.read_timeout_ms > self.period_ms {
            return Err(format!("read_timeout_ms: {} is not within 1 to period_ms", self.read_timeout_ms));
        }
        if self.lease_ms < 2 * self.period_ms {
            return Err(format!("lease_ms: {} is under twice period_ms", self.lease_ms));
        }
        if self.announce_ms <= self.lease_ms + self.period_ms {
            return Err(format!("announce_ms: {} is not over lease_ms + period_ms", self.announce_ms));
        }
        Ok(())
    }

    /// The longest that two gateways act on contradicting versions, as the design proves it: one read's round trip
    /// (`read_timeout_ms`), and one more where the store lost the register during an announcement and it was given
    /// back with what was left of it.
    pub fn bound_ms(&self) -> Ms {
        2 * self.read_timeout_ms
    }
}

/// What a gateway acts on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Not yet confirmed once since the start: safe, and nothing known to be current.
    #[default]
    Starting,
    /// Acting on [`EffectiveState::active`], confirmed within the lease.
    Active,
    /// Not confirmed within the lease, or content that could not be had: the stricter of all versions known.
    Safe,
}

/// The state a gateway's decisions read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EffectiveState {
    /// Active, safe or starting.
    pub mode: Mode,
    /// The version acted on while Active; in Safe mode the last one that was.
    pub active: Option<Version>,
    /// A version announced and not yet active; in Safe mode it counts beside `active`, the stricter of the two.
    pub pending: Option<Version>,
}

/// A register's state as of its last event, for a reader on another thread whose clock runs on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegisterSnapshot {
    /// The mode as of the last event.
    pub mode: Mode,
    /// The version acted on as of the last event.
    pub active: Option<Version>,
    /// A version announced and the moment it becomes active.
    pub pending: Option<(Version, Ms)>,
    /// The end of the lease.
    pub lease_expires_at: Option<Ms>,
    /// The last change of mode or version: when, and why in a few words.
    pub last_change: (Ms, &'static str),
    /// When a lease last ran out. A process woken from a stop may be confirmed again before its loop has looked: it
    /// decided nothing in between, and was safe from this moment on.
    pub lease_expired_at: Option<Ms>,
}

impl RegisterSnapshot {
    /// What the register acts on at `now`, by the same rules as [`Register::tick`]: what is due is active, and a
    /// lease that ran out means Safe mode, however late the register's own thread is.
    pub fn effective_at(&self, now: Ms) -> EffectiveState {
        self.effective_with_change_at(now).0
    }

    /// As [`RegisterSnapshot::effective_at`], with the moment of the last change and why it came. Both are of the change itself, however
    /// late the caller looks: an announcement's end, a lease's end.
    pub fn effective_with_change_at(&self, now: Ms) -> (EffectiveState, (Ms, &'static str)) {
        let mut acting = EffectiveState {
            mode: self.mode,
            active: self.active,
            pending: self.pending.map(|(version, _)| version),
        };
        let mut last_change = self.last_change;
        if let Some((version, at)) = self.pending.filter(|(_, at)| now >= *at) {
            (acting.active, acting.pending, last_change) = (Some(version), None, (at, ACTIVATED));
        }
        if let (Mode::Active, Some(until)) = (self.mode, self.lease_expires_at.filter(|until| now > *until)) {
            (acting.mode, last_change) = (Mode::Safe, (until + 1, LEASE_EXPIRED));
        }
        (acting, last_change)
    }
}

/// Why a version became active: its announcement's end.
const ACTIVATED: &str = "announcement ran out";
/// Why a gateway went to Safe mode.
const LEASE_EXPIRED: &str = "lease ran out";

/// One read of the register: `GET agreement:K`, `PTTL agreement:K:settle` and, for a version not yet held, its
/// content, fetched and checked against its digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadReply {
    /// The pointer, or `None` where the key is gone.
    pub pointer: Option<Version>,
    /// Milliseconds the announcement still lives, or `None` where it has run out (`PTTL` below 0).
    pub settle_ms: Option<Ms>,
    /// Whether the content of `pointer` is held and matches its digest.
    pub content_available: bool,
}

/// What the caller is to do against the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the register (see [`ReadReply`]) and tell [`Register::read`] or [`Register::read_failed`], with `sent`.
    Read {
        /// The moment the read was asked for; given back with its reply.
        sent: Ms,
    },
    /// Write the content under its epoch, then compare-and-set the pointer from `over` to `version` and set the
    /// announcement with `PX announce_ms`, refusing while an announcement lives. Tell [`Register::proposal_finished`].
    Propose {
        /// The new version.
        version: Version,
        /// The version the pointer must still hold; `None` where it is to be absent.
        expected: Option<Version>,
    },
    /// The pointer is gone or older than a version seen: where it holds less, or nothing, set it to `version`
    /// and set the announcement with `PX settle_ms`, so that nobody joins on what was given back before it settles.
    Restore {
        /// The highest version this gateway has seen.
        version: Version,
        /// What is left of its announcement where it is still pending here, else `announce_ms`.
        settle_ms: Ms,
    },
}

/// How a proposal fared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// The pointer holds it, announced.
    Won,
    /// The pointer had moved, an announcement lived, or the store did not answer: read and try again.
    Lost,
}

/// One register at one gateway.
#[derive(Debug)]
pub struct Register {
    settings: Settings,
    mode: Mode,
    active: Option<Version>,
    pending: Option<(Version, Ms)>,
    highest: Option<Version>,
    confirmed_at: Option<Ms>,
    read_sent_at: Option<Ms>,
    next_read: Ms,
    desired: Option<u64>,
    /// `desired` is for a fleet that has no version yet, and for none that has one.
    initial_only: bool,
    in_flight_proposal: Option<Version>,
    restore_needed: bool,
    /// The last read in time found no pointer.
    pointer_absent: bool,
    /// A read has come back since the last proposal's outcome.
    read_since_proposal: bool,
    last_change: (Ms, &'static str),
    lease_expired_at: Option<Ms>,
}

impl Register {
    /// A register at a process that started at `now`: Starting until a first confirmed read.
    pub fn new(settings: Settings, now: Ms) -> Register {
        Register {
            settings,
            mode: Mode::Starting,
            active: None,
            pending: None,
            highest: None,
            confirmed_at: None,
            read_sent_at: None,
            next_read: now,
            desired: None,
            initial_only: false,
            in_flight_proposal: None,
            restore_needed: false,
            pointer_absent: false,
            read_since_proposal: true,
            last_change: (now, "started"),
            lease_expired_at: None,
        }
    }

    /// What decisions act on at `now`. Danger: a decision taken without this call (or [`Register::tick`]) in the
    /// same round would act on a version whose lease ran out while the process was stopped.
    pub fn effective_state(&mut self, now: Ms) -> EffectiveState {
        self.tick(now);
        EffectiveState {
            mode: self.mode,
            active: self.active,
            pending: self.pending.map(|(version, _)| version),
        }
    }

    /// What another thread needs to tell, at any moment, what this register acts on: see [`RegisterSnapshot::effective_at`].
    pub fn snapshot(&self) -> RegisterSnapshot {
        RegisterSnapshot {
            mode: self.mode,
            active: self.active,
            pending: self.pending,
            lease_expires_at: self.confirmed_at.map(|at| at + self.settings.lease_ms),
            last_change: self.last_change,
            lease_expired_at: self.lease_expired_at,
        }
    }

    /// The highest version seen here, active or not.
    pub fn highest(&self) -> Option<Version> {
        self.highest
    }

    /// Moves time on: activates what is due, then ends a lease that has run out.
    pub fn tick(&mut self, now: Ms) {
        if let Some((version, at)) = self.pending {
            if now >= at {
                self.pending = None;
                self.active = Some(version);
                if self.mode == Mode::Active {
                    self.last_change = (at, ACTIVATED);
                }
            }
        }
        let ended = self.confirmed_at.map(|at| at + self.settings.lease_ms + 1).filter(|end| now >= *end);
        if let (Mode::Active, Some(end)) = (self.mode, ended) {
            self.mode = Mode::Safe;
            self.last_change = (end, LEASE_EXPIRED);
            self.lease_expired_at = Some(end);
        }
    }

    /// The earliest moment at which [`Register::tick`] or [`Register::poll_action`] has something to do.
    pub fn next_due(&self) -> Ms {
        let mut due = if self.read_sent_at.is_some() { Ms::MAX } else { self.next_read };
        if let Some((_, at)) = self.pending {
            due = due.min(at);
        }
        if self.mode == Mode::Active {
            if let Some(at) = self.confirmed_at {
                due = due.min(at + self.settings.lease_ms + 1);
            }
        }
        due
    }

    /// The next thing to do against the store, if any. One read at a time; a read whose answer never comes is
    /// given up after `read_timeout_ms` and the next one goes out.
    pub fn poll_action(&mut self, now: Ms) -> Option<Action> {
        self.tick(now);
        if let Some(sent) = self.read_sent_at {
            if now < sent + self.settings.read_timeout_ms.max(self.settings.period_ms) {
                return None;
            }
            self.read_sent_at = None;
        }
        if self.restore_needed {
            if let Some(version) = self.highest {
                self.restore_needed = false;
                // Danger: a fresh announcement for a version others already wait for would move its moment later
                // at those that read again; what is left of it is given back instead.
                let left =
                    self.pending.filter(|(pending, _)| *pending == version).map(|(_, at)| at - now.min(at));
                let settle_ms = left.unwrap_or(self.settings.announce_ms).max(1);
                return Some(Action::Restore { version, settle_ms });
            }
        }
        if self.initial_only && self.highest.is_some() {
            // Danger: what a process was started with is no change; proposed over a version it would turn a fleet
            // back to the file of whoever restarts.
            (self.desired, self.initial_only) = (None, false);
        }
        if let Some(digest) = self.desired {
            // A fleet's first version: nothing was ever seen here and the store holds none; the compare-and-set
            // over an absent pointer lets one proposal win.
            let first = self.pointer_absent && self.highest.is_none();
            // Danger: without a read between two proposals, one that lost would be made again at once and lose
            // again, and no read would ever go out.
            let may = self.in_flight_proposal.is_none() && self.read_since_proposal;
            if may && (first || self.mode == Mode::Active && self.pending.is_none()) {
                if self.active.is_some_and(|version| version.digest == digest) {
                    self.desired = None;
                } else {
                    let epoch = self.highest.map_or(1, |version| version.epoch + 1);
                    let version = Version { epoch, digest };
                    self.in_flight_proposal = Some(version);
                    return Some(Action::Propose { version, expected: self.highest });
                }
            }
        }
        if now >= self.next_read {
            self.read_sent_at = Some(now);
            self.next_read = now + self.settings.period_ms;
            return Some(Action::Read { sent: now });
        }
        None
    }

    /// This gateway loaded a content whole, whose digest is `digest`, and asks for it to become the version.
    /// A second wish before the first was announced replaces it: the last file loaded is the one meant.
    pub fn propose(&mut self, digest: u64) {
        (self.desired, self.initial_only) = (Some(digest), false);
    }

    /// This gateway was started with a content whose digest is `digest`: it becomes the version where there is none.
    pub fn propose_initial(&mut self, digest: u64) {
        if self.desired.is_none() && self.highest.is_none() {
            (self.desired, self.initial_only) = (Some(digest), true);
        }
    }

    /// Nothing is asked for any more; a proposal that is out already stands.
    pub fn withdraw(&mut self) {
        self.desired = None;
    }

    /// How the proposal fared.
    pub fn proposal_finished(&mut self, now: Ms, outcome: ProposalOutcome) {
        let proposed = self.in_flight_proposal.take();
        self.read_since_proposal = false;
        if let (ProposalOutcome::Won, Some(version)) = (outcome, proposed) {
            self.desired = None;
            // Danger: known only from a later read, a version won would be forgotten if the store lost it before
            // then, and the older one given back in its place. Its announcement ends at the latest now + D.
            self.highest = Some(version);
            if self.mode == Mode::Active {
                self.pending = Some((version, now + self.settings.announce_ms));
            }
        }
    }

    /// A read sent at `sent` failed or was not answered.
    pub fn read_failed(&mut self, _now: Ms, sent: Ms) {
        if self.read_sent_at == Some(sent) {
            self.read_sent_at = None;
        }
    }

    /// The answer of a read sent at `sent`, received at `now`.
    pub fn read(&mut self, now: Ms, sent: Ms, reply: ReadReply) {
        if self.read_sent_at == Some(sent) {
            self.read_sent_at = None;
        }
        self.read_since_proposal = true;
        self.tick(now);
        self.pointer_absent =
            reply.pointer.is_none() && now.saturating_sub(sent) <= self.settings.read_timeout_ms;
        let Some(pointer) = reply.pointer else {
            // The key is gone: the store lost it or came back empty. Give back the highest version seen.
            self.restore_needed = self.highest.is_some();
            return;
        };
        if let Some(highest) = self.highest {
            if pointer.epoch < highest.epoch || (pointer.epoch == highest.epoch && pointer != highest) {
                // Danger: an old version offered again would be a looser rule taken back; it comes only as a new
                // epoch.
                self.restore_needed = true;
                return;
            }
        }
        self.highest = Some(pointer);
        if now.saturating_sub(sent) > self.settings.read_timeout_ms || !reply.content_available {
            return;
        }
        match reply.settle_ms {
            Some(left) => {
                // Danger: a gateway not Active that joined during an announcement could take the old version
                // (or a stale one given back after a loss) while others hold the new: it waits until it settles.
                if self.mode != Mode::Active {
                    return;
                }
                // Danger: a version given back after a loss comes with a fresh announcement; a moment already
                // known for it is kept, or gateways that read again would take it later than those that did not.
                let known = self.pending.filter(|(version, _)| *version == pointer).map(|(_, at)| at);
                let at = known.map_or(now + left, |at| at.min(now + left));
                self.pending = (Some(pointer) != self.active).then_some((pointer, at));
            }
            None => {
                self.pending = None;
                if self.active != Some(pointer) {
                    self.active = Some(pointer);
                    if self.mode == Mode::Active {
                        self.last_change = (now, "taken as settled");
                    }
                }
            }
        }
        self.confirmed_at = Some(sent);
        if self.mode != Mode::Active {
            self.mode = Mode::Active;
            self.last_change = (now, "confirmed");
        }
    }
}

#[cfg(test)]
mod tests;
