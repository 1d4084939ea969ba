//! The replica's file, written by a thread of its own: the process goes on while the disk stalls.

use crate::system::essential_tasks::EssentialTasks;
use anyhow::Context;
use bytes::Bytes;
use std::hash::{BuildHasher, Hasher};
use std::path::Path;
use std::sync::mpsc;
use std::time::Duration;
use switchhill_control::Input;
use switchhill_record_log::{Options, StandardFileSystem};
use switchhill_register::{Member, ReplicaId};
use switchhill_replica_file::{Identity, OpenedReplica, RequestQueue, WriteRequest, Writer, WriterEvent};
use tokio::sync::mpsc::UnboundedSender;

/// Size in bytes above which the file is rewritten.
const REWRITE_ABOVE: u64 = 8 << 20;

/// Pause after a rewrite that was refused.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Opens the file; an empty one is given an identity first, which is durable on return.
pub(super) fn open(
    folder: &Path,
    address: &str,
    first_voter: bool,
) -> anyhow::Result<OpenedReplica<StandardFileSystem>> {
    let options = Options { rewrite_above_bytes: REWRITE_ABOVE };
    let fresh = || match first_voter {
        true => Identity { replica: genesis_replica(address), genesis: true },
        false => Identity { replica: random_number(address), genesis: false },
    };
    let opened = switchhill_replica_file::open(StandardFileSystem, folder, options, fresh)
        .with_context(|| format!("the replica's file in {}", folder.display()))?;
    log_discarded(folder, &opened);
    Ok(opened)
}

/// Tells what was cut off the file. A few bytes are the rest of a write that a loss of power has cut; a whole file that held no
/// identity is a lost disk.
fn log_discarded(folder: &Path, opened: &OpenedReplica<StandardFileSystem>) {
    if opened.discarded_bytes == 0 {
        return;
    }
    let what = match opened.is_new {
        true => "nothing else was in it: this machine starts as a new replica",
        false => "the records before them are kept",
    };
    log::warn!(
        "the replica's file in {}: {} bytes that are no records were cut off; {what}",
        folder.display(),
        opened.discarded_bytes
    );
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

/// The thread that writes.
pub(super) struct Disk {
    work: mpsc::Sender<WriteRequest>,
}

impl Disk {
    /// Starts the thread. What is durable goes to `inputs`.
    pub(super) fn start(
        writer: Writer<StandardFileSystem>,
        inputs: UnboundedSender<Input>,
        tasks: &mut EssentialTasks,
    ) -> Disk {
        let (work, queue) = mpsc::channel();
        let write = move || writer.run(&mut Queue(queue), &mut |report| tell(&inputs, report));
        tasks.spawn_thread("replica file", write);
        Disk { work }
    }

    /// Appends a record; all that waits is synced together.
    pub(super) fn append(&self, token: u64, record: Bytes) {
        let _ = self.work.send(WriteRequest::Append(token, record));
    }

    /// Replaces all records.
    pub(super) fn rewrite(&self, records: Vec<Bytes>) {
        let _ = self.work.send(WriteRequest::Rewrite(records));
    }
}

struct Queue(mpsc::Receiver<WriteRequest>);

impl RequestQueue for Queue {
    fn recv(&mut self) -> Option<WriteRequest> {
        self.0.recv().ok()
    }

    fn try_recv(&mut self) -> Option<WriteRequest> {
        self.0.try_recv().ok()
    }
}

fn tell(inputs: &UnboundedSender<Input>, report: WriterEvent) {
    let input = match report {
        WriterEvent::Persisted(token) => Input::Persisted(token),
        WriterEvent::AppendFailed(token, error) => {
            log::warn!("the replica's file: {error}");
            Input::PersistFailed(token)
        }
        WriterEvent::RewriteNeeded => Input::LogCompactionDue,
        WriterEvent::RewriteFailed(error) => {
            log::warn!("the replica's file could not be rewritten: {error}");
            std::thread::sleep(RETRY_PAUSE);
            return;
        }
    };
    let _ = inputs.send(input);
}
