//! Versions of the configuration and the worker table to subscribers: deltas, digests, catch-up.
