//! The workers of a run: as many as there were, whatever happens to one of them.

use super::journal::Journal;
use super::record::{Target, TroubleKind};
use crate::local_system::configuration::USUAL_MODEL;
use crate::local_system::{CoreAddresses, RunBook, Site, StandInWorker};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A new worker takes the place of one that has gone after this time.
const REPLACED_AFTER: Duration = Duration::from_millis(500);

/// A leaving worker serves on for this long after it was acknowledged.
const SERVES_ON: Duration = Duration::from_millis(2600);

/// A leaving worker waits at the most this long for the end of what it runs.
const LEAVES_WITHIN: Duration = Duration::from_secs(12);

/// Pause between two looks at what a leaving worker runs.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// All workers.
#[derive(Clone)]
pub(super) struct Workers {
    journal: Journal,
    book: RunBook,
    cores: CoreAddresses,
    addresses: Vec<SocketAddr>,
    started: Arc<AtomicU32>,
    alive: Arc<Mutex<Vec<StandInWorker>>>,
}

impl Workers {
    /// No worker yet.
    pub(super) fn none(journal: &Journal, site: &Site, cores: CoreAddresses) -> Workers {
        Workers {
            journal: journal.clone(),
            book: RunBook::opened_at(journal.began()),
            cores,
            addresses: site.worker_addresses(),
            started: Arc::default(),
            alive: Arc::default(),
        }
    }

    fn alive(&self) -> MutexGuard<'_, Vec<StandInWorker>> {
        self.alive.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The records of all runs.
    pub(super) fn book(&self) -> &RunBook {
        &self.book
    }

    /// Starts one worker more.
    pub(super) async fn start_one(&self) -> anyhow::Result<()> {
        let number = self.started.fetch_add(1, Ordering::SeqCst);
        let address = self.addresses[number as usize % self.addresses.len()];
        let id = format!("worker-{}", number + 1);
        let models = [USUAL_MODEL];
        let started =
            StandInWorker::start_recorded(&id, address, &models, self.cores.clone(), self.book.clone())
                .await?;
        self.alive().push(started);
        Ok(())
    }

    /// Plays a trouble of one worker to its end.
    pub(super) async fn trouble(
        &self,
        pick: usize,
        kind: TroubleKind,
        length: Duration,
    ) -> anyhow::Result<()> {
        match kind {
            TroubleKind::Crash => self.crash(pick).await,
            TroubleKind::Drain => self.leave(pick).await,
            _ => self.disturb(pick, kind, length).await,
        }
    }

    fn take(&self, pick: usize) -> Option<StandInWorker> {
        let mut alive = self.alive();
        let index = pick.checked_rem(alive.len())?;
        Some(alive.remove(index))
    }

    async fn disturb(&self, pick: usize, kind: TroubleKind, length: Duration) -> anyhow::Result<()> {
        let number = {
            let alive = self.alive();
            let Some(worker) = pick.checked_rem(alive.len()).map(|index| &alive[index]) else {
                return Ok(());
            };
            let number = self.journal.trouble(Target::Worker(worker.id().to_owned()), kind);
            match kind {
                TroubleKind::LoseAnswers => worker.lose_answers_for(length),
                TroubleKind::Refuse => worker.refuse_for(length),
                _ => worker.cut_connections(),
            }
            number
        };
        tokio::time::sleep(length).await;
        self.journal.trouble_ends(number);
        Ok(())
    }

    async fn crash(&self, pick: usize) -> anyhow::Result<()> {
        let Some(worker) = self.take(pick) else { return Ok(()) };
        self.journal.trouble_of_a_moment(Target::Worker(worker.id().to_owned()), TroubleKind::Crash);
        worker.crash().await;
        tokio::time::sleep(REPLACED_AFTER).await;
        self.start_one().await
    }

    async fn leave(&self, pick: usize) -> anyhow::Result<()> {
        let Some(worker) = self.take(pick) else { return Ok(()) };
        let target = Target::Worker(worker.id().to_owned());
        let number = self.journal.trouble(target.clone(), TroubleKind::Drain);
        self.start_one().await?;
        // Without an acknowledgement it leaves all the same.
        let _ = worker.say_draining().await;
        tokio::time::sleep(SERVES_ON).await;
        let began = Instant::now();
        while worker.running() > 0 && began.elapsed() < LEAVES_WITHIN {
            tokio::time::sleep(LOOK_EVERY).await;
        }
        worker.deregister().await;
        self.journal.trouble_of_a_moment(target, TroubleKind::WorkerEnd);
        worker.crash().await;
        self.journal.trouble_ends(number);
        Ok(())
    }
}
