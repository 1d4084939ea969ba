//! Whether the gateway takes clients, what it tells of itself, and its end.

use super::door::StreamAdmission;
use super::message::{Answer, Message};
use super::store::Account;
use super::streams::local;
use super::{recovery, Conn, Due, Gateway};
use crate::interface::Millis;
use crate::memory::figures::Gauges;
use crate::process::logs::Logs;

/// Without a word from discovery, the list from the configuration does after this long.
const READY_ANYWAY: Millis = 1000.0;
/// After SIGTERM new connections are still taken for this long.
pub(super) const ACCEPT_ON: Millis = 500.0;

impl Gateway {
    /// A local service: readiness and counters. `None` for what is a stream.
    pub(super) fn own_service(&self, message: &Message) -> Option<Answer> {
        match message.path() {
            // Two processes are one gateway to its clients: the other one is ready.
            "/health/ready" if self.is_ready() || self.beside.left().is_some() => {
                Some(local(200, b"ready\n"))
            }
            "/health/ready" => Some(local(503, b"not ready\n")),
            "/health/counters" => Some(local(200, self.told_counters().as_bytes())),
            _ => None,
        }
    }

    pub(super) fn is_ready(&self) -> bool {
        let knows = self.knows_enough() && self.knows_rules();
        self.stopping.is_none() && self.drained.is_none() && self.beside.decides() && knows
    }

    /// Whether hosts are known, or as well as they will be.
    pub(super) fn knows_enough(&self) -> bool {
        self.listed || self.now >= self.started + READY_ANYWAY
    }

    pub(super) fn why_not_ready(&self) -> &'static str {
        match (self.stopping, self.drained) {
            _ if self.beside.left().is_some() => "handed over",
            (Some(_), _) => "stopping",
            (None, Some(_)) => "drained",
            (None, None) if self.beside.waits() => "waiting for the state of another process",
            (None, None) if self.knows_enough() => "the agreed versions are not confirmed yet",
            (None, None) => "no list of upstream hosts yet",
        }
    }

    /// An answer given now is the last of its connection.
    pub(super) fn is_leaving(&self) -> bool {
        self.stopping.is_some() || self.drained.is_some() || self.beside.left().is_some()
    }

    /// Sends clients away; goes on serving those who come.
    pub(super) fn quiesce(&mut self) {
        if self.drained.is_none() {
            tracing::info!(streams = self.core.open_streams(), "drained by an operator: not ready");
            self.drained = Some(self.now);
        }
    }

    /// Takes clients again.
    pub(super) fn resume(&mut self) {
        if self.drained.take().is_some() {
            tracing::info!("resumed by an operator");
        }
    }

    /// What operators fetch, a line a figure.
    pub(super) fn figures(&self) -> String {
        let (hosts_listed, hosts_down) = self.core.hosts_listed_and_down();
        let feeding =
            self.slots.iter().filter(|conn| matches!(conn, Conn::Down(down) if down.feed.is_some()));
        let inflight = self.exchanges.len() + feeding.count();
        self.core.metrics.render(Gauges { inflight, hosts_listed, hosts_down })
    }

    /// The counters as operators read them, with what the log had to drop.
    pub(super) fn told_counters(&self) -> String {
        let dropped = self.logs.as_ref().map_or(0, Logs::dropped);
        let door = self.door.as_ref().map_or(String::new(), StreamAdmission::metrics_text);
        let number = self.told_number();
        let agreed =
            self.agreement.as_ref().map_or(String::new(), |at| at.figures(number, self.core.called_out()));
        let returned = self.returning.as_ref().map_or(String::new(), recovery::Returning::figures);
        let store = self.account.as_ref().map_or(String::new(), Account::figures);
        let counters = &self.core.counters;
        format!(
            "{counters}switchhill_log_lines_dropped {dropped}\n{door}{agreed}{returned}{store}{}",
            self.figures()
        )
    }

    pub(super) fn begin_stop(&mut self) {
        if self.stopping.is_none() {
            tracing::info!(
                streams = self.core.open_streams(),
                "stopping: not ready, finishing what was taken"
            );
            self.stopping = Some(self.now);
            // One that has taken over goes on under the same name.
            if let Some(agreement) = self.agreement.as_ref().filter(|_| self.beside.left().is_none()) {
                agreement.leave();
            }
            self.timers.push(self.now + ACCEPT_ON, Due::Close);
        }
    }

    pub(super) fn sweep(&mut self) {
        self.sweep_beside();
        if self.stopping.is_some_and(|since| self.now >= since + ACCEPT_ON) {
            if let Some(token) = self.listener.take() {
                if let Some(Conn::Listener(listener)) = self.slots.take(token) {
                    // What the system has accepted already is ours to answer, unless another process has the queue.
                    if self.beside.decides() {
                        self.accept(&listener);
                    }
                    self.poll.remove(&listener);
                }
                self.slots.release(token);
            }
        }
        for token in self.slots.tokens() {
            let Some(conn) = self.slots.take(token) else { continue };
            let kept = match conn {
                Conn::Down(down) => self.sweep_down(token, down),
                Conn::Caller(caller) => self.sweep_caller(token, caller).map(Conn::Caller),
                Conn::Up(up) => self.sweep_up(up).map(Conn::Up),
                Conn::Down2(down) => self.sweep_down2(token, *down).map(|down| Conn::Down2(Box::new(down))),
                Conn::Up2(up) => self.sweep_up2(token, *up).map(|up| Conn::Up2(Box::new(up))),
                other => Some(other),
            };
            self.keep(token, kept);
        }
    }
}
