//! The conversation with the store: what is written on a connection, and what its answers mean.

use crate::account::{Account, Add, Sent};
use crate::link::{Link, State, Turned};
use crate::{Ms, REBUILT_WITHIN};
use std::collections::VecDeque;
use switchhill_recovery::{staggered_start, Backoff};

/// Keys outlive their period by this many more.
const LIVES: f64 = 4.0;
/// After a failure the next try waits a random part of a ceiling that doubles from the first to the longest.
const TRY_AGAIN: (u64, u64) = (50, 2000);
/// What gateways that start together do first is spread over this long.
const SPREAD: u64 = 500;
/// Customers asked for in one call.
const MOST_KEYS: usize = 256;
/// Without a sign of it for so many periods a state is over.
const STATE_HOLDS: f64 = 2.0;

/// What a client is told of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// Begins every key.
    pub prefix: String,
    /// An answer that takes longer counts as none.
    pub timeout: Ms,
    /// The meter's period.
    pub period: Ms,
    /// How many gateways there are, which is this one, and its seed.
    pub gateways: u32,
    /// This one's number among them.
    pub ordinal: u32,
    /// All chance.
    pub seed: u64,
    /// How many addresses it may be found at; the next one is tried when one fails or is no primary.
    pub addresses: usize,
    /// The user's name and secret.
    pub auth: Option<(String, String)>,
    /// RESP3 is asked for; a store that does not know it is spoken to in RESP2.
    pub resp3: bool,
}

/// One command's words.
pub type Command = Vec<String>;

/// One answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// `+OK` and its like, numbers, text.
    Text(String),
    /// Nothing under that key; of `EXEC`: not executed.
    Nil,
    /// Several.
    Many(Vec<Reply>),
    /// It will not.
    Error(String),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A connection is to be opened to the address of this position.
    Connect(usize),
    /// From here on answers come in this version of the protocol.
    Speak(u8),
    /// The connection is to be dropped.
    Close,
    /// These are to be written, in one go.
    Write(Vec<Command>),
    /// A customer's use in percent of its quota, over all gateways.
    Use(u64, f64),
    /// The state of the link is another one.
    Turned(Turned),
    /// The store has lost what it held: this gateway's part is told again.
    Lost,
    /// A call failed.
    Failed,
}

/// What is awaited, in the order of the commands.
#[derive(Debug)]
enum Awaited {
    Nothing,
    /// The protocol's version and the user are agreed.
    Hello,
    Life,
    /// The number of the last batch that was executed; the greeting's last word.
    Number,
    Executed,
    /// `EXEC` of a number alone.
    Fenced(u64),
    Totals(i64, Vec<u64>),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Connection {
    None,
    Opening(Ms),
    /// The store is told who comes, and how it is to answer.
    Hello,
    /// Nothing may be counted before the greeting has been answered.
    Greeting,
    Ready,
}

/// One gateway's side of the conversation.
#[derive(Debug)]
pub struct Client {
    told: Told,
    account: Account,
    link: Link,
    connection: Connection,
    awaited: VecDeque<(Ms, Awaited)>,
    try_at: Ms,
    backoff: Backoff,
    /// This process, among all that ever counted there.
    own: String,
    life: Option<String>,
    names: u64,
    /// Which of its addresses is tried.
    address: usize,
    /// A connection was lost since the last greeting: what has gathered is told in turn.
    away: bool,
}

fn words(words: &[&str]) -> Command {
    words.iter().map(|word| (*word).to_owned()).collect()
}

fn number(reply: &Reply) -> Option<f64> {
    match reply {
        Reply::Text(text) => text.parse().ok(),
        _ => None,
    }
}

/// When a life began, by its name.
fn began(life: &str) -> Option<u64> {
    u64::from_str_radix(life.rsplit_once('-')?.1, 16).ok()
}

impl Client {
    /// A client that starts at `now`; its first contact is spread over half a second by its number.
    #[must_use]
    pub fn new(told: Told, now: Ms) -> Self {
        Self {
            account: Account::new(told.period, told.gateways, now),
            link: Link::new(STATE_HOLDS * told.period, now),
            connection: Connection::None,
            awaited: VecDeque::new(),
            try_at: now + staggered_start(SPREAD, told.gateways, told.ordinal, told.seed) as Ms,
            backoff: Backoff::new(TRY_AGAIN.0, TRY_AGAIN.1, told.seed),
            // Danger: two that count under one name would take each other's batches for their own.
            own: format!("{:016x}-{}-{:x}", told.seed, told.ordinal, now.max(0.0) as u64),
            life: None,
            names: 0,
            address: 0,
            away: true,
            told,
        }
    }

