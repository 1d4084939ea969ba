//! The replica's file, written by a thread of its own: the process goes on while the disk stalls.

use anyhow::Context;
use std::hash::{BuildHasher, Hasher};
use std::path::Path;
use std::sync::mpsc;
use std::time::Duration;
use switchhill_control::Input;
use switchhill_record_log::{Options, RecordLog};
use switchhill_register::{Member, ReplicaId};
use tokio::sync::mpsc::UnboundedSender;

/// Name of the file.
const LOG_NAME: &str = "replica";

/// Size in bytes above which the file is rewritten.
const REWRITE_ABOVE: u64 = 8 << 20;

/// First byte of the record that names the replica.
const IDENTITY_TAG: u8 = 0;

/// First byte of the register's records.
const REGISTER_TAG: u8 = 1;

/// Pause before a refused write is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What the disk holds at the start.
pub(super) struct Stored {
    /// The file.
    pub(super) log: RecordLog,
    /// Identity of the replica.
    pub(super) replica: u64,
    /// The register's records.
    pub(super) records: Vec<Vec<u8>>,
    /// Whether the replica is of the first electorate and has not voted yet.
    pub(super) is_genesis: bool,
}

/// Opens the file; an empty one is given an identity first, which is durable on return.
pub(super) fn open(folder: &Path, address: &str, first_voter: bool) -> anyhow::Result<Stored> {
    let options = Options { rewrite_above_bytes: REWRITE_ABOVE };
    let (mut log, records) = RecordLog::open(folder, LOG_NAME, options).context("the replica's file")?;
    let identity = records.iter().find_map(|record| read_identity(record));
    let (replica, genesis) = match identity {
        Some(identity) => identity,
        None => {
            let identity = match first_voter {
                true => (genesis_replica(address), true),
                false => (random_number(address), false),
            };
            log.append(&identity_record(identity)).context("the replica's identity")?;
            log.sync().context("the replica's identity")?;
            identity
        }
    };
    let records: Vec<Vec<u8>> = records.into_iter().filter_map(register_record).collect();
    let is_genesis = genesis && records.is_empty();
    Ok(Stored { log, replica, records, is_genesis })
}

/// Members of the first electorate.
pub(super) fn genesis_members(seeds: &[String]) -> Vec<Member> {
    let member =
        |address: &String| Member { id: ReplicaId(genesis_replica(address)), address: address.clone() };
    seeds.iter().map(member).collect()
}

/// Identity of a seed of the first electorate: a hash of its address, the same for all that know the address.
fn genesis_replica(address: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    address.bytes().fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME)) | 1
}

/// A number that no other process, and no other life of this one, draws.
pub(super) fn random_number(address: &str) -> u64 {
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write(address.as_bytes());
    hasher.write_u64(fastrand::u64(..));
    if let Ok(time) = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH) {
        hasher.write_u128(time.as_nanos());
    }
    // Even numbers: never the identity of a seed of the first electorate.
    hasher.finish() & !1
}

fn identity_record((replica, genesis): (u64, bool)) -> Vec<u8> {
    let mut record = vec![IDENTITY_TAG, u8::from(genesis)];
    record.extend(replica.to_be_bytes());
    record
}

fn read_identity(record: &[u8]) -> Option<(u64, bool)> {
    match record {
        [IDENTITY_TAG, genesis, replica @ ..] => {
            Some((u64::from_be_bytes(replica.try_into().ok()?), *genesis == 1))
        }
        _ => None,
    }
}

fn register_record(record: Vec<u8>) -> Option<Vec<u8>> {
    record.strip_prefix(&[REGISTER_TAG]).map(<[u8]>::to_vec)
}

fn tagged(record: &[u8]) -> Vec<u8> {
    let mut tagged = vec![REGISTER_TAG];
    tagged.extend_from_slice(record);
    tagged
}

enum Work {
    Append(u64, Vec<u8>),
    Rewrite(Vec<Vec<u8>>),
}

/// The thread that writes.
pub(super) struct Disk {
    work: mpsc::Sender<Work>,
}

impl Disk {
    /// Starts the thread. What is durable goes to `inputs`.
    pub(super) fn start(log: RecordLog, replica: u64, inputs: UnboundedSender<Input>) -> Disk {
        let (work, queue) = mpsc::channel();
        let writer = Writer {
            log,
            identity: identity_record((replica, replica & 1 == 1)),
            inputs,
            asked_rewrite: false,
        };
        std::thread::spawn(move || writer.run(&queue));
        Disk { work }
    }

    /// Appends a record; all that waits is synced together.
    pub(super) fn append(&self, token: u64, record: Vec<u8>) {
        let _ = self.work.send(Work::Append(token, record));
    }

    /// Replaces all records.
    pub(super) fn rewrite(&self, records: Vec<Vec<u8>>) {
        let _ = self.work.send(Work::Rewrite(records));
    }
}

struct Writer {
    log: RecordLog,
    identity: Vec<u8>,
    inputs: UnboundedSender<Input>,
    asked_rewrite: bool,
}

impl Writer {
    fn run(mut self, queue: &mpsc::Receiver<Work>) {
        while let Ok(first) = queue.recv() {
            let mut batch = vec![first];
            batch.extend(queue.try_iter());
            self.carry_out(batch);
        }
    }

    fn carry_out(&mut self, batch: Vec<Work>) {
        let mut tokens = Vec::new();
        for work in batch {
            match work {
                Work::Append(token, record) => match self.log.append(&tagged(&record)) {
                    Ok(()) => tokens.push(token),
                    Err(error) => self.failed(token, &error.to_string()),
                },
                Work::Rewrite(records) => self.replace(&records),
            }
        }
        let Some(last) = tokens.last().copied() else { return };
        match self.log.sync() {
            Ok(()) => self.tell(Input::Persisted(last)),
            Err(error) => tokens.iter().for_each(|token| self.failed(*token, &error.to_string())),
        }
        if self.log.wants_rewrite() && !self.asked_rewrite {
            self.asked_rewrite = true;
            self.tell(Input::LogIsLong);
        }
    }

    fn replace(&mut self, records: &[Vec<u8>]) {
        let mut all = vec![self.identity.clone()];
        all.extend(records.iter().map(|record| tagged(record)));
        self.asked_rewrite = false;
        if let Err(error) = self.log.rewrite(&all) {
            log::warn!("the replica's file could not be rewritten: {error}");
            std::thread::sleep(RETRY_PAUSE);
        }
    }

    fn failed(&self, token: u64, error: &str) {
        log::warn!("the replica's file: {error}");
        self.tell(Input::PersistFailed(token));
    }

    fn tell(&self, input: Input) {
        let _ = self.inputs.send(input);
    }
}
