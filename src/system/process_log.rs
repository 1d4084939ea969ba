//! What the log says of a process as a whole: its start, its panics and its end. The last line alone names role, exit code and
//! cause.

use super::command::Role;
use crate::site_settings::SiteSettings;
use std::any::Any;
use std::backtrace::Backtrace;
use std::panic::PanicHookInfo;
use std::process::ExitCode;

/// Exit code of a process whose main task has panicked: the one that the runtime of the language uses.
const PANIC_EXIT_CODE: u8 = 101;

/// What came of the main task: its result, or its panic.
pub(super) type MainResult = Result<anyhow::Result<()>, Box<dyn Any + Send>>;

/// Logs each panic of the process with its place, also one in a task that ends nothing else. A backtrace is added where
/// `RUST_BACKTRACE` asks for it.
pub(super) fn log_panics(role: Role) {
    std::panic::set_hook(Box::new(move |panic| {
        log::error!("{role}: {}", panic_line(panic));
        let backtrace = Backtrace::capture();
        if backtrace.status() == std::backtrace::BacktraceStatus::Captured {
            log::error!("{backtrace}");
        }
    }));
}

fn panic_line(panic: &PanicHookInfo<'_>) -> String {
    let thread = std::thread::current();
    let place = panic.location().map_or_else(|| "an unknown place".to_owned(), ToString::to_string);
    let message = panic_message(panic.payload());
    format!("panic in thread `{}` at {place}: {message}", thread.name().unwrap_or("unnamed"))
}

fn panic_message(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| payload.downcast_ref::<&str>().copied()).unwrap_or("no message")
}

/// Logs what the process runs as.
pub(super) fn log_start(role: Role, settings: &SiteSettings) {
    log::info!(
        "{role} {} started on {}: {} MB of memory, {} descriptors",
        env!("CARGO_PKG_VERSION"),
        settings.node_name,
        settings.limits.memory_mb,
        settings.limits.max_fds
    );
}

/// Logs how the process ends, in one line, and returns its exit code.
pub(super) fn log_end(role: Role, result: &MainResult) -> ExitCode {
    match result {
        Ok(Ok(())) => {
            log::info!("{role} ended with 0: it was told to");
            ExitCode::SUCCESS
        }
        Ok(Err(error)) => {
            log::error!("{role} ended with 1: {}", one_line(&format!("{error:#}")));
            ExitCode::FAILURE
        }
        Err(_) => {
            log::error!("{role} ended with {PANIC_EXIT_CODE}: a panic, which is logged above");
            ExitCode::from(PANIC_EXIT_CODE)
        }
    }
}

fn one_line(text: &str) -> String {
    let lines: Vec<&str> = text.lines().map(str::trim).filter(|line| !line.is_empty()).collect();
    lines.join("; ")
}
