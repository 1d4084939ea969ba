//! A stand-in for the shared store over RESP2, with what agreement uses: `GET`, `SET` with `NX` and `PX`, `PTTL`,
//! `DEL`, `MGET`, the set commands `SADD`, `SREM`, `SMEMBERS`, for the meter `INCR`, `INCRBYFLOAT` and `PEXPIRE`, `WATCH`/`UNWATCH`/`MULTI`/`EXEC`/`DISCARD`, `PING` and `FLUSHALL`, as the
//! published command reference describes them. Expiry is on the stand-in's monotonic clock.

use crate::stand_in::read_some;
use redis_protocol::resp2::decode::decode;
use redis_protocol::resp2::types::OwnedFrame;
use std::collections::{BTreeSet, HashMap};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes of commands that one connection may send before it is closed: a stand-in, not a store.
const MOST_PENDING: usize = 1024 * 1024;

/// What the stand-in does with what it is asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mood {
    /// As the command reference says.
    #[default]
    Works,
    /// Does it, and says nothing.
    Silent,
    /// Does it, and answers this much later.
    Slow(Duration),
    /// Answers every command with this error, such as `OOM command not allowed`.
    Refuses(&'static str),
    /// Does it, and breaks the connection in the middle of the answer.
    CutsAnswers,
    /// Answers a number to everything.
    WrongTypes,
    /// Does it, and answers arrays within arrays without an end.
    Nests,
    /// Does it, and announces an answer of a length that no memory holds.
    Huge,
}

#[derive(Clone, Default)]
struct Kept {
    mood: Mood,
    /// The one user that is let in, with its secret; without one everybody is.
    user: Option<(String, String)>,
    /// It knows no `HELLO`, as a store from before RESP3.
    old: bool,
    /// Connections that said who they are, and that speak RESP3.
    hailed: (u64, u64),
    sets: HashMap<String, BTreeSet<String>>,
    values: HashMap<String, (Vec<u8>, Option<Instant>)>,
    /// Per key, how often it changed; with `flushes`, what `WATCH` compares.
    changes: HashMap<String, u64>,
    flushes: u64,
    commands: u64,
}

impl Kept {
    fn live(&mut self, key: &str) -> Option<&(Vec<u8>, Option<Instant>)> {
        if self.values.get(key).is_some_and(|(_, until)| until.is_some_and(|until| until <= Instant::now())) {
            self.values.remove(key);
            *self.changes.entry(key.to_owned()).or_default() += 1;
        }
        self.values.get(key)
    }

    fn touch(&mut self, key: &str) {
        *self.changes.entry(key.to_owned()).or_default() += 1;
    }

    fn stamp(&mut self, key: &str) -> (u64, u64) {
        self.live(key);
        (self.changes.get(key).copied().unwrap_or(0), self.flushes)
    }
}

/// A running stand-in store.
pub struct Store {
    /// Where it listens, on loopback.
    pub address: SocketAddr,
    kept: Arc<Mutex<Kept>>,
}

enum Reply {
    Ok,
    Nil,
    NilArray,
    Queued,
    Int(i64),
    Bulk(Vec<u8>),
    Array(Vec<Reply>),
    Map(Vec<Reply>),
    Error(String),
}

impl Reply {
    fn write(&self, out: &mut Vec<u8>, resp3: bool) {
        match self {
            Reply::Nil | Reply::NilArray if resp3 => out.extend_from_slice(b"_\r\n"),
            Reply::Map(all) => {
                let sign =
                    if resp3 { format!("%{}\r\n", all.len() / 2) } else { format!("*{}\r\n", all.len()) };
                out.extend_from_slice(sign.as_bytes());
                all.iter().for_each(|reply| reply.write(out, resp3));
            }
            Reply::Ok => out.extend_from_slice(b"+OK\r\n"),
            Reply::Queued => out.extend_from_slice(b"+QUEUED\r\n"),
            Reply::Nil => out.extend_from_slice(b"$-1\r\n"),
            Reply::NilArray => out.extend_from_slice(b"*-1\r\n"),
            Reply::Int(n) => out.extend_from_slice(format!(":{n}\r\n").as_bytes()),
            Reply::Bulk(bytes) => {
                out.extend_from_slice(format!("${}\r\n", bytes.len()).as_bytes());
                out.extend_from_slice(bytes);
                out.extend_from_slice(b"\r\n");
            }
            Reply::Array(all) => {
                out.extend_from_slice(format!("*{}\r\n", all.len()).as_bytes());
                all.iter().for_each(|reply| reply.write(out, resp3));
            }
            Reply::Error(text) => out.extend_from_slice(format!("-{text}\r\n").as_bytes()),
        }
    }
}

