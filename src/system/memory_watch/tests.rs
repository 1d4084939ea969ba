use super::{resident_bytes, resident_in, MemoryWatch};
use crate::system::memory_budget::MemoryBudget;
use googletest::prelude::*;

const LIMIT_MB: u64 = 256;

fn megabytes(count: u64) -> u64 {
    count << 20
}

#[gtest]
fn a_warning_is_due_above_three_quarters_and_again_with_each_further_sixteenth() {
    let mut watch = MemoryWatch::new(LIMIT_MB);
    let sizes = [100, 192, 193, 200, 208, 210, 226, 240, 256, 300];
    let due: Vec<u64> = sizes.into_iter().filter(|size| watch.is_warning_due(megabytes(*size))).collect();
    expect_that!(due, eq(&vec![193, 210, 240, 300]));
}

#[gtest]
fn a_warning_is_due_again_once_the_memory_has_fallen_and_risen() {
    let mut watch = MemoryWatch::new(LIMIT_MB);
    let due = [250, 100, 250].map(|size| watch.is_warning_due(megabytes(size)));
    expect_that!(due, eq([true, false, true]));
}

#[gtest]
fn the_resident_size_of_this_process_is_read() {
    expect_that!(resident_bytes(), some(gt(megabytes(1))));
    expect_that!(resident_in("Name:\tx\nVmRSS:\t   1234 kB\n"), some(eq(1234 * 1024)));
    expect_that!(resident_in("Name:\tx\n"), none());
}

#[gtest]
fn a_budget_tells_its_name_and_what_is_reserved() {
    let bodies = MemoryBudget::new("bodies", 8, 0.5);
    let _reserved = bodies.reserve(3 << 20).expect("free memory");
    expect_that!(bodies.to_string(), eq("bodies 3.0 of 4.0 MB"));
}
