//! The shared store, spoken to in RESP, as the meter: what each gateway sent on, added up by period.
//!
//! A gateway adds what it sent on to one key per customer and meter period, in batches, and once a period
//! is over reads the totals of the customers it has seen. Nothing waits for the store: without totals the
//! module's readings grow old and its slices fall to their floor.
//!
//! A key `PREFIX:life` names the store's life. When it changes, the store was lost: each gateway adds its parts of
//! the periods that it still keeps once more, and uses no totals until all have had the time to.

use super::poll::Interest;
use super::upstream::connect;
use super::{Conn, Due, Gateway};
use crate::core::Input;
use crate::interface::Millis;
use crate::memory::buffer::{Got, Inbound, Outbound};
use crate::memory::pool::Token;
use crate::process::config::Store;
use bytes::{Bytes, BytesMut};
use redis_protocol::resp2::decode::decode;
use redis_protocol::resp2::encode::extend_encode;
use redis_protocol::resp2::types::{BytesFrame, OwnedFrame};
use std::collections::{BTreeMap, VecDeque};
use std::net::TcpStream;
use switchhill_recovery::{first_at, Backoff};

/// How often what was sent on is written out.
const FLUSH: Millis = 250.0;
/// How long after a period's end its totals are read: by then every gateway has written its last batch.
const READ_AFTER: Millis = 300.0;
/// A key outlives its period by this many more.
const LIVES: f64 = 4.0;
/// After a failure the next try waits a random part of a ceiling that doubles from this to the longest.
const FIRST_AGAIN: u64 = 50;
const LONGEST_AGAIN: u64 = 2000;
/// What gateways that start together do first is spread over this long.
const SPREAD: u64 = 500;
/// What all gateways together add again a second to a store that was lost; each its part, by the told number.
const REBUILD_PER_SECOND: f64 = 400.0;
/// By this long after a new life of the store was seen, every gateway that reaches it has seen it too and has added its
/// parts again: the longest wait for another try, a batch, and some 600 parts over all of them.
const REBUILT_WITHIN: Millis = 3500.0;
/// Customers asked for in one call.
const MOST_KEYS: usize = 256;
/// Bytes of answers that may pile up.
const MOST_ANSWER: usize = 1024 * 1024;

/// What is awaited of the store, in the order of the calls.
enum Awaited {
    Written,
    /// The store's life, with what was added in the same batch.
    Life(Vec<Add>),
    Totals(i64, Vec<u64>),
}

/// A period whose totals are read, and the customers that are asked for.
type Reading = (i64, Vec<u64>);

/// What a gateway sent on for one customer in one period, and the quota's rate.
type Sent = BTreeMap<u64, (f64, f64)>;

/// Units to be added for a customer in a period.
type Add = (i64, u64, f64);

/// This gateway's part of a customer's use in one period.
#[derive(Debug, Clone, Copy, Default)]
struct Part {
    units: f64,
    rate: f64,
    /// How much of it the store was told in its present life.
    told: f64,
}

/// The account that is kept with the shared store.
pub(super) struct Account {
    store: Store,
    period: Millis,
    current: i64,
    sent: BTreeMap<i64, BTreeMap<u64, Part>>,
    unread: Option<i64>,
    token: Option<Token>,
    try_at: Millis,
    backoff: Backoff,
    /// A value for `PREFIX:life` where it has none.
    own_life: String,
    life: Option<String>,
    /// Totals read before then may lack somebody's part.
    trusted_from: Millis,
    /// What is to be added again, and how much of that may be by now.
    again: VecDeque<Add>,
    allowance: f64,
    gateways: f64,
}

/// The connection to the store.
pub(super) struct Link {
    socket: TcpStream,
    inbound: Inbound,
    outbound: Outbound,
    interest: Interest,
    awaited: VecDeque<(Millis, Awaited)>,
    since: Millis,
    connected: bool,
    /// The store has told its life on this connection, or that it has none: what is added is added to that one.
    greeted: bool,
}

