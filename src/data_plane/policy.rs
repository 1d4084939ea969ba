//! Figures of the data plane that are tuned rather than given by the settings or the configuration.

use std::time::Duration;

/// Share of the objective in which a connection to a worker has to come up: beyond it another is quicker.
pub(crate) const CONNECT_TIMEOUT_SHARE: f64 = 0.5;
/// Shortest such time: connecting takes a few milliseconds, and a busy process notices late.
pub(crate) const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest such time: an opening packet that was lost is sent again only after a second.
pub(crate) const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for one of a worker's connections to become free before another worker is chosen.
pub(crate) const MAX_CONNECTION_WAIT: Duration = Duration::from_millis(100);
/// Rest of a connection after an answer, in which surplus bytes of the worker would still show.
pub(crate) const CONNECTION_SETTLE_TIME: Duration = Duration::from_millis(30);
/// An idle connection is dropped this long before the worker would close it.
pub(crate) const IDLE_CLOSE_MARGIN: Duration = Duration::from_millis(400);
/// The same as a share of the time the worker tells, where that is short.
pub(crate) const IDLE_CLOSE_MARGIN_SHARE: f64 = 0.2;
/// Idle time of a connection that was opened to see whether its worker still takes any, and has carried nothing yet.
pub(crate) const PROBE_CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Least time between two reports that the same worker is unreachable, in milliseconds.
pub(crate) const UNREACHABLE_REPORT_INTERVAL_MS: u64 = 300;
/// Idle time of a connection whose worker tells none, which then closes none on its own.
pub(crate) const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Least number of connections a gatekeeper may hold to one worker, however many gatekeepers there are.
pub(crate) const MIN_CONNECTIONS_PER_WORKER: u32 = 4;
/// Share of a worker's connections that the gatekeepers use together; the rest is for uneven shares.
pub(crate) const WORKER_CONNECTION_SHARE: f64 = 0.8;
/// Time after which bytes that a worker's machine has not acknowledged end the connection.
pub(crate) const WORKER_TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which bytes that a client's machine has not acknowledged end the connection.
pub(crate) const CLIENT_TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers up to this many bytes are read whole before they are passed on, so that a cut one can be repeated.
pub(crate) const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 * 1024;
/// Longest time spent on reading the body of a refusal so that its connection can be kept.
pub(crate) const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(20);
/// Longest time in which a broken stream has to be taken up by another worker.
pub(crate) const RESUME_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before a worker is looked for again while a stream is being taken up.
pub(crate) const RESUME_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Latency objectives below this, in milliseconds, are taken to leave no time to load a model unless the placer expects
/// it to stand in time.
pub(crate) const SHORT_TARGET_LATENCY_MS: u64 = 2000;
/// Share of a short objective within which a model has to be expected for its requests to be held: loads come late
/// rather than early, and the first byte takes its time after that. Beyond it an answer from a second try, after a
/// refusal at once, is worth more than a late one.
pub(crate) const EXPECTED_LOAD_WAIT_SHARE: f64 = 0.7;
/// Time in milliseconds by which a model that should stand already may still be awaited.
pub(crate) const EXPECTED_LOAD_OVERDUE_MS: u64 = 1000;
/// Time in milliseconds that a client is told to come back after its model is expected: gatekeepers hear of it then.
pub(crate) const RETRY_AFTER_EXPECTED_LOAD_MS: u64 = 50;
/// Time in milliseconds that a load takes beside the bare load: the order, the unload that makes room, and the reports
/// that tell of the end of both.
pub(crate) const MODEL_LOAD_OVERHEAD_MS: u64 = 500;
/// Longest hold of a request with a short objective for an adapter, which comes in milliseconds.
pub(crate) const MAX_ADAPTER_WAIT: Duration = Duration::from_millis(150);
/// The same as a share of the objective, where that is very short.
pub(crate) const MAX_ADAPTER_WAIT_SHARE: f64 = 0.5;
/// Share of a short objective for which a request is held for a model.
pub(crate) const SHORT_TARGET_WAIT_SHARE: f64 = 0.2;
/// Share of a long objective for which a request is held.
pub(crate) const LONG_TARGET_WAIT_SHARE: f64 = 0.9;
/// Share of the time left for which a request is held at most.
pub(crate) const MAX_WAIT_SHARE_OF_TIMEOUT: f64 = 0.5;
/// Longest hold for a first worker of a service: after a loss of all control state workers are known again within a
/// heartbeat, so a late answer is likelier than one from a second try.
pub(crate) const MAX_FIRST_WORKER_WAIT: Duration = Duration::from_millis(1400);
/// Longest hold for a first configuration.
pub(crate) const MAX_CONFIGURATION_WAIT: Duration = Duration::from_millis(1000);
/// Least time between two reports that the same model is missing.
pub(crate) const MISSING_REPORT_INTERVAL_MS: u64 = 100;

