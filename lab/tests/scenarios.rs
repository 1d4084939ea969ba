//! The scenarios with faults between processes under one seed, with real gateway processes: what each expects is in its file.
#![allow(missing_docs)]

use std::path::Path;
use std::sync::{Arc, Condvar, Mutex};
use switchhill_lab::load::Live;
use switchhill_lab::run::{run, Verdict, Wanted};
use switchhill_lab::scenario::Scenario;
use switchhill_lab::stand_in::program;

/// Scenarios at a time: each has up to sixteen gateways, and the machine's cores are few.
static FREE: (Mutex<usize>, Condvar) = (Mutex::new(3), Condvar::new());

struct Turn;

impl Turn {
    fn wait() -> Self {
        let free = FREE.0.lock().expect("lock");
        *FREE.1.wait_while(free, |free| *free == 0).expect("lock") -= 1;
        Self
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *FREE.0.lock().expect("lock") += 1;
        FREE.1.notify_one();
    }
}

#[rstest::rstest]
fn what_a_scenario_expects_holds(
    #[values(
        "agreement-bad-file",
        "agreement-cordon",
        "agreement-cut",
        "agreement-killed",
        "agreement-old-version",
        "agreement-one-way-down",
        "agreement-one-way-up",
        "agreement-sixteen",
        "agreement-slow",
        "agreement-stopped",
        "agreement-store-emptied",
        "agreement-store-keys",
        "agreement-two-changes",
        "recovery-most",
        "recovery-rolling",
        "recovery-snapshots",
        "recovery-stale-list",
        "recovery-store-emptied",
        "store-alone",
        "store-replaced",
        "store-silent",
        "store-split"
    )]
    name: &str,
) {
    let _turn = Turn::wait();
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let file = root.join(format!("scenarios/{name}.yaml"));
    let scenario = Arc::new(Scenario::from_file(&file).expect("a sound scenario"));
    let folder = std::env::temp_dir().join(format!("switchhill-lab-{}-{name}", std::process::id()));
    let own = std::env::current_exe().expect("a program");
    let wanted = Wanted { seed: 1, gateway: program(), own, folder: folder.clone() };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let outcome = runtime.expect("a runtime").block_on(run(&scenario, &wanted, &Arc::new(Live::default())));
    let outcome = outcome.expect("a run");
    for Verdict { what, value, least, most, held } in &outcome.expect {
        assert!(
            held,
            "{name}, seed 1: {what} is {value}, not from {least} to {most}; logs in {}",
            folder.display()
        );
    }
    assert_eq!(outcome.figures["rules.crashed"], 0.0, "{name}: a gateway ended by itself");
    let _ = std::fs::remove_dir_all(folder);
}