impl Account {
    /// An account with the store, for one of so many gateways (their number and this one's) with its seed.
    pub(super) fn new(store: Store, period: Millis, now: Millis, number: (u32, u32), seed: u64) -> Self {
        Self {
            store,
            period,
            current: (now / period).floor() as i64,
            sent: BTreeMap::new(),
            unread: None,
            token: None,
            try_at: now + first_at(SPREAD, number.0, number.1, seed) as Millis,
            backoff: Backoff::new(FIRST_AGAIN, LONGEST_AGAIN, seed),
            own_life: format!("{seed:016x}-{:x}", now as u64),
            life: None,
            trusted_from: now + REBUILT_WITHIN,
            again: VecDeque::new(),
            allowance: 0.0,
            gateways: f64::from(number.0.max(1)),
        }
    }

    /// Whether the store has answered since the start.
    pub(super) fn is_reached(&self) -> bool {
        self.life.is_some()
    }

    fn life_key(&self) -> String {
        format!("{}:life", self.store.prefix)
    }

    /// The store told its life; `added` is what was added behind the call. A new life knows nothing but that.
    fn lives(&mut self, now: Millis, life: String, added: &[Add]) -> bool {
        let new = self.life.as_ref().is_some_and(|known| *known != life);
        if new {
            let oldest = self.oldest();
            let told = |period: i64, customer: u64| {
                let same = added.iter().filter(|(p, c, _)| (*p, *c) == (period, customer));
                same.map(|(_, _, units)| units).sum::<f64>()
            };
            let parts =
                self.sent.range(oldest..).flat_map(|(period, parts)| parts.iter().map(|p| (*period, p)));
            let lost = parts
                .map(|(period, (customer, part))| (period, *customer, part.told - told(period, *customer)));
            let lost: VecDeque<Add> = lost.filter(|(_, _, units)| *units > 0.0).collect();
            (self.again, self.allowance) = (lost, 0.0);
            self.trusted_from = now + REBUILT_WITHIN;
        }
        self.life = Some(life);
        new
    }

    /// The oldest period of which totals are still asked; of the ones before nothing is told any more.
    fn oldest(&self) -> i64 {
        self.unread.unwrap_or(self.current)
    }

    /// What the store has not been told yet; from now on it counts as told.
    fn news(&mut self) -> Vec<Add> {
        let oldest = self.oldest();
        let mut adds = Vec::new();
        for (period, parts) in &mut self.sent {
            for (customer, part) in parts {
                let left = part.units - std::mem::replace(&mut part.told, part.units);
                if left > 0.0 && *period >= oldest {
                    adds.push((*period, *customer, left));
                }
            }
        }
        adds
    }

    /// The store is reached again: what has gathered meanwhile is told at the rate of a lost store's parts, since every
    /// gateway that was cut off has as much.
    fn back(&mut self) {
        let gathered = self.news();
        self.again.extend(gathered);
    }

    /// What is to be added now. What was written and not answered may have been added: it is not written again. Of what
    /// has gathered or is told again, this gateway's part of what all may add.
    fn untold(&mut self) -> Vec<Add> {
        let mut adds = self.news();
        if !self.again.is_empty() {
            self.allowance += REBUILD_PER_SECOND / self.gateways * FLUSH / 1000.0;
            let some = (self.allowance as usize).min(self.again.len());
            self.allowance -= some as f64;
            adds.extend(self.again.drain(..some));
        }
        adds
    }

    fn key(&self, period: i64, customer: u64) -> String {
        format!("{}:{period}:{customer:x}", self.store.prefix)
    }

    /// When the totals of the period before the present one are complete.
    fn read_at(&self) -> Millis {
        self.current as f64 * self.period + READ_AFTER.min(0.6 * self.period)
    }