/// Advice for a request that was refused before any configuration was known.
pub(crate) const RETRY_AFTER_NO_CONFIGURATION_MS: u64 = 500;
/// Advice for a request for which no worker could be found.
pub(crate) const RETRY_AFTER_NO_WORKER_MS: u64 = 300;
/// Advice for a request that workers refused.
pub(crate) const RETRY_AFTER_REFUSED_MS: u64 = 200;
/// Advice for a request whose adapter is missing.
pub(crate) const RETRY_AFTER_ADAPTER_MS: u64 = 200;
/// Advice for a request whose model is missing and whose time to load is unknown.
pub(crate) const RETRY_AFTER_MODEL_MS: u64 = 1500;

/// Interval of the summaries, and of dropping idle connections.
pub(crate) const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
/// Silence of all streams of a worker, in milliseconds, after which they are taken up elsewhere. Prompts that are read
/// between the steps of a batch pause its streams for some hundred milliseconds.
pub(crate) const STREAM_STALL_MS: u64 = 900;
/// How often the agent is told of load and demand.
pub(crate) const SUMMARY_INTERVAL: Duration = Duration::from_millis(300);
/// Time constant in milliseconds over which the rate of requests for a model is averaged.
pub(crate) const DEMAND_TIME_CONSTANT_MS: f64 = 1000.0;
/// Rate in requests a second below which a model without running requests is no longer told of.
pub(crate) const MIN_DEMAND_PER_S: f64 = 0.1;
/// How often refusals are logged.
pub(crate) const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Interval at which silent workers are looked for; the router takes longer gaps for a pause of the process.
pub(crate) const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(80);

/// Longest time after SIGTERM in which new connections are taken: the platform misses two checks by then.
pub(crate) const MAX_DRAIN_TIME: Duration = Duration::from_millis(2500);
/// The same as a share of the time to SIGKILL, where that is short.
pub(crate) const DRAIN_SHARE: f64 = 0.3;
/// What is left of the time to SIGKILL when the process ends.
pub(crate) const EXIT_MARGIN: Duration = Duration::from_millis(100);
/// What has to be left until the end of the process when the answer of a request is expected that was taken after
/// SIGTERM.
pub(crate) const LAST_RESPONSE_MARGIN: Duration = Duration::from_millis(100);
/// Share of requests whose time limits end before the process, below which no new connections are taken after SIGTERM.
pub(crate) const MIN_FITTING_SHARE: f64 = 0.5;
/// Time for which connections are still taken and served once the last phase has begun: what has come is read first.
pub(crate) const CLOSING_GRACE: Duration = Duration::from_millis(20);
/// Advice for a request that does not end before the process: the client's next connection goes elsewhere.
pub(crate) const RETRY_AFTER_SHUTDOWN_MS: u64 = 20;
/// Time without a running request and without an answer that waits to be written, after which connections that are
/// still open are left: they have never carried a request.
pub(crate) const UNUSED_CONNECTION_TIMEOUT: Duration = Duration::from_secs(1);
/// A client's idle connection is kept this much longer than the configuration promises.
pub(crate) const CLIENT_IDLE_GRACE: Duration = Duration::from_secs(1);
/// Descriptors that settings reserve for files.
pub(crate) const RESERVED_FILE_DESCRIPTORS: u64 = 200;
/// Descriptors of the process itself: listeners, the agent's link, signals.
pub(crate) const PROCESS_DESCRIPTORS: u64 = 64;
/// Share of the remaining descriptors that clients may use; workers' connections have the rest.
pub(crate) const CLIENT_DESCRIPTOR_SHARE: f64 = 0.6;
/// Connections that wait to be accepted.
pub(crate) const LISTEN_BACKLOG: u32 = 1024;
/// Smallest buffer for a request head that the HTTP library takes.
pub(crate) const MIN_HEAD_BUFFER_BYTES: usize = 8192;
/// Attempts that were never sent (no connection, worker gone meanwhile) before a request is given up.
pub(crate) const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// Longest time a request's body may take to come; its deadline ends it earlier.
pub(crate) const MAX_BODY_READ_TIME: Duration = Duration::from_secs(30);
/// Size that admission assumes for a request that does not tell its tokens.
pub(crate) const DEFAULT_REQUEST_UNITS: f64 = 1000.0;
/// What a token put out weighs against one of the prompt.
pub(crate) const OUTPUT_TOKEN_WEIGHT: f64 = 10.0;
