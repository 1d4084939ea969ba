//! Clients: some keep a connection for as long as it lasts, some open a new one for each request.

use super::connection::{Connection, Tried, Try};
use super::journal::Journal;
use super::platform::Platform;
use super::record::Ending;
use super::request::Draft;
use fastrand::Rng;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One client in so many opens a new connection for each request.
const NEW_CONNECTIONS_ONE_IN: u32 = 3;

/// Milliseconds between two requests of a client.
const THINKS_MS: Range<u64> = 0..250;

/// Milliseconds of the few longer rests, after which a kept connection is taken up again.
const RESTS_MS: Range<u64> = 500..3000;

/// One rest in so many is long.
const RESTS_ONE_IN: u32 = 10;

/// One request in so many is left early.
const LEAVES_ONE_IN: u32 = 25;

/// Milliseconds after which a request is left early.
const LEAVES_AFTER_MS: Range<u64> = 20..2500;

/// Tries after the first.
const RETRIES: u32 = 3;

/// Clients honour `Retry-After` up to this share of the time they have left.
const ADVICE_SHARE: u32 = 3;

/// Rest after a try that failed without advice.
const RETRY_REST: Duration = Duration::from_millis(50);

/// Statuses after which a client does not try again.
const FINAL: [u16; 5] = [400, 401, 404, 413, 431];

/// What all clients share.
#[derive(Clone)]
pub(super) struct Clients {
    pub(super) journal: Journal,
    pub(super) platform: Platform,
    pub(super) stop: Arc<AtomicBool>,
}

/// One client.
struct Client {
    shared: Clients,
    name: String,
    rng: Rng,
    keeps: bool,
    connection: Option<Connection>,
    tries: u32,
}

impl Clients {
    /// Plays one client until all are told to stop.
    pub(super) async fn play(self, number: u32, seed: u64) {
        let mut rng = Rng::with_seed(seed);
        let keeps = !number.is_multiple_of(NEW_CONNECTIONS_ONE_IN);
        let name = format!("{:04x}{number:04x}", rng.u16(..));
        let mut client = Client { shared: self, name, rng, keeps, connection: None, tries: 0 };
        while !client.shared.stop.load(Ordering::SeqCst) {
            let draft = Draft::draw(&mut client.rng);
            client.ask(&draft).await;
            let long = client.rng.u32(..RESTS_ONE_IN) == 0;
            let rest = client.rng.u64(if long { RESTS_MS } else { THINKS_MS });
            tokio::time::sleep(Duration::from_millis(rest)).await;
        }
    }
}

impl Client {
    /// One request with its tries.
    async fn ask(&mut self, draft: &Draft) {
        let until = Instant::now() + draft.deadline;
        let leaves = self.rng.u32(..LEAVES_ONE_IN) == 0;
        let leaves_after = leaves.then(|| Duration::from_millis(self.rng.u64(LEAVES_AFTER_MS)));
        for attempt in 0..=RETRIES {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            // A client that tries again does so on a new connection.
            let kept = self.connection.take().filter(|_| self.keeps && attempt == 0);
            let Some(connection) = self.connect(kept).await else {
                tokio::time::sleep(RETRY_REST).await;
                continue;
            };
            let id = format!("{}{:08x}", self.name, self.tries);
            self.tries += 1;
            let tried = self.try_once(connection, &Try { draft, id, left, leaves_after }).await;
            let (ending, status) = (tried.story.ending, tried.story.status);
            let advice = tried.retry_after;
            self.shared.journal.seen().requests.push(tried.story);
            if !tries_again(draft, ending, status) {
                return;
            }
            let left = until.saturating_duration_since(Instant::now());
            tokio::time::sleep(advice.unwrap_or(RETRY_REST).min(left / ADVICE_SHARE)).await;
        }
    }

    async fn connect(&mut self, kept: Option<Connection>) -> Option<Connection> {
        if let Some(connection) = kept {
            return Some(connection);
        }
        let edge = &self.shared.platform.edges()[self.shared.platform.choose(&mut self.rng)];
        Connection::to(&edge.name, edge.http).await.ok()
    }

    async fn try_once(&mut self, mut connection: Connection, of: &Try<'_>) -> Tried {
        let tried = connection.exchange(&self.shared.journal, of).await;
        self.connection = Some(connection).filter(|_| tried.is_kept);
        tried
    }
}

/// Whether a client tries again: repeatable requests after any failure, others only after a promise or when the
/// request was not read.
fn tries_again(draft: &Draft, ending: Ending, status: Option<u16>) -> bool {
    match ending {
        Ending::Complete | Ending::Left | Ending::Expired | Ending::Silence => false,
        Ending::Refused | Ending::NotSent => true,
        Ending::Failed => draft.class.is_repeatable() && status.is_none_or(|status| !FINAL.contains(&status)),
        Ending::Cut | Ending::NoAnswer => draft.class.is_repeatable(),
    }
}
