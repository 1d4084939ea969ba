//! The deployment that is emulated: sizes, bounds and the operator's first configuration.

use serde_json::{json, Value};

/// Service whose workers hold models.
pub const ENGINE_SERVICE: &str = "models";

/// Models of the service.
pub const MODELS: [(&str, f64); 6] = [
    ("amber", 42_700.0),
    ("basalt", 72_700.0),
    ("cobalt", 65_100.0),
    ("dolomite", 42_700.0),
    ("emerald", 72_700.0),
    ("flint", 65_100.0),
];

/// Adapters of each model.
pub const ADAPTERS: u32 = 6;

/// Size of an adapter in megabytes.
pub const ADAPTER_MB: f64 = 66.0;

/// Room of a worker in megabytes.
pub const WEIGHTS_MB: f64 = 200_000.0;

/// Adapters that a worker holds.
pub const ADAPTER_SLOTS: usize = 4;

/// Loads a second that the weight store allows.
pub const LOADS_PER_S: f64 = 2.0;

/// Time in milliseconds that a load from the weight store takes.
pub const LOAD_MS: u64 = 1_700;

/// Bounds of the deployment, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Calm after which machines are in touch.
    pub liveness_ms: u64,
    /// Time for a change to be acknowledged.
    pub ack_ms: u64,
    /// Time after which a machine that is back no longer counts as lost.
    pub catch_up_ms: u64,
    /// Time for the end of a worker to be known everywhere.
    pub drain_ms: u64,
    /// Time for a configuration to be in force everywhere.
    pub config_ms: u64,
    /// Time added to `config_ms` while the core is unstable but a majority of it runs.
    pub skew_ms: u64,
    /// Time in which the system works again after all core machines were down.
    pub recovery_ms: u64,
    /// Time between orders of two placers.
    pub lease_ms: u64,
    /// Time after a thaw or the end of a cut in which orders are not judged.
    pub thaw_ms: u64,
    /// Time from SIGTERM to SIGKILL.
    pub grace_ms: u64,
    /// Window of the ceiling of loads.
    pub ceiling_window_ms: u64,
    /// How far the list of core machines that callers use lags behind.
    pub seed_lag_ms: u64,
    /// Time between two heartbeats of a worker.
    pub heartbeat_ms: u64,
}

impl Default for Bounds {
    /// Those of the deployments in service.
    fn default() -> Self {
        Bounds {
            liveness_ms: 3_000,
            ack_ms: 4_000,
            catch_up_ms: 4_000,
            drain_ms: 2_000,
            config_ms: 2_000,
            skew_ms: 5_000,
            recovery_ms: 12_000,
            lease_ms: 3_000,
            thaw_ms: 300,
            grace_ms: 8_000,
            ceiling_window_ms: 5_000,
            seed_lag_ms: 3_000,
            heartbeat_ms: 1_200,
        }
    }
}

/// Sizes of the deployment.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    /// Core machines of each zone at the start.
    pub zones: &'static [usize],
    /// Core machines that may be lost at once.
    pub machines_lost: usize,
    /// Zones that may be lost at once.
    pub zones_lost: usize,
    /// Edge machines.
    pub edges: usize,
    /// Places for workers.
    pub workers: usize,
    /// Whether workers check fencing tokens.
    pub fencing: bool,
    /// Time in milliseconds of a sync of a core machine's disk.
    pub sync_ms: u64,
}

/// Layouts of the core by zone, with the machines and the zones whose loss at once is to be borne, and how many seeds of a
/// hundred have it.
const LAYOUTS: [(&[usize], usize, usize, u32); 10] = [
    (&[2, 1, 1, 1], 1, 0, 30),
    (&[2, 2, 1], 1, 0, 12),
    (&[2, 2, 1], 2, 0, 10),
    (&[2, 1], 1, 0, 14),
    (&[1, 1, 1], 1, 0, 8),
    (&[9], 2, 0, 8),
    (&[3, 3, 3], 1, 1, 8),
    (&[3, 2, 2], 3, 0, 4),
    (&[2, 2, 2], 1, 0, 3),
    (&[4, 4, 3], 2, 0, 3),
];

