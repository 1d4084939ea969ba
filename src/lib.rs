//! A gateway that keeps quotas: its decisions as a sans-I/O state machine, and the program around them.
//!
//! A [`DecisionEngine`] is built from [`interface::Settings`] and a seed. It is given events with their time and
//! appends actions. It reads no clock, opens no socket and has no global state.
//!
//! ```
//! use switchhill::interface::*;
//! use switchhill::DecisionEngine;
//!
//! let settings = Settings {
//!     gateways: 2,
//!     ordinal: 0,
//!     zone: 0,
//!     classes: vec![Class { worth: 1.0, target_latency: 500.0, late_value: 0.0, effect: Effect::Safe }],
//!     plans: vec![Plan {
//!         price: 1.0,
//!         rate: 10.0,
//!         burst: 20.0,
//!         max_concurrent: 0.0,
//!         overage_value: 0.0,
//!         overage_cost: 0.5,
//!         ceiling_rate: 0.0,
//!         ceiling_depth: 0.0,
//!     }],
//!     cold_start: ColdStartRules {
//!         cold_share: 0.2,
//!         warm_up: 10_000.0,
//!         overload_multiple: 3.0,
//!         overload_window: 1000.0,
//!     },
//!     limits: Limits {
//!         max_attempts: 3,
//!         may_duplicate: true,
//!         may_probe: false,
//!         probe_price: 0.005,
//!         may_cancel: true,
//!         max_hold_off: 0.0,
//!         may_count: false,
//!     },
//!     report_fields: vec![],
//!     report_mode: ReportMode::Never,
//!     meter_period: 1000.0,
//!     max_units: 1.0,
//!     must_subscribe: false,
//! };
//! let mut engine = DecisionEngine::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let backend = Backend {
//!     id: "10.0.0.1:80".into(),
//!     zone: 0,
//!     cell: 0,
//!     state: BackendState::Ready,
//!     rating: 1.0,
//!     started_at: 0.0,
//! };
//! engine.handle(0.0, Event::List { kind: ListKind::Full, backends: vec![backend] }, &mut actions);
//! let request = Request {
//!     id: RequestId(1),
//!     class: 0,
//!     plan: 0,
//!     customer: 42,
//!     entry_points: 2,
//!     budget: 1000.0,
//!     units: 1.0,
//!     is_retry: false,
//!     body_incomplete: false,
//! };
//! engine.handle(1.0, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Attempt { request: RequestId(1), .. })));
//! # Ok::<(), SettingsError>(())
//! ```

pub mod agent;
pub mod control_plane;
pub mod core;
pub mod data_plane;
pub mod data_plane_feed;
mod decision_engine;
pub mod interface;
pub mod memory;
pub mod net;
pub mod process;
pub mod settings;
pub mod site_settings;
pub mod system;

pub use decision_engine::DecisionEngine;
