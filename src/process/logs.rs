//! Structured logs on `tracing`: text or JSON lines, a filter, and a writer that never blocks the loop.

use std::fmt;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tracing::{Event, Subscriber};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::format::{Format, Full, Json, Writer};
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::{reload, EnvFilter, Registry};

/// Lines that wait for a slow reader of the log; more are dropped and counted. At some 200 bytes a line this
/// is a quarter of a MiB, well inside the least memory that a gateway gets.
const WAITING_LINES: usize = 1024;

/// The form of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Form {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// What an operator says of the logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wanted {
    /// The form.
    pub form: Form,
    /// Directives as `tracing` reads them: `info`, `switchhill=debug,warn`.
    pub filter: String,
}

impl Default for Wanted {
    fn default() -> Self {
        Self { form: Form::Text, filter: "info".into() }
    }
}

/// Checks a filter.
///
/// # Errors
/// What is wrong with it.
pub fn check_filter(filter: &str) -> Result<(), String> {
    EnvFilter::builder().parse(filter).map(drop).map_err(|e| e.to_string())
}

/// Either form, as the flag says at the time of each line: a reload changes the form of a running log.
struct Either {
    json: Arc<AtomicBool>,
    text: Format<Full, Millis>,
    object: Format<Json, Millis>,
}

/// Unix time in milliseconds, the unit of every time here.
#[derive(Clone, Copy)]
struct Millis;

impl tracing_subscriber::fmt::time::FormatTime for Millis {
    fn format_time(&self, w: &mut Writer<'_>) -> fmt::Result {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        write!(w, "{}", now.as_millis())
    }
}

impl<S, N> FormatEvent<S, N> for Either
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'w> FormatFields<'w> + 'static,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        if self.json.load(Ordering::Relaxed) {
            self.object.format_event(context, writer, event)
        } else {
            self.text.format_event(context, writer, event)
        }
    }
}

/// The log of a running program. Dropped, it writes what still waits, for a second at the most.
pub struct Logs {
    filter: reload::Handle<EnvFilter, Registry>,
    json: Arc<AtomicBool>,
    dropped: ErrorCounter,
    _writer: WorkerGuard,
}

impl Logs {
    /// Sends this process's log to standard error. A second call changes nothing and gives `None`.
    #[must_use]
    pub fn begin(wanted: &Wanted) -> Option<Self> {
        // Danger: a reader that stops reading fills the pipe, and a blocking write would stop the loop. A
        // thread of its own writes; what it cannot take is dropped and counted.
        let (writer, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(WAITING_LINES)
            .thread_name("log")
            .finish(io::stderr());
        let dropped = writer.error_counter();
        let json = Arc::new(AtomicBool::new(wanted.form == Form::Json));
        let format = Format::default().with_timer(Millis).with_target(false).with_ansi(false);
        let either =
            Either { json: json.clone(), text: format.clone(), object: format.json().flatten_event(true) };
        let filter = EnvFilter::builder().parse_lossy(&wanted.filter);
        let (filter, handle) = reload::Layer::new(filter);
        let lines =
            tracing_subscriber::fmt::layer().with_ansi(false).event_format(either).with_writer(writer);
        tracing::subscriber::set_global_default(Registry::default().with(filter).with(lines)).ok()?;
        Some(Self { filter: handle, json, dropped, _writer: guard })
    }

    /// Takes over a changed form and filter.
    pub fn change(&self, wanted: &Wanted) {
        self.json.store(wanted.form == Form::Json, Ordering::Relaxed);
        // The handle outlives the subscriber only at the process's end.
        let _ = self.filter.reload(EnvFilter::builder().parse_lossy(&wanted.filter));
    }

    /// Lines dropped because the log's reader was too slow.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.dropped_lines() as u64
    }
}
