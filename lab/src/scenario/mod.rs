//! Scenarios: what is started, what comes, what goes wrong, and what must hold.

mod faults;
mod read;
mod read_faults;

pub use faults::{Links, Range, RigFault, RigPlan, RigTrouble, Spoil, Trouble, Whom};

use std::path::Path;
use switchhill::process::document::{Fault, Faults, Node};

/// How clients take a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Manner {
    /// They come back when told, give or take a tenth.
    Obey,
    /// They come back exactly when told, with all their neighbours.
    Exactly,
    /// They come back after a fifth of a second whatever they are told.
    Ignore,
    /// They do not come back.
    Never,
}

/// A group of subscribers alike.
#[derive(Debug, Clone, PartialEq)]
pub struct Group {
    /// Its name in the report.
    pub name: String,
    /// Position of its plan in [`PLANS`].
    pub plan: usize,
    /// How many there are.
    pub subscribers: u64,
    /// Requests a second of each.
    pub per_second: f64,
    /// Even steps for each subscriber, from a moment of its own; else a Poisson stream.
    pub even: bool,
    /// Skew among the group's subscribers: the weight of the n-th is 1 / n to this power. Poisson only.
    pub skew: f64,
    /// The share that is `top-up`.
    pub top_up: f64,
    /// Seconds from the start.
    pub from: f64,
    /// Until.
    pub to: f64,
    /// How often each asks again.
    pub retries: u32,
    /// Seconds from the moment planned after which it asks no more.
    pub patience: f64,
    /// How it takes a refusal.
    pub manner: Manner,
    /// Brings back the ticket that it was given.
    pub tickets: bool,
    /// Asks again through the next gateway.
    pub elsewhere: bool,
}

/// The stand-in boxes.
#[derive(Debug, Clone, PartialEq)]
pub struct Boxes {
    /// How many.
    pub count: usize,
    /// Requests that one works on at once.
    pub cores: usize,
    /// Requests that wait behind those.
    pub waiting: usize,
    /// Connections that one holds.
    pub slots: usize,
    /// Mean times of service in milliseconds: `usage-view`, `top-up`.
    pub takes_ms: [f64; 2],
    /// Spread of the times: the deviation over the mean, of a log-normal distribution.
    pub spread: f64,
    /// Answers tell the customer's use; without it the shared store is the only meter.
    pub tell_use: bool,
}

/// What must hold at the end.
#[derive(Debug, Clone, PartialEq)]
pub struct Expect {
    /// A figure of the result, by its path.
    pub what: String,
    /// It may be no less.
    pub least: f64,
    /// And no more.
    pub most: f64,
}

/// A scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Its name: the file's.
    pub name: String,
    /// How long clients come.
    pub seconds: f64,
    /// What comes before this is not counted.
    pub counted_from: f64,
    /// Gateways, 1 to 16.
    pub gateways: usize,
    /// Each one's limit on memory.
    pub memory_mb: u64,
    /// And on descriptors.
    pub sockets: u64,
    /// The operator's file of the gateways, as text; none for an empty one.
    pub operator: Option<String>,
    /// Gateways share a key file for tickets.
    pub keys: bool,
    /// No gateway stands between: the least relay does.
    pub bare: bool,
    /// Clients speak HTTP/2.
    pub http2: bool,
    /// Connections of clients to each gateway, at the most.
    pub connections: usize,
    /// The boxes.
    pub boxes: Boxes,
    /// The clients.
    pub groups: Vec<Group>,
    /// What goes wrong, in order of time.
    pub troubles: Vec<(f64, Trouble)>,
    /// The fault rig, where the scenario has one.
    pub rig: Option<RigPlan>,
    /// What must hold.
    pub expect: Vec<Expect>,
}

impl Scenario {
    /// Reads a scenario's file.
    ///
    /// # Errors
    /// Every fault in it.
    pub fn from_file(path: &Path) -> Result<Self, Faults> {
        let whole = |problem: String| Faults(vec![Fault { line: 0, field: String::new(), problem }]);
        let text = std::fs::read_to_string(path).map_err(|e| whole(format!("cannot be read: {e}")))?;
        let name = path.file_stem().map_or(String::new(), |name| name.to_string_lossy().into_owned());
        let folder = path.parent().unwrap_or(Path::new("."));
        Self::read(&text, &name, folder)
    }

    /// Reads a scenario; an operator's file that it names is looked for from `folder`.
    ///
    /// # Errors
    /// Every fault in it.
    pub fn read(text: &str, name: &str, folder: &Path) -> Result<Self, Faults> {
        Node::parse(text)?.read(|root| read::scenario(root, name, folder))
    }

    /// Requests a second that the boxes can do when warm, for the scenario's mix of classes.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let (mut all, mut work) = (0.0, 0.0);
        for group in &self.groups {
            let rate = group.subscribers as f64 * group.per_second * (group.to - group.from);
            all += rate;
            let [view, top_up] = self.boxes.takes_ms;
            work += rate * (view * (1.0 - group.top_up) + top_up * group.top_up);
        }
        let mean = if all > 0.0 { work / all } else { self.boxes.takes_ms[0] };
        (self.boxes.count * self.boxes.cores) as f64 * 1000.0 / mean
    }
}
