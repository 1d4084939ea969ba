//! Signals as bytes on a socket that the loop watches.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;

/// What operators ask for by signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
    /// SIGTERM or SIGINT: finish what was taken and exit.
    Stop,
    /// SIGUSR1: print the counters.
    Counters,
    /// SIGHUP: read the configuration again.
    Reload,
}

/// The reading ends, one for each kind of signal.
pub struct Signals {
    /// Becomes readable on SIGTERM or SIGINT.
    pub stop: UnixStream,
    /// Becomes readable on SIGUSR1.
    pub counters: UnixStream,
    /// Becomes readable on SIGHUP.
    pub reload: UnixStream,
}

impl Signals {
    /// Takes over the signals of this process.
    ///
    /// # Errors
    /// When the system refuses.
    pub fn install() -> io::Result<Self> {
        let pipe = |signals: &[i32]| -> io::Result<UnixStream> {
            let (read, write) = UnixStream::pair()?;
            read.set_nonblocking(true)?;
            for signal in signals {
                signal_hook::low_level::pipe::register(*signal, write.try_clone()?)?;
            }
            Ok(read)
        };
        Ok(Self { stop: pipe(&[SIGTERM, SIGINT])?, counters: pipe(&[SIGUSR1])?, reload: pipe(&[SIGHUP])? })
    }
}

/// Empties a reading end.
pub fn drain(mut from: &UnixStream) {
    let mut bytes = [0; 16];
    while matches!(from.read(&mut bytes), Ok(n) if n > 0) {}
}
