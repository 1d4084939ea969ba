//! Smoothed price of a route and the admission test.
//!
//! [`price`] is the arithmetic that the program in service and the system share. [`Controller`] is the system's
//! admission stage: one a gatekeeper, ahead of routing, fed with its own requests, the workers' load and what
//! other gatekeepers tell. It has no clock and no I/O; `now` is a monotonic clock in milliseconds.
//! Where worth comes from, how figures are gathered and what keeps refusals fair stands in
//! `docs/design/admission.md`.
//!
//! ```
//! use switchhill_admission::{Controller, Decision, RouteTerms, ServiceLoad, Settings};
//!
//! let mut controller = Controller::new(Settings { seed: 7, ..Settings::default() });
//! let terms = RouteTerms {
//!     route: "live".into(),
//!     service: "model".into(),
//!     aim_ms: 400.0,
//!     priority: 0,
//!     timeout_ms: 12_000.0,
//! };
//! controller.set_routes(0, &[terms]);
//! controller.set_service(0, "model", ServiceLoad { ready_workers: 18, slots: 576, known: 40.0 });
//! assert_eq!(controller.arrived(5, "live", 826.0, 12_000.0), Decision::Admit);
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
pub use hung::{worker_hung, Silence};
pub use monotone::{non_decreasing, Weighted};
pub use types::{Decision, RouteTerms, Sample, ServiceLoad, Settings, Summary};
