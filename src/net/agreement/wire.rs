//! What one register and the list of members are in the store.
//!
//! Keys, behind the fleet's prefix (`agreement`): `:K` (`EPOCH DIGEST`), `:K:settle` (the announcement, `PX`), `:K:EPOCH`
//! (the content), `:members` (a set of ids), `:member:ID` (a beat, `PX lease_ms`).

use super::held;
use super::link::Link;
use redis_protocol::resp2::types::OwnedFrame;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use switchhill_agreement::{digest, ListedMember, Ms, ProposalOutcome, ReadReply, Version};

/// What begins every key where an operator names nothing else.
pub const PREFIX: &str = "agreement";

/// Contents kept per register: the active, the pending and a few before.
const KEPT: usize = 4;

/// A blocking link to the store for one register of one participant.
pub struct Wire {
    link: Arc<Mutex<Link>>,
    prefix: String,
    kind: String,
    /// Contents by epoch, each kept only where it matched its version's digest.
    contents: BTreeMap<u64, (Version, Arc<Vec<u8>>)>,
    /// What a content must pass beyond its digest to count as held.
    valid: fn(&[u8]) -> bool,
    /// The content this participant wants to propose, by its digest.
    pub offered: BTreeMap<u64, Vec<u8>>,
    /// Members seen in the last listing, whose beats are asked for with the next.
    known: BTreeSet<String>,
    beat: u64,
}

impl Wire {
    /// A wire to the store at `address` for register `kind`; each call gives up after `timeout`.
    pub fn new(address: SocketAddr, kind: &str, timeout: Duration) -> Wire {
        Wire::over(Link::new(address, timeout, 0, 0), PREFIX, kind, |_| true)
    }

    pub(super) fn over(link: Arc<Mutex<Link>>, prefix: &str, kind: &str, valid: fn(&[u8]) -> bool) -> Wire {
        Wire {
            link,
            prefix: prefix.to_owned(),
            kind: kind.to_owned(),
            contents: BTreeMap::new(),
            valid,
            offered: BTreeMap::new(),
            known: BTreeSet::new(),
            beat: 0,
        }
    }

    /// The content of `version` if it is held here; it matched its digest when it was kept.
    pub fn content(&self, version: Version) -> Option<&Arc<Vec<u8>>> {
        self.contents.get(&version.epoch).filter(|(kept, _)| *kept == version).map(|(_, bytes)| bytes)
    }

    fn call(&self, commands: &[Vec<&[u8]>]) -> Result<Vec<OwnedFrame>, String> {
        held(&self.link).call(commands)
    }

    fn pointer_key(&self) -> String {
        format!("{}:{}", self.prefix, self.kind)
    }

    fn settle_key(&self) -> String {
        format!("{}:{}:settle", self.prefix, self.kind)
    }

    fn content_key(&self, epoch: u64) -> String {
        format!("{}:{}:{epoch}", self.prefix, self.kind)
    }

    /// `GET` the pointer and `PTTL` the announcement, then fetch a content not yet held.
    pub fn read(&mut self) -> Result<ReadReply, String> {
        let (pointer_key, settle_key) = (self.pointer_key(), self.settle_key());
        let answers =
            self.call(&[vec![b"GET", pointer_key.as_bytes()], vec![b"PTTL", settle_key.as_bytes()]])?;
        let pointer = bulk(&answers[0]).and_then(|text| Version::parse(&String::from_utf8_lossy(&text)));
        let settle_ms = match answers[1] {
            OwnedFrame::Integer(left) if left > 0 => Some(left as Ms),
            _ => None,
        };
        let mut content = false;
        if let Some(version) = pointer {
            if self.content(version).is_none() {
                let key = self.content_key(version.epoch);
                if let Some(bytes) = bulk(&self.call(&[vec![b"GET", key.as_bytes()]])?[0]) {
                    self.keep(version, Arc::new(bytes));
                }
            }
            content = self.content(version).is_some();
        }
        Ok(ReadReply { pointer, settle_ms, content_available: content })
    }

    /// Keeps a content where it matches `version`'s digest: the only place it is hashed.
    fn keep(&mut self, version: Version, bytes: Arc<Vec<u8>>) {
        if digest(&bytes) != version.digest || !(self.valid)(&bytes) {
            return;
        }
        self.contents.insert(version.epoch, (version, bytes));
        while self.contents.len() > KEPT {
            self.contents.pop_first();
        }
    }

    /// The compare-and-set of a proposal: content first, then the pointer and the announcement in one `EXEC`.
    pub fn propose(&mut self, version: Version, over: Option<Version>, announce_ms: Ms) -> ProposalOutcome {
        let Some(bytes) = self.offered.get(&version.digest).cloned() else { return ProposalOutcome::Lost };
        self.change(version, announce_ms, &bytes, |stored, pttl| stored == over && pttl <= 0)
    }

    /// Gives the pointer back where it holds less than `version`, with an announcement of `settle_ms`.
    pub fn restore(&mut self, version: Version, settle_ms: Ms) -> bool {
        let Some(bytes) = self.content(version).cloned() else { return false };
        let lower = |stored: Option<Version>, _| stored.is_none_or(|stored| stored.epoch < version.epoch);
        self.change(version, settle_ms, &bytes, lower) == ProposalOutcome::Won
    }

