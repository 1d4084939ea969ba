//! The figures that operators fetch: what became of requests by class, and what stands now.
//!
//! Counts start at 0 with the process and never fall, also when a class is dropped from the settings and
//! comes back. They are written as `edge_relay.NAME:VALUE|TYPE`, type `c` for counts and `g` for what stands now.

use std::fmt::Write;

/// Begins every line.
const PREFIX: &str = "edge_relay";
/// Classes that are kept in mind. Danger: names may change at every reload; what is kept must not grow with them.
const MOST_CLASSES: usize = 256;

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// With an upstream host's answer.
    Success,
    /// With a local reply that trying again is harmless.
    Busy,
    /// With any other local reply.
    Failure,
}

#[derive(Debug, Clone, Default)]
struct Class {
    name: String,
    counts: [u64; 3],
}

/// What is read from the gateway's state at the moment of asking.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Requests taken whose final answer has not been given.
    pub inflight: usize,
    /// Upstream hosts in the list.
    pub hosts_listed: usize,
    /// Of these, the ones that get nothing now, by hand or by choice.
    pub hosts_down: usize,
}

/// Counts since the start of the process.
#[derive(Debug, Clone, Default)]
pub struct Metrics {
    classes: Vec<Class>,
    /// The classes that the settings name now, by their position there.
    named: Vec<usize>,
    /// Upstream requests whose last byte was written to a connection.
    pub backend_calls: u64,
    /// Configurations taken at SIGHUP.
    pub reconfig_ok: u64,
    /// Configurations turned down at SIGHUP.
    pub reconfig_failed: u64,
}

impl Metrics {
    /// From now on the settings name these classes, in this order.
    pub fn set_classes<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        let names: Vec<&str> = names.collect();
        let slot = |name: &str| {
            if let Some(own) = self.classes.iter().position(|c| c.name == name) {
                return own;
            }
            let class = Class { name: name.into(), ..Class::default() };
            // Places stay: requests that are open know theirs.
            let unnamed = self.classes.iter().position(|c| !names.contains(&c.name.as_str()));
            match unnamed.filter(|_| self.classes.len() >= MOST_CLASSES) {
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
        self.named = names.iter().copied().map(slot).collect();
    }

    /// Where a class that the settings name is counted, by its position there.
    #[must_use]
    pub fn slot(&self, class: usize) -> Option<usize> {
        self.named.get(class).copied()
    }

    /// Counts the end of a request of the class in this slot.
    pub fn count(&mut self, slot: usize, outcome: Outcome) {
        if let Some(class) = self.classes.get_mut(slot) {
            class.counts[outcome as usize] += 1;
        }
    }

    /// All figures, a line each.
    #[must_use]
    pub fn render(&self, gauges: Gauges) -> String {
        let mut text = String::with_capacity(64 * (3 * self.classes.len() + 8));
        for class in &self.classes {
            let name = plain(&class.name);
            for (word, value) in ["success", "busy", "failure"].iter().zip(class.counts) {
                let _ = writeln!(text, "{PREFIX}.calls.{name}.{word}:{value}|c");
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
        let stand = [
            ("inflight", gauges.inflight),
            ("hosts_listed", gauges.hosts_listed),
            ("hosts_down", gauges.hosts_down),
        ];
        for (name, value) in stand {
            let _ = writeln!(text, "{PREFIX}.{name}:{value}|g");
        }
        text
    }
}

/// A class's name as it stands between two points. What would end it there, or the line, is written as `%` and
/// two hex digits, so that no two names become one.
fn plain(name: &str) -> String {
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