    /// Other settings from now on.
    pub fn retune(&mut self, period: Ms, gateways: u32, now: Ms) {
        self.account.retune(period, gateways, now);
        self.told.period = if period > 0.0 { period } else { self.told.period };
    }

    /// Whether the store has answered since the start.
    #[must_use]
    pub fn is_reached(&self) -> bool {
        self.life.is_some()
    }

    /// How the link is.
    #[must_use]
    pub fn state(&self) -> State {
        self.link.state()
    }

    /// When [`Client::turn`] is to be called again.
    #[must_use]
    pub fn next(&self, now: Ms) -> Ms {
        self.account.next(now)
    }

    #[cfg(test)]
    pub(crate) fn untold(&self) -> f64 {
        self.account.untold() + self.account.out.iter().flat_map(|b| &b.adds).map(|a| a.units).sum::<f64>()
    }

    /// Some time has passed, and this was sent on meanwhile: writes it and reads what is due.
    pub fn turn(&mut self, now: Ms, sent: Sent) -> Vec<Action> {
        let mut act = Vec::new();
        let read = self.account.turn(now, sent);
        let since = match self.connection {
            Connection::Opening(since) => Some(since),
            _ => self.awaited.front().map(|(at, _)| *at),
        };
        if since.is_some_and(|since| now - since > self.told.timeout) {
            self.leave(now, &mut act);
        }
        match self.connection {
            Connection::None if now >= self.try_at => {
                self.connection = Connection::Opening(now);
                act.push(Action::Connect(self.address));
            }
            Connection::Greeting if self.awaited.is_empty() => self.greet(now, &mut act),
            Connection::Ready => self.say(now, read, &mut act),
            _ => {}
        }
        self.look(now, &mut act);
        act
    }

    /// The connection that was asked for is there.
    pub fn connected(&mut self, now: Ms) -> Vec<Action> {
        let mut act = Vec::new();
        self.hello(now, &mut act);
        act
    }

    /// Agrees on the protocol and the user, where there is anything to agree on.
    fn hello(&mut self, now: Ms, act: &mut Vec<Action>) {
        let mut command = Vec::new();
        if self.told.resp3 {
            command.extend(words(&["HELLO", "3"]));
        }
        if let Some((user, secret)) = &self.told.auth {
            command.extend(words(&["AUTH", user, secret]));
        }
        if command.is_empty() {
            return self.greet(now, act);
        }
        self.connection = Connection::Hello;
        self.awaited.push_back((now, Awaited::Hello));
        act.extend([Action::Speak(if self.told.resp3 { 3 } else { 2 }), Action::Write(vec![command])]);
    }

    /// What came of it.
    fn hailed(&mut self, now: Ms, reply: &Reply, act: &mut Vec<Action>) {
        match reply {
            Reply::Error(why)
                if self.told.resp3 && (why.starts_with("NOPROTO") || why.contains("unknown command")) =>
            {
                self.told.resp3 = false;
                act.push(Action::Speak(2));
                self.hello(now, act);
            }
            // It will not have this user, or not yet: the connection is of no use.
            Reply::Error(_) => self.leave(now, act),
            _ => self.greet(now, act),
        }
    }

    fn leave(&mut self, now: Ms, act: &mut Vec<Action>) {
        act.push(Action::Close);
        self.dropped(now, act);
    }

    /// The connection broke, or could not be had.
    pub fn dropped(&mut self, now: Ms, act: &mut Vec<Action>) {
        self.connection = Connection::None;
        self.awaited.clear();
        self.address = (self.address + 1) % self.told.addresses.max(1);
        self.try_at = now + self.backoff.next_delay() as Ms;
        self.away = true;
        self.link.silent();
        act.push(Action::Failed);
        self.look(now, act);
    }

    fn look(&mut self, now: Ms, act: &mut Vec<Action>) {
        act.extend(self.link.look(now).map(Action::Turned));
    }