    fn change(
        &mut self,
        version: Version,
        settle_ms: Ms,
        bytes: &[u8],
        allowed: impl Fn(Option<Version>, i64) -> bool,
    ) -> ProposalOutcome {
        let (pointer_key, settle_key) = (self.pointer_key(), self.settle_key());
        let content_key = self.content_key(version.epoch);
        let (stored, settle) = (version.encode(), settle_ms.to_string());
        // Danger: the content goes in with the pointer, inside EXEC; written before the compare, a losing proposal
        // would overwrite the winner's content under the same epoch.
        let first = self.call(&[
            vec![b"WATCH", pointer_key.as_bytes(), settle_key.as_bytes()],
            vec![b"GET", pointer_key.as_bytes()],
            vec![b"PTTL", settle_key.as_bytes()],
        ]);
        let Ok(first) = first else { return ProposalOutcome::Lost };
        let now = bulk(&first[1]).and_then(|text| Version::parse(&String::from_utf8_lossy(&text)));
        let pttl = if let OwnedFrame::Integer(left) = first[2] { left } else { -2 };
        if !allowed(now, pttl) {
            let _ = self.call(&[vec![b"UNWATCH"]]);
            return ProposalOutcome::Lost;
        }
        let done = self.call(&[
            vec![b"MULTI"],
            vec![b"SET", content_key.as_bytes(), bytes],
            vec![b"SET", pointer_key.as_bytes(), stored.as_bytes()],
            vec![b"SET", settle_key.as_bytes(), b"1", b"PX", settle.as_bytes()],
            vec![b"EXEC"],
        ]);
        match done.as_deref() {
            Ok([.., OwnedFrame::Array(_)]) => {
                self.keep(version, Arc::new(bytes.to_vec()));
                ProposalOutcome::Won
            }
            _ => ProposalOutcome::Lost,
        }
    }

    /// Renews this member's key and lists the members whose keys live, in one round trip: the beats of those that
    /// the listing before named; who is new comes with the next.
    pub fn members(&mut self, me: &str, lease_ms: Ms) -> Result<Vec<ListedMember>, String> {
        let (mine, lease) = (self.member_key(me), lease_ms.to_string());
        let set = self.members_key();
        self.beat += 1;
        let beat = self.beat.to_string();
        let keys: Vec<String> = self.known.iter().map(|id| self.member_key(id)).collect();
        let mut asks: Vec<Vec<&[u8]>> = vec![
            vec![b"SET", mine.as_bytes(), beat.as_bytes(), b"PX", lease.as_bytes()],
            vec![b"SADD", set.as_bytes(), me.as_bytes()],
            vec![b"SMEMBERS", set.as_bytes()],
        ];
        if !keys.is_empty() {
            asks.push(std::iter::once(b"MGET".as_slice()).chain(keys.iter().map(|k| k.as_bytes())).collect());
        }
        let answers = self.call(&asks)?;
        let OwnedFrame::Array(ids) = &answers[2] else { return Err("SMEMBERS gave no list".into()) };
        let ids: BTreeSet<String> =
            ids.iter().filter_map(bulk).map(|id| String::from_utf8_lossy(&id).into_owned()).collect();
        let beats = match answers.get(3) {
            Some(OwnedFrame::Array(beats)) if beats.len() == self.known.len() => beats.as_slice(),
            Some(_) => return Err("MGET gave no list of its length".into()),
            None => &[],
        };
        let (mut listed, mut gone) = (Vec::new(), Vec::new());
        for (id, beat) in self.known.iter().zip(beats) {
            match bulk(beat).and_then(|beat| String::from_utf8_lossy(&beat).parse().ok()) {
                Some(beat) => listed.push(ListedMember { id: id.clone(), heartbeat: beat }),
                None if id != me => gone.push(id.as_bytes()),
                None => {}
            }
        }
        if !gone.is_empty() {
            // Who lives is back in the set with its next renewal; ids seen once do not stay in the store.
            let words: Vec<&[u8]> = [b"SREM".as_slice(), set.as_bytes()].into_iter().chain(gone).collect();
            self.call(&[words])?;
        }
        self.known = ids;
        Ok(listed)
    }

    /// Takes this member out at once, so that the others need not wait for its key to run out.
    pub(super) fn leave(&mut self, me: &str) {
        let (mine, set) = (self.member_key(me), self.members_key());
        let _ = self.call(&[vec![b"DEL", mine.as_bytes()], vec![b"SREM", set.as_bytes(), me.as_bytes()]]);
    }

    fn members_key(&self) -> String {
        format!("{}:members", self.prefix)
    }

    fn member_key(&self, id: &str) -> String {
        format!("{}:member:{id}", self.prefix)
    }
}

fn bulk(frame: &OwnedFrame) -> Option<Vec<u8>> {
    match frame {
        OwnedFrame::BulkString(bytes) => Some(bytes.clone()),
        _ => None,
    }
}
