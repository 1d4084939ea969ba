//! Event counters for operators.

use std::fmt;

macro_rules! counters {
    ($($(#[doc = $doc:literal])* $name:ident),* $(,)?) => {
        /// Counts since the start of the process.
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
    /// Streams received.
    streams,
    /// Streams answered with an upstream host's response.
    served,
    /// Streams answered with a local reply that marks a retry as safe.
    refused,
    /// Streams answered with a failure response.
    failed,
    /// Streams whose downstream disconnected before the answer.
    left,
    /// Upstream requests assigned to a connection.
    upstream_requests,
    /// Upstream requests that completed with a response.
    upstream_served,
    /// Upstream requests that an upstream host rejected without processing.
    upstream_turned_away,
    /// Upstream requests without a connection, or whose connection failed before the last byte was sent.
    upstream_not_connected,
    /// Upstream requests whose connection failed after the last byte was sent.
    upstream_reset,
    /// Upstream requests answered with an error response.
    upstream_errors,
    /// Upstream requests that timed out.
    upstream_timed_out,
    /// Upstream requests that were cancelled.
    upstream_stopped,
    /// Upstream requests that were never sent, because of a drain or a rule.
    upstream_void,
    /// Upstream requests queued because of an HTTP/2 peer's stream limit.
    upstream_held,
    /// Probes sent.
    probes,
    /// Updates of the upstream host list.
    lists,
    /// Downstream connections accepted.
    downstream_connections,
    /// Upstream connections opened.
    upstream_connections,
    /// Invalid messages, answered with a 4xx status and a connection close.
    bad_messages,
    /// Requests rejected because file descriptors ran short.
    turned_away_descriptors,
    /// Requests rejected because memory ran short.
    turned_away_memory,
    /// Times that accepting paused because no file descriptor was available.
    accept_rests,
    /// Downstream connections closed to free file descriptors.
    downstream_spared,
    /// Batches written to the shared store.
    store_batches,
    /// Calls to the shared store that failed.
    store_failures,
    /// Times that the shared store was found to have lost its data.
    store_lives,
}
