//! Counters of what the program takes in, sends and answers, for operators.

use std::fmt;

macro_rules! counters {
    ($($(#[doc = $doc:literal])* $name:ident),* $(,)?) => {
        /// What has been counted since the start.
        #[derive(Debug, Clone, Default, PartialEq, Eq)]
        pub struct Counters { $($(#[doc = $doc])* pub $name: u64),* }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                $(writeln!(f, concat!("switchhill_", stringify!($name), " {}"), self.$name)?;)*
                Ok(())
            }
        }
    };
}

counters! {
    /// Streams taken in.
    streams,
    /// Streams answered with an upstream host's answer.
    served,
    /// Streams answered with a local reply that says trying again is harmless.
    refused,
    /// Streams answered with a failure.
    failed,
    /// Streams whose downstream left first.
    left,
    /// Upstream requests handed to a connection.
    upstream_requests,
    /// Upstream requests that ended served.
    upstream_served,
    /// Upstream requests that an upstream host turned away.
    upstream_turned_away,
    /// Upstream requests that found no connection, or whose connection failed before the last byte.
    upstream_not_connected,
    /// Upstream requests whose connection broke after the last byte.
    upstream_reset,
    /// Upstream requests answered with an error.
    upstream_errors,
    /// Upstream requests that got no answer in time.
    upstream_timed_out,
    /// Upstream requests called off.
    upstream_stopped,
    /// Upstream requests that were never sent, because of a drain or a rule.
    upstream_void,
    /// Upstream requests held until an HTTP/2 peer had room.
    upstream_held,
    /// Probes sent.
    probes,
    /// News of the upstream hosts.
    lists,
    /// Downstream connections accepted.
    downstream_connections,
    /// Upstream connections opened.
    upstream_connections,
    /// Messages answered with a 4xx and a close.
    bad_messages,
    /// Requests turned away for lack of descriptors.
    turned_away_descriptors,
    /// Requests turned away for lack of memory.
    turned_away_memory,
    /// Times that accepting rested because no descriptor could be had.
    accept_rests,
    /// Downstream connections closed to free their descriptors.
    downstream_spared,
    /// Times that something was written to the shared store.
    store_batches,
    /// Calls to the shared store that failed.
    store_failures,
    /// Times that the shared store was found to have lost what it held.
    store_lives,
}
