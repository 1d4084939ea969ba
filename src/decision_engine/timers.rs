use super::*;

/// Interval between two computations of the prices (t_c of the paper).
const PRICE_INTERVAL: Millis = 300.0;
const LOG_INTERVAL: Millis = 5000.0;
/// Silence that ejects a backend: the sum of its unanswered attempts' ages over the usual latency.
const SILENCE_LIMIT: f64 = 10.0;
/// Time without requests after which a customer's state is dropped, and that of one seen only once.
const CUSTOMER_TTL: Millis = 60_000.0;
const ONE_TIME_TTL: Millis = 10_000.0;

impl DecisionEngine {
    pub(super) fn set_timer(&mut self, kind: TimerKind, delay: Millis, act: &mut Vec<Action>) {
        self.next_tag += 1;
        self.timers.insert(self.next_tag, kind);
        act.push(Action::Timer { tag: self.next_tag, delay });
    }

    /// Whether a timer is still needed. One whose request has ended is removed, which saves a wake-up.
    pub fn timer_is_live(&mut self, tag: u64) -> bool {
        let live = match self.timers.get(&tag) {
            Some(TimerKind::Check(id) | TimerKind::Deadline(id)) => self.open.contains_key(id),
            kind => kind.is_some(),
        };
        if !live {
            self.timers.remove(&tag);
        }
        live
    }

    pub(super) fn on_timer(&mut self, tag: u64, act: &mut Vec<Action>) {
        match self.timers.remove(&tag) {
            Some(TimerKind::Tick) => {
                if self.stalled_at < self.now {
                    self.tick(act);
                }
                self.set_timer(TimerKind::Tick, TICK, act);
            }
            Some(TimerKind::Subscribe) => {
                act.push(if self.settings.must_subscribe { Action::Subscribe } else { Action::ReadList })
            }
            Some(TimerKind::Check(id)) => self.check_attempt(id, act),
            Some(TimerKind::Deadline(id)) if self.open.get(&id).is_some_and(|open| !open.streaming) => {
                act.push(Action::Fail(id));
                self.finish(id, act);
            }
            Some(TimerKind::Deadline(_)) | None => {}
        }
    }

    fn tick(&mut self, act: &mut Vec<Action>) {
        self.servers.iter_mut().for_each(|s| (s.lag, s.silence) = (0.0, 0.0));
        for &Attempt { server, class, sent_at, .. } in self.attempts.values() {
            let known = self.classes[class].samples > 0.0;
            let typical = if known { self.classes[class].mean_latency } else { self.typical_latency(class) };
            let server = &mut self.servers[server];
            if server.answered_at <= sent_at {
                let age = ((self.now - sent_at) / typical.max(1.0)).max(0.0);
                server.lag = server.lag.max(age);
                server.silence += age;
            }
        }
        for index in 0..self.servers.len() {
            if self.servers[index].silence > SILENCE_LIMIT && !self.servers[index].is_ejected() {
                self.eject(index, act);
            }
        }
        if self.now - self.logged_at >= LOG_INTERVAL {
            self.logged_at = self.now;
            let [admitted, quota, ceiling, backend, price] = std::mem::take(&mut self.counts);
            let show = |c: &ClassState| format!("{:.0}/{:.0} ms at {:.2}", c.floor, c.mean_latency, c.price);
            let classes = self.classes.iter().map(show).collect::<Vec<_>>().join(", ");
            let active = self.attempts.len();
            act.push(Action::Trace(format!(
                "admitted {admitted}; refused by quota {quota}, ceiling {ceiling}, no backend {backend}, \
                 price {price}; active {active}; floor/mean at price: {classes}"
            )));
        }
        self.usual_load += (self.healthy_load() - self.usual_load) * 0.1;
        if self.now - self.priced_at >= PRICE_INTERVAL - 1.0 {
            self.reprice();
            let now = self.now;
            self.customers.retain(|_, c| {
                let once = c.usage.iter().sum::<f64>() <= 1.0;
                c.active > 0.0 || now - c.refilled_at < if once { ONE_TIME_TTL } else { CUSTOMER_TTL }
            });
        }
    }
}
