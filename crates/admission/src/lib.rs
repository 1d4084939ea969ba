//! Smoothed price of a route and the admission test.
//!
//! [`price`] is the arithmetic that the gateway and the system share. [`Controller`] is the system's admission
//! stage, ahead of routing: each gatekeeper has one, which is given its own requests, the workers' load and the
//! summaries of other gatekeepers. It has no clock and no I/O; `now` is a monotonic clock in milliseconds.
//! `docs/design/admission.md` says where worth comes from, how figures are gathered and how refusals stay fair.
//!
//! ```
//! use switchhill_admission::{Controller, Decision, RouteConfig, ServiceLoad, Settings};
//!
//! let mut controller = Controller::new(Settings { seed: 7, ..Settings::default() });
//! let config = RouteConfig {
//!     route: "live".into(),
//!     service: "model".into(),
//!     target_latency_ms: 400.0,
//!     priority: 0,
//!     timeout_ms: 12_000.0,
//! };
//! controller.set_routes(0, &[config]);
//! controller.set_service_load(0, "model", ServiceLoad { ready_workers: 18, slots: 576, outstanding: 40.0 });
//! assert_eq!(controller.decide(5, "live", 826.0, 12_000.0), Decision::Admit);
//! ```

mod controller;
mod hung;
mod monotone;
pub mod price;
mod route;
mod service;
mod size;
mod types;
mod wait;

pub use controller::Controller;
pub use hung::{is_worker_hung, UnansweredAttempt};
pub use monotone::{isotonic_regression, WeightedValue};
pub use types::{Decision, RouteConfig, Sample, ServiceLoad, Settings, Summary};
