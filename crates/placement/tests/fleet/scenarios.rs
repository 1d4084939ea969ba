//! The scenarios that several tests play: which requests come when, on which fleet.

use super::load::{Load, Stream};
use super::{engine, Faults, Fleet};

/// Rate of requests for each rare model, a second.
const RARE_PER_S: f64 = 0.13;
/// Models that are busy, or will be when demand moves on.
const BUSY_MODELS: usize = 15;
/// All models of the large fleet.
const MODELS: usize = 66;
const WORKERS: usize = 18;
/// Models of the small fleet.
pub const FEW_MODELS: usize = 24;
pub const FEW_WORKERS: usize = 6;

/// Six busy models in a row, the first of them busiest.
pub fn busy_streams(first: usize, from_ms: u64, until_ms: u64) -> Vec<Stream> {
    let per_s = [31.0, 11.5, 8.6, 7.1, 6.2, 5.6];
    let stream = |(rank, per_s): (usize, &f64)| {
        Stream::new((first + rank) % BUSY_MODELS, *per_s, 400).between(from_ms, until_ms)
    };
    per_s.iter().enumerate().map(stream).collect()
}

/// Rare models whose requests are patient.
pub fn rare_streams() -> Vec<Stream> {
    (BUSY_MODELS..MODELS).map(|model| Stream::new(model, RARE_PER_S, 6_000)).collect()
}

/// Busy models that stay so, and rare ones.
pub fn usual_streams() -> Vec<Stream> {
    let mut streams = busy_streams(0, 0, u64::MAX);
    streams.extend(rare_streams());
    streams
}

/// Demand moves on by three places in the list, back, on by six and back.
pub fn shift_streams() -> Vec<Stream> {
    let mut streams = busy_streams(0, 0, 10_000);
    streams.extend(busy_streams(3, 10_000, 16_000));
    streams.extend(busy_streams(0, 16_000, 22_000));
    streams.extend(busy_streams(6, 22_000, 28_000));
    streams.extend(busy_streams(0, 28_000, u64::MAX));
    streams.extend(rare_streams());
    streams
}

/// All rare models are asked for at once, four times as often as usual.
pub fn burst_streams() -> Vec<Stream> {
    let mut streams = usual_streams();
    streams.extend((BUSY_MODELS..MODELS).map(|model| Stream::new(model, 0.6, 6_000).between(10_000, 14_500)));
    streams
}

/// More adapters than the holders of their models have slots.
pub fn adapter_streams() -> Vec<Stream> {
    let mut streams = usual_streams();
    streams.extend((1..=38).map(|adapter| Stream::new(0, 0.25, 500).with_adapter(adapter)));
    streams.extend((1..=11).map(|adapter| Stream::new(2, 0.25, 500).with_adapter(adapter)));
    streams.extend((1..=8).map(|adapter| Stream::new(4, 0.25, 500).with_adapter(adapter)));
    streams
}

/// A fleet of 18 workers and 66 models.
pub fn large_fleet(seed: u64, streams: Vec<Stream>, faults: Faults) -> Fleet {
    Fleet::new(seed, engine(MODELS, 38), WORKERS, Load::new(seed, streams), faults)
}

/// A fleet of 6 workers and 24 models, short of room, workers and adapter slots.
pub fn small_fleet(seed: u64, faults: Faults) -> Fleet {
    let mut streams: Vec<Stream> = (0..3).map(|model| Stream::new(model, 4.0, 400)).collect();
    streams.extend((3..FEW_MODELS).map(|model| Stream::new(model, 0.4, 6_000)));
    streams.extend((1..=24).map(|adapter| Stream::new(0, 0.3, 500).with_adapter(adapter)));
    streams.extend((1..=12).map(|adapter| Stream::new(1, 0.3, 500).with_adapter(adapter)));
    Fleet::new(seed, engine(FEW_MODELS, 24), FEW_WORKERS, Load::new(seed, streams), faults)
}