/// One connection's transaction state.
#[derive(Default)]
struct Session {
    /// Answers go out in RESP3.
    resp3: bool,
    /// It has said who it is.
    known: bool,
    watched: Vec<(String, (u64, u64))>,
    queued: Option<Vec<Vec<Vec<u8>>>>,
}

impl Store {
    /// Starts a store on a port of loopback that the system picks.
    pub fn start() -> Store {
        Self::listen(Kept::default())
    }

    fn listen(kept: Kept) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
        let address = listener.local_addr().expect("its address");
        let kept = Arc::new(Mutex::new(kept));
        let shared = kept.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let kept = shared.clone();
                thread::spawn(move || serve(socket, &kept));
            }
        });
        Store { address, kept }
    }

    /// Forgets everything, as a store restarted empty.
    pub fn empty(&self) {
        let mut kept = self.kept.lock().expect("lock");
        kept.values.clear();
        kept.sets.clear();
        kept.flushes += 1;
    }

    /// From now on it does this.
    pub fn behave(&self, mood: Mood) {
        self.kept.lock().expect("lock").mood = mood;
    }

    /// From now on lets in this user alone.
    pub fn admit(&self, user: &str, secret: &str) {
        self.kept.lock().expect("lock").user = Some((user.into(), secret.into()));
    }

    /// From now on knows no `HELLO`.
    pub fn grow_old(&self) {
        self.kept.lock().expect("lock").old = true;
    }

    /// Connections that said who they are, and that speak RESP3.
    pub fn hailed(&self) -> (u64, u64) {
        self.kept.lock().expect("lock").hailed
    }

    /// Forgets every second key, as a store that came back with a part of itself.
    pub fn lose_half(&self) {
        let mut kept = self.kept.lock().expect("lock");
        let mut keys: Vec<String> = kept.values.keys().cloned().collect();
        keys.sort_unstable();
        for key in keys.into_iter().step_by(2) {
            kept.values.remove(&key);
            kept.touch(&key);
        }
    }

    /// A store of its own with all that this one holds: the other half of one that was split, or an old copy.
    pub fn copy(&self) -> Store {
        Self::listen(self.kept.lock().expect("lock").clone())
    }

    /// Every key that is there.
    pub fn keys(&self) -> Vec<String> {
        self.kept.lock().expect("lock").values.keys().cloned().collect()
    }

    /// Whether a key has been told how long to live.
    pub fn expires(&self, key: &str) -> bool {
        self.kept.lock().expect("lock").values.get(key).is_some_and(|(_, until)| until.is_some())
    }

    /// Forgets one key, as a store that lost it.
    pub fn lose(&self, key: &str) {
        let mut kept = self.kept.lock().expect("lock");
        kept.values.remove(key);
        kept.touch(key);
    }

    /// Puts a value under a key, as one restored from an old copy.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut kept = self.kept.lock().expect("lock");
        kept.values.insert(key.to_owned(), (value.to_vec(), None));
        kept.touch(key);
    }

    /// Commands served so far.
    pub fn commands(&self) -> u64 {
        self.kept.lock().expect("lock").commands
    }

    /// A key's value as it stands, for the tests' checks.
    pub fn peek(&self, key: &str) -> Option<Vec<u8>> {
        self.kept.lock().expect("lock").live(key).map(|(value, _)| value.clone())
    }
}

