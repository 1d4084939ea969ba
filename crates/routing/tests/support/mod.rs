//! Builders and helpers shared by the tests.
#![allow(dead_code)]

use switchhill_routing::*;

pub mod fleet;

pub const SERVICE: &str = "chat";
pub const MODEL: &str = "large";

/// A ready worker of `SERVICE` in zone `a` that has loaded `MODEL`.
pub fn worker(id: &str) -> WorkerView {
    WorkerView {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        address: format!("{id}:80"),
        zone: "a".to_owned(),
        slots: 32,
        state: Availability::Ready,
        cold_remaining_ms: 0,
        models: vec![ResidentModel { name: MODEL.to_owned(), adapters: vec!["fine".to_owned()] }],
        peer_load: 0,
        peer_load_at: 0,
    }
}

pub fn workers(count: usize) -> Vec<WorkerView> {
    (0..count).map(|index| worker(&format!("w{index}"))).collect()
}

/// A request for `MODEL` whose prompt is shared with no other.
pub fn request(serial: u64) -> RequestProfile {
    RequestProfile {
        service: SERVICE.to_owned(),
        model: Some(MODEL.to_owned()),
        adapter: None,
        prompt_parts: vec![PromptPart { id: 1_000_000 + serial, tokens: 400 }],
        prompt_tokens: 400,
        output_tokens: 200,
        priority: 1,
        target_latency_ms: 400,
        session: None,
    }
}

/// A request without a model.
pub fn request_without_model() -> RequestProfile {
    RequestProfile {
        service: SERVICE.to_owned(),
        priority: 2,
        target_latency_ms: 300,
        ..RequestProfile::default()
    }
}

pub fn router(seed: u64, count: usize) -> Router {
    let mut router = Router::new(RouterSettings::for_zone("a"), seed);
    router.set_data_plane_count(1);
    router.set_workers(0, workers(count));
    router
}

/// The worker chosen; panics with the result if none is.
pub fn chosen(router: &mut Router, now: u64, profile: &RequestProfile, excluded: &[WorkerKey]) -> WorkerKey {
    match router.choose(now, profile, excluded) {
        Choice::Send(key) => key,
        other => panic!("expected a worker, got {other:?}"),
    }
}

pub fn id(router: &Router, key: WorkerKey) -> String {
    router.worker(key).expect("listed").id.clone()
}

/// Key of a worker by id, found by excluding those chosen before it.
pub fn key_of(router: &mut Router, now: u64, wanted: &str) -> WorkerKey {
    let mut excluded = Vec::new();
    loop {
        let key = chosen(router, now, &request_without_model(), &excluded);
        if id(router, key) == wanted {
            return key;
        }
        excluded.push(key);
    }
}