    /// The next time to write or read.
    fn next(&self, now: Millis) -> Millis {
        // Danger: a period's totals that are not read before the next one ends are never read.
        let read = if self.unread.is_some() { self.read_at() } else { f64::INFINITY };
        let end = (self.current + 1) as f64 * self.period;
        (now + FLUSH).min(end).min(read).max(now + 1.0)
    }

    /// Takes what was sent on since the last call, and moves on to the period of `now`. Tells the period whose totals
    /// are to be read, with their customers.
    fn turn(&mut self, now: Millis, sent: Sent) -> Option<Reading> {
        let account = self.sent.entry(self.current).or_default();
        for (customer, (units, rate)) in sent {
            let part = account.entry(customer).or_default();
            (part.units, part.rate) = (part.units + units, rate);
        }
        let present = (now / self.period).floor() as i64;
        if present > self.current {
            (self.current, self.unread) = (present, Some(present - 1));
            self.sent.retain(|period, _| *period >= present - 3);
        }
        let due = self.unread.filter(|_| now >= self.read_at());
        due.map(|period| {
            self.unread = None;
            // A customer that was quiet here lately may have been busy elsewhere.
            let mut customers: Vec<u64> = self.sent.values().flat_map(|sent| sent.keys().copied()).collect();
            customers.sort_unstable();
            customers.dedup();
            (period, customers)
        })
    }

    /// A customer's use in percent of its quota, from a period's total; `None` where it cannot be so.
    fn percent(&self, now: Millis, period: i64, customer: u64, total: Option<f64>) -> Option<f64> {
        // Danger: a total to which somebody's part is still missing is too low, and slices would grow by it.
        if now < self.trusted_from || !self.again.is_empty() {
            return None;
        }
        let rate = self.sent.values().rev().find_map(|sent| sent.get(&customer))?.rate;
        let own = self.sent.get(&period).and_then(|sent| sent.get(&customer)).map_or(0.0, |part| part.units);
        // Danger: a store that came back empty tells less than was added, and a slice scaled by that would
        // grow to the whole quota at every gateway. Less than our own part, or none, is no total.
        let total = total.filter(|t| t.is_finite() && *t >= own - 1e-6)?;
        (rate > 0.0).then(|| total / (rate * self.period / 1000.0) * 100.0)
    }
}

fn call(out: &mut BytesMut, words: &[&str]) {
    let words = words.iter().map(|w| BytesFrame::BulkString(Bytes::copy_from_slice(w.as_bytes()))).collect();
    // Only a frame that the protocol cannot say fails, and bulk strings it can.
    let _ = extend_encode(out, &BytesFrame::Array(words), false);
}

impl Gateway {
    /// Writes what was sent on and reads what is due.
    pub(super) fn account_due(&mut self) {
        let Some(mut account) = self.account.take() else { return };
        let read = account.turn(self.now, self.core.take_sent_on());
        self.timers.push(account.next(self.now), Due::Account);
        match account.token {
            Some(token) => {
                if let Some(Conn::Store(mut link)) = self.slots.take(token) {
                    if link.is_stuck(self.now, account.store.timeout) {
                        self.drop_store(&mut account, link);
                        self.slots.release(token);
                    } else {
                        let adds = if link.greeted { account.untold() } else { Vec::new() };
                        if link.greeted && (!adds.is_empty() || read.is_some()) {
                            self.core.counters.store_batches += 1;
                            link.write_batch(self.now, &account, adds, read);
                        }
                        self.account = Some(account);
                        let kept = self.store_ready(token, link, false).map(Conn::Store);
                        return self.keep(token, kept);
                    }
                }
            }
            None if self.now >= account.try_at => self.open_store(&mut account),
            None => {}
        }
        self.account = Some(account);
    }

