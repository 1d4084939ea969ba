//! Tests the record log with failing disk operations and power loss.

mod fault;

use std::path::{Path, PathBuf};

use fault::{Faults, FaultyFileSystem};
use googletest::prelude::*;
use switchhill_record_log::{LogError, Options, RecordLog};

const DIRECTORY: &str = "/data";
const OPTIONS: Options = Options { rewrite_above_bytes: 200 };

type FaultyLog = RecordLog<FaultyFileSystem>;

fn open(disk: &FaultyFileSystem) -> (FaultyLog, Vec<Vec<u8>>) {
    let opened = RecordLog::open_with(disk.clone(), Path::new(DIRECTORY), "register", OPTIONS);
    let (log, records) = opened.expect("log opens");
    (log, records.iter().map(|record| record.to_vec()).collect())
}

fn path() -> PathBuf {
    Path::new(DIRECTORY).join("register.log")
}

#[gtest]
fn records_are_read_back_in_order_from_a_real_directory() -> Result<()> {
    let directory = tempfile::tempdir()?;
    let directory = directory.path().join("deep").join("data");
    let (mut log, records) = RecordLog::open(&directory, "register", OPTIONS)?;
    verify_that!(records, is_empty())?;
    log.append(b"one")?;
    log.append(b"")?;
    log.append(b"three")?;
    log.sync()?;
    drop(log);

    let (mut log, records) = RecordLog::open(&directory, "register", OPTIONS)?;
    verify_that!(records, eq(&vec![b"one".to_vec(), b"".to_vec(), b"three".to_vec()]))?;
    log.rewrite(&[b"compact".to_vec()])?;
    log.append(b"later")?;
    log.sync()?;
    drop(log);

    let (_, records) = RecordLog::open(&directory, "register", OPTIONS)?;
    verify_that!(records, eq(&vec![b"compact".to_vec(), b"later".to_vec()]))
}

#[gtest]
fn a_corrupt_tail_is_truncated_and_appends_continue_after_it() {
    let disk = FaultyFileSystem::new(1);
    let (mut log, _) = open(&disk);
    log.append(b"good").unwrap();
    log.append(b"corrupt").unwrap();
    log.sync().unwrap();
    let end = log.length() as usize;
    disk.corrupt(&path(), end - 1, b"X");

    let (mut log, records) = open(&disk);
    expect_that!(records, eq(&vec![b"good".to_vec()]));
    log.append(b"next").unwrap();
    log.sync().unwrap();
    expect_that!(open(&disk).1, eq(&vec![b"good".to_vec(), b"next".to_vec()]));
}

#[gtest]
fn a_tail_of_zeros_is_not_read_as_a_record() {
    let disk = FaultyFileSystem::new(1);
    let (mut log, _) = open(&disk);
    log.append(b"good").unwrap();
    log.sync().unwrap();
    disk.corrupt(&path(), log.length() as usize, &[0; 64]);
    expect_that!(open(&disk).1, eq(&vec![b"good".to_vec()]));
}

#[gtest]
fn a_record_after_a_foreign_frame_is_rejected() {
    let disk = FaultyFileSystem::new(1);
    let (mut log, _) = open(&disk);
    log.append(b"one").unwrap();
    let second = log.length() as usize;
    log.append(b"two").unwrap();
    let third = log.length() as usize;
    log.append(b"thr").unwrap();
    log.sync().unwrap();
    let (mut other, _) = RecordLog::open_with(disk.clone(), Path::new(DIRECTORY), "other", OPTIONS).unwrap();
    other.append(b"one").unwrap();
    other.append(b"TWO").unwrap();
    other.sync().unwrap();
    // Replaces the second frame by a valid one of another log: the third frame continues a checksum that is missing.
    let frame: Vec<u8> = {
        use switchhill_record_log::{FileSystem, LogFile};
        let mut file = disk.open(&Path::new(DIRECTORY).join("other.log")).unwrap();
        file.read_all().unwrap()[second..third].to_vec()
    };
    disk.corrupt(&path(), second, &frame);
    expect_that!(open(&disk).1, eq(&vec![b"one".to_vec(), b"TWO".to_vec()]));
}

