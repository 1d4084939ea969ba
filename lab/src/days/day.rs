//! A day as the bench's day files write it.

use serde::Serialize;

/// An entry of a day's plan or faults. What is left out takes the bench's default.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Entry {
    /// Seconds from the start of traffic.
    pub at: f64,
    /// Kind of trouble.
    pub kind: String,
    /// Variant, words separated by spaces.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub how: String,
    /// Class of machines.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub on: Option<String>,
    /// Service concerned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Kind of request concerned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Zone concerned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// How many.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub count: Option<u32>,
    /// Which part, from 0 to 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// Strength, in the kind's own unit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub x: Option<f64>,
    /// Duration in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub for_s: Option<f64>,
    /// Seconds between its steps.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub gap_s: Option<f64>,
}

impl Entry {
    /// An entry of a kind at second 0, all else by default.
    pub fn new(kind: &str) -> Entry {
        Entry {
            at: 0.0,
            kind: kind.to_owned(),
            how: String::new(),
            on: None,
            service: None,
            class: None,
            zone: None,
            count: None,
            share: None,
            x: None,
            for_s: None,
            gap_s: None,
        }
    }

    /// With a variant.
    pub fn how(mut self, how: &str) -> Entry {
        self.how = how.to_owned();
        self
    }

    /// On a class of machines.
    pub fn on(mut self, class: &str) -> Entry {
        self.on = Some(class.to_owned());
        self
    }

    /// At a service.
    pub fn service(mut self, service: &str) -> Entry {
        self.service = Some(service.to_owned());
        self
    }

    /// Of so many.
    pub fn count(mut self, count: u32) -> Entry {
        self.count = Some(count);
        self
    }

    /// Of a share.
    pub fn share(mut self, share: f64) -> Entry {
        self.share = Some(share);
        self
    }

    /// With a strength.
    pub fn strength(mut self, strength: f64) -> Entry {
        self.x = Some(strength);
        self
    }

    /// For a number of seconds.
    pub fn lasting(mut self, seconds: f64) -> Entry {
        self.for_s = Some(seconds);
        self
    }

    /// With a pause in seconds between its steps.
    pub fn gap(mut self, seconds: f64) -> Entry {
        self.gap_s = Some(seconds);
        self
    }

    /// At a second of the day.
    pub fn at(mut self, second: f64) -> Entry {
        self.at = second;
        self
    }
}

/// The fault that ends a day.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Closing {
    /// Kind of the fault.
    pub kind: String,
    /// Variant.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub how: String,
    /// Seconds until the machines are back.
    pub down_s: f64,
}

/// The least worth that lets a day pass.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Goal {
    /// Share of the worth owed.
    pub floor: f64,
}

/// A day.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Day {
    /// Its name.
    pub name: String,
    /// Group in the site's score.
    pub slot: String,
    /// Seed of the day's other chances.
    pub seed: u64,
    /// Worth that counts as a full score.
    pub one: f64,
    /// Worth that counts as none.
    pub zero: f64,
    /// Labels of the day, none.
    pub labels: Vec<String>,
    /// Seconds that the bench expects the day to take.
    pub wall: f64,
    /// Whether a short run plays it.
    pub light: bool,
    /// The least worth.
    pub goal: Goal,
    /// The final fault.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub closing: Option<Closing>,
    /// Planned work.
    pub plan: Vec<Entry>,
    /// Faults.
    pub faults: Vec<Entry>,
    /// The clients, as a day of the site has them.
    pub traffic: toml::Value,
}