    fn number_key(&self) -> String {
        format!("{}:seq:{}", self.told.prefix, self.own)
    }

    /// Gives the store a life where it has none, and asks for it.
    fn life(&mut self, now: Ms) -> [Command; 2] {
        let key = format!("{}:life", self.told.prefix);
        // Danger: a name given twice would hide from the others that the store was emptied in between.
        self.names += 1;
        let name = format!("{}.{}-{:x}", self.own, self.names, now.max(0.0) as u64);
        [words(&["SET", &key, &name, "NX"]), words(&["GET", &key])]
    }

    /// Asks whose life the store is in, giving it one where it has none, and which batch was the last.
    fn greet(&mut self, now: Ms, act: &mut Vec<Action>) {
        self.connection = Connection::Greeting;
        let number = self.number_key();
        let [named, life] = self.life(now);
        act.push(Action::Write(vec![
            named,
            life,
            // Danger: looked at before it is watched, a late batch of an older connection could slip in between.
            words(&["WATCH", &number]),
            words(&["GET", &number]),
        ]));
        let awaited = [Awaited::Nothing, Awaited::Life, Awaited::Nothing, Awaited::Number];
        self.awaited.extend(awaited.map(|awaited| (now, awaited)));
    }

    /// Writes a batch, and asks for totals.
    fn say(&mut self, now: Ms, read: Option<(i64, Vec<u64>)>, act: &mut Vec<Action>) {
        let mut commands = Vec::new();
        let lives = format!("{:.0}", self.told.period * LIVES);
        let (prefix, number) = (self.told.prefix.clone(), self.number_key());
        let before = self.awaited.len();
        if self.awaited.is_empty() {
            // A batch that is still out was found not executed: it is said again as it was.
            let (fence, again) = (self.account.fence(), self.account.out.clone());
            if let Some(fence) = fence {
                // Danger: told again at once, its units would be there twice if that batch arrived after all.
                commands.push(words(&["MULTI"]));
                commands.extend(self.life(now));
                commands.push(words(&["SET", &number, &fence.to_string(), "PX", &lives]));
                commands.extend([words(&["EXEC"]), words(&["WATCH", &number])]);
                self.awaited.extend(commands.iter().map(|_| (now, Awaited::Nothing)));
                self.awaited[before + 4].1 = Awaited::Fenced(fence);
            } else if let Some(batch) = again.or_else(|| self.account.batch().cloned()) {
                commands.push(words(&["MULTI"]));
                commands.extend(self.life(now));
                let key = |add: &Add| format!("{prefix}:{}:{:x}", add.period, add.customer);
                // Their answers are read in this place and order.
                let adds = batch.adds.iter();
                commands.extend(adds.map(|a| words(&["INCRBYFLOAT", &key(a), &a.units.to_string()])));
                let first = batch.adds.iter().filter(|add| add.first);
                commands.extend(first.map(|add| words(&["PEXPIRE", &key(add), &lives])));
                if let Some(period) = batch.closes {
                    let key = format!("{prefix}:closed:{period}");
                    commands.extend([words(&["INCR", &key]), words(&["PEXPIRE", &key, &lives])]);
                }
                commands.push(words(&["SET", &number, &batch.number.to_string(), "PX", &lives]));
                self.awaited.extend(commands.iter().map(|_| (now, Awaited::Nothing)));
                commands.push(words(&["EXEC"]));
                self.awaited.push_back((now, Awaited::Executed));
                commands.push(words(&["WATCH", &number]));
                self.awaited.push_back((now, Awaited::Nothing));
            }
        }
        if let Some((period, customers)) = read {
            for some in customers.chunks(MOST_KEYS) {
                let keys = some.iter().map(|customer| format!("{prefix}:{period}:{customer:x}"));
                let closed = format!("{prefix}:closed:{period}");
                commands.push(["MGET".to_owned(), closed].into_iter().chain(keys).collect());
                self.awaited.push_back((now, Awaited::Totals(period, some.to_vec())));
            }
        }
        debug_assert_eq!(commands.len(), self.awaited.len() - before);
        if !commands.is_empty() {
            act.push(Action::Write(commands));
        }
    }