impl Sizes {
    /// Sizes by seed: most often those of the deployments in service.
    pub fn draw(random: &mut fastrand::Rng) -> Sizes {
        let mut chance = random.u32(0..LAYOUTS.iter().map(|layout| layout.3).sum());
        let drawn = LAYOUTS.iter().find(|layout| {
            let found = chance < layout.3;
            chance = chance.saturating_sub(layout.3);
            found
        });
        let (zones, machines_lost, zones_lost, _) = *drawn.unwrap_or(&LAYOUTS[0]);
        let edges = if zones.iter().sum::<usize>() > 5 { 4 } else { random.usize(4..=5) };
        Sizes {
            zones,
            machines_lost,
            zones_lost,
            edges,
            workers: 8,
            fencing: random.u32(0..10) < 7,
            sync_ms: random.u64(1..=5),
        }
    }

    /// Core machines at the start.
    pub fn cores(&self) -> usize {
        self.zones.iter().sum()
    }

    /// Zone of each core machine at the start: the zones take turns, as in the list from which the seeds are taken.
    pub fn zones_of_cores(&self) -> Vec<usize> {
        let largest = self.zones.iter().copied().max().unwrap_or(0);
        let turn = |turn| (0..self.zones.len()).filter(move |zone| self.zones[*zone] > turn);
        (0..largest).flat_map(turn).collect()
    }

    /// The layout in a few words, such as `2+1, machines 1`.
    pub fn layout(&self) -> String {
        let zones = self.zones.iter().map(usize::to_string).collect::<Vec<_>>().join("+");
        let zones_lost =
            if self.zones_lost > 0 { format!(", zones {}", self.zones_lost) } else { String::new() };
        format!("{zones}, machines {}{zones_lost}", self.machines_lost)
    }
}

/// A route that carries the number of an order, so that a configuration tells which orders it contains.
pub fn marker_route(order: u64) -> Value {
    json!({
        "name": marker_name(order),
        "host": "emulated.example",
        "pathPrefix": format!("/{order}/"),
        "routeKind": "unsafe",
        "timeoutMs": 2_000,
        "targetLatencyMs": 300,
        "service": ENGINE_SERVICE,
        "retries": 1,
    })
}

/// A route that nobody asks for, to make a configuration long.
pub fn idle_route(number: usize) -> Value {
    let mut route = marker_route(0);
    route["name"] = json!(format!("idle-{number}"));
    route["pathPrefix"] = json!(format!("/idle/{number}/"));
    route
}

/// Name of the route of an order.
fn marker_name(order: u64) -> String {
    format!("order-{order}")
}

/// Number of the order whose route has this name.
pub fn order_of_marker(name: &str) -> Option<u64> {
    name.strip_prefix("order-")?.parse().ok()
}

/// A whole configuration that contains these orders.
pub fn whole_configuration(revision: u64, orders: impl Iterator<Item = u64>) -> Value {
    json!({
        "revision": revision,
        "routes": orders.map(marker_route).collect::<Vec<_>>(),
        "services": [engine_service()],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
    })
}

fn engine_service() -> Value {
    let model = |(name, weights_mb): &(&str, f64)| {
        json!({
            "name": name,
            "weightsMb": weights_mb,
            "loadS": LOAD_MS as f64 / 1_000.0,
            "adapters": ADAPTERS,
            "adapterMb": ADAPTER_MB,
        })
    };
    json!({
        "name": ENGINE_SERVICE,
        "healthCheck": "/health",
        "maxConnections": 100,
        "protocol": "h1",
        "tls": false,
        "engine": {
            "slots": 32,
            "kvCacheTokens": 120_000,
            "kvTokenBytes": 163_840,
            "linkMbps": 550_000.0,
            "stride": 5,
            "models": MODELS.iter().map(model).collect::<Vec<_>>(),
            "weightsMb": WEIGHTS_MB,
            "adapterSlots": ADAPTER_SLOTS,
            "loadsPerS": LOADS_PER_S,
        },
    })
}
