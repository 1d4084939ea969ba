//! The most that a fault of the store lets through beyond a quota, computed before it happens.

use crate::{Ms, FLUSH};

/// How many periods a customer's last total counts: one and a half in the core, then one in the module.
pub const READING_COUNTS: f64 = 2.5;

/// One plan, as the settings tell it, behind so many gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// Units a second.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
    /// Gateways that one customer may come through.
    pub gateways: u32,
    /// The meter's period.
    pub period: Ms,
    /// The store's time-out.
    pub timeout: Ms,
}

/// What happens to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It comes back empty, or another one stands in its place.
    Lost,
    /// It answers nobody, or not in time.
    Silent,
    /// Some gateways are cut off from it, or its two halves both answer.
    Split,
}

/// What one customer may get beyond its rate and burst, over what it gets with a sound store, in units.
#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    /// The fault.
    pub fault: Fault,
    /// Each term and what it is.
    pub terms: Vec<(&'static str, f64)>,
}

impl Bound {
    /// All terms.
    #[must_use]
    pub fn units(&self) -> f64 {
        self.terms.iter().map(|(_, units)| units).sum()
    }
}

/// The bounds of each fault for a customer of `plan`.
#[must_use]
pub fn bounds(plan: &Plan) -> [Bound; 3] {
    let second = |span: Ms| plan.rate * span / 1000.0;
    let gateways = f64::from(plan.gateways.max(1));
    // Each gateway's store holds a whole request at the least, however small its part of the burst.
    let stores = (gateways * (plan.burst / gateways).max(1.0) - plan.burst).max(0.0);
    let untold = ("use not told when it happens: rate x (batch + time-out)", second(FLUSH + plan.timeout));
    let lost = vec![("use of the open period: rate x period", second(plan.period)), untold];
    // One gateway may hold all but the others' floors; it keeps that while its reading counts, and halves it each second.
    let kept = READING_COUNTS * plan.period + 2000.0;
    let shares = (1.0 - 1.0 / gateways) * second(kept);
    let silent = vec![("least stores: gateways x max(burst / gateways, 1) - burst", stores), untold];
    let split = vec![
        ("slices that stand while readings count: (1 - 1 / gateways) x rate x (2.5 periods + 2 s)", shares),
        ("least stores: gateways x max(burst / gateways, 1) - burst", stores),
        untold,
    ];
    [(Fault::Lost, lost), (Fault::Silent, silent), (Fault::Split, split)]
        .map(|(fault, terms)| Bound { fault, terms })
}
