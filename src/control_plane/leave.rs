//! How long a process that was told to end may still take.

#[cfg(test)]
mod tests;

use crate::site_settings::SiteSettings;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Time before SIGKILL at which the process ends even if the electorate still needs its replica.
const BEFORE_KILL: Duration = Duration::from_millis(1_000);

/// The end of the process, from SIGTERM on.
#[derive(Debug)]
pub(super) struct Leave {
    began: Instant,
    within: Duration,
    /// The time before SIGKILL that the settings file gives now, until it is known.
    newest_grace: oneshot::Receiver<Duration>,
}

impl Leave {
    /// The process was told to end. The settings file is read again: the time before SIGKILL may have become shorter.
    pub(super) fn begin(settings: &SiteSettings) -> Leave {
        Leave {
            began: Instant::now(),
            within: time_to_leave(settings.grace()),
            newest_grace: reread_grace(settings.clone()),
        }
    }

    /// Whether the time is over.
    pub(super) fn is_over(&mut self) -> bool {
        if let Ok(grace) = self.newest_grace.try_recv() {
            self.within = self.within.min(time_to_leave(grace));
        }
        self.began + self.within <= Instant::now()
    }
}

fn time_to_leave(grace: Duration) -> Duration {
    grace.saturating_sub(BEFORE_KILL)
}

/// Reads the settings file on a thread of its own: the process goes on while the file cannot be read.
fn reread_grace(settings: SiteSettings) -> oneshot::Receiver<Duration> {
    let (tell, told) = oneshot::channel();
    std::thread::spawn(move || match settings.reread() {
        // Nobody listens any more where the process has left.
        Ok(newest) => drop(tell.send(newest.grace())),
        Err(error) => log::warn!("settings are kept: {error}"),
    });
    told
}
