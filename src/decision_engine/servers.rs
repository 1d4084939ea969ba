//! Backend selection, health (outlier ejection) and the ramp-up of cold backends.

use super::*;

/// Gateways that share a backend in a large fleet: more even out the load, fewer get more samples of each.
const SHARED_BY: f64 = 20.0;
/// Time after which a started backend that chance left unused is used; gateways follow half of it apart.
const FIRST_USE: Millis = 1500.0;
/// Golden ratio: fractional parts of its multiples spread evenly on a ring, whichever ordinals are missing.
const GOLDEN: f64 = 0.618_033_988_749_894_9;
/// Recent samples below which one failed connect ejects a backend.
const FEW_SAMPLES: f64 = 15.0;
const CROSS_ZONE_COST: f64 = 1.1;
const COST_JITTER: f64 = 0.3;
/// Consecutive failures after which a backend is ejected.
const EJECT_AFTER: u32 = 3;

impl DecisionEngine {
    /// Share of its full capacity that a backend certainly has at this time after its start.
    pub(super) fn warmth(&self, server: &Server) -> f64 {
        let rules = &self.settings.cold_start;
        let age = (self.now - server.ramp_from).max(0.0);
        if rules.warm_up <= 0.0 || age >= rules.warm_up {
            return 1.0;
        }
        rules.cold_share + (1.0 - rules.cold_share) * age / rules.warm_up
    }

    /// Whether the backend answered a later attempt: queues are served in order, so this answer is lost.
    pub(super) fn overtaken(&self, attempt: &Attempt) -> bool {
        self.servers[attempt.server].answered_send > attempt.sent_at
    }

    /// Whether a latency shows queueing: a cold backend's, squared, would price out the warm ones.
    pub(super) fn is_representative(&self, index: usize) -> bool {
        !self.servers[index].is_ejected() && self.warmth(&self.servers[index]) >= 1.0
    }

    pub(super) fn is_available(&self, server: &Server) -> bool {
        server.listed.state == BackendState::Ready && self.now >= server.ejected_until
    }

    /// Draws by size and warmth over all backends; returns the drawn one if it is cold.
    fn pick_cold(&mut self) -> Option<usize> {
        // Credit saved up by hundreds of gateways would be a burst; a random draw sums to the warm share.
        let weigh = |s: &Server| if s.listed.state == BackendState::Ready { s.size() } else { 0.0 };
        // The draw may leave a started backend unused. Few gateways send it one each; many would burst.
        let spread = (f64::from(self.settings.gateways) / 2.0).max(1.0);
        let due = FIRST_USE * (1.0 + spread * (f64::from(self.settings.ordinal) * GOLDEN).fract());
        let untried = |s: &Server| s.active == 0 && s.slowdown <= 1.0 && s.answered_send < s.ramp_from;
        let unused = |s: &Server| 2.0 * spread <= SHARED_BY && untried(s) && self.now - s.ramp_from > due;
        if let Some(first) = self.servers.iter().position(|s| self.is_available(s) && unused(s)) {
            return Some(first);
        }
        let size: f64 = self.servers.iter().map(weigh).sum();
        let warm: f64 = self.servers.iter().map(|s| weigh(s) * self.warmth(s)).sum();
        // If most of the fleet is cold it can't take the whole load: then part of the draws choose none.
        let mut left = self.rng.f64() * warm.max(size / 2.0);
        self.servers.iter().position(|s| {
            let warmth = self.warmth(s);
            left -= if warmth < 1.0 { weigh(s) * warmth } else { 0.0 };
            left < 0.0
        })
    }

    /// Latency over the class's mean; a stalled backend answers nothing, so the age of its attempts counts.
    pub(super) fn slowness(server: &Server) -> f64 {
        server.slowdown.max(server.lag)
    }

    /// The cheapest of a random sample of available backends; only in `scope`, and not `except`.
    pub(super) fn choose(&mut self, scope: Option<Scope>, except: Option<usize>) -> Option<usize> {
        let cold = self.pick_cold();
        let fits = |s: &Server| match scope {
            Some((KeyScope::Zone, zone, _)) => s.listed.zone == zone,
            Some((KeyScope::Cell, _, cell)) => s.listed.cell == cell,
            _ => true,
        };
        let usable = |i: &usize| fits(&self.servers[*i]) && self.is_available(&self.servers[*i]);
        let mut usable: Vec<usize> = self.by_id.values().copied().filter(usable).collect();
        if let Some(cold) = cold.filter(|i| usable.contains(i) && Some(*i) != except) {
            return Some(cold);
        }
        usable.retain(|&i| self.warmth(&self.servers[i]) >= 1.0);
        // One of a hundred gateways gets too few samples of sixty backends: each uses a window of the ring.
        let share = SHARED_BY * usable.len() as f64 / f64::from(self.settings.gateways);
        let window = (share.ceil() as usize).max(CANDIDATES_PER_ATTEMPT);
        if usable.len() > window {
            let start = (f64::from(self.settings.ordinal) * GOLDEN).fract() * usable.len() as f64;
            usable.rotate_left(start as usize);
            usable.truncate(window);
        }
        if usable.len() > 1 {
            usable.retain(|&i| Some(i) != except);
        }
        // At a request a second no gateway learns which backends are small: so they are drawn by size.
        let all: f64 = usable.iter().map(|&i| self.servers[i].size()).sum();
        let mut drawn = |_| {
            let mut left = self.rng.f64() * all;
            usable.iter().copied().find(|&i| {
                left -= self.servers[i].size();
                left < 0.0
            })
        };
        let candidates: Vec<usize> = (0..CANDIDATES_PER_ATTEMPT).filter_map(&mut drawn).collect();
        // A fixed preference for the own zone would overload it; the jitter keeps all in use and sampled.
        let cost = |i: &usize| {
            let s = &self.servers[*i];
            let distance = if s.listed.zone == self.settings.zone { 1.0 } else { CROSS_ZONE_COST };
            Self::slowness(s) * f64::from(s.active + 1) * distance
        };
        let costs: Vec<f64> =
            candidates.iter().map(|i| cost(i) * (1.0 + COST_JITTER * self.rng.f64())).collect();
        candidates.into_iter().zip(costs).min_by(|a, b| a.1.total_cmp(&b.1)).map(|best| best.0)
    }

