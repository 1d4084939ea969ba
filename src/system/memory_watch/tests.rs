use super::{resident_bytes, resident_in, MemoryWatch};
use crate::system::memory_budget::MemoryBudget;
use googletest::prelude::*;
use tokio::time::Instant;

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
fn memory_is_short_above_a_share_of_the_limit_and_until_it_has_fallen_below_a_lower_one() {
    let watch = MemoryWatch::new(LIMIT_MB);
    let mut is_short = false;
    let told = [204, 205, 190, 185, 184, 204].map(|size| {
        is_short = watch.is_short(is_short, megabytes(size));
        is_short
    });
    expect_that!(told, eq([false, true, true, true, false, false]));
}

#[gtest]
fn free_memory_is_returned_above_a_share_of_the_limit_and_not_too_often() {
    let mut watch = MemoryWatch::new(LIMIT_MB);
    let start = Instant::now();
    let after = |seconds: u64| start + std::time::Duration::from_secs(seconds);
    let looks = [(0, 100), (1, 160), (2, 200), (3, 200), (4, 100), (9, 154)];
    let due = looks.map(|(seconds, size)| watch.is_trim_due(after(seconds), megabytes(size)));
    expect_that!(due, eq([false, true, false, true, false, true]));
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
