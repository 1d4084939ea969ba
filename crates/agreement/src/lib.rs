//! Coordinated activation of settings and host list versions across gateways, through a register in the shared store.
//!
//! A register holds one kind of shared state under a version `(epoch, digest)`. A change is announced in the store
//! for [`Settings::announce_ms`] and becomes active at every gateway that confirmed it when the announcement key
//! expires. Each gateway derives that time from `PTTL`, so the store's clock is the only common reference and process
//! clocks need not be synchronized. A gateway that has not confirmed the register within its lease enters
//! [`Mode::Safe`], which is never more permissive than any version it knows. Two gateways are therefore both
//! [`Mode::Active`] on different versions for at most [`Settings::bound_ms`].
//!
//! The crate is a state machine without I/O. The caller reports events with the time of its monotonic clock in
//! milliseconds and carries out the returned actions; see `docs/design/agreement.md`.
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

/// A time or duration on the caller's monotonic clock, in milliseconds.
pub type Ms = u64;

/// Version of a register's content: a monotonically increasing epoch and the digest of the content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Version {
    /// Increases by one with each change. An epoch lower than the highest one seen is rejected.
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
    /// Parses the stored form, `EPOCH DIGEST` with the digest in hexadecimal.
    pub fn parse(text: &str) -> Option<Version> {
        let (epoch, digest) = text.trim().split_once(' ')?;
        Some(Version { epoch: epoch.parse().ok()?, digest: u64::from_str_radix(digest, 16).ok()? })
    }

    /// Encodes the version in the form that [`Version::parse`] reads.
    pub fn encode(&self) -> String {
        format!("{} {:016x}", self.epoch, self.digest)
    }
}

/// Computes the digest of a content: SipHash-1-3 with fixed keys, identical on every gateway and in every release.
pub fn digest(content: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x7377_6974_6368_6869, 0x6c6c_2d61_6772_6565);
    hasher.write(content);
    hasher.finish()
}

/// Intervals and timeouts of the protocol, in milliseconds of each process's monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Interval between reads of the register. Range 10 to 10,000.
    pub period_ms: Ms,
    /// Longest round trip of a read that renews the lease; the time at which the store processed a slower read is too
    /// uncertain. At most `period_ms`. The bound on disagreement derives from it, see [`Settings::bound_ms`].
    pub read_timeout_ms: Ms,
    /// Lease duration: how long a confirmation is valid. At least `2 * period_ms`.
    pub lease_ms: Ms,
    /// Time from the announcement of a version to its activation. More than `lease_ms + period_ms`.
    pub announce_ms: Ms,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { period_ms: 250, read_timeout_ms: 250, lease_ms: 1000, announce_ms: 1500 }
    }
}

impl Settings {
    /// Checks the relations that the bound on disagreement depends on; the error names the field.
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

    /// Longest time that two gateways can be active on different versions, as proved in the design: one read's round
    /// trip (`read_timeout_ms`), plus a second one if the store lost the register during an announcement and a gateway
    /// restored it with the remaining announcement time.
    pub fn bound_ms(&self) -> Ms {
        2 * self.read_timeout_ms
    }
}

/// Mode of a register at one gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// No confirmed read since the start: restricted as in safe mode, with no version known to be current.
    #[default]
    Starting,
    /// [`EffectiveState::active`] applies and was confirmed within the lease.
    Active,
    /// The lease expired, for example because the content was unavailable: the strictest combination of the known
    /// versions applies.
    Safe,
}

/// Mode and versions that a gateway's decisions are based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EffectiveState {
    /// The current mode.
    pub mode: Mode,
    /// The version in force while active; in safe mode the last one in force.
    pub active: Option<Version>,
    /// A version announced and not yet active; in safe mode the stricter of it and `active` applies.
    pub pending: Option<Version>,
}

/// A register's state as of its last event, from which another thread computes the effective state at a later time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegisterSnapshot {
    /// The mode as of the last event.
    pub mode: Mode,
    /// The version in force as of the last event.
    pub active: Option<Version>,
    /// An announced version and its activation time.
    pub pending: Option<(Version, Ms)>,
    /// Last millisecond at which the lease is valid.
    pub lease_expires_at: Option<Ms>,
    /// Time and short reason of the last change of mode or version.
    pub last_change: (Ms, &'static str),
    /// Time at which a lease last expired. A process resumed after a stop may be confirmed again before its event loop
    /// sees the expiry; the loop made no decisions in between, and the gateway counts as safe from this time on.
    pub lease_expired_at: Option<Ms>,
}

impl RegisterSnapshot {
    /// Returns the effective state at `now` by the same rules as [`Register::tick`]: a version past its activation time
    /// is active, and an expired lease means safe mode, even if the register's own thread is delayed.
    pub fn effective_at(&self, now: Ms) -> EffectiveState {
        self.effective_with_change_at(now).0
    }