    fn open_store(&mut self, account: &mut Account) {
        account.try_at = self.now + account.backoff.failed() as Millis;
        let token = self.slots.reserve();
        let interest = Interest { read: true, write: true };
        let socket = connect(account.store.address);
        let added = socket.and_then(|socket| self.poll.add(&socket, token, interest).map(|()| socket));
        let Ok(socket) = added else {
            self.core.counters.store_failures += 1;
            return self.slots.release(token);
        };
        account.token = Some(token);
        let link = Link {
            socket,
            inbound: Inbound::default(),
            outbound: Outbound::default(),
            interest,
            awaited: VecDeque::new(),
            since: self.now,
            connected: false,
            greeted: false,
        };
        self.slots.put(token, Conn::Store(link));
    }

    fn drop_store(&mut self, account: &mut Account, link: Link) {
        self.poll.remove(&link.socket);
        self.core.counters.store_failures += 1;
        // What was not answered may have been added: it is not written again.
        (account.token, account.try_at) = (None, self.now + account.backoff.failed() as Millis);
    }

    /// Handles an event; gives the connection back unless it is closed.
    pub(super) fn store_ready(&mut self, token: Token, mut link: Link, read: bool) -> Option<Link> {
        let mut account = self.account.take()?;
        let kept = self.exchange_with_store(token, &mut account, &mut link, read);
        let kept = if kept {
            Some(link)
        } else {
            self.drop_store(&mut account, link);
            None
        };
        self.account = Some(account);
        kept
    }

    fn exchange_with_store(
        &mut self,
        token: Token,
        account: &mut Account,
        link: &mut Link,
        read: bool,
    ) -> bool {
        if !link.connected {
            if !matches!(link.socket.take_error(), Ok(None)) {
                return false;
            }
            link.connected = link.socket.peer_addr().is_ok();
            if !link.connected {
                return true;
            }
            link.greet(self.now, account);
        }
        if read {
            loop {
                match link.inbound.read(&mut link.socket, &mut self.scratch) {
                    Got::Some if link.inbound.bytes().len() <= MOST_ANSWER => {}
                    Got::Blocked => break,
                    Got::Some | Got::End | Got::Broken => return false,
                }
            }
            loop {
                match decode(link.inbound.bytes()) {
                    Ok(Some((frame, used))) => {
                        link.inbound.consume(used);
                        let Some((_, awaited)) = link.awaited.pop_front() else { return false };
                        let greeted = matches!(awaited, Awaited::Life(_))
                            && !std::mem::replace(&mut link.greeted, true);
                        if greeted {
                            account.back();
                        }
                        self.store_answered(account, awaited, &frame);
                    }
                    Ok(None) => break,
                    Err(_) => return false,
                }
            }
        }
        let Ok(done) = link.outbound.write(&mut link.socket) else { return false };
        let interest = Interest { read: true, write: !done };
        if interest != link.interest {
            link.interest = interest;
            return self.poll.change(&link.socket, token, interest).is_ok();
        }
        true
    }

    fn store_answered(&mut self, account: &mut Account, awaited: Awaited, frame: &OwnedFrame) {
        match (awaited, frame) {
            (Awaited::Life(added), OwnedFrame::BulkString(life)) => {
                account.backoff.succeeded();
                if account.lives(self.now, String::from_utf8_lossy(life).into_owned(), &added) {
                    self.core.counters.store_lives += 1;
                    tracing::warn!(
                        "the shared store has lost what it held: this gateway's part is added again"
                    );
                }
            }
            (_, OwnedFrame::Error(_)) => self.core.counters.store_failures += 1,
            (Awaited::Totals(period, customers), OwnedFrame::Array(totals)) => {
                for (customer, total) in customers.into_iter().zip(totals) {
                    let total = match total {
                        OwnedFrame::BulkString(text) => {
                            std::str::from_utf8(text).ok().and_then(|t| t.parse().ok())
                        }
                        _ => None,
                    };
                    if let Some(percent) = account.percent(self.now, period, customer, total) {
                        self.inputs.push(Input::Usage(customer, percent));
                    }
                }
            }
            (Awaited::Totals(..) | Awaited::Written | Awaited::Life(_), _) => {}
        }
    }
}