#[gtest]
fn appends_fail_on_a_full_disk_and_the_log_stays_usable() {
    let disk = FaultyFileSystem::new(7);
    let (mut log, _) = open(&disk);
    log.append(b"first").unwrap();
    log.sync().unwrap();
    disk.set_faults(Faults { capacity: Some(log.length() as usize + 10), ..Faults::default() });
    expect_that!(log.append(b"does not fit"), err(pat!(LogError::Append(_))));
    expect_that!(log.append(b"nor does this"), err(pat!(LogError::Append(_))));
    expect_that!(log.append(b"ok"), ok(anything()));
    log.sync().unwrap();
    disk.set_faults(Faults::default());
    log.append(b"after").unwrap();
    log.sync().unwrap();
    expect_that!(open(&disk).1, eq(&vec![b"first".to_vec(), b"ok".to_vec(), b"after".to_vec()]));
}

#[gtest]
fn a_failed_sync_discards_the_unsynced_records() {
    let disk = FaultyFileSystem::new(7);
    let (mut log, _) = open(&disk);
    log.append(b"durable").unwrap();
    log.sync().unwrap();
    log.append(b"discarded").unwrap();
    disk.set_faults(Faults { sync: 100, ..Faults::default() });
    expect_that!(log.sync(), err(pat!(LogError::Sync(_))));
    disk.set_faults(Faults::default());
    log.append(b"again").unwrap();
    log.sync().unwrap();
    expect_that!(open(&disk).1, eq(&vec![b"durable".to_vec(), b"again".to_vec()]));
}

#[gtest]
fn the_file_of_an_interrupted_rewrite_is_removed() {
    use switchhill_record_log::{FileSystem, LogFile};
    let disk = FaultyFileSystem::new(7);
    let (mut log, _) = open(&disk);
    log.append(b"kept").unwrap();
    log.sync().unwrap();
    let mut replacement = disk.open(&Path::new(DIRECTORY).join("register.log.new")).unwrap();
    replacement.write_at(0, b"half a rewrite").unwrap();
    expect_that!(open(&disk).1, eq(&vec![b"kept".to_vec()]));
    expect_that!(disk.names(), eq(&vec![path()]));
}

#[gtest]
fn a_failed_rewrite_keeps_the_old_records() {
    let disk = FaultyFileSystem::new(7);
    let (mut log, _) = open(&disk);
    log.append(b"old").unwrap();
    log.sync().unwrap();
    disk.set_faults(Faults { rename: 100, ..Faults::default() });
    expect_that!(log.rewrite(&[b"new".to_vec()]), err(pat!(LogError::Rewrite(_))));
    disk.set_faults(Faults::default());
    log.append(b"more").unwrap();
    log.sync().unwrap();
    expect_that!(open(&disk).1, eq(&vec![b"old".to_vec(), b"more".to_vec()]));
}

#[gtest]
fn syncs_fail_until_the_rename_of_a_rewrite_is_durable() {
    let disk = FaultyFileSystem::new(7);
    let (mut log, _) = open(&disk);
    disk.set_faults(Faults { sync_directory: 100, ..Faults::default() });
    expect_that!(log.rewrite(&[b"new".to_vec()]), err(pat!(LogError::Rewrite(_))));
    log.append(b"more").unwrap();
    expect_that!(log.sync(), err(pat!(LogError::Sync(_))));
    disk.set_faults(Faults::default());
    log.append(b"more").unwrap();
    expect_that!(log.sync(), ok(anything()));
    disk.lose_power(true);
    expect_that!(open(&disk).1, eq(&vec![b"new".to_vec(), b"more".to_vec()]));
}

#[gtest]
fn a_rewrite_is_needed_above_the_limit_and_not_immediately_again() {
    let disk = FaultyFileSystem::new(7);
    let (mut log, _) = open(&disk);
    log.append(&[1; 150]).unwrap();
    expect_that!(log.needs_rewrite(), eq(false));
    log.append(&[2; 150]).unwrap();
    expect_that!(log.needs_rewrite(), eq(true));
    log.rewrite(&[vec![2; 300]]).unwrap();
    expect_that!(log.needs_rewrite(), eq(false));
    log.append(&[3; 400]).unwrap();
    expect_that!(log.needs_rewrite(), eq(true));
}