    /// Returns the effective state at `now` with the time and reason of its last change. The time is that at which the
    /// announcement or lease expired, however late the caller looks.
    pub fn effective_with_change_at(&self, now: Ms) -> (EffectiveState, (Ms, &'static str)) {
        let mut effective = EffectiveState {
            mode: self.mode,
            active: self.active,
            pending: self.pending.map(|(version, _)| version),
        };
        let mut last_change = self.last_change;
        if let Some((version, at)) = self.pending.filter(|(_, at)| now >= *at) {
            (effective.active, effective.pending, last_change) = (Some(version), None, (at, ACTIVATED));
        }
        if let (Mode::Active, Some(until)) = (self.mode, self.lease_expires_at.filter(|until| now > *until)) {
            (effective.mode, last_change) = (Mode::Safe, (until + 1, LEASE_EXPIRED));
        }
        (effective, last_change)
    }
}

/// Logged reason for the activation of a version: its announcement expired.
const ACTIVATED: &str = "announcement ran out";
/// Logged reason for entering safe mode.
const LEASE_EXPIRED: &str = "lease ran out";

/// Result of one read of the register: `GET agreement:K`, `PTTL agreement:K:settle` and, for a version without local
/// content, the content, fetched and checked against its digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadReply {
    /// The pointer, or `None` if the key is missing.
    pub pointer: Option<Version>,
    /// Remaining announcement time in milliseconds, or `None` if the announcement key is absent (`PTTL` below 0).
    pub settle_ms: Option<Ms>,
    /// Whether the content of `pointer` is available locally and matches its digest.
    pub content_available: bool,
}

/// Store operation that the caller is to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the register (see [`ReadReply`]) and report to [`Register::read`] or [`Register::read_failed`] with `sent`.
    Read {
        /// Time at which the read was requested; passed back with its reply.
        sent: Ms,
    },
    /// In one transaction, write the content under its epoch, compare-and-set the pointer from `expected` to `version`
    /// and set the announcement with `PX announce_ms`. Fails while an announcement exists. Report the outcome to
    /// [`Register::proposal_finished`].
    Propose {
        /// The new version.
        version: Version,
        /// The version that the pointer must still hold; `None` if it must be absent.
        expected: Option<Version>,
    },
    /// The pointer is missing or older than a version seen. If it is still absent or lower, set it to `version` and set
    /// the announcement with `PX settle_ms`, so that no gateway becomes active on the restored version before the
    /// announcement expires.
    Restore {
        /// The highest version this gateway has seen.
        version: Version,
        /// Remaining announcement time if the version is still pending at this gateway, else `announce_ms`.
        settle_ms: Ms,
    },
}

/// Outcome of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// The pointer holds the proposed version and its announcement is set.
    Won,
    /// The pointer had changed, an announcement existed or the store did not answer: read again before retrying.
    Lost,
}

/// State machine of one register at one gateway.
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
    /// Propose `desired` only if the register has no version.
    initial_only: bool,
    in_flight_proposal: Option<Version>,
    restore_needed: bool,
    /// Whether the last read found no pointer within the read timeout.
    pointer_absent: bool,
    /// Whether a read was answered since the outcome of the last proposal.
    read_since_proposal: bool,
    last_change: (Ms, &'static str),
    lease_expired_at: Option<Ms>,
}

impl Register {
    /// Creates a register for a process that started at `now`; the mode is starting until the first confirmed read.
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

    /// Returns the effective state at `now`. Every decision must be preceded by this call or [`Register::tick`] in the
    /// same round; otherwise it would use a version whose lease expired while the process was stopped.
    pub fn effective_state(&mut self, now: Ms) -> EffectiveState {
        self.tick(now);
        EffectiveState {
            mode: self.mode,
            active: self.active,
            pending: self.pending.map(|(version, _)| version),
        }
    }

    /// Returns a snapshot from which another thread computes the effective state at any later time; see
    /// [`RegisterSnapshot::effective_at`].
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

    /// Returns the highest version seen at this gateway, active or not.
    pub fn highest(&self) -> Option<Version> {
        self.highest
    }

