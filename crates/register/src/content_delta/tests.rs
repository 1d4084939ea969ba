use super::{apply, difference, DifferenceError, SHORTEST_BYTES};
use bytes::Bytes;
use googletest::prelude::*;

fn random_bytes(rng: &mut fastrand::Rng, length: usize) -> Vec<u8> {
    std::iter::repeat_with(|| rng.u8(..)).take(length).collect()
}

/// A copy with some pieces replaced, removed, inserted or moved.
fn edited(rng: &mut fastrand::Rng, content: &[u8]) -> Vec<u8> {
    let mut edited = content.to_vec();
    for _ in 0..rng.usize(0..4) {
        let start = rng.usize(..=edited.len());
        let end = (start + rng.usize(..300)).min(edited.len());
        let piece: Vec<u8> = match rng.u8(..3) {
            0 => Vec::new(),
            1 => {
                let length = rng.usize(..300);
                random_bytes(rng, length)
            }
            _ => edited[start..end].iter().rev().copied().collect(),
        };
        edited.splice(start..end, piece);
    }
    edited
}

#[gtest]
fn a_difference_leads_to_the_newer_content_and_to_no_other() {
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let length = rng.usize(..20_000);
        let old = random_bytes(&mut rng, length);
        let new = edited(&mut rng, &old);
        let Some(told) = difference(&old, &new) else { continue };
        expect_that!(told.len(), lt(new.len()), "seed {seed}");
        expect_that!(apply(&old, &told).map(|bytes| bytes == new), ok(eq(&true)), "seed {seed}");
        let other = edited(&mut rng, &old);
        if let Ok(reached) = apply(&other, &told) {
            expect_that!(reached == new, eq(true), "seed {seed}: another content is never taken for it");
        }
    }
}

#[gtest]
fn the_difference_of_contents_that_are_mostly_the_same_is_short() {
    let mut rng = fastrand::Rng::with_seed(1);
    let old = random_bytes(&mut rng, 100_000);
    let mut scattered = old.clone();
    for place in [10, 40_000, 70_000, 99_000] {
        scattered[place] ^= 1;
    }
    let mut grown = old.clone();
    let added = random_bytes(&mut rng, 5_000);
    grown.splice(90_000..90_000, added);
    expect_that!(difference(&old, &scattered).unwrap().len(), lt(4_000));
    expect_that!(difference(&old, &grown).unwrap().len(), lt(5_200));
    expect_that!(difference(&old, &old).unwrap().len(), lt(100));
}

#[gtest]
fn contents_that_have_little_in_common_have_no_difference() {
    let mut rng = fastrand::Rng::with_seed(2);
    let (old, new) = (random_bytes(&mut rng, 10_000), random_bytes(&mut rng, 10_000));
    expect_that!(difference(&old, &new), none());
    expect_that!(difference(&[], &new), none());
    expect_that!(difference(&new, &[]), none());
    expect_that!(difference(&new, &new[..SHORTEST_BYTES - 1]), none(), "too short to be worth it");
}

#[gtest]
fn spoilt_differences_are_errors() {
    let mut rng = fastrand::Rng::with_seed(3);
    let old = random_bytes(&mut rng, 2_000);
    let new = edited(&mut rng, &old);
    let told = difference(&old, &new).expect("a difference");
    for place in 0..told.len() {
        let mut spoilt = told.to_vec();
        spoilt[place] ^= 0x15;
        if let Ok(reached) = apply(&old, &Bytes::from(spoilt)) {
            expect_that!(reached == new, eq(true), "byte {place}");
        }
        let _ = apply(&old, &told.slice(..place));
    }
    expect_that!(apply(&new[..10], &told), err(eq(&DifferenceError::OtherBase)));
}
