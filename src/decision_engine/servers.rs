//! Choice of a backend, with health and the cold ramp.

use super::*;

/// Gateways that share a backend where there are many: more even out the load, fewer know their backends.
const SHARED_BY: f64 = 20.0;
/// A started backend that chance leaves unused is used this long after its start, half of it apart.
const FIRST_USE: Millis = 1500.0;
/// Golden ratio: multiples of it, less their whole part, lie evenly on a ring whichever numbers are missing.
const GOLDEN: f64 = 0.618_033_988_749_894_9;
/// Answers of late below which one failed connect is reason enough to leave a backend alone.
const SELDOM: f64 = 15.0;
/// What a backend in another zone must be better by.
const CROSS_ZONE: f64 = 1.1;
/// Chance in what backends are compared by.
const DITHER: f64 = 0.3;
/// Faults in a row after which a backend is left alone.
const FAULTS: u32 = 3;

impl DecisionEngine {
    /// Share of its full work that a backend can surely do, from its start on.
    pub(super) fn warmth(&self, server: &Server) -> f64 {
        let rules = &self.set.cold_start;
        let age = (self.now - server.ramp_from).max(0.0);
        if rules.warm_up <= 0.0 || age >= rules.warm_up {
            return 1.0;
        }
        rules.cold_share + (1.0 - rules.cold_share) * age / rules.warm_up
    }

    /// Whether its backend has answered something that was sent after this attempt.
    pub(super) fn overtaken(&self, out: &Out) -> bool {
        // Danger: an answer that got lost looks like a queue; queues are served in turn: overtaken is lost.
        self.servers[out.server].reached > out.sent
    }

    /// Whether a latency there tells of waiting in the fleet.
    pub(super) fn tells(&self, index: usize) -> bool {
        // Danger: a cold one is slow however little it holds, which squared would price out the warm ones.
        !self.servers[index].doubted() && self.warmth(&self.servers[index]) >= 1.0
    }

    pub(super) fn may_take(&self, server: &Server) -> bool {
        server.told.state == BackendState::Ready && self.now >= server.rest_until
    }

    /// Draws by size and warmth over all backends; a cold one takes the attempt that falls to it.
    fn cold_turn(&mut self) -> Option<usize> {
        // Danger: what hundreds of gateways save up is a burst; chance adds up to the warmed part.
        let weigh = |s: &Server| if s.told.state == BackendState::Ready { s.size() } else { 0.0 };
        // Danger: chance may leave a started one unused. Few gateways give it one each; many would burst.
        let apart = (f64::from(self.set.gateways) / 2.0).max(1.0);
        let due = FIRST_USE * (1.0 + apart * (f64::from(self.set.ordinal) * GOLDEN).fract());
        let untried = |s: &Server| s.out == 0 && s.ratio <= 1.0 && s.reached < s.ramp_from;
        let unused = |s: &Server| 2.0 * apart <= SHARED_BY && untried(s) && self.now - s.ramp_from > due;
        if let Some(first) = self.servers.iter().position(|s| self.may_take(s) && unused(s)) {
            return Some(first);
        }
        let size: f64 = self.servers.iter().map(weigh).sum();
        let warm: f64 = self.servers.iter().map(|s| weigh(s) * self.warmth(s)).sum();
        // Where most of the fleet is cold its load must not fall on it: a part has no turn.
        let mut left = self.rng.f64() * warm.max(size / 2.0);
        self.servers.iter().position(|s| {
            let warmth = self.warmth(s);
            left -= if warmth < 1.0 { weigh(s) * warmth } else { 0.0 };
            left < 0.0
        })
    }

    /// Latency expected of a backend, as a multiple of its class's mean.
    pub(super) fn slowness(server: &Server) -> f64 {
        // Danger: a backend that stands still answers nothing; the age of what it holds tells.
        server.ratio.max(server.lag)
    }

    /// The backend with the lowest expected time among a random few; only those in `scope`, not `but`.
    pub(super) fn choose(&mut self, scope: Option<Scope>, but: Option<usize>) -> Option<usize> {
        let cold = self.cold_turn();
        let fits = |s: &Server| match scope {
            Some((KeyScope::Zone, zone, _)) => s.told.zone == zone,
            Some((KeyScope::Cell, _, cell)) => s.told.cell == cell,
            _ => true,
        };
        let able = |i: &usize| fits(&self.servers[*i]) && self.may_take(&self.servers[*i]);
        let mut able: Vec<usize> = self.by_id.values().copied().filter(able).collect();
        if let Some(cold) = cold.filter(|i| able.contains(i) && Some(*i) != but) {
            return Some(cold);
        }
        able.retain(|&i| self.warmth(&self.servers[i]) >= 1.0);
        // Danger: one of a hundred gateways never learns sixty backends: each keeps to a window of the ring.
        let share = SHARED_BY * able.len() as f64 / f64::from(self.set.gateways);
        let window = (share.ceil() as usize).max(FEW);
        if able.len() > window {
            let start = (f64::from(self.set.ordinal) * GOLDEN).fract() * able.len() as f64;
            able.rotate_left(start as usize);
            able.truncate(window);
        }
        if able.len() > 1 {
            able.retain(|&i| Some(i) != but);
        }
        // Danger: at a request a second nobody learns which backends are small; drawn by size they get it.
        let all: f64 = able.iter().map(|&i| self.servers[i].size()).sum();
        let mut drawn = |_| {
            let mut left = self.rng.f64() * all;
            able.iter().copied().find(|&i| {
                left -= self.servers[i].size();
                left < 0.0
            })
        };
        let few: Vec<usize> = (0..FEW).filter_map(&mut drawn).collect();
        // Danger: a fixed preference for the own zone would let it drown; chance keeps all in use and known.
        let cost = |i: &usize| {
            let s = &self.servers[*i];
            let far = if s.told.zone == self.set.zone { 1.0 } else { CROSS_ZONE };
            Self::slowness(s) * f64::from(s.out + 1) * far
        };
        let costs: Vec<f64> = few.iter().map(|i| cost(i) * (1.0 + DITHER * self.rng.f64())).collect();
        few.into_iter().zip(costs).min_by(|a, b| a.1.total_cmp(&b.1)).map(|best| best.0)
    }

