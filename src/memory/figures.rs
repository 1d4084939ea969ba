//! Metrics for operators: request outcomes by class, and gauges of the present state.
//!
//! Counters start at 0 with the process and never decrease, also when a class is removed from the settings and
//! added again. The format is `edge_relay.NAME:VALUE|TYPE`, type `c` for counters and `g` for gauges.

use std::fmt::Write;

/// Prefix of every line.
const PREFIX: &str = "edge_relay";
/// Maximum number of classes with counters. Names may change at every reload; memory must not grow with them.
const MAX_CLASSES: usize = 256;

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// With an upstream host's response.
    Success,
    /// With a local reply that marks a retry as safe.
    Busy,
    /// With any other local reply.
    Failure,
}

#[derive(Debug, Clone, Default)]
struct Class {
    name: String,
    counts: [u64; 3],
}

/// Gauges, read from the gateway's state when the metrics are rendered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Accepted requests without a final answer.
    pub inflight: usize,
    /// Upstream hosts in the list.
    pub hosts_listed: usize,
    /// Listed hosts that are cordoned by an operator or ejected.
    pub hosts_down: usize,
}

/// Counts since the start of the process.
#[derive(Debug, Clone, Default)]
pub struct Metrics {
    classes: Vec<Class>,
    /// Slot of each class of the present settings, by its position there.
    configured: Vec<usize>,
    /// Upstream requests whose last byte was written to a connection.
    pub backend_calls: u64,
    /// Configurations applied at SIGHUP.
    pub reconfig_ok: u64,
    /// Configurations rejected at SIGHUP.
    pub reconfig_failed: u64,
}

impl Metrics {
    /// Sets the classes of the present settings, in their order.
    pub fn set_classes<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        let names: Vec<&str> = names.collect();
        let slot = |name: &str| {
            if let Some(own) = self.classes.iter().position(|c| c.name == name) {
                return own;
            }
            let class = Class { name: name.into(), ..Class::default() };
            // Slots do not move: open requests refer to theirs by number.
            let unused = self.classes.iter().position(|c| !names.contains(&c.name.as_str()));
            match unused.filter(|_| self.classes.len() >= MAX_CLASSES) {
                Some(old) => {
                    self.classes[old] = class;
                    old
                }
                None => {
                    self.classes.push(class);
                    self.classes.len() - 1
                }
            }
        };
        self.configured = names.iter().copied().map(slot).collect();
    }

    /// Slot of a class of the present settings, by its position there.
    #[must_use]
    pub fn slot(&self, class: usize) -> Option<usize> {
        self.configured.get(class).copied()
    }

    /// Counts an ended request of the class in this slot.
    pub fn count(&mut self, slot: usize, outcome: Outcome) {
        if let Some(class) = self.classes.get_mut(slot) {
            class.counts[outcome as usize] += 1;
        }
    }

    /// Renders all metrics, one per line.
    #[must_use]
    pub fn render(&self, gauges: Gauges) -> String {
        let mut text = String::with_capacity(64 * (3 * self.classes.len() + 8));
        for class in &self.classes {
            let name = escape_name(&class.name);
            for (outcome, value) in ["success", "busy", "failure"].iter().zip(class.counts) {
                let _ = writeln!(text, "{PREFIX}.calls.{name}.{outcome}:{value}|c");
            }
        }
        let counts = [
            ("backend_calls", self.backend_calls),
            ("reconfig_ok", self.reconfig_ok),
            ("reconfig_failed", self.reconfig_failed),
        ];
        for (name, value) in counts {
            let _ = writeln!(text, "{PREFIX}.{name}:{value}|c");
        }
        let gauges = [
            ("inflight", gauges.inflight),
            ("hosts_listed", gauges.hosts_listed),
            ("hosts_down", gauges.hosts_down),
        ];
        for (name, value) in gauges {
            let _ = writeln!(text, "{PREFIX}.{name}:{value}|g");
        }
        text
    }
}

/// Escapes a class name for use between two dots. Bytes that could end the name or the line, and `%`, become
/// `%` and two hex digits, so that distinct names stay distinct.
fn escape_name(name: &str) -> String {
    let mut text = String::with_capacity(name.len());
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'/') {
            text.push(char::from(byte));
        } else {
            let _ = write!(text, "%{byte:02x}");
        }
    }
    text
}

#[cfg(test)]
mod tests;