    /// Advances time to `now`: activates a version whose announcement has expired, then enters safe mode if the lease
    /// has expired.
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
        let lease_end = self.confirmed_at.map(|at| at + self.settings.lease_ms + 1).filter(|end| now >= *end);
        if let (Mode::Active, Some(end)) = (self.mode, lease_end) {
            self.mode = Mode::Safe;
            self.last_change = (end, LEASE_EXPIRED);
            self.lease_expired_at = Some(end);
        }
    }

    /// Returns the earliest time at which [`Register::tick`] or the next periodic read is due.
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

    /// Returns the next store operation, if any. Only one read is outstanding; an unanswered read is abandoned after
    /// the longer of `read_timeout_ms` and `period_ms`, and the next one is sent.
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
                // A full announcement for a version already pending elsewhere would postpone activation at the gateways
                // that read it again, so only the remaining time is restored.
                let remaining_ms =
                    self.pending.filter(|(pending, _)| *pending == version).map(|(_, at)| at - now.min(at));
                let settle_ms = remaining_ms.unwrap_or(self.settings.announce_ms).max(1);
                return Some(Action::Restore { version, settle_ms });
            }
        }
        if self.initial_only && self.highest.is_some() {
            // Startup content is not a change. Proposed over an existing version, it would revert the whole fleet to
            // the configuration file of the gateway that restarted.
            (self.desired, self.initial_only) = (None, false);
        }
        if let Some(digest) = self.desired {
            // First version of the fleet: none was seen at this gateway and the store holds none. The compare-and-set
            // against an absent pointer lets exactly one proposal win.
            let first = self.pointer_absent && self.highest.is_none();
            // Require a read between two proposals. Otherwise a lost proposal would be retried at once and lose again,
            // and no read would ever be sent.
            let may_propose = self.in_flight_proposal.is_none() && self.read_since_proposal;
            if may_propose && (first || self.mode == Mode::Active && self.pending.is_none()) {
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

    /// Requests that the content with `digest`, which this gateway has loaded completely, become the next version.
    /// A later request replaces one that is not yet announced, so the file loaded last takes effect.
    pub fn propose(&mut self, digest: u64) {
        (self.desired, self.initial_only) = (Some(digest), false);
    }

    /// Requests that the startup content with `digest` become the first version if the register has none.
    pub fn propose_initial(&mut self, digest: u64) {
        if self.desired.is_none() && self.highest.is_none() {
            (self.desired, self.initial_only) = (Some(digest), true);
        }
    }

    /// Cancels the requested change; a proposal already sent is not revoked.
    pub fn withdraw(&mut self) {
        self.desired = None;
    }

    /// Records the outcome of the outstanding proposal.
    pub fn proposal_finished(&mut self, now: Ms, outcome: ProposalOutcome) {
        let proposed = self.in_flight_proposal.take();
        self.read_since_proposal = false;
        if let (ProposalOutcome::Won, Some(version)) = (outcome, proposed) {
            self.desired = None;
            // Record the version at once. If it were known only from a later read and the store lost it before then,
            // the older version would be restored in its place. The announcement expires at `now + announce_ms` at the
            // latest.
            self.highest = Some(version);
            if self.mode == Mode::Active {
                self.pending = Some((version, now + self.settings.announce_ms));
            }
        }
    }

    /// Records that the read sent at `sent` failed or was not answered.
    pub fn read_failed(&mut self, _now: Ms, sent: Ms) {
        if self.read_sent_at == Some(sent) {
            self.read_sent_at = None;
        }
    }

    /// Processes the reply, received at `now`, to the read sent at `sent`.
    pub fn read(&mut self, now: Ms, sent: Ms, reply: ReadReply) {
        if self.read_sent_at == Some(sent) {
            self.read_sent_at = None;
        }
        self.read_since_proposal = true;
        self.tick(now);
        self.pointer_absent =
            reply.pointer.is_none() && now.saturating_sub(sent) <= self.settings.read_timeout_ms;
        let Some(pointer) = reply.pointer else {
            // The key is missing: the store lost it or restarted empty. Restore the highest version seen.
            self.restore_needed = self.highest.is_some();
            return;
        };
        if let Some(highest) = self.highest {
            if pointer.epoch < highest.epoch || (pointer.epoch == highest.epoch && pointer != highest) {
                // Accepting an older version again could reinstate more permissive rules. Older content may return only
                // under a new epoch.
                self.restore_needed = true;
                return;
            }
        }
        self.highest = Some(pointer);
        if now.saturating_sub(sent) > self.settings.read_timeout_ms || !reply.content_available {
            return;
        }
        match reply.settle_ms {
            Some(remaining_ms) => {
                // A gateway that became active during an announcement could adopt the old version, or a stale one
                // restored after a loss, while others apply the new one. It waits until the announcement expires.
                if self.mode != Mode::Active {
                    return;
                }
                // A version restored after a loss has a new announcement. Keep the earlier activation time if one is
                // known; otherwise gateways that read again would activate later than those that did not.
                let known_activation =
                    self.pending.filter(|(version, _)| *version == pointer).map(|(_, at)| at);
                let at = known_activation.map_or(now + remaining_ms, |at| at.min(now + remaining_ms));
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
