//! Cost of the admission queue: admission below the limit, and queueing with few and with many subscribers.

use divan::{black_box, Bencher};
use switchhill_door::{Action, Admission, AdmissionQueue, Arrival, Outcome, Settings};

fn main() {
    divan::main();
}

fn arrival(stream: u64, subscriber: u64) -> Arrival<'static> {
    Arrival {
        stream,
        subscriber,
        units: 1.0,
        client_timeout: 30_000.0,
        latency_target: 30_000.0,
        ..Arrival::default()
    }
}

/// Arrival and completion below the limit: the overhead of every stream without contention.
#[divan::bench]
fn uncontended(bencher: Bencher) {
    let mut queue = AdmissionQueue::new(Settings::default());
    let mut now = 1e12;
    let mut stream = 0;
    bencher.bench_local(|| {
        stream += 1;
        now += 0.1;
        black_box(queue.on_arrival(now, &arrival(stream, stream)));
        queue.on_completion(now, 0, 5.0, Outcome::Success);
    });
}

/// One stream queued and one dispatched, with `flows` subscribers that have one stream queued each.
#[divan::bench(args = [100, 10_000, 50_000])]
fn queued(bencher: Bencher, flows: u64) {
    let mut queue = AdmissionQueue::new(Settings {
        memory: 64 << 20,
        max_queued_bytes: usize::MAX,
        max_queue_time: 8000.0,
        limit: (1.0, 1.0, 1.0),
        ..Settings::default()
    });
    let now = 1e12;
    // Completions keep the measured rate high enough for that many streams to be queued.
    queue.on_arrival(now, &arrival(0, 0));
    let mut stream = 0;
    let mut actions = Vec::new();
    let mut step = 0.0;
    while (queue.queued() as u64) < flows {
        stream += 1;
        if queue.on_arrival(now + step, &arrival(stream, stream % (2 * flows))) != Admission::Queued
            || stream % 64 == 0
        {
            step += 0.001;
            for _ in 0..8 {
                queue.on_completion(now + step, 0, 0.001, Outcome::Success);
                queue.poll(now + step, &mut actions);
                actions.clear();
            }
        }
    }
    let now = now + step;
    bencher.bench_local(|| {
        stream += 1;
        black_box(queue.on_arrival(now, &arrival(stream, stream % (2 * flows))));
        queue.on_completion(now, 0, 1.0, Outcome::Ignored);
        queue.poll(now, &mut actions);
        debug_assert!(actions.iter().all(|action| matches!(action, Action::Dispatch(..))));
        actions.clear();
    });
}

/// An arrival that is refused with an appointment.
#[divan::bench]
fn refused(bencher: Bencher) {
    let mut queue = AdmissionQueue::new(Settings { limit: (1.0, 1.0, 1.0), ..Settings::default() });
    let mut now = 1e12;
    queue.on_arrival(now, &arrival(0, 0));
    let mut stream = 0;
    bencher.bench_local(|| {
        stream += 1;
        now += 0.1;
        black_box(queue.on_arrival(now, &Arrival { resources_low: true, ..arrival(stream, stream) }));
    });
}