    /// The store answered the oldest command that is out.
    pub fn reply(&mut self, now: Ms, reply: Reply) -> Vec<Action> {
        let mut act = Vec::new();
        let Some((asked, awaited)) = self.awaited.pop_front() else {
            // It says more than it was asked: whose answer is whose cannot be known.
            self.leave(now, &mut act);
            return act;
        };
        self.link.answered(now, now - asked, self.told.timeout);
        if let Reply::Error(why) = &reply {
            self.link.sign(now, State::Refusing, now);
            act.push(Action::Failed);
            // A replica, or one that is still reading its disk: another address may be the primary by now.
            let elsewhere = ["READONLY", "LOADING", "MASTERDOWN", "CLUSTERDOWN"];
            if self.told.addresses > 1 && elsewhere.iter().any(|word| why.starts_with(word)) {
                self.leave(now, &mut act);
                return act;
            }
        }
        match (awaited, reply) {
            (Awaited::Hello, reply) => self.hailed(now, &reply, &mut act),
            (Awaited::Life, Reply::Text(life)) => self.lives(now, life, &mut act),
            (Awaited::Number, Reply::Error(_)) | (Awaited::Life, _) => {}
            (Awaited::Number, reply) => self.greeted(&reply),
            (awaited @ (Awaited::Executed | Awaited::Fenced(_)), Reply::Many(answers)) => {
                // The first word named the life where there was none, the second tells it.
                if let Some(Reply::Text(life)) = answers.get(1) {
                    self.lives(now, life.clone(), &mut act);
                }
                match awaited {
                    Awaited::Fenced(number) => self.account.fenced(number),
                    _ => {
                        if self.account.became(answers.iter().skip(2).map(number)) {
                            self.link.sign(now, State::Forgetful, now);
                        }
                        self.account.executed();
                    }
                }
            }
            // Not executed: the number changed on the way, or the store will not. The greeting tells which.
            (Awaited::Executed | Awaited::Fenced(_), reply) => {
                self.connection = Connection::Greeting;
                if matches!(reply, Reply::Text(_)) {
                    self.link.sign(now, State::Refusing, now);
                }
            }
            (Awaited::Totals(period, customers), Reply::Many(totals)) => {
                self.totals(now, period, &customers, &totals, &mut act);
            }
            (Awaited::Totals(..), _) => self.link.sign(now, State::Refusing, now),
            (Awaited::Nothing, _) => {}
        }
        self.look(now, &mut act);
        act
    }

    /// The greeting is answered: what was out is settled, and counting may go on.
    fn greeted(&mut self, reply: &Reply) {
        if self.life.is_none() {
            return;
        }
        let last = match reply {
            Reply::Text(text) => text.parse().unwrap_or(0),
            _ => 0,
        };
        match self.account.out.as_ref().map(|batch| batch.number) {
            Some(number) if number == last => self.account.executed(),
            Some(number) if number < last => self.account.fenced(last),
            _ => self.account.not_executed(),
        }
        self.backoff.reset();
        if std::mem::take(&mut self.away) {
            self.account.back();
        }
        self.connection = Connection::Ready;
    }

    /// The store told its life.
    fn lives(&mut self, now: Ms, life: String, act: &mut Vec<Action>) {
        if let Some(known) = self.life.as_ref().filter(|known| **known != life) {
            let older = began(&life).zip(began(known)).is_some_and(|(new, old)| new < old);
            let state = if older { State::Replaced } else { State::Forgetful };
            self.link.sign(now, state, now + REBUILT_WITHIN);
            self.account.lost(now);
            act.push(Action::Lost);
        }
        self.life = Some(life);
    }

    fn totals(&mut self, now: Ms, period: i64, customers: &[u64], totals: &[Reply], act: &mut Vec<Action>) {
        let Some((marks, totals)) = totals.split_first().filter(|(_, t)| t.len() == customers.len()) else {
            return;
        };
        // Without a mark, this one's own is missing too: the store forgot, or this one was late.
        let Some(marks) = number(marks).filter(|marks| *marks >= 1.0) else { return };
        let missing = self.account.marked(now, marks as u64);
        if missing > 0.0 {
            if self.account.read_again(now, period) {
                return;
            }
            self.link.sign(now, State::Split, now);
        }
        for (customer, total) in customers.iter().zip(totals) {
            let percent = self.account.percent(now, period, *customer, number(total), missing);
            act.extend(percent.map(|percent| Action::Use(*customer, percent)));
        }
    }
}
