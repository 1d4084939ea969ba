//! What the system tells of a process, and signals to it.

use std::process::Command;

/// The memory that a process holds, in KiB.
pub fn resident_kb(process: u32) -> Option<u64> {
    status_kb(process, "VmRSS:")
}

/// One of the sizes in a process's status, in KiB.
pub(super) fn status_kb(process: u32, name: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    line.trim().trim_end_matches(" kB").parse().ok()
}

/// Sends a process a signal, such as `-TERM`; true if it was sent.
pub fn signal(process: u32, name: &str) -> bool {
    Command::new("kill").args([name, &process.to_string()]).status().is_ok_and(|status| status.success())
}
