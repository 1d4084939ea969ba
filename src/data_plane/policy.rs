//! Tuning constants of the data plane that neither the settings nor the configuration provide.

use std::time::Duration;

/// Connect timeout to a worker as a share of the latency target. Beyond it, another worker is quicker.
pub(crate) const CONNECT_TIMEOUT_SHARE: f64 = 0.5;
/// Minimum connect timeout: connecting takes a few milliseconds, and a busy process notices late.
pub(crate) const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum connect timeout: a lost SYN is retransmitted only after a second.
pub(crate) const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for one of a worker's connections to become available before another worker is chosen.
pub(crate) const MAX_CONNECTION_WAIT: Duration = Duration::from_millis(100);
/// Time after a response during which surplus bytes from the worker would still arrive. A connection that has
/// been idle for less is reused only if no other is available.
pub(crate) const CONNECTION_SETTLE_TIME: Duration = Duration::from_millis(30);
/// An idle connection is closed this long before the worker would close it.
pub(crate) const IDLE_CLOSE_MARGIN: Duration = Duration::from_millis(400);
/// The same margin as a share of the worker's keep-alive time, for short keep-alive times.
pub(crate) const IDLE_CLOSE_MARGIN_SHARE: f64 = 0.2;
/// Maximum idle timeout of a connection, however long its worker announces to keep it.
pub(crate) const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(86_400);
/// Idle timeout of a connection that was opened to probe a worker and has not carried a request yet.
pub(crate) const PROBE_CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum interval in milliseconds between two reports that the same worker is unreachable.
pub(crate) const UNREACHABLE_REPORT_INTERVAL_MS: u64 = 300;
/// Idle timeout of a connection whose worker announces none; such a worker does not close idle connections.
pub(crate) const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Minimum number of connections a gatekeeper may hold to one worker, however many gatekeepers there are.
pub(crate) const MIN_CONNECTIONS_PER_WORKER: u32 = 4;
/// Share of a worker's connection limit that the gatekeepers use together. The rest allows for an uneven
/// distribution.
pub(crate) const WORKER_CONNECTION_SHARE: f64 = 0.8;
/// `TCP_USER_TIMEOUT` of worker connections: how long sent data may remain unacknowledged.
pub(crate) const WORKER_TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// `TCP_USER_TIMEOUT` of client connections: how long sent data may remain unacknowledged.
pub(crate) const CLIENT_TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Responses up to this size are read completely before they are forwarded, so that a truncated one can be
/// retried.
pub(crate) const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 * 1024;
/// Longest time spent on reading the body of a refusal so that its connection can be reused.
pub(crate) const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(20);
/// Time limit for resuming a broken stream at another worker.
pub(crate) const RESUME_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between attempts to find a worker that can resume a stream.
pub(crate) const RESUME_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Latency targets below this, in milliseconds, are taken to leave no time to load a model, unless the placer
/// expects it to be ready in time.
pub(crate) const SHORT_TARGET_LATENCY_MS: u64 = 2000;
/// Share of a short latency target within which a model has to be expected for its requests to wait. Loads
/// tend to finish late rather than early, and the first byte takes time after that. If the load is expected
/// later, an immediate refusal and a second attempt by the client are worth more than a late response.
pub(crate) const EXPECTED_LOAD_WAIT_SHARE: f64 = 0.7;
/// How long a model may be overdue, in milliseconds, and still be waited for.
pub(crate) const EXPECTED_LOAD_OVERDUE_MS: u64 = 1000;
/// Added to the expected ready time of a model in the retry advice, in milliseconds: the gatekeepers learn of
/// the load by then.
pub(crate) const RETRY_AFTER_EXPECTED_LOAD_MS: u64 = 50;
/// Time in milliseconds that a load takes in addition to the load itself: the order, the unload that makes
/// room, and the reports that both are complete.
pub(crate) const MODEL_LOAD_OVERHEAD_MS: u64 = 500;
/// Longest wait of a request with a short latency target for an adapter, which loads within milliseconds.
pub(crate) const MAX_ADAPTER_WAIT: Duration = Duration::from_millis(150);
/// The same limit as a share of the latency target, for very short targets.
pub(crate) const MAX_ADAPTER_WAIT_SHARE: f64 = 0.5;
/// Share of a short latency target that a request waits for a model.
pub(crate) const SHORT_TARGET_WAIT_SHARE: f64 = 0.2;
/// Share of the latency target that a request waits if the target is long, or if it is short and the model is
/// expected in time.
pub(crate) const LONG_TARGET_WAIT_SHARE: f64 = 0.9;
/// Maximum share of a request's time limit that it waits.
pub(crate) const MAX_WAIT_SHARE_OF_TIMEOUT: f64 = 0.5;
/// Longest wait for the first worker of a service. After a loss of all control state, workers are known again
/// within a heartbeat, so a late response is likelier than one from a second attempt.
pub(crate) const MAX_FIRST_WORKER_WAIT: Duration = Duration::from_millis(1400);
/// Longest wait for the first configuration.
pub(crate) const MAX_CONFIGURATION_WAIT: Duration = Duration::from_millis(1000);
/// Minimum interval in milliseconds between two reports that the same model is missing.
pub(crate) const MISSING_REPORT_INTERVAL_MS: u64 = 100;