    /// Judges a backend by what came of an attempt.
    pub(super) fn judge(&mut self, out: &Out, code: Code, elapsed: Millis, act: &mut Vec<Action>) {
        let (index, overtaken) = (out.server, self.overtaken(out));
        let typical = self.typical(out.class);
        let server = &mut self.servers[index];
        match code {
            Code::Success => {
                (server.faults, server.rest, server.rest_until) = (0, 0.0, 0.0);
                (server.answered, server.lag, server.silence) = (self.now, 0.0, 0.0);
                server.reached = server.reached.max(out.sent);
                if self.classes[out.class].known > 0.0 && self.stalled < self.now {
                    let weight = (1.0 / (server.evidence + 4.0)).max(0.05);
                    server.ratio += ((elapsed / typical).clamp(0.05, 20.0) - server.ratio) * weight;
                    server.evidence += 1.0;
                }
            }
            Code::Overloaded => server.ratio = (server.ratio * 1.2).min(20.0),
            Code::Failure | Code::TimedOut | Code::Unreachable | Code::Reset | Code::Unknown => {
                // What is met seldom is judged from little evidence.
                let clear = code == Code::Unreachable && server.evidence < SELDOM && server.faults < FAULTS;
                server.faults = if clear { FAULTS } else { server.faults + u32::from(!overtaken) };
                server.ratio = (server.ratio * (1.0 + 1.0 / (server.evidence + 1.0)).max(1.1)).min(20.0);
                let rests = server.faults == FAULTS && !overtaken && self.put_to_rest(index, act);
                // It may have started anew, and comes back cold; broken connections alone make none so.
                if rests && code == Code::Unreachable {
                    self.servers[index].ramp_from = self.servers[index].rest_until;
                }
            }
            Code::Cancelled | Code::NotSent => {}
        }
    }

    /// Leaves a backend alone but for single tries, until one is answered.
    pub(super) fn put_to_rest(&mut self, index: usize, act: &mut Vec<Action>) -> bool {
        let ready = |s: &&Server| s.told.state == BackendState::Ready;
        let doubted = self.servers.iter().filter(ready).filter(|s| s.doubted()).count();
        // Danger: judged alone, a common trouble would put most of the fleet to rest.
        if (doubted + 1) * 2 > self.servers.iter().filter(ready).count() {
            self.servers[index].faults = FAULTS - 1;
            return false;
        }
        let server = &mut self.servers[index];
        (server.faults, server.rest, server.rest_until) = (FAULTS, REST, self.now + REST);
        act.push(Action::Trace(format!("resting {} with {} out", server.told.id, server.out)));
        true
    }

    pub(super) fn list(&mut self, kind: ListKind, backends: Vec<Backend>, act: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            return self.remind(Due::Subscribe, 1000.0, act);
        }
        if kind != ListKind::Changes {
            self.servers.iter_mut().for_each(|s| s.told.state = BackendState::Removed);
        }
        let used: BTreeSet<usize> = self.by_id.values().copied().collect();
        let mut unused: Vec<usize> = (0..self.servers.len()).filter(|i| !used.contains(i)).collect();
        for mut told in backends {
            // Danger: a start in the future would never warm up; without a figure it was long ago.
            told.started_at = if told.started_at.is_finite() { told.started_at.min(self.now) } else { 0.0 };
            let (born, now) = (told.started_at, self.now);
            let ramp_from = if born > 0.0 { born } else { f64::NEG_INFINITY };
            let fresh = Server { ramp_from, answered: now, ratio: 1.0, ..Server::default() };
            let known = self.by_id.get(&told.id).copied();
            // Danger: backends are replaced under new ids all day; each takes the place of one that is gone.
            let index = known.or_else(|| unused.pop()).unwrap_or(self.servers.len());
            self.servers.resize_with(self.servers.len().max(index + 1), Server::default);
            if known.is_none() {
                self.by_id.insert(told.id.clone(), index);
                self.servers[index] = Server { told, ..fresh };
            } else if born > self.servers[index].told.started_at {
                self.servers[index] = Server { told, out: self.servers[index].out, ..fresh };
            } else {
                self.servers[index].told = told;
            }
        }
        let (servers, races) = (&self.servers, &self.races);
        self.by_id.retain(|_, i| {
            let in_use = servers[*i].out > 0 || races.iter().any(|race| race.1.contains(i));
            servers[*i].told.state != BackendState::Removed || in_use
        });
    }
}

impl Server {
    pub(super) fn size(&self) -> f64 {
        Some(self.told.rating).filter(|r| r.is_finite()).map_or(1.0, |r| r.clamp(0.1, 10.0))
    }

    /// Has failed or been silent for so long that it gets single tries only.
    pub(super) fn doubted(&self) -> bool {
        self.faults >= FAULTS
    }
}