impl Link {
    /// No connection, or no answer to the oldest call, in time.
    fn is_stuck(&self, now: Millis, timeout: Millis) -> bool {
        let since = if self.connected { self.awaited.front().map(|(at, _)| *at) } else { Some(self.since) };
        since.is_some_and(|since| now - since > timeout)
    }

    /// Asks for the store's life, giving it one where it has none; what follows in the same batch is `added`.
    fn ask_life(&mut self, now: Millis, account: &Account, out: &mut BytesMut, added: Vec<Add>) {
        let key = account.life_key();
        call(out, &["SET", &key, &account.own_life, "NX"]);
        call(out, &["GET", &key]);
        self.awaited.extend([(now, Awaited::Written), (now, Awaited::Life(added))]);
    }

    /// The first words on a connection.
    fn greet(&mut self, now: Millis, account: &Account) {
        let mut out = BytesMut::new();
        self.ask_life(now, account, &mut out, Vec::new());
        self.outbound.push(out.to_vec());
    }

    fn write_batch(&mut self, now: Millis, account: &Account, adds: Vec<Add>, read: Option<Reading>) {
        let mut out = BytesMut::new();
        let lives = format!("{:.0}", account.period * LIVES);
        self.ask_life(now, account, &mut out, adds.clone());
        for (period, customer, units) in adds {
            let key = account.key(period, customer);
            call(&mut out, &["INCRBYFLOAT", &key, &units.to_string()]);
            call(&mut out, &["PEXPIRE", &key, &lives]);
            self.awaited.extend([(now, Awaited::Written), (now, Awaited::Written)]);
        }
        if let Some((period, customers)) = read {
            for some in customers.chunks(MOST_KEYS) {
                let keys: Vec<String> = some.iter().map(|customer| account.key(period, *customer)).collect();
                let words: Vec<&str> =
                    std::iter::once("MGET").chain(keys.iter().map(String::as_str)).collect();
                call(&mut out, &words);
                self.awaited.push_back((now, Awaited::Totals(period, some.to_vec())));
            }
        }
        self.outbound.push(out.to_vec());
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn account(now: Millis) -> Account {
        let address = ([127, 0, 0, 1], 1).into();
        Account {
            trusted_from: 0.0,
            ..Account::new(Store { address, prefix: "p".into(), timeout: 100.0 }, 1000.0, now, (1, 0), 7)
        }
    }

    #[test]
    fn what_is_sent_on_is_added_to_the_period_it_fell_in_and_read_once_after_its_end() {
        let mut account = account(5000.0);
        let read = account.turn(5250.0, Sent::from([(7, (2.0, 4.0))]));
        assert_eq!((account.untold(), read), (vec![(5, 7, 2.0)], None));
        let read = account.turn(6000.0, Sent::from([(7, (1.0, 4.0))]));
        assert_eq!((account.untold(), read), (vec![(5, 7, 1.0)], None));
        assert_eq!(account.key(5, 7), "p:5:7");
        assert_eq!(account.turn(6000.0 + READ_AFTER, Sent::new()), Some((5, vec![7])));
        assert_eq!(account.turn(6990.0, Sent::new()), None);
    }

    #[test]
    fn a_store_that_was_lost_is_told_all_that_is_kept_again_and_its_totals_wait_for_the_others() {
        let mut account = account(5000.0);
        account.turn(5250.0, Sent::from([(7, (2.0, 4.0))]));
        assert_eq!(account.untold(), [(5, 7, 2.0)]);
        assert!(!account.lives(5260.0, "a".into(), &[]), "the first life that is seen is no new one");
        account.turn(6250.0, Sent::from([(7, (1.0, 4.0)), (8, (3.0, 4.0))]));
        account.turn(6290.0, Sent::new());
        let added = account.untold();
        assert!(!account.lives(6310.0, "a".into(), &added) && account.untold().is_empty());
        account.turn(6295.0, Sent::from([(8, (1.0, 4.0))]));
        let added = account.untold();
        assert_eq!(added, [(6, 8, 1.0)]);
        assert!(account.lives(6510.0, "b".into(), &added));
        // All but what went into the new life behind the call that told of it.
        assert_eq!(
            account.percent(6510.0 + REBUILT_WITHIN, 5, 7, Some(4.0)),
            None,
            "its own part is not there yet"
        );
        assert_eq!(account.untold(), [(5, 7, 3.0), (5, 8, 3.0)]);
        assert_eq!(
            account.percent(6510.0 + REBUILT_WITHIN - 1.0, 5, 7, Some(4.0)),
            None,
            "nor may others' be"
        );
        assert_eq!(account.percent(6510.0 + REBUILT_WITHIN, 5, 7, Some(4.0)), Some(100.0));
    }

    #[test]
    fn what_gathers_while_the_store_is_away_is_told_at_the_rate_of_all_and_not_for_periods_that_are_over() {
        let mut account = Account { gateways: 100.0, ..account(5000.0) };
        let parts =
            |from: u64| -> Sent { (from..from + 20).map(|customer| (customer, (1.0, 4.0))).collect() };
        assert_eq!(account.turn(6400.0, parts(0)), Some((5, (0..20).collect())));
        account.turn(6500.0, parts(100));
        account.back();
        let first: Vec<usize> = (0..4).map(|_| account.untold().len()).collect();
        assert_eq!(first, [1; 4], "four a second of 400 over 100 gateways, none of the period that was read");
        account.turn(6600.0, parts(100));
        assert_eq!(account.untold().len(), 21, "what is new is told at once");
    }

    #[test]
    fn many_gateways_tell_a_lost_store_again_no_faster_than_all_may_together() {
        let mut account = Account { gateways: 300.0, ..account(5000.0) };
        let parts: Sent = (0..40).map(|customer| (customer, (1.0, 4.0))).collect();
        account.turn(5250.0, parts);
        assert!(!account.lives(5250.0, "a".into(), &[]) && account.untold().len() == 40);
        assert!(account.lives(5500.0, "b".into(), &[]));
        let first_second: usize = (0..4).map(|_| account.untold().len()).sum();
        assert_eq!(first_second, 1, "400 a second over 300 gateways, not one a batch each");
        assert_eq!((0..200).map(|_| account.untold().len()).sum::<usize>(), 39, "all of it in the end");
    }

    #[test]
    fn every_period_is_read_however_short() {
        for period in [100.0, 500.0, 2000.0] {
            let (mut account, mut now, mut read) =
                (Account::new(account(0.0).store, period, 0.0, (1, 0), 7), 0.0, vec![]);
            while now < 10.0 * period {
                now = account.next(now);
                read.extend(account.turn(now, Sent::new()).map(|(period, _)| period));
            }
            assert_eq!(read, (0..9).collect::<Vec<_>>(), "{period}");
        }
    }

    #[test]
    fn totals_become_percent_of_the_quota_unless_the_store_forgot() {
        let mut account = account(5000.0);
        account.turn(5500.0, Sent::from([(7, (2.0, 4.0))]));
        for (customer, total, percent) in [
            (7, Some(4.0), Some(100.0)),
            (7, Some(2.0), Some(50.0)),
            // Less than our own part, or nothing at all: the store came back empty.
            (7, Some(1.0), None),
            (7, None, None),
            (7, Some(f64::NAN), None),
            (8, Some(4.0), None),
        ] {
            assert_eq!(account.percent(7000.0, 5, customer, total), percent, "{customer} {total:?}");
        }
        // Quiet here in that period and unknown to the store, which may as well have forgotten.
        assert_eq!(account.percent(7000.0, 6, 7, None), None);
        assert_eq!(account.percent(7000.0, 6, 7, Some(1.0)), Some(25.0));
    }
}