/// Retry advice in milliseconds before any configuration is known.
pub(crate) const RETRY_AFTER_NO_CONFIGURATION_MS: u64 = 500;
/// Retry advice in milliseconds if no worker could be found.
pub(crate) const RETRY_AFTER_NO_WORKER_MS: u64 = 300;
/// Retry advice in milliseconds if workers refused the request.
pub(crate) const RETRY_AFTER_REFUSED_MS: u64 = 200;
/// Retry advice in milliseconds if the adapter is missing.
pub(crate) const RETRY_AFTER_ADAPTER_MS: u64 = 200;
/// Retry advice in milliseconds if the model is missing and its load time is unknown.
pub(crate) const RETRY_AFTER_MODEL_MS: u64 = 1500;

/// Interval of closing expired idle connections and of updating admission.
pub(crate) const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
/// Time without data on any stream of a worker, in milliseconds, after which its streams are resumed
/// elsewhere. Prompts that are processed between the steps of a batch pause its streams for some hundred
/// milliseconds.
pub(crate) const STREAM_STALL_MS: u64 = 900;
/// Interval of the load and demand summaries for the agent.
pub(crate) const SUMMARY_INTERVAL: Duration = Duration::from_millis(300);
/// Time constant in milliseconds over which the request rate for a model is averaged.
pub(crate) const DEMAND_TIME_CONSTANT_MS: f64 = 1000.0;
/// Requests per second below which a model without running requests is left out of the summaries.
pub(crate) const MIN_DEMAND_PER_S: f64 = 0.1;
/// Interval at which refusals are logged.
pub(crate) const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Interval at which stalled workers are looked for. The router treats longer gaps as a pause of the process.
pub(crate) const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(80);

/// Longest time after SIGTERM during which new connections are accepted. Two of the platform's readiness
/// checks have failed by then.
pub(crate) const MAX_DRAIN_TIME: Duration = Duration::from_millis(2500);
/// The same time as a share of the grace period before SIGKILL, for short grace periods.
pub(crate) const DRAIN_SHARE: f64 = 0.3;
/// Time between the end of the process and SIGKILL.
pub(crate) const EXIT_MARGIN: Duration = Duration::from_millis(100);
/// Time that has to remain until the end of the process after the time limit of a request that is sent during
/// a shutdown.
pub(crate) const LAST_RESPONSE_MARGIN: Duration = Duration::from_millis(100);
/// If a smaller share of requests has time limits that end before the process, no new connections are
/// accepted after SIGTERM.
pub(crate) const MIN_FITTING_SHARE: f64 = 0.5;
/// Time for which connections are still accepted and served after the closing phase has begun, so that
/// pending data is read first.
pub(crate) const CLOSING_GRACE: Duration = Duration::from_millis(20);
/// Retry advice in milliseconds for a request that would outlast the process; the client's next connection
/// goes to another gatekeeper.
pub(crate) const RETRY_AFTER_SHUTDOWN_MS: u64 = 20;
/// Time without a running request or an unwritten response after which the process no longer waits for open
/// connections. Such connections have never carried a request.
pub(crate) const UNUSED_CONNECTION_TIMEOUT: Duration = Duration::from_secs(1);
/// Added to the configured idle timeout of client connections, so that none is closed earlier than promised.
pub(crate) const CLIENT_IDLE_GRACE: Duration = Duration::from_secs(1);
/// Descriptors that the settings reserve for files.
pub(crate) const RESERVED_FILE_DESCRIPTORS: u64 = 200;
/// Descriptors that the process itself needs for listeners, the link to the agent and signals.
pub(crate) const PROCESS_DESCRIPTORS: u64 = 64;
/// Share of the remaining descriptors for client connections. Worker connections get the rest.
pub(crate) const CLIENT_DESCRIPTOR_SHARE: f64 = 0.6;
/// Maximum number of connections for readiness checks.
pub(crate) const MAX_READINESS_CONNECTIONS: usize = 128;
/// Smallest head buffer that the HTTP library accepts.
pub(crate) const MIN_HEAD_BUFFER_BYTES: usize = 8192;
/// Maximum number of attempts per request in which nothing was sent, because there was no connection or the
/// worker had become unavailable.
pub(crate) const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// Share of the process's memory for request bodies. The rest is for the buffers of the connections, responses
/// that are read before they are forwarded, and the state of the system.
pub(crate) const BODY_MEMORY_SHARE: f64 = 0.3;
/// Share of the process's memory for the heads of requests beyond the first buffer of each connection.
pub(crate) const HEAD_MEMORY_SHARE: f64 = 0.08;
/// Share of the process's memory for responses that are read before they are forwarded. Beyond it they are forwarded as
/// they are received.
pub(crate) const RESPONSE_MEMORY_SHARE: f64 = 0.1;
/// Share of the process's memory for the connections to workers.
pub(crate) const WORKER_CONNECTION_MEMORY_SHARE: f64 = 0.15;
/// Number of running requests up to which requests are taken while memory is short: what holds it is something else then, and
/// refusing everybody would not free it.
pub(crate) const MIN_REQUESTS_IN_SHORTAGE: u32 = 16;
/// Longest time for reading a request body. The request's deadline may end it earlier.
pub(crate) const MAX_BODY_READ_TIME: Duration = Duration::from_secs(30);
/// Request size that admission assumes if a request does not state its tokens.
pub(crate) const DEFAULT_REQUEST_UNITS: f64 = 1000.0;
/// Weight of an output token relative to a prompt token.
pub(crate) const OUTPUT_TOKEN_WEIGHT: f64 = 10.0;
