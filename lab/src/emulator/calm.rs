//! Which machines are in touch: undisturbed for a time, with a stable core.

use super::host::Host;
use super::site::Bounds;
use std::collections::BTreeMap;

/// What may be in trouble.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// The core as a whole: its machines start, stop and reach each other.
    Core,
    /// More than half of the core.
    Majority,
    /// Links between machines: cut, or losing packets.
    Links,
    /// One machine and its links.
    Machine(Host),
}

#[derive(Debug, Clone, Copy, Default)]
struct Trouble {
    active: u32,
    last: u64,
}

/// Troubles under way and the end of the last ones.
#[derive(Debug)]
pub struct Calm {
    bounds: Bounds,
    troubles: BTreeMap<Subject, Trouble>,
    /// When a machine was last thawed, or a link of it healed.
    eased: BTreeMap<Host, u64>,
}

impl Calm {
    /// No trouble yet.
    pub fn new(bounds: Bounds) -> Calm {
        Calm { bounds, troubles: BTreeMap::new(), eased: BTreeMap::new() }
    }

    /// A trouble begins.
    pub fn begin(&mut self, subject: Subject) {
        self.troubles.entry(subject).or_default().active += 1;
    }

    /// A trouble ends.
    pub fn end(&mut self, now: u64, subject: Subject) {
        let trouble = self.troubles.entry(subject).or_default();
        trouble.active = trouble.active.saturating_sub(1);
        trouble.last = trouble.last.max(now);
    }

    /// A trouble that takes no time.
    pub fn touch(&mut self, now: u64, subject: Subject) {
        let trouble = self.troubles.entry(subject).or_default();
        trouble.last = trouble.last.max(now);
    }

    /// Time in milliseconds without trouble of a subject.
    pub fn calm_for(&self, now: u64, subject: Subject) -> u64 {
        match self.troubles.get(&subject) {
            None => now,
            Some(trouble) if trouble.active > 0 => 0,
            Some(trouble) => now.saturating_sub(trouble.last),
        }
    }

    /// Whether the core is stable.
    pub fn core_is_stable(&self, now: u64) -> bool {
        self.calm_for(now, Subject::Core) >= self.bounds.liveness_ms
    }

    /// Whether a machine is undisturbed, whatever the core does.
    pub fn is_undisturbed(&self, now: u64, host: Host) -> bool {
        self.calm_for(now, Subject::Machine(host)) >= self.bounds.liveness_ms
    }

    /// Whether a machine is in touch.
    pub fn in_touch(&self, now: u64, host: Host) -> bool {
        self.core_is_stable(now) && self.is_undisturbed(now, host)
    }

    /// A machine was thawed or one of its links healed.
    pub fn eased(&mut self, now: u64, host: Host) {
        self.eased.insert(host, now);
    }

    /// Whether a machine was thawed, or one of its links healed, a short time ago.
    pub fn was_eased_lately(&self, now: u64, host: Host) -> bool {
        self.eased.get(&host).is_some_and(|at| now <= at + self.bounds.thaw_ms)
    }
}
