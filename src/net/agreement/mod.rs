//! Agreement with the other gateways over the store: a thread with a blocking link, and the one handle that the loop keeps.
//!
//! The thread ([`keeper`]) carries out what the `Register`s (settings, hosts) and `Members` ask of the store ([`wire`] over
//! [`link`]). The loop reads what it publishes ([`view`]) and works out, on its own clock, what it acts on. What the loop
//! asks lies on a [`desk`] of one slot each. The rig's tests use the same [`Wire`].

mod desk;
mod keeper;
mod link;
mod view;
mod wire;

pub use keeper::drive;
pub use wire::{Wire, PREFIX};

use desk::Desk;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Instant;
use switchhill_agreement::hosts::{CordonRequests, Listing, RevisionTracker, Stamp};
use switchhill_agreement::{EffectiveState, MembershipView, Mode, Ms, RegisterSnapshot, Settings, Version};
use view::View;

/// A lock's contents, also after a panic elsewhere while it was held: what is inside is whole values only.
fn held<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Agreement at one gateway: its one field in the loop.
pub struct Agreement {
    desk: Arc<Desk>,
    told: Arc<Mutex<Arc<View>>>,
    start: Instant,
    /// What was last logged, by register, and the moment that it told.
    logged: [(Mode, Option<Version>, Ms); 2],
    settings: Settings,
    /// Unix time in milliseconds at `start`: the events' moments are told in it.
    unix_start: Ms,
    /// What the loop has taken of the versions.
    pub(in crate::net) taken: crate::net::agreed::Taken,
    /// Orders discovery's lists against the agreed one.
    pub(in crate::net) stamper: RevisionTracker,
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
        let desk = Arc::new(Desk::new(first));
        let told = Arc::new(Mutex::new(Arc::new(View::default())));
        let start = Instant::now();
        let (prefix, id) = (at.prefix.clone(), at.id.clone());
        let (store, asked, shared) = (at.store, desk.clone(), told.clone());
        let spawned = thread::Builder::new()
            .name("agreement".into())
            .spawn(move || keeper::keep((store, &prefix, &id), settings, own, start, &asked, &shared));
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
            taken: crate::net::agreed::Taken::default(),
            stamper: RevisionTracker::default(),
        }
    }

    /// Milliseconds on the clock that the registers keep: monotonic, going on while the process is stopped.
    pub(in crate::net) fn now(&self) -> Ms {
        self.start.elapsed().as_millis() as Ms
    }

    /// What the thread last published.
    pub(in crate::net) fn view(&self) -> Arc<View> {
        held(&self.told).clone()
    }

    /// How long until an announcement or a lease ends, so that the loop looks in time.
    pub(in crate::net) fn due_in(&self) -> Option<Ms> {
        let (view, now) = (self.view(), self.now());
        let ends = |state: &RegisterSnapshot| {
            [state.pending.map(|(_, at)| at), state.lease_expires_at.map(|until| until + 1)]
        };
        let both = [ends(&view.settings.state), ends(&view.hosts.state)];
        both.into_iter().flatten().flatten().filter(|at| *at > now).min().map(|at| at - now)
    }

    /// Offers settings as the next version. A later offer replaces one that was not announced yet.
    pub(in crate::net) fn offer(&self, shared: Vec<u8>) {
        self.desk.offer(shared);
    }

    /// Tells which hosts discovery lists here.
    pub(in crate::net) fn list(&self, listing: Listing) {
        self.desk.list(listing);
    }

    /// An operator wants a host left out or put back, at every gateway. False where too many wishes wait.
    pub(in crate::net) fn wish(&self, host: &str, out: bool) -> bool {
        self.desk.wish(host, out)
    }

    /// The wishes that no version fulfils yet.
    pub(in crate::net) fn wishes(&self) -> CordonRequests {
        self.desk.wishes()
    }

    /// This gateway stops: the others are to know at once.
    pub(in crate::net) fn leave(&self) {
        self.desk.leave();
    }

    /// The stamp of the newest list that this gateway acts on by agreement.
    pub(in crate::net) fn agreed_stamp(&self) -> Option<Stamp> {
        let view = self.view();
        let active = view.hosts.state.effective_at(self.now()).active;
        view.hosts.content(active).map(|hosts| hosts.stamp)
    }

    /// How many gateways share the quotas and this one's number among them, given what the configuration says. While
    /// alone, and at first, never under the configured number: the looser share is taken only on evidence.
    pub(in crate::net) fn told_number(&self, configured: (u32, u32)) -> (u32, u32) {
        let view = self.view();
        let told = view.members.unwrap_or(MembershipView::ISOLATED);
        if told.isolated
            || self.now() < 2 * self.settings.lease_ms
            || self.acting(&view)[0].0.mode == Mode::Starting
        {
            return (told.gateways.max(configured.0), configured.1);
        }
        (told.gateways, told.ordinal)
    }

    /// What this gateway acts on by each register, and when and why that last changed.
    pub(in crate::net) fn acting(&self, view: &View) -> [(EffectiveState, (Ms, &'static str)); 2] {
        let now = self.now();
        let mut settings = view.settings.state.effective_with_change_at(now);
        // Danger: a version agreed that is not the one acted on here (it could not be taken) would be claimed while
        // other rules are kept: this gateway counts as safe.
        if settings.0.mode == Mode::Active && settings.0.active != self.taken.settings {
            (settings.0.mode, settings.1 .1) = (Mode::Safe, "the agreed version cannot be taken here");
        }
        [settings, view.hosts.state.effective_with_change_at(now)]
    }

    /// Logs one JSON event for each register whose mode or version changed. The event's `unix_ms` is the moment of
    /// the change itself: every round looks before it decides anything, so nothing was decided by the old state
    /// after it, and windows measured from the logs of several processes are true.
    pub(in crate::net) fn log_changes(&mut self) {
        let view = self.view();
        for (n, (acting, (at, why))) in self.acting(&view).into_iter().enumerate() {
            let (mode, active, before) = self.logged[n];
            if (acting.mode, acting.active) == (mode, active) {
                continue;
            }
            // What is told later happened later: a renewal may come to the loop after it took the lease for run out.
            let at = at.max(before);
            self.logged[n] = (acting.mode, acting.active, at);
            let lapsed = [&view.settings.state, &view.hosts.state][n].lease_expired_at;
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
    pub(in crate::net) fn versions(&self, number: (u32, u32)) -> String {
        let view = self.view();
        let told = view.members.unwrap_or(MembershipView::ISOLATED);
        let mut text = String::new();
        for (name, (acting, (at, why))) in REGISTERS.iter().zip(self.acting(&view)) {
            let version =
                |version: Option<Version>| version.map_or("none".into(), |version| version.to_string());
            let since = self.now().saturating_sub(at);
            let (mode, active, pending) = (acting.mode, version(acting.active), version(acting.pending));
            text += &format!("{name} {mode} {active} pending {pending} for {since} ms: {why}\n");
        }
        let (alone, (gateways, ordinal)) = (u8::from(told.isolated), number);
        text + &format!(
            "members {} suspected {} alone {alone} quotas divided by {gateways} own number {ordinal}\n",
            told.gateways, told.suspected
        )
    }

    /// The figures: each register's mode, epoch and digest, and the members counted.
    pub(in crate::net) fn figures(&self, number: (u32, u32), held_out: usize) -> String {
        let view = self.view();
        let mut text = String::new();
        for (name, (acting, _)) in REGISTERS.iter().zip(self.acting(&view)) {
            let (epoch, digest) = acting.active.map_or((0, 0), |version| (version.epoch, version.digest));
            let safe = u8::from(acting.mode != Mode::Active);
            let start = format!("switchhill_agreement_{name}");
            text += &format!("{start}_epoch {epoch}\n{start}_digest {digest}\n{start}_safe {safe}\n");
        }
        let told = view.members.unwrap_or(MembershipView::ISOLATED);
        let figures = [
            ("members", told.gateways),
            ("suspected", told.suspected),
            ("alone", u32::from(told.isolated)),
            ("told_number", number.0),
            ("told_ordinal", number.1),
            ("hosts_held_out", held_out as u32),
        ];
        figures.iter().fold(text, |text, (name, n)| text + &format!("switchhill_agreement_{name} {n}\n"))
    }
}
