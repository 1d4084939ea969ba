//! SIGTERM and SIGINT end a process; SIGHUP does not.

use tokio::signal::unix::{signal, Signal, SignalKind};

/// Signals that a process of the system handles.
pub struct Stop {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Stop {
    /// Takes the signals over. Those that come from now on are kept until they are asked for.
    ///
    /// # Errors
    /// The system refuses a handler.
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

    /// Completes when the process is told to stop. Hangups are for others to handle.
    pub async fn told_to_end(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
