//! Reads the `agreement` events of several gateways' JSON logs and finds the longest window in which two of them
//! were Active on different versions.

use std::io::{BufRead, BufReader, Read};
use std::sync::{Arc, Mutex};
use std::thread;

/// Reads a gateway's log in a thread of its own until it ends, gathering its agreement events as gateway `number`.
pub fn gather(log: impl Read + Send + 'static, number: usize, events: &Arc<Mutex<Vec<Event>>>) {
    let events = events.clone();
    thread::spawn(move || {
        for line in BufReader::new(log).lines().map_while(Result::ok) {
            if let Some(event) = event(number, &line) {
                events.lock().expect("lock").push(event);
            }
        }
    });
}

/// One change of what a gateway acts on, as its log tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Which gateway.
    pub gateway: usize,
    /// `settings` or `hosts`.
    pub register: String,
    /// The moment of the change, in Unix milliseconds.
    pub unix_ms: u64,
    /// `active`, `safe`, `starting`, or `gone` where the process was ended.
    pub mode: String,
    /// `EPOCH:DIGEST`, empty before any.
    pub version: String,
}

/// A phase of a gateway's return, as its log tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Returned {
    /// Which gateway.
    pub gateway: usize,
    /// Which phase.
    pub phase: String,
    /// Milliseconds after its start.
    pub after_ms: u64,
    /// When, in Unix milliseconds.
    pub unix_ms: u64,
}

/// Reads one log line; `None` for lines that tell no phase.
pub fn returned(gateway: usize, line: &str) -> Option<Returned> {
    let value: serde_json::Value = serde_json::from_str(line).ok()?;
    if value.get("message")?.as_str()? != "return" {
        return None;
    }
    let phase = value.get("phase")?.as_str()?.to_owned();
    let number = |name: &str| value.get(name).and_then(serde_json::Value::as_u64);
    Some(Returned { gateway, phase, after_ms: number("after_ms")?, unix_ms: number("unix_ms")? })
}

/// Reads one log line; `None` for lines that are not agreement events.
pub fn event(gateway: usize, line: &str) -> Option<Event> {
    let value: serde_json::Value = serde_json::from_str(line).ok()?;
    if value.get("message")?.as_str()? != "agreement" {
        return None;
    }
    Some(Event {
        gateway,
        register: value.get("register")?.as_str()?.to_owned(),
        unix_ms: value.get("unix_ms")?.as_u64()?,
        mode: value.get("mode")?.as_str()?.to_owned(),
        version: value.get("version")?.as_str()?.to_owned(),
    })
}

/// The event of a process's end, for both registers: what is no more acts on nothing.
pub fn gone(gateway: usize, unix_ms: u64) -> [Event; 2] {
    ["settings", "hosts"].map(|register| Event {
        gateway,
        register: register.into(),
        unix_ms,
        mode: "gone".into(),
        version: String::new(),
    })
}

/// The longest window, in milliseconds, in which two gateways were Active on different versions of `register`, with
/// its start.
pub fn longest_disagreement(events: &[Event], register: &str) -> (u64, Option<u64>) {
    let mut events: Vec<Event> = events.iter().filter(|event| event.register == register).cloned().collect();
    events.sort_by_key(|event| event.unix_ms);
    let gateways = events.iter().map(|event| event.gateway + 1).max().unwrap_or(0);
    let mut acting: Vec<Option<String>> = vec![None; gateways];
    let (mut longest, mut worst, mut since) = (0, None, None::<u64>);
    for event in &events {
        acting[event.gateway] = (event.mode == "active").then(|| event.version.clone());
        let mut versions: Vec<&String> = acting.iter().flatten().collect();
        versions.sort();
        versions.dedup();
        match (versions.len() > 1, since) {
            (true, None) => since = Some(event.unix_ms),
            (false, Some(from)) => {
                if event.unix_ms - from > longest {
                    (longest, worst) = (event.unix_ms - from, Some(from));
                }
                since = None;
            }
            _ => {}
        }
    }
    if let (Some(from), Some(last)) = (since, events.last()) {
        // Still disagreeing at the end of the logs: counted to their end, and said by a start without an end.
        if last.unix_ms - from >= longest {
            (longest, worst) = (last.unix_ms - from, Some(from));
        }
    }
    (longest, worst)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(gateway: usize, unix_ms: u64, mode: &str, version: &str) -> Event {
        Event { gateway, register: "settings".into(), unix_ms, mode: mode.into(), version: version.into() }
    }

    #[test]
    fn two_active_on_different_versions_make_a_window_and_safe_ends_it() {
        let events = [
            at(0, 100, "active", "1:a"),
            at(1, 110, "active", "1:a"),
            at(0, 1000, "active", "2:b"),
            at(1, 1040, "safe", "1:a"),
            at(1, 1500, "active", "2:b"),
        ];
        assert_eq!(longest_disagreement(&events, "settings"), (40, Some(1000)));
        assert_eq!(longest_disagreement(&events, "hosts"), (0, None));
        let ended = [&events[..3], &gone(1, 1010)].concat();
        assert_eq!(
            longest_disagreement(&ended, "settings"),
            (10, Some(1000)),
            "a process that ended acts no more"
        );
        let line = r#"{"timestamp":"x","level":"INFO","message":"agreement","register":"settings","mode":"active","version":"2:b","unix_ms":7,"bound_ms":500}"#;
        assert_eq!(event(3, line), Some(at(3, 7, "active", "2:b")));
        assert_eq!(event(3, r#"{"message":"counters"}"#), None);
    }
}
