//! The loop: each round gathers what is ready, hands it to the core in one go, and carries out what came back.

use super::agreement;
use super::door::{self, StreamAdmission};
use super::readiness::ACCEPT_ON;
use super::streams::{local, refusal};
use super::{Conn, Due, Gateway, SWEEP};
use crate::core::Command;
use crate::memory::pool::Token;
use crate::process::signals::{self, Asked};
use std::io;
use std::time::Duration;
use switchhill_door::Outcome;

impl Gateway {
    /// Runs until told to stop and all that was taken is answered.
    ///
    /// # Errors
    /// When the poller fails.
    pub fn run(&mut self) -> io::Result<()> {
        let mut ready = Vec::new();
        let mut commands = Vec::new();
        self.take_snapshot();
        while !self.finished() {
            let due = [
                self.core.next_due(),
                self.timers.next_due(),
                self.door.as_ref().and_then(StreamAdmission::next_poll_at),
            ];
            let due = due.into_iter().flatten().fold(f64::INFINITY, f64::min);
            let agreed = self.agreement.as_ref().and_then(agreement::Agreement::due_in);
            let wait = (due - self.clock.now()).min(agreed.map_or(SWEEP, |ms| ms as f64)).clamp(0.0, SWEEP);
            let quiet = self.inputs.is_empty()
                && self.woken.is_empty()
                && self.resumed.is_empty()
                && self.hungry.is_empty();
            let wait = if quiet { wait } else { 0.0 };
            self.poll.wait(Duration::from_micros((wait * 1000.0).ceil() as u64), &mut ready)?;
            self.now = self.clock.now();
            // Danger: a process woken from SIGSTOP has a lease that ran out; it is seen before any event is.
            self.conform();
            self.recovery_round();
            // Operators first, whatever else there is to do.
            ready.sort_by_key(|event| !self.control.concerns(event.0));
            for (token, readable, writable) in ready.drain(..) {
                self.ready(token, readable, writable);
            }
            while let Some(due) = self.timers.pop(self.now) {
                self.due(due);
            }
            if self.beside.waits() {
                self.sweep_beside();
            }
            self.poll_admission();
            self.core.advance(self.now, &mut self.inputs, &mut commands);
            for command in commands.drain(..) {
                self.carry_out(command);
            }
            for token in self.woken.take() {
                self.ready(token, false, false);
            }
            for token in std::mem::take(&mut self.resumed) {
                self.go_on_uploading(token);
            }
            for token in std::mem::take(&mut self.hungry) {
                self.go_on_feeding(token);
            }
        }
        self.last_snapshot();
        self.leave_place();
        Ok(())
    }

    pub(super) fn finished(&self) -> bool {
        let Some(since) = self.stopping else { return false };
        self.now >= since + ACCEPT_ON
            && self.core.open_streams() == 0
            && self.exchanges.is_empty()
            && self.downstreams == 0
    }

    pub(super) fn ready(&mut self, token: Token, readable: bool, writable: bool) {
        let Some(conn) = self.slots.take(token) else { return };
        let kept = match conn {
            Conn::Listener(listener) => {
                // Danger: what was readable before a hand-over in this very round is the other process's to take.
                if self.beside.decides() {
                    self.accept(&listener);
                }
                Some(Conn::Listener(listener))
            }
            Conn::Control(listener) => {
                self.accept_callers(&listener);
                Some(Conn::Control(listener))
            }
            Conn::Caller(caller) => self.caller_ready(token, caller, readable).map(Conn::Caller),
            Conn::Beside(door) => {
                self.accept_successor(&door);
                Some(Conn::Beside(door))
            }
            Conn::Link(link) => self.link_ready(token, link, readable).map(Conn::Link),
            Conn::Signal(socket, asked) => {
                signals::drain(&socket);
                match asked {
                    Asked::Stop => self.begin_stop(),
                    Asked::Counters => {
                        tracing::info!(counters = %self.told_counters().trim_end(), "counters")
                    }
                    Asked::Reload => self.reload(),
                }
                Some(Conn::Signal(socket, asked))
            }
            Conn::Down(down) => self.down_ready(token, down, readable),
            Conn::Up(up) => self.up_ready(token, up, readable, writable).map(Conn::Up),
            Conn::Down2(down) => {
                down.told(readable);
                self.down2_ready(token, *down).map(|down| Conn::Down2(Box::new(down)))
            }
            Conn::Up2(up) => {
                up.told(readable);
                self.up2_ready(token, *up).map(|up| Conn::Up2(Box::new(up)))
            }
            Conn::Store(link) => self.store_ready(token, link, readable).map(Conn::Store),
            Conn::Discovery(link) => {
                self.discovery_ready(token, link, readable, writable).map(Conn::Discovery)
            }
        };
        self.keep(token, kept);
    }

    /// Puts a connection back, or frees the slot of one that is closed.
    pub(super) fn keep(&mut self, token: Token, conn: Option<Conn>) {
        match conn {
            Some(conn) => self.slots.put(token, conn),
            None => self.slots.release(token),
        }
    }

    pub(super) fn due(&mut self, due: Due) {
        match due {
            Due::Sweep => {
                self.sweep();
                self.timers.push(self.now + SWEEP, Due::Sweep);
            }
            Due::Connect(token) => self.connect_overdue(token),
            Due::Probe(token) => self.probe_overdue(token),
            Due::Discovery(turn) => self.discovery_due(turn),
            Due::Accept => self.watch_listener(),
            Due::Account => self.account_due(),
            Due::Close => self.sweep(),
        }
    }

    pub(super) fn carry_out(&mut self, command: Command) {
        match command {
            Command::Send(id, host, wait) => self.send(id, &host, wait),
            Command::Stop(id, timed_out) => self.stop(id, timed_out),
            Command::Deliver((stream, _)) => {
                self.report_outcome(stream, Outcome::Success);
                let Some(exchange) = self.take_exchange(stream) else { return };
                match exchange.answer {
                    Some((_, answer)) => self.answer(exchange.downstream, exchange.deadline, answer),
                    None => self.answer(exchange.downstream, exchange.deadline, local(502, b"")),
                }
            }
            Command::Refuse(stream, hold_off, why) => {
                if let Some(returning) = &mut self.returning {
                    returning.turned_away(self.now, why);
                }
                let appointment =
                    self.door.as_mut().and_then(|at| at.refuse_after_dispatch(self.now, stream, why));
                let Some(exchange) = self.drop_exchange(stream) else { return };
                let answer = match appointment {
                    Some(appointment) => door::refusal_answer(&appointment, exchange.downstream),
                    None => refusal(hold_off, exchange.downstream),
                };
                self.answer(exchange.downstream, exchange.deadline, answer);
            }
            Command::Fail(stream, late) => {
                self.report_outcome(stream, if late { Outcome::Dropped } else { Outcome::Ignored });
                let Some(exchange) = self.drop_exchange(stream) else { return };
                let answer = local(if late { 504 } else { 502 }, b"");
                self.answer(exchange.downstream, exchange.deadline, answer);
            }
            Command::Probe(host) => self.probe(&host),
            Command::CloseIdle(host) => self.close_idle(&host),
            Command::HostLeft(host) => self.host_left(&host),
            Command::HostGone(host) => self.host_gone(&host),
            Command::ReadList => self.discovery.whole_next = true,
            Command::Log(line) => tracing::info!("{line}"),
        }
    }
}
