//! How long a process that was told to end may still take.

use crate::site_settings::SiteSettings;
use std::time::Duration;
use tokio::time::Instant;

/// Time before SIGKILL at which the process ends even if the electorate still needs its replica.
const BEFORE_KILL: Duration = Duration::from_millis(1_000);

/// The end of the process, from SIGTERM on.
#[derive(Debug)]
pub(super) struct Leave {
    by: Instant,
}

impl Leave {
    /// The process was told to end.
    pub(super) fn begin(settings: &SiteSettings) -> Leave {
        Leave { by: Instant::now() + settings.grace().saturating_sub(BEFORE_KILL) }
    }

    /// Whether the time is over.
    pub(super) fn is_over(&self) -> bool {
        self.by <= Instant::now()
    }
}
