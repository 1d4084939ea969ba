//! Explores all interleavings of the writer's thread and the thread that makes its requests.
//!
//! The requester appends records with increasing numbers and requests a rewrite. Whenever a record is reported as
//! durable, the test simulates a power loss at that moment: the newest record read back must not be older.

#[path = "../../record_log/tests/power/mod.rs"]
mod power;

use std::io::Result;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use googletest::prelude::{expect_that, gt, gtest};
use power::{Choices, Fault, InjectedBug, PowerLossFile, PowerLossFileSystem};
use shuttle::sync::mpsc::{channel, Receiver, Sender};
use shuttle::thread;
use switchhill_record_log::{FileSystem, LogFile, Options};
use switchhill_replica_file::{open, Identity, RequestQueue, WriteRequest, WriterEvent};

const OPTIONS: Options = Options { rewrite_above_bytes: 60 };

const IDENTITY: Identity = Identity { replica: 7, genesis: true };

/// A disk that yields to the other thread before each operation that makes data durable.
#[derive(Clone)]
struct Interleaved(PowerLossFileSystem);

struct InterleavedFile(PowerLossFile);

impl FileSystem for Interleaved {
    type File = InterleavedFile;

    fn create_directory(&self, directory: &Path) -> Result<()> {
        self.0.create_directory(directory)
    }

    fn open(&self, path: &Path) -> Result<InterleavedFile> {
        self.0.open(path).map(InterleavedFile)
    }

    fn exists(&self, path: &Path) -> Result<bool> {
        self.0.exists(path)
    }

    fn rename(&self, from: &Path, to: &Path) -> Result<()> {
        thread::yield_now();
        self.0.rename(from, to)
    }

    fn remove(&self, path: &Path) -> Result<()> {
        self.0.remove(path)
    }

    fn sync_directory(&self, directory: &Path) -> Result<()> {
        thread::yield_now();
        self.0.sync_directory(directory)
    }
}

impl LogFile for InterleavedFile {
    fn read_all(&mut self) -> Result<Vec<u8>> {
        self.0.read_all()
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> Result<()> {
        self.0.write_at(offset, bytes)
    }

    fn set_length(&mut self, length: u64) -> Result<()> {
        self.0.set_length(length)
    }

    fn sync(&mut self) -> Result<()> {
        thread::yield_now();
        self.0.sync()
    }
}

struct Queue {
    requests: Receiver<WriteRequest>,
    /// Injected bug: later requests overtake a queued rewrite.
    delays_rewrites: bool,
    delayed: Vec<WriteRequest>,
}

impl RequestQueue for Queue {
    fn recv(&mut self) -> Option<WriteRequest> {
        self.delayed.pop().or_else(|| self.requests.recv().ok())
    }

    fn try_recv(&mut self) -> Option<WriteRequest> {
        while let Ok(request) = self.requests.try_recv() {
            if !self.delays_rewrites || !matches!(request, WriteRequest::Rewrite(_)) {
                return Some(request);
            }
            self.delayed.push(request);
        }
        self.delayed.pop()
    }
}

/// The thread that makes requests.
struct Requester {
    disk: PowerLossFileSystem,
    requests: Sender<WriteRequest>,
    events: Receiver<WriterEvent>,
    next: u64,
}

impl Requester {
    /// Requests the append of a new record under a new token.
    fn append(&mut self) {
        self.next += 1;
        let _ = self.requests.send(WriteRequest::Append(self.next, vec![self.next as u8].into()));
    }

    fn rewrite(&self) {
        let _ = self.requests.send(WriteRequest::Rewrite(vec![vec![self.next as u8].into()]));
    }

    /// Receives events until the newest record is durable. A record that failed is appended again.
    fn wait_until_durable(&mut self) {
        loop {
            match self.events.recv().expect("the writer is running") {
                WriterEvent::Persisted(token) => {
                    self.lose_power(token);
                    if token == self.next {
                        return;
                    }
                }
                WriterEvent::AppendFailed(token, _) if token == self.next => self.append(),
                WriterEvent::AppendFailed(..) | WriterEvent::RewriteFailed(_) => {}
                WriterEvent::RewriteNeeded => self.rewrite(),
            }
        }
    }

    fn lose_power(&self, durable: u64) {
        let now = self.disk.snapshot();
        let mut choices = Choices::coarse();
        loop {
            let disk = now.snapshot();
            disk.lose_power(&mut choices);
            let stored = open(disk, Path::new("/data"), OPTIONS, || IDENTITY).expect("the file opens");
            let newest = stored.records.last().map_or(0, |record| u64::from(record[0]));
            assert!(newest >= durable, "record {durable} is durable, {newest} is read");
            if !choices.advance() {
                return;
            }
        }
    }
}

#[derive(Clone, Copy, Default)]
struct Plan {
    fault: Option<(usize, Fault)>,
    bug: Option<InjectedBug>,
    delays_rewrites: bool,
    /// Whether a second record is appended after the rewrite.
    two_records: bool,
}

fn run(plan: Plan) {
    let disk = PowerLossFileSystem::new(plan.bug);
    let stored =
        open(Interleaved(disk.clone()), Path::new("/data"), OPTIONS, || IDENTITY).expect("the file opens");
    disk.inject_fault(plan.fault);
    let (requests, queue) = channel();
    let (event_sender, events) = channel();
    let mut queue = Queue { requests: queue, delays_rewrites: plan.delays_rewrites, delayed: Vec::new() };
    let writer = thread::spawn(move || {
        stored.writer.run(&mut queue, &mut |event| {
            let _ = event_sender.send(event);
        });
    });
    let mut requester = Requester { disk, requests, events, next: 0 };
    requester.append();
    requester.rewrite();
    if plan.two_records {
        requester.append();
    }
    requester.wait_until_durable();
    let Requester { requests, .. } = requester;
    drop(requests);
    writer.join().expect("the writer thread exits");
}

/// Runs all interleavings and returns their number.
fn run_all(plan: Plan) -> usize {
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    shuttle::check_dfs(
        move || {
            counted.fetch_add(1, Ordering::Relaxed);
            run(plan);
        },
        None,
    );
    count.load(Ordering::Relaxed)
}

#[gtest]
fn records_reported_durable_survive_an_immediate_power_loss() {
    let interleavings = run_all(Plan { two_records: true, ..Plan::default() });
    println!("{interleavings} interleavings");
    expect_that!(interleavings, gt(100));
}

#[gtest]
fn records_of_failed_operations_are_not_reported_durable() {
    let mut interleavings = 0;
    for operation in 0..9 {
        let tried = run_all(Plan { fault: Some((operation, Fault::Error)), ..Plan::default() });
        println!("operation {operation}: {tried} interleavings");
        interleavings += tried;
    }
    println!("{interleavings} interleavings");
    expect_that!(interleavings, gt(1_000));
}

#[test]
#[should_panic(expected = "is durable")]
fn reporting_durable_before_the_sync_is_detected() {
    run_all(Plan { bug: Some(InjectedBug::NoFileSync), ..Plan::default() });
}

#[test]
#[should_panic(expected = "is durable")]
fn reordering_a_rewrite_is_detected() {
    run_all(Plan { delays_rewrites: true, two_records: true, ..Plan::default() });
}
