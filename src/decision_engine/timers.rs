//! Timers and the regular work.

use super::*;

/// How often prices are computed anew (t_c of the paper).
const PRICE_EVERY: Millis = 300.0;
/// How often on-call staff are told what was admitted and refused, and why.
const TELL_EVERY: Millis = 5000.0;
/// Silence, as the sum of what is out over the usual latency, that puts a backend in doubt.
const SILENCE: f64 = 10.0;
/// A client that has been away this long is forgotten, and so is one that came but once.
const FORGET: Millis = 60_000.0;
const FORGET_ONCE: Millis = 10_000.0;

impl DecisionEngine {
    pub(super) fn remind(&mut self, due: Due, delay: Millis, act: &mut Vec<Action>) {
        self.next_tag += 1;
        self.timers.insert(self.next_tag, due);
        act.push(Action::Timer { tag: self.next_tag, delay });
    }

    /// Whether a timer still matters. One whose request is over is forgotten, so nobody need wake up for it.
    pub fn timer_is_live(&mut self, tag: u64) -> bool {
        let wanted = match self.timers.get(&tag) {
            Some(Due::Check(id) | Due::Deadline(id)) => self.open.contains_key(id),
            due => due.is_some(),
        };
        if !wanted {
            self.timers.remove(&tag);
        }
        wanted
    }

    pub(super) fn timer(&mut self, tag: u64, act: &mut Vec<Action>) {
        match self.timers.remove(&tag) {
            Some(Due::Tick) => {
                if self.stalled < self.now {
                    self.tick(act);
                }
                self.remind(Due::Tick, TICK, act);
            }
            Some(Due::Subscribe) => {
                act.push(if self.set.must_subscribe { Action::Subscribe } else { Action::ReadList })
            }
            Some(Due::Check(id)) => self.look_into(id, act),
            Some(Due::Deadline(id)) if self.open.get(&id).is_some_and(|open| !open.streaming) => {
                act.push(Action::Fail(id));
                self.end(id, act);
            }
            Some(Due::Deadline(_)) | None => {}
        }
    }

    fn tick(&mut self, act: &mut Vec<Action>) {
        // How unlikely its silence is of each backend: ages of what was sent since its last answer, as
        // multiples of the usual latency.
        self.servers.iter_mut().for_each(|s| (s.lag, s.silence) = (0.0, 0.0));
        for out in self.out.values() {
            let known = self.classes[out.class].known > 0.0;
            let typical = if known { self.classes[out.class].mean } else { self.typical(out.class) };
            let server = &mut self.servers[out.server];
            if server.answered <= out.sent {
                let age = ((self.now - out.sent) / typical.max(1.0)).max(0.0);
                server.lag = server.lag.max(age);
                server.silence += age;
            }
        }
        for index in 0..self.servers.len() {
            if self.servers[index].silence > SILENCE && !self.servers[index].doubted() {
                self.put_to_rest(index, act);
            }
        }
        if self.now - self.told_at >= TELL_EVERY {
            self.told_at = self.now;
            let [admitted, quota, ceiling, backend, price] = std::mem::take(&mut self.tally);
            let figure = |c: &ClassState| format!("{:.0}/{:.0} ms at {:.2}", c.floor, c.mean, c.price);
            let figures = self.classes.iter().map(figure).collect::<Vec<_>>().join(", ");
            let out = self.out.len();
            act.push(Action::Trace(format!(
                "admitted {admitted}; refused by quota {quota}, ceiling {ceiling}, no backend {backend}, \
                 price {price}; out {out}; floor/mean at price: {figures}"
            )));
        }
        self.usual_out += (self.sound_out() - self.usual_out) * 0.1;
        if self.now - self.priced_at >= PRICE_EVERY - 1.0 {
            self.reprice();
            let now = self.now;
            self.customers.retain(|_, c| {
                let once = c.past.iter().sum::<f64>() <= 1.0;
                c.out > 0.0 || now - c.filled < if once { FORGET_ONCE } else { FORGET }
            });
        }
    }
}
