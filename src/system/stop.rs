//! SIGTERM and SIGINT end a process; SIGHUP does not.

use tokio::signal::unix::{signal, Signal, SignalKind};

/// Signals that a process of the system handles.
pub struct Stop {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Stop {
    /// Takes the signals over.
    pub fn new() -> std::io::Result<Stop> {
        Ok(Stop {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Completes when the process is told to stop. A hangup is noted and nothing ends.
    pub async fn requested(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => log::info!("hangup: the settings file may have changed"),
            }
        }
    }
}
