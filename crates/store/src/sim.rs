//! For tests in virtual time: a store by the published meaning of the commands that a client writes, and the wire to it.

use super::{Action, Client, Command, Ms, Reply, State};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A store of the commands that a client writes, by their published meaning.
#[derive(Default)]
pub struct Store {
    pub values: BTreeMap<String, String>,
    pub changes: BTreeMap<String, u64>,
    pub expiring: BTreeSet<String>,
}

/// One connection's transaction.
#[derive(Default)]
pub struct Session {
    pub watched: Vec<(String, u64)>,
    pub queued: Option<Vec<Command>>,
}

impl Store {
    fn stamp(&self, key: &str) -> u64 {
        self.changes.get(key).copied().unwrap_or(0)
    }

    pub fn set(&mut self, key: &str, value: String) {
        self.values.insert(key.into(), value);
        *self.changes.entry(key.into()).or_default() += 1;
    }

    pub fn empty(&mut self) {
        for key in std::mem::take(&mut self.values).into_keys() {
            *self.changes.entry(key).or_default() += 1;
        }
    }

    pub fn total(&self, period: i64, customer: u64) -> f64 {
        self.values.get(&format!("p:{period}:{customer:x}")).map_or(0.0, |v| v.parse().expect("a number"))
    }

    fn one(&mut self, words: &Command) -> Reply {
        let get = |key: &String| self.values.get(key).map_or(Reply::Nil, |v| Reply::Text(v.clone()));
        match words[0].as_str() {
            "GET" => get(&words[1]),
            "MGET" => Reply::Many(words[1..].iter().map(get).collect()),
            "SET" if words.iter().any(|w| w == "NX") && self.values.contains_key(&words[1]) => Reply::Nil,
            "SET" => {
                self.set(&words[1], words[2].clone());
                Reply::Text("OK".into())
            }
            "INCRBYFLOAT" | "INCR" => {
                let by = words.get(2).map_or(1.0, |by| by.parse::<f64>().expect("a number"));
                let old = self.values.get(&words[1]).map_or(0.0, |v| v.parse::<f64>().expect("a number"));
                self.set(&words[1], (old + by).to_string());
                get_again(&self.values, &words[1])
            }
            "PEXPIRE" => {
                self.expiring.insert(words[1].clone());
                Reply::Text("1".into())
            }
            other => panic!("{other}"),
        }
    }

    fn take(&mut self, session: &mut Session, words: Command) -> Reply {
        match (words[0].as_str(), &mut session.queued) {
            ("EXEC", queued) => {
                let queued = queued.take().expect("in MULTI");
                let watched = std::mem::take(&mut session.watched);
                if watched.iter().any(|(key, stamp)| self.stamp(key) != *stamp) {
                    return Reply::Nil;
                }
                Reply::Many(queued.iter().map(|words| self.one(words)).collect())
            }
            (_, Some(queued)) => {
                queued.push(words);
                Reply::Text("QUEUED".into())
            }
            ("MULTI", queued) => {
                *queued = Some(vec![]);
                Reply::Text("OK".into())
            }
            ("WATCH", _) => {
                session.watched.push((words[1].clone(), self.stamp(&words[1])));
                Reply::Text("OK".into())
            }
            _ => self.one(&words),
        }
    }
}

fn get_again(values: &BTreeMap<String, String>, key: &str) -> Reply {
    values.get(key).map_or(Reply::Nil, |v| Reply::Text(v.clone()))
}

/// A gateway's wire: what is on its way to the store, on the present connection and on those given up.
#[derive(Default)]
pub struct Wire {
    pub session: Session,
    pub pending: VecDeque<Command>,
    pub answers: VecDeque<Reply>,
    pub late: Vec<(Session, VecDeque<Command>)>,
    pub open: bool,
    pub used: Vec<(u64, f64)>,
    pub lost: usize,
    pub turned: Vec<State>,
}

impl Wire {
    pub fn carry(&mut self, client: &mut Client, now: Ms, act: Vec<Action>, cut: bool) {
        for action in act {
            match action {
                Action::Connect(_) if cut => client.dropped(now, &mut vec![]),
                Action::Connect(_) => {
                    self.open = true;
                    let act = client.connected(now);
                    self.carry(client, now, act, cut);
                }
                Action::Close => self.give_up(),
                Action::Write(commands) => self.pending.extend(commands),
                Action::Use(customer, percent) => self.used.push((customer, percent)),
                Action::Lost => self.lost += 1,
                Action::Turned(turned) => self.turned.push(turned.to),
                Action::Failed | Action::Speak(_) => {}
            }
        }
    }

    /// The gateway lets go of the connection; what it wrote may still arrive.
    pub fn give_up(&mut self) {
        self.late.push((std::mem::take(&mut self.session), std::mem::take(&mut self.pending)));
        self.answers.clear();
        self.open = false;
    }

    /// What was written reaches the store.
    pub fn arrive(&mut self, store: &mut Store) {
        for words in std::mem::take(&mut self.pending) {
            let reply = store.take(&mut self.session, words);
            self.answers.push_back(reply);
        }
    }

    /// The answers reach the gateway.
    pub fn answer(&mut self, client: &mut Client, now: Ms) {
        while let Some(reply) = self.answers.pop_front() {
            let act = client.reply(now, reply);
            self.carry(client, now, act, false);
        }
    }

    pub fn arrive_late(&mut self, store: &mut Store) {
        for (mut session, pending) in self.late.drain(..) {
            for words in pending {
                store.take(&mut session, words);
            }
        }
    }

    /// All of it, at once.
    pub fn pass(&mut self, client: &mut Client, store: &mut Store, now: Ms) {
        for _ in 0..3 {
            self.arrive(store);
            self.answer(client, now);
        }
    }
}