#[gtest]
fn a_record_above_the_maximum_length_is_rejected() {
    let disk = FaultyFileSystem::new(7);
    let (mut log, _) = open(&disk);
    let long = vec![0; switchhill_record_log::MAX_RECORD_BYTES + 1];
    expect_that!(log.append(&long), err(pat!(LogError::RecordTooLong { .. })));
}

/// A log under random faults, with a model of the records that it must return.
struct Trial {
    seed: u64,
    random: fastrand::Rng,
    disk: FaultyFileSystem,
    log: FaultyLog,
    /// Records in the log, oldest first; the first `durable` are covered by a sync.
    held: Vec<Vec<u8>>,
    durable: usize,
    /// Records whose append failed or that a failed sync discarded. They may still have reached the disk.
    discarded: Vec<Vec<u8>>,
    next: u32,
}

impl Trial {
    fn new(seed: u64) -> Trial {
        let disk = FaultyFileSystem::new(seed);
        let (log, _) = open(&disk);
        let random = fastrand::Rng::with_seed(!seed);
        Trial { seed, random, disk, log, held: Vec::new(), durable: 0, discarded: Vec::new(), next: 0 }
    }

    fn step(&mut self) {
        self.set_random_faults();
        match self.random.u32(0..20) {
            0..=9 => self.append(),
            10..=14 => self.sync(),
            15..=16 => self.rewrite(),
            17 => self.restart(),
            _ => self.lose_power(),
        }
    }

    fn set_random_faults(&mut self) {
        let percent = if self.random.u32(0..4) == 0 { 50 } else { 0 };
        let capacity = (self.random.u32(0..8) == 0).then(|| self.random.usize(0..1000));
        self.disk.set_faults(Faults {
            write: percent,
            sync: percent,
            rename: percent,
            sync_directory: percent,
            capacity,
        });
    }

    fn append(&mut self) {
        self.next += 1;
        let mut record = self.next.to_le_bytes().to_vec();
        record.resize(4 + self.random.usize(0..60), self.next as u8);
        match self.log.append(&record) {
            Ok(()) => self.held.push(record),
            Err(_) => self.discarded.push(record),
        }
    }

    fn sync(&mut self) {
        match self.log.sync() {
            Ok(()) => self.durable = self.held.len(),
            Err(_) => self.discarded.extend(self.held.drain(self.durable..)),
        }
    }

    fn rewrite(&mut self) {
        // The compacted state must represent all records; this test keeps them all.
        if self.log.rewrite(&self.held.clone()).is_ok() {
            self.durable = self.held.len();
        }
    }

    fn restart(&mut self) {
        self.disk.set_faults(Faults::default());
        self.reopen();
    }

    fn lose_power(&mut self) {
        self.disk.set_faults(Faults::default());
        let all = self.random.bool();
        self.disk.lose_power(all);
        self.reopen();
    }

    fn reopen(&mut self) {
        let (log, records) = open(&self.disk);
        let seed = self.seed;
        let kept: Vec<&Vec<u8>> = records.iter().filter(|record| !self.discarded.contains(record)).collect();
        let expected: Vec<&Vec<u8>> = self.held.iter().take(kept.len()).collect();
        assert_eq!(kept, expected, "seed {seed}: not a prefix of what was appended");
        assert!(kept.len() >= self.durable, "seed {seed}: a synced record is lost");
        assert!(records.is_sorted_by_key(|record| number(record)), "seed {seed}: records out of order");
        // Records that reached the disk are part of the log again, even if a failed sync had discarded them.
        self.discarded.retain(|record| !records.contains(record));
        self.log = log;
        self.held = records;
        self.durable = self.held.len();
    }
}

fn number(record: &[u8]) -> u32 {
    u32::from_le_bytes(record[..4].try_into().expect("each record starts with its number"))
}

#[gtest]
fn synced_records_survive_random_faults() {
    for seed in 0..3000 {
        let mut trial = Trial::new(seed);
        for _ in 0..60 {
            trial.step();
        }
        trial.lose_power();
    }
}
