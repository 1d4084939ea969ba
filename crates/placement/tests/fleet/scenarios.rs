//! Fleets and request streams shared by several tests.

use super::load::{Load, Stream};
use super::{engine, Faults, Fleet};

/// Requests per second for each rarely requested model.
const RARE_PER_S: f64 = 0.13;
/// Models that are busy at the start or after a shift of demand.
const BUSY_MODELS: usize = 15;
/// Models of the large fleet.
const MODELS: usize = 66;
const WORKERS: usize = 18;
/// Models of the small fleet.
pub const SMALL_FLEET_MODELS: usize = 24;
pub const SMALL_FLEET_WORKERS: usize = 6;

/// Six consecutive busy models in order of decreasing demand.
pub fn busy_streams(first: usize, from_ms: u64, until_ms: u64) -> Vec<Stream> {
    let per_s = [31.0, 11.5, 8.6, 7.1, 6.2, 5.6];
    let stream = |(rank, per_s): (usize, &f64)| {
        Stream::new((first + rank) % BUSY_MODELS, *per_s, 400).active_between(from_ms, until_ms)
    };
    per_s.iter().enumerate().map(stream).collect()
}

/// Rarely requested models with a long latency target.
pub fn rare_streams() -> Vec<Stream> {
    (BUSY_MODELS..MODELS).map(|model| Stream::new(model, RARE_PER_S, 6_000)).collect()
}

/// Steady demand for busy models and for rarely requested ones.
pub fn steady_streams() -> Vec<Stream> {
    let mut streams = busy_streams(0, 0, u64::MAX);
    streams.extend(rare_streams());
    streams
}

/// Demand shifts by three places in the list of models, back, by six places and back.
pub fn shift_streams() -> Vec<Stream> {
    let mut streams = busy_streams(0, 0, 10_000);
    streams.extend(busy_streams(3, 10_000, 16_000));
    streams.extend(busy_streams(0, 16_000, 22_000));
    streams.extend(busy_streams(6, 22_000, 28_000));
    streams.extend(busy_streams(0, 28_000, u64::MAX));
    streams.extend(rare_streams());
    streams
}

/// A burst in which each rarely requested model gets an additional 0.6 requests per second, more than four times its
/// usual rate.
pub fn burst_streams() -> Vec<Stream> {
    let mut streams = steady_streams();
    streams.extend(
        (BUSY_MODELS..MODELS).map(|model| Stream::new(model, 0.6, 6_000).active_between(10_000, 14_500)),
    );
    streams
}

/// More adapters than the workers that hold their models have slots.
pub fn adapter_streams() -> Vec<Stream> {
    let mut streams = steady_streams();
    streams.extend((1..=38).map(|adapter| Stream::new(0, 0.25, 500).with_adapter(adapter)));
    streams.extend((1..=11).map(|adapter| Stream::new(2, 0.25, 500).with_adapter(adapter)));
    streams.extend((1..=8).map(|adapter| Stream::new(4, 0.25, 500).with_adapter(adapter)));
    streams
}

/// A fleet of 18 workers and 66 models.
pub fn large_fleet(seed: u64, streams: Vec<Stream>, faults: Faults) -> Fleet {
    Fleet::new(seed, engine(MODELS, 38), WORKERS, Load::new(seed, streams), faults)
}

/// A fleet of 6 workers and 24 models with too little memory, workers and adapter slots.
pub fn small_fleet(seed: u64, faults: Faults) -> Fleet {
    let mut streams: Vec<Stream> = (0..3).map(|model| Stream::new(model, 4.0, 400)).collect();
    streams.extend((3..SMALL_FLEET_MODELS).map(|model| Stream::new(model, 0.4, 6_000)));
    streams.extend((1..=24).map(|adapter| Stream::new(0, 0.3, 500).with_adapter(adapter)));
    streams.extend((1..=12).map(|adapter| Stream::new(1, 0.3, 500).with_adapter(adapter)));
    Fleet::new(seed, engine(SMALL_FLEET_MODELS, 24), SMALL_FLEET_WORKERS, Load::new(seed, streams), faults)
}
