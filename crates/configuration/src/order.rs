//! Orders of the operator.

use bytes::Bytes;
use xxhash_rust::xxh3::Xxh3;

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderKind {
    /// Its body is a whole configuration.
    Replace,
    /// Its body changes named items.
    Update,
}

/// An order of the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// What the order does.
    pub kind: OrderKind,
    /// The revision it builds on; 0 if it is the first.
    pub base_version: u64,
    /// The body, as it came.
    pub body: Bytes,
}

impl Order {
    /// A digest of the kind, the base and the body. Two orders are the same if their digests are.
    pub fn digest(&self) -> u128 {
        let kind: u8 = match self.kind {
            OrderKind::Replace => 1,
            OrderKind::Update => 2,
        };
        let mut hasher = Xxh3::new();
        hasher.update(&[kind]);
        hasher.update(&self.base_version.to_be_bytes());
        hasher.update(&self.body);
        hasher.digest128()
    }
}
