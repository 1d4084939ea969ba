//! The shared store, spoken to in RESP, as the meter: what each gateway sent on, added up by period.
//!
//! A gateway adds what it sent on to one key per customer and meter period, in batches, and once a period
//! is over reads the totals of the customers it has seen. Nothing waits for the store: without totals the
//! module's readings grow old and its slices fall to their floor.

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

/// How often what was sent on is written out.
const FLUSH: Millis = 250.0;
/// How long after a period's end its totals are read: by then every gateway has written its last batch.
const READ_AFTER: Millis = 300.0;
/// A key outlives its period by this many more.
const LIVES: f64 = 4.0;
/// After a failure the next try waits this long.
const AGAIN: Millis = 1000.0;
/// Customers asked for in one call.
const MOST_KEYS: usize = 256;
/// Bytes of answers that may pile up.
const MOST_ANSWER: usize = 1024 * 1024;

/// What is awaited of the store, in the order of the calls.
enum Awaited {
    Written,
    Totals(i64, Vec<u64>),
}

/// A period whose totals are read, and the customers that are asked for.
type Reading = (i64, Vec<u64>);

/// What a gateway sent on for one customer in one period, and the quota's rate.
type Sent = BTreeMap<u64, (f64, f64)>;

/// The account that is kept with the shared store.
pub(super) struct Account {
    store: Store,
    period: Millis,
    current: i64,
    sent: BTreeMap<i64, Sent>,
    unread: Option<i64>,
    token: Option<Token>,
    try_at: Millis,
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
}

impl Account {
    pub(super) fn new(store: Store, period: Millis, now: Millis) -> Self {
        let current = (now / period).floor() as i64;
        Self { store, period, current, sent: BTreeMap::new(), unread: None, token: None, try_at: now }
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

    /// Takes what was sent on since the last call, and moves on to the period of `now`. Tells what is to
    /// be added, and the period whose totals are to be read, with their customers.
    fn turn(&mut self, now: Millis, sent: Sent) -> (Vec<(String, f64)>, Option<Reading>) {
        let adds =
            sent.iter().map(|(customer, (units, _))| (self.key(self.current, *customer), *units)).collect();
        let account = self.sent.entry(self.current).or_default();
        for (customer, (units, rate)) in sent {
            let held = account.entry(customer).or_insert((0.0, rate));
            held.0 += units;
        }
        let present = (now / self.period).floor() as i64;
        if present > self.current {
            (self.current, self.unread) = (present, Some(present - 1));
            self.sent.retain(|period, _| *period >= present - 3);
        }
        let due = self.unread.filter(|_| now >= self.read_at());
        let read = due.map(|period| {
            self.unread = None;
            // A customer that was quiet here lately may have been busy elsewhere.
            let mut customers: Vec<u64> = self.sent.values().flat_map(|sent| sent.keys().copied()).collect();
            customers.sort_unstable();
            customers.dedup();
            (period, customers)
        });
        (adds, read)
    }

    /// A customer's use in percent of its quota, from a period's total; `None` where it cannot be so.
    fn percent(&self, period: i64, customer: u64, total: Option<f64>) -> Option<f64> {
        let rate = self.sent.values().rev().find_map(|sent| sent.get(&customer))?.1;
        let own = self.sent.get(&period).and_then(|sent| sent.get(&customer)).map_or(0.0, |sent| sent.0);
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
        let (adds, read) = account.turn(self.now, self.core.take_sent_on());
        self.timers.push(account.next(self.now), Due::Account);
        match account.token {
            Some(token) => {
                if let Some(Conn::Store(mut link)) = self.slots.take(token) {
                    if link.is_stuck(self.now, account.store.timeout) {
                        self.drop_store(&mut account, link);
                        self.slots.release(token);
                    } else {
                        if link.connected && (!adds.is_empty() || read.is_some()) {
                            self.core.counters.store_batches += 1;
                            link.write_batch(self.now, &account, &adds, read);
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
        account.try_at = self.now + AGAIN;
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
        };
        self.slots.put(token, Conn::Store(link));
    }

    fn drop_store(&mut self, account: &mut Account, link: Link) {
        self.poll.remove(&link.socket);
        self.core.counters.store_failures += 1;
        // What was not answered may have been added: it is not written again.
        (account.token, account.try_at) = (None, self.now + AGAIN);
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

    fn store_answered(&mut self, account: &Account, awaited: Awaited, frame: &OwnedFrame) {
        match (awaited, frame) {
            (_, OwnedFrame::Error(_)) => self.core.counters.store_failures += 1,
            (Awaited::Totals(period, customers), OwnedFrame::Array(totals)) => {
                for (customer, total) in customers.into_iter().zip(totals) {
                    let total = match total {
                        OwnedFrame::BulkString(text) => {
                            std::str::from_utf8(text).ok().and_then(|t| t.parse().ok())
                        }
                        _ => None,
                    };
                    if let Some(percent) = account.percent(period, customer, total) {
                        self.inputs.push(Input::Usage(customer, percent));
                    }
                }
            }
            (Awaited::Totals(..) | Awaited::Written, _) => {}
        }
    }
}

impl Link {
    /// No connection, or no answer to the oldest call, in time.
    fn is_stuck(&self, now: Millis, timeout: Millis) -> bool {
        let since = if self.connected { self.awaited.front().map(|(at, _)| *at) } else { Some(self.since) };
        since.is_some_and(|since| now - since > timeout)
    }

    fn write_batch(&mut self, now: Millis, account: &Account, adds: &[(String, f64)], read: Option<Reading>) {
        let mut out = BytesMut::new();
        let lives = format!("{:.0}", account.period * LIVES);
        for (key, units) in adds {
            call(&mut out, &["INCRBYFLOAT", key, &units.to_string()]);
            call(&mut out, &["PEXPIRE", key, &lives]);
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
        Account::new(Store { address, prefix: "p".into(), timeout: 100.0 }, 1000.0, now)
    }

    #[test]
    fn what_is_sent_on_is_added_to_the_period_it_fell_in_and_read_once_after_its_end() {
        let mut account = account(5000.0);
        let (adds, read) = account.turn(5250.0, Sent::from([(7, (2.0, 4.0))]));
        assert_eq!((adds, read), (vec![("p:5:7".into(), 2.0)], None));
        let (adds, read) = account.turn(6000.0, Sent::from([(7, (1.0, 4.0))]));
        assert_eq!((adds, read), (vec![("p:5:7".into(), 1.0)], None));
        assert_eq!(account.turn(6000.0 + READ_AFTER, Sent::new()).1, Some((5, vec![7])));
        assert_eq!(account.turn(6990.0, Sent::new()).1, None);
    }

    #[test]
    fn every_period_is_read_however_short() {
        for period in [100.0, 500.0, 2000.0] {
            let (mut account, mut now, mut read) =
                (Account::new(account(0.0).store, period, 0.0), 0.0, vec![]);
            while now < 10.0 * period {
                now = account.next(now);
                read.extend(account.turn(now, Sent::new()).1.map(|(period, _)| period));
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
            assert_eq!(account.percent(5, customer, total), percent, "{customer} {total:?}");
        }
        // Quiet here in that period and unknown to the store, which may as well have forgotten.
        assert_eq!(account.percent(6, 7, None), None);
        assert_eq!(account.percent(6, 7, Some(1.0)), Some(25.0));
    }
}