fn serve(mut socket: TcpStream, kept: &Mutex<Kept>) {
    let _ = socket.set_nodelay(true);
    let (mut bytes, mut some) = (Vec::new(), [0; 4096]);
    let mut session = Session::default();
    while let Ok(n @ 1..) = read_some(&mut socket, &mut some) {
        bytes.extend_from_slice(&some[..n]);
        if bytes.len() > MOST_PENDING {
            return;
        }
        let mut out = Vec::new();
        let mood = kept.lock().expect("lock").mood;
        loop {
            let (frame, used) = match decode(&bytes) {
                Ok(Some(whole)) => whole,
                Ok(None) => break,
                Err(_) => return,
            };
            bytes.drain(..used);
            let OwnedFrame::Array(words) = frame else { return };
            let words: Option<Vec<Vec<u8>>> = words
                .into_iter()
                .map(|word| match word {
                    OwnedFrame::BulkString(bytes) => Some(bytes),
                    _ => None,
                })
                .collect();
            let Some(words) = words.filter(|words| !words.is_empty()) else { return };
            let mut kept = kept.lock().expect("lock");
            kept.commands += 1;
            match mood {
                Mood::Refuses(why) => Reply::Error(why.into()).write(&mut out, false),
                Mood::WrongTypes => Reply::Int(7).write(&mut out, false),
                _ => {
                    let reply = command(&mut kept, &mut session, words);
                    reply.write(&mut out, session.resp3);
                }
            }
        }
        match mood {
            Mood::Silent => continue,
            Mood::Slow(late) => thread::sleep(late),
            Mood::CutsAnswers if !out.is_empty() => {
                let _ = socket.write_all(&out[..out.len() / 2]);
                return;
            }
            Mood::Nests if !out.is_empty() => out = b"*1\r\n".repeat(100_000),
            Mood::Huge if !out.is_empty() => out = b"$999999999999\r\n".to_vec(),
            _ => {}
        }
        if !out.is_empty() && socket.write_all(&out).is_err() {
            return;
        }
    }
}

fn text(word: &[u8]) -> String {
    String::from_utf8_lossy(word).into_owned()
}

fn command(kept: &mut Kept, session: &mut Session, words: Vec<Vec<u8>>) -> Reply {
    let name = text(&words[0]).to_ascii_uppercase();
    if kept.old && name == "HELLO" {
        // What a store does not know it says before it asks who is there.
        return Reply::Error("ERR unknown command 'HELLO'".into());
    }
    if matches!(name.as_str(), "HELLO" | "AUTH") {
        return hail(kept, session, &words);
    }
    if kept.user.is_some() && !session.known {
        return Reply::Error("NOAUTH Authentication required.".into());
    }
    if let Some(queued) = session.queued.as_mut() {
        match name.as_str() {
            "EXEC" => {
                let queued = session.queued.take().unwrap_or_default();
                let broken = session.watched.drain(..).any(|(key, stamp)| kept.stamp(&key) != stamp);
                if broken {
                    return Reply::NilArray;
                }
                return Reply::Array(queued.into_iter().map(|words| one(kept, words)).collect());
            }
            "DISCARD" => {
                session.queued = None;
                session.watched.clear();
                return Reply::Ok;
            }
            "MULTI" | "WATCH" => return Reply::Error(format!("ERR {name} inside MULTI is not allowed")),
            _ => {
                queued.push(words);
                return Reply::Queued;
            }
        }
    }
    match name.as_str() {
        "MULTI" => {
            session.queued = Some(Vec::new());
            Reply::Ok
        }
        "WATCH" => {
            for key in &words[1..] {
                let key = text(key);
                let stamp = kept.stamp(&key);
                session.watched.push((key, stamp));
            }
            Reply::Ok
        }
        "UNWATCH" => {
            session.watched.clear();
            Reply::Ok
        }
        "EXEC" | "DISCARD" => Reply::Error(format!("ERR {name} without MULTI")),
        _ => one(kept, words),
    }
}

/// `HELLO version [AUTH user secret]` and `AUTH user secret`.
fn hail(kept: &mut Kept, session: &mut Session, words: &[Vec<u8>]) -> Reply {
    let words: Vec<String> = words.iter().map(|word| text(word)).collect();
    let said = words.iter().position(|word| word.eq_ignore_ascii_case("AUTH")).map(|at| &words[at + 1..]);
    let resp3 = words[0].eq_ignore_ascii_case("HELLO") && words.get(1).is_some_and(|version| version == "3");
    match (&kept.user, said) {
        (Some((user, secret)), Some([u, s])) if u == user && s == secret => session.known = true,
        (Some(_), Some(_)) => {
            return Reply::Error("WRONGPASS invalid username-password pair or user is disabled.".into())
        }
        (Some(_), None) if !session.known => {
            return Reply::Error("NOAUTH HELLO must be called with the client already authenticated".into())
        }
        _ => {}
    }
    session.resp3 |= resp3;
    kept.hailed.0 += u64::from(session.known);
    kept.hailed.1 += u64::from(resp3);
    let field = |name: &str, value: Reply| [Reply::Bulk(name.into()), value];
    match words[0].as_str() {
        "HELLO" => Reply::Map(
            [
                field("server", Reply::Bulk("stand-in".into())),
                field("proto", Reply::Int(if resp3 { 3 } else { 2 })),
            ]
            .into_iter()
            .flatten()
            .collect(),
        ),
        _ => Reply::Ok,
    }
}

