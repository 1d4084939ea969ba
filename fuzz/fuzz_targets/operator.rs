//! An operator's file of any text: read, or refused with its faults, never a panic.
#![no_main]

use libfuzzer_sys::fuzz_target;
use switchhill::process::config::Operator;

fuzz_target!(|text: &str| {
    if let Err(faults) = Operator::read(text) {
        assert!(!faults.0.is_empty());
    }
});