    /// Updates a backend's health and slowdown by the outcome of an attempt.
    pub(super) fn observe(&mut self, attempt: &Attempt, code: Code, elapsed: Millis, act: &mut Vec<Action>) {
        let (index, overtaken) = (attempt.server, self.overtaken(attempt));
        let typical = self.typical_latency(attempt.class);
        let server = &mut self.servers[index];
        match code {
            Code::Success => {
                (server.failures, server.backoff, server.ejected_until) = (0, 0.0, 0.0);
                (server.answered_at, server.lag, server.silence) = (self.now, 0.0, 0.0);
                server.answered_send = server.answered_send.max(attempt.sent_at);
                if self.classes[attempt.class].samples > 0.0 && self.stalled_at < self.now {
                    let weight = (1.0 / (server.samples + 4.0)).max(0.05);
                    server.slowdown += ((elapsed / typical).clamp(0.05, 20.0) - server.slowdown) * weight;
                    server.samples += 1.0;
                }
            }
            Code::Overloaded => server.slowdown = (server.slowdown * 1.2).min(20.0),
            Code::Failure | Code::TimedOut | Code::Unreachable | Code::Reset | Code::Unknown => {
                // With few samples a single failed connect has to be enough.
                let few = server.samples < FEW_SAMPLES && server.failures < EJECT_AFTER;
                let at_once = few && code == Code::Unreachable;
                server.failures = if at_once { EJECT_AFTER } else { server.failures + u32::from(!overtaken) };
                server.slowdown = (server.slowdown * (1.0 + 1.0 / (server.samples + 1.0)).max(1.1)).min(20.0);
                let ejected = server.failures == EJECT_AFTER && !overtaken && self.eject(index, act);
                // An unreachable backend may have restarted and be cold; resets alone do not mean that.
                if ejected && code == Code::Unreachable {
                    self.servers[index].ramp_from = self.servers[index].ejected_until;
                }
            }
            Code::Cancelled | Code::NotSent => {}
        }
    }

    /// Ejects a backend: it gets single trial requests only, until one is answered.
    pub(super) fn eject(&mut self, index: usize, act: &mut Vec<Action>) -> bool {
        let ready = |s: &&Server| s.listed.state == BackendState::Ready;
        let ejected = self.servers.iter().filter(ready).filter(|s| s.is_ejected()).count();
        // A fault common to all backends must not eject more than half of the fleet.
        if (ejected + 1) * 2 > self.servers.iter().filter(ready).count() {
            self.servers[index].failures = EJECT_AFTER - 1;
            return false;
        }
        let server = &mut self.servers[index];
        (server.failures, server.backoff, server.ejected_until) = (EJECT_AFTER, BACKOFF, self.now + BACKOFF);
        act.push(Action::Trace(format!("ejecting {} with {} active", server.listed.id, server.active)));
        true
    }

    pub(super) fn on_list(&mut self, kind: ListKind, backends: Vec<Backend>, act: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            return self.set_timer(TimerKind::Subscribe, 1000.0, act);
        }
        if kind != ListKind::Changes {
            self.servers.iter_mut().for_each(|s| s.listed.state = BackendState::Removed);
        }
        let used: BTreeSet<usize> = self.by_id.values().copied().collect();
        let mut unused: Vec<usize> = (0..self.servers.len()).filter(|i| !used.contains(i)).collect();
        for mut listed in backends {
            // A start in the future would never warm up; a backend without a start time is warm.
            let start = if listed.started_at.is_finite() { listed.started_at.min(self.now) } else { 0.0 };
            listed.started_at = start;
            let ramp_from = if start > 0.0 { start } else { f64::NEG_INFINITY };
            let fresh = Server { ramp_from, answered_at: self.now, slowdown: 1.0, ..Server::default() };
            let known = self.by_id.get(&listed.id).copied();
            // Backends are replaced under new ids all day: the slot of a removed one is used again.
            let index = known.or_else(|| unused.pop()).unwrap_or(self.servers.len());
            self.servers.resize_with(self.servers.len().max(index + 1), Server::default);
            if known.is_none() {
                self.by_id.insert(listed.id.clone(), index);
                self.servers[index] = Server { listed, ..fresh };
            } else if start > self.servers[index].listed.started_at {
                self.servers[index] = Server { listed, active: self.servers[index].active, ..fresh };
            } else {
                self.servers[index].listed = listed;
            }
        }
        let (servers, probes) = (&self.servers, &self.pending_probes);
        self.by_id.retain(|_, i| {
            let in_use = servers[*i].active > 0 || probes.iter().any(|p| p.1.contains(i));
            servers[*i].listed.state != BackendState::Removed || in_use
        });
    }
}

impl Server {
    pub(super) fn size(&self) -> f64 {
        Some(self.listed.rating).filter(|r| r.is_finite()).map_or(1.0, |r| r.clamp(0.1, 10.0))
    }

    /// Whether failures or silence have ejected it, so that it gets single trial requests only.
    pub(super) fn is_ejected(&self) -> bool {
        self.failures >= EJECT_AFTER
    }
}
