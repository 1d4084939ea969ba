//! The writer's thread beside the thread that decides, through all their interleavings.
//!
//! The decider asks for records with rising numbers and for a rewrite. Whenever it hears that a record is durable, power
//! is lost there and then: the newest record read back may not be older.

#[path = "../../record_log/tests/power/mod.rs"]
mod power;

use std::io::Result;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use googletest::prelude::{expect_that, gt, gtest};
use power::{Choices, Flaw, PowerFile, PowerFileSystem, Trouble};
use shuttle::sync::mpsc::{channel, Receiver, Sender};
use shuttle::thread;
use switchhill_record_log::{FileSystem, LogFile, Options};
use switchhill_replica_file::{open, Identity, RequestQueue, WriteRequest, WriterEvent};

const OPTIONS: Options = Options { rewrite_above_bytes: 60 };

const IDENTITY: Identity = Identity { replica: 7, genesis: true };

/// The disk; the other thread may go on before each operation after which more is durable.
#[derive(Clone)]
struct Interleaved(PowerFileSystem);

struct InterleavedFile(PowerFile);

impl FileSystem for Interleaved {
    type File = InterleavedFile;

    fn create_directory(&self, folder: &Path) -> Result<()> {
        self.0.create_directory(folder)
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

    fn sync_directory(&self, folder: &Path) -> Result<()> {
        thread::yield_now();
        self.0.sync_directory(folder)
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
    work: Receiver<WriteRequest>,
    /// Planted fault: a rewrite that waits gives way to what was asked for after it.
    rewrites_late: bool,
    held_back: Vec<WriteRequest>,
}

impl RequestQueue for Queue {
    fn recv(&mut self) -> Option<WriteRequest> {
        self.held_back.pop().or_else(|| self.work.recv().ok())
    }

    fn try_recv(&mut self) -> Option<WriteRequest> {
        while let Ok(work) = self.work.try_recv() {
            if !self.rewrites_late || !matches!(work, WriteRequest::Rewrite(_)) {
                return Some(work);
            }
            self.held_back.push(work);
        }
        self.held_back.pop()
    }
}

/// The thread that decides.
struct Decider {
    disk: PowerFileSystem,
    work: Sender<WriteRequest>,
    reports: Receiver<WriterEvent>,
    next: u64,
}

impl Decider {
    /// Asks for the newest record under a new token.
    fn append(&mut self) {
        self.next += 1;
        let _ = self.work.send(WriteRequest::Append(self.next, vec![self.next as u8]));
    }

    fn rewrite(&self) {
        let _ = self.work.send(WriteRequest::Rewrite(vec![vec![self.next as u8]]));
    }

    /// Hears what has become of the work until the newest record is durable. A record that failed is asked for again.
    fn hear_until_durable(&mut self) {
        loop {
            match self.reports.recv().expect("the writer is there") {
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
    trouble: Option<(usize, Trouble)>,
    flaw: Option<Flaw>,
    rewrites_late: bool,
    /// Whether a second record is asked for after the rewrite.
    two_records: bool,
}

fn run(plan: Plan) {
    let disk = PowerFileSystem::new(plan.flaw);
    let stored =
        open(Interleaved(disk.clone()), Path::new("/data"), OPTIONS, || IDENTITY).expect("the file opens");
    disk.plan(plan.trouble);
    let (work, queue) = channel();
    let (told, reports) = channel();
    let mut queue = Queue { work: queue, rewrites_late: plan.rewrites_late, held_back: Vec::new() };
    let writer = thread::spawn(move || {
        stored.writer.run(&mut queue, &mut |report| {
            let _ = told.send(report);
        });
    });
    let mut decider = Decider { disk, work, reports, next: 0 };
    decider.append();
    decider.rewrite();
    if plan.two_records {
        decider.append();
    }
    decider.hear_until_durable();
    let Decider { work, .. } = decider;
    drop(work);
    writer.join().expect("the writer ends");
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
fn what_is_told_to_be_durable_survives_a_loss_of_power_at_that_moment() {
    let interleavings = run_all(Plan { two_records: true, ..Plan::default() });
    println!("{interleavings} interleavings");
    expect_that!(interleavings, gt(100));
}

#[gtest]
fn a_refused_operation_is_asked_for_again_and_never_told_to_be_durable() {
    let mut interleavings = 0;
    for operation in 0..9 {
        let tried = run_all(Plan { trouble: Some((operation, Trouble::Refused)), ..Plan::default() });
        println!("operation {operation}: {tried} interleavings");
        interleavings += tried;
    }
    println!("{interleavings} interleavings");
    expect_that!(interleavings, gt(1_000));
}

#[test]
#[should_panic(expected = "is durable")]
fn records_told_before_their_sync_are_noticed() {
    run_all(Plan { flaw: Some(Flaw::NoFileSync), ..Plan::default() });
}

#[test]
#[should_panic(expected = "is durable")]
fn a_rewrite_out_of_order_is_noticed() {
    run_all(Plan { rewrites_late: true, two_records: true, ..Plan::default() });
}
