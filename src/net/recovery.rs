//! The loop's part of a return: the snapshot, what of it is used, the phases, discovery's backoff.

use super::Gateway;
use crate::core::state::State;
use crate::interface::{ListKind, Millis, RefusalReason};
use crate::process::config::{Config, List};
use crate::process::snapshot::{self, Stamp, Unusable};
use crate::settings::shared_settings;
use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::thread::{self, JoinHandle};
use switchhill_agreement::digest;
use switchhill_recovery::{Backoff, MaxAges, Observation, Phase, RecoveryProgress, Reuse, StatePart};

/// How often the state is written.
const EVERY: Millis = 2000.0;
/// Discovery is asked again after a random part of a ceiling that doubles from the first to the longest.
const ASKED_AGAIN: (u64, u64) = (100, 1000);

/// What a gateway needs to come back; its one field in the loop.
pub(super) struct Returning {
    name: String,
    path: Option<PathBuf>,
    writer: Option<(SyncSender<Vec<u8>>, JoinHandle<()>)>,
    written: Millis,
    back: RecoveryProgress,
    pressed: Option<Millis>,
    pub(super) discovery: Backoff,
    /// What came of the snapshot at the start: its age, or none.
    taken: Option<u64>,
}

impl Returning {
    /// The return of a gateway that starts at `now`, where the operator's file has a `recovery`.
    pub(super) fn begin(config: &Config, now: Millis) -> Option<Self> {
        let wanted = config.operator.recovery.as_ref()?;
        let writer = wanted.snapshot.clone().and_then(|path| {
            // One waits while one is written: the state of now replaces nothing older than that.
            let (tell, told) = sync_channel::<Vec<u8>>(1);
            let run = move || {
                let mut failing = false;
                for bytes in told {
                    let done = snapshot::write(&path, &bytes);
                    match (&done, failing) {
                        (Err(why), false) => {
                            tracing::warn!(path = %path.display(), "no snapshot is written: {why}")
                        }
                        (Ok(()), true) => {
                            tracing::info!(path = %path.display(), "snapshots are written again")
                        }
                        _ => {}
                    }
                    failing = done.is_err();
                }
            };
            let spawned = thread::Builder::new().name("snapshot".into()).spawn(run);
            spawned.map(|thread| (tell, thread)).ok()
        });
        Some(Self {
            name: config.name.clone(),
            path: wanted.snapshot.clone(),
            writer,
            written: now,
            back: RecoveryProgress::new(now as u64),
            pressed: None,
            discovery: Backoff::new(ASKED_AGAIN.0, ASKED_AGAIN.1, config.seed),
            taken: None,
        })
    }

    /// Something was turned away.
    pub(super) fn turned_away(&mut self, now: Millis, reason: RefusalReason) {
        if matches!(
            reason,
            RefusalReason::Price | RefusalReason::NoBackend | RefusalReason::AttemptsExhausted
        ) {
            self.pressed = Some(now);
        }
    }

    /// The figures.
    pub(super) fn figures(&self) -> String {
        let phase = self.back.phase();
        format!(
            "switchhill_recovery_phase {}\nswitchhill_recovery_full_service {}\nswitchhill_recovery_snapshot_taken {}\n",
            phase as u8,
            u8::from(phase == Phase::FullService),
            u8::from(self.taken.is_some()),
        )
    }
}

impl Gateway {
    /// Goes on from this gateway's own snapshot, as far as its age and the settings allow.
    pub(super) fn take_snapshot(&mut self) {
        let Some((path, name)) =
            self.returning.as_ref().and_then(|r| Some((r.path.clone()?, r.name.clone())))
        else {
            return;
        };
        let (stamp, state) = match snapshot::read(&path, &name) {
            Ok(whole) => whole,
            Err(Unusable::Missing) => return tracing::info!("a plain start: there is no snapshot"),
            Err(why) => {
                return tracing::warn!(path = %path.display(), "a plain start, the snapshot is not used: {why}")
            }
        };
        // A clock that was set back makes no state of the future fresh.
        let age = (self.now - stamp.saved_ms as f64).abs() as u64;
        let same = self.settings_digest() == stamp.settings;
        let used = self.use_state(state, age, same);
        tracing::info!(age_ms = age, same_settings = same, used = %used, "a warm start from the snapshot");
        if let Some(returning) = &mut self.returning {
            returning.taken = Some(age);
        }
    }

    fn settings_digest(&self) -> u64 {
        shared_settings(&self.text).map_or(0, |shared| digest(shared.as_bytes()))
    }

    /// Takes of a state what is good at its age; says what.
    fn use_state(&mut self, mut state: State, age: u64, same: bool) -> String {
        let ages = MaxAges::default();
        let how = |part| ages.reuse(part, age, same);
        if how(StatePart::List) != Reuse::Not && !self.listed && !state.list.is_empty() {
            let members = state.list.iter().map(super::handover::member).collect();
            self.knows_list(state.revision);
            let list = List { revision: state.revision.unwrap_or(0), complete: true, members };
            self.take_list(list, ListKind::Saved);
            self.settle();
        }
        if how(StatePart::Cordons) == Reuse::Not {
            state.drop_cordons();
        }
        state.keep_learnt(how(StatePart::Slices), how(StatePart::Prices), how(StatePart::Evidence));
        let names = self.told.class_names();
        self.core.go_on(state, &names, &self.told.plans);
        let parts =
            [StatePart::Cordons, StatePart::List, StatePart::Slices, StatePart::Prices, StatePart::Evidence];
        let said = parts.map(|part| format!("{part:?}: {:?}", how(part)));
        said.join(", ")
    }

    /// Looks how far the return has come, and writes the state when it is time.
    pub(super) fn recovery_round(&mut self) {
        let Some(returning) = &self.returning else { return };
        // Each phase is reached once: after the last one nothing is looked at any more, hosts least of all.
        if returning.back.phase() != Phase::FullService {
            let seen = Observation {
                store_reached: self.account.as_ref().is_none_or(super::store::Account::is_reached),
                versions_agreed: self.knows_rules(),
                hosts_warm: self.knows_enough() && self.core.none_is_cold(),
                last_refused_at: returning.pressed.map(|at| at as u64),
            };
            self.observe_return(seen);
        }
        let (now, decides) = (self.now, self.beside.decides());
        let Some(returning) = &mut self.returning else { return };
        if decides && returning.writer.is_some() && now - returning.written >= EVERY {
            returning.written = now;
            self.write_snapshot();
        }
    }

    fn observe_return(&mut self, seen: Observation) {
        let now = self.now as u64;
        let Some(returning) = &mut self.returning else { return };
        for (phase, after_ms) in returning.back.observe(now, seen) {
            tracing::info!(phase = %phase, after_ms, unix_ms = now, "return");
        }
    }

    /// Hands the state to the thread that writes it; while that is still at the last one, this one is left out.
    fn write_snapshot(&self) {
        let Some(returning) = &self.returning else { return };
        let Some((writer, _)) = &returning.writer else { return };
        let state = self.state();
        let stamp = Stamp {
            name: returning.name.clone(),
            saved_ms: self.now as u64,
            settings: self.settings_digest(),
        };
        if let Some(bytes) = snapshot::bytes(&stamp, &state) {
            let _ = writer.try_send(bytes);
        }
    }

    /// At the end: the state as it is last, on the disk.
    pub(super) fn last_snapshot(&mut self) {
        if self.beside.left().is_none() {
            self.write_snapshot();
        }
        if let Some((writer, thread)) = self.returning.as_mut().and_then(|returning| returning.writer.take())
        {
            drop(writer);
            let _ = thread.join();
        }
    }
}
