//! The router at its design size: 940 workers, 1,400 models, 370 data planes.

mod support;

use googletest::prelude::*;
use support::{chosen, request, worker};
use switchhill_routing::*;

const WORKERS: usize = 940;
const MODELS: usize = 1_400;

/// Each worker has three models loaded; together they have all models.
fn fleet() -> Vec<WorkerView> {
    let models = |index: usize| {
        let model = |offset: usize| (index * 3 + offset) % MODELS;
        let resident = |offset| ResidentModel {
            name: format!("m{}", model(offset)),
            adapters: vec!["a0".to_owned(), "a1".to_owned()],
        };
        (0..3).map(resident).collect()
    };
    (0..WORKERS).map(|index| WorkerView { models: models(index), ..worker(&format!("w{index}")) }).collect()
}

fn request_for(model: usize) -> RequestProfile {
    RequestProfile { model: Some(format!("m{model}")), ..request(model as u64) }
}

#[gtest]
fn every_model_is_routed_to_a_worker_that_holds_it() {
    let mut router = Router::new(RouterSettings::for_zone("a"), 1);
    router.set_data_plane_count(370);
    router.set_workers(0, fleet());
    for model in 0..MODELS {
        let profile = request_for(model);
        let key = chosen(&mut router, 0, &profile, &[]);
        expect_that!(router.worker(key).is_some_and(|view| view.holds(&format!("m{model}"), None)), eq(true));
        let attempt = router.sent(0, key, &profile);
        router.finished(1, attempt, AttemptOutcome::Success);
    }
}

#[gtest]
fn requests_without_a_model_spread_over_all_workers() {
    let mut router = Router::new(RouterSettings::for_zone("a"), 1);
    router.set_data_plane_count(370);
    router.set_workers(0, fleet());
    for _ in 0..5 * WORKERS {
        let profile = support::request_without_model();
        let key = chosen(&mut router, 0, &profile, &[]);
        router.sent(0, key, &profile);
    }
    let outstanding = router.outstanding();
    let most = outstanding.iter().map(|(_, count)| *count).max();
    expect_that!(most, some(le(8)));
    expect_that!(outstanding.len(), ge(WORKERS * 95 / 100));
}