fn one(kept: &mut Kept, words: Vec<Vec<u8>>) -> Reply {
    let name = text(&words[0]).to_ascii_uppercase();
    let key = words.get(1).map(|key| text(key)).unwrap_or_default();
    match (name.as_str(), words.len()) {
        ("PING", _) => Reply::Ok,
        ("GET", 2) => kept.live(&key).map_or(Reply::Nil, |(value, _)| Reply::Bulk(value.clone())),
        ("PTTL", 2) => match kept.live(&key) {
            None => Reply::Int(-2),
            Some((_, None)) => Reply::Int(-1),
            Some((_, Some(until))) => {
                Reply::Int(until.saturating_duration_since(Instant::now()).as_millis().max(1) as i64)
            }
        },
        ("DEL", 2..) => {
            let mut gone = 0;
            for key in &words[1..] {
                let key = text(key);
                if kept.live(&key).is_some() {
                    kept.values.remove(&key);
                    kept.touch(&key);
                    gone += 1;
                }
            }
            Reply::Int(gone)
        }
        ("SET", 3..) => {
            let (mut nx, mut px) = (false, None);
            let mut options = words[3..].iter();
            while let Some(option) = options.next() {
                match text(option).to_ascii_uppercase().as_str() {
                    "NX" => nx = true,
                    "PX" => {
                        match options.next().and_then(|ms| text(ms).parse::<u64>().ok()).filter(|ms| *ms > 0)
                        {
                            Some(ms) => px = Some(ms),
                            None => return Reply::Error("ERR invalid expire time in 'set' command".into()),
                        }
                    }
                    _ => return Reply::Error("ERR syntax error".into()),
                }
            }
            if nx && kept.live(&key).is_some() {
                return Reply::Nil;
            }
            let until = px.map(|ms| Instant::now() + Duration::from_millis(ms));
            kept.values.insert(key.clone(), (words[2].clone(), until));
            kept.touch(&key);
            Reply::Ok
        }
        ("MGET", 2..) => {
            let value = |key: &Vec<u8>| match kept.live(&text(key)) {
                Some((value, _)) => Reply::Bulk(value.clone()),
                None => Reply::Nil,
            };
            Reply::Array(words[1..].iter().map(value).collect())
        }
        ("SADD" | "SREM", 3..) => {
            let set = kept.sets.entry(key).or_default();
            let members = words[2..].iter().map(|word| text(word));
            let changed = members.filter(|member| match name.as_str() {
                "SADD" => set.insert(member.clone()),
                _ => set.remove(member),
            });
            Reply::Int(changed.count() as i64)
        }
        ("SMEMBERS", 2) => {
            let members = kept.sets.get(&key).into_iter().flatten();
            Reply::Array(members.map(|member| Reply::Bulk(member.clone().into_bytes())).collect())
        }
        ("INCR", 2) | ("INCRBYFLOAT", 3) => {
            let by = words.get(2).map_or_else(|| "1".into(), |by| text(by));
            let Ok(by) = by.parse::<f64>() else {
                return Reply::Error("ERR value is not a valid float".into());
            };
            let (old, until) = kept.live(&key).cloned().unwrap_or_default();
            let Ok(old) = (if old.is_empty() { Ok(0.0) } else { text(&old).parse::<f64>() }) else {
                return Reply::Error("ERR value is not a valid float".into());
            };
            let sum = (old + by).to_string().into_bytes();
            kept.values.insert(key.clone(), (sum.clone(), until));
            kept.touch(&key);
            if name == "INCR" {
                return Reply::Int((old + by) as i64);
            }
            Reply::Bulk(sum)
        }
        ("PEXPIRE", 3) => {
            let Ok(ms) = text(&words[2]).parse::<u64>() else {
                return Reply::Error("ERR value is not an integer or out of range".into());
            };
            match kept.live(&key).cloned() {
                Some((value, _)) => {
                    let until = Instant::now() + Duration::from_millis(ms);
                    kept.values.insert(key, (value, Some(until)));
                    Reply::Int(1)
                }
                None => Reply::Int(0),
            }
        }
        ("FLUSHALL", 1) => {
            kept.values.clear();
            kept.sets.clear();
            kept.flushes += 1;
            Reply::Ok
        }
        _ => Reply::Error(format!("ERR unknown command or wrong number of arguments for '{name}'")),
    }
}
