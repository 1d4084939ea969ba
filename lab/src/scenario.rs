//! Scenarios: what is started, what comes, what goes wrong, and what must hold.

use crate::load::PLANS;
use crate::rig::proxy::Fault;
use std::path::{Path, PathBuf};
use std::time::Duration;
use switchhill::process::document::{Fault as Wrong, Faults, Node, Reader};

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

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
    /// A box does nothing for so many seconds.
    Pause(usize, f64),
    /// A box is told to drain.
    Drain(usize),
    /// A box dies and is back, cold, after so many seconds.
    Restart(usize, f64),
    /// The gateways' key file is changed: a new key signs, the old one is still good.
    NewKey,
    /// So many connections come to each gateway at once and say nothing, for so many seconds.
    Silent(usize, f64),
}

/// A moment or a span in seconds that the seed draws from a range.
pub type Range = (f64, f64);

/// Which links of a gateway a fault is on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Links {
    /// To the store.
    Store,
    /// To discovery.
    Discovery,
    /// To both: it is cut off from everything that tells it anything.
    Both,
}

/// Which gateways a fault between processes meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Whom {
    /// This one.
    Number(usize),
    /// So many, drawn by the seed among all but gateway 0.
    Pick(usize),
    /// Every one.
    All,
}

/// What goes wrong between processes, or is done to them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RigFault {
    /// A fault on their links.
    Link(Links, Fault),
    /// SIGSTOP, and SIGCONT at the end.
    Freeze,
    /// SIGKILL, and a start with the same files at the end.
    Kill,
    /// Other settings in the file and SIGHUP, the next of a row.
    Change,
    /// A file cut off in the middle and SIGHUP; the whole one is put back at the end.
    BadFile,
    /// An operator's call at this gateway: leave the box out.
    Cordon(usize),
    /// And put it back.
    Uncordon(usize),
    /// The store comes back empty.
    EmptyStore,
    /// The store loses the pointers to the versions.
    LoseKeys,
    /// The store is given back the settings' pointer as it was at the start, as from an old copy.
    OldVersion,
    /// The store answers nobody.
    StoreDown,
    /// Two halves of the store answer, each a half of the gateways; at the end all are back at the first.
    SplitStore,
    /// A fresh store stands in its place from now on.
    ReplaceStore,
    /// The store loses every second key.
    LoseHalf,
    /// Discovery gives the list that it gave first, under its old revision.
    StaleList,
    /// Something happens to the snapshots, best while the gateways are down.
    Spoil(Spoil),
}

/// What happens to a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spoil {
    /// Its second half is lost.
    Cut,
    /// It is the next gateway's.
    Foreign,
    /// It is of an older format.
    OldFormat,
    /// It is gone.
    Missing,
}

/// A fault between processes: when, for how long, at whom.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RigTrouble {
    /// Seconds from the start of the load.
    pub at: Range,
    /// How long it lasts, where it has an end.
    pub lasts: Range,
    /// Whom it meets.
    pub whom: Whom,
    /// What.
    pub fault: RigFault,
}

/// The fault rig: a store with agreement over it, and a proxy between each gateway and the store and discovery.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RigPlan {
    /// What goes wrong between processes.
    pub troubles: Vec<RigTrouble>,
    /// The settings' epoch that every gateway is to end on.
    pub last_epoch: u64,
    /// The store is the meter too.
    pub meter: bool,
    /// The gateways keep snapshots and tell the phases of their return.
    pub recovery: bool,
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
        let whole = |problem: String| Faults(vec![Wrong { line: 0, field: String::new(), problem }]);
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
        Node::parse(text)?.read(|root| {
            root.only(&[
                "seconds",
                "counted_from",
                "gateways",
                "clients",
                "boxes",
                "groups",
                "troubles",
                "rig",
                "expect",
            ]);
            let gateways = root.at("gateways");
            gateways.only(&["count", "memory_mb", "sockets", "operator", "keys", "bare"]);
            let clients = root.at("clients");
            clients.only(&["protocol", "connections"]);
            let seconds = root.at("seconds").number(1.0..=600.0, 10.0);
            let boxes = read_boxes(&root.at("boxes"));
            Self {
                name: name.into(),
                seconds,
                counted_from: root.at("counted_from").number(0.0..=600.0, 0.0),
                gateways: gateways.at("count").count(1..=16, 1) as usize,
                memory_mb: gateways.at("memory_mb").count(32..=192, 64),
                sockets: gateways.at("sockets").count(256..=1024, 1024),
                operator: read_operator(&gateways.at("operator"), folder),
                keys: gateways.at("keys").flag(false),
                bare: gateways.at("bare").flag(false),
                http2: clients.at("protocol").word(&["http1", "http2"]) == "http2",
                connections: clients.at("connections").count(1..=1000, 200) as usize,
                groups: root.at("groups").list().iter().map(|group| read_group(group, seconds)).collect(),
                troubles: read_troubles(&root.at("troubles"), boxes.count),
                rig: read_rig(&root.at("rig"), gateways.at("count").count(1..=16, 1) as usize, boxes.count),
                boxes,
                expect: root.at("expect").list().iter().map(read_expect).collect(),
            }
        })
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

fn read_operator(from: &Reader<'_>, folder: &Path) -> Option<String> {
    if !from.given() {
        return None;
    }
    let path: PathBuf = folder.join(from.text(""));
    match std::fs::read_to_string(&path) {
        Ok(text) => Some(text),
        Err(e) => {
            from.fault(format!("{} cannot be read: {e}", path.display()));
            None
        }
    }
}

fn read_boxes(from: &Reader<'_>) -> Boxes {
    from.only(&["count", "cores", "waiting", "slots", "usage_view_ms", "top_up_ms", "spread", "tell_use"]);
    let count = |name, range, absent| from.at(name).count(range, absent) as usize;
    Boxes {
        count: count("count", 1..=64, 4),
        cores: count("cores", 1..=256, 4),
        waiting: count("waiting", 0..=10_000, 32),
        slots: count("slots", 1..=10_000, 1000),
        takes_ms: [
            from.at("usage_view_ms").number(0.1..=10_000.0, 20.0),
            from.at("top_up_ms").number(0.1..=10_000.0, 60.0),
        ],
        spread: from.at("spread").number(0.0..=5.0, 0.3),
        tell_use: from.at("tell_use").flag(true),
    }
}

fn read_group(from: &Reader<'_>, seconds: f64) -> Group {
    from.only(&[
        "name",
        "plan",
        "subscribers",
        "per_second",
        "pace",
        "skew",
        "top_up",
        "from",
        "to",
        "retries",
        "patience",
        "manner",
        "tickets",
        "elsewhere",
    ]);
    let names = PLANS.map(|plan| plan.0);
    let name = from.at("plan").word(&names);
    Group {
        name: from.at("name").text(name),
        plan: names.iter().position(|plan| *plan == name).unwrap_or(0),
        subscribers: from.at("subscribers").count(1..=1_000_000, 1),
        per_second: from.at("per_second").number(1e-6..=10_000.0, 1.0),
        even: from.at("pace").word(&["poisson", "even"]) == "even",
        skew: from.at("skew").number(0.0..=3.0, 0.0),
        top_up: from.at("top_up").number(0.0..=1.0, 0.2),
        from: from.at("from").number(0.0..=600.0, 0.0),
        to: from.at("to").number(0.0..=600.0, seconds).min(seconds),
        retries: from.at("retries").count(0..=100, 2) as u32,
        patience: from.at("patience").number(0.0..=600.0, 600.0),
        manner: match from.at("manner").word(&["obey", "exactly", "ignore", "never"]) {
            "exactly" => Manner::Exactly,
            "ignore" => Manner::Ignore,
            "never" => Manner::Never,
            _ => Manner::Obey,
        },
        tickets: from.at("tickets").flag(false),
        elsewhere: from.at("elsewhere").flag(false),
    }
}

fn read_troubles(from: &Reader<'_>, boxes: usize) -> Vec<(f64, Trouble)> {
    let read = |each: &Reader<'_>| {
        each.only(&["at", "what", "box", "count", "for"]);
        let at = each.at("at").number(0.0..=600.0, 0.0);
        let which = each.at("box").count(0..=boxes as u64 - 1, 0) as usize;
        let long = each.at("for").number(0.0..=600.0, 1.0);
        let trouble = match each.at("what").word(&["pause", "drain", "restart", "new-key", "silent"]) {
            "drain" => Trouble::Drain(which),
            "restart" => Trouble::Restart(which, long),
            "new-key" => Trouble::NewKey,
            "silent" => Trouble::Silent(each.at("count").count(1..=2000, 100) as usize, long),
            _ => Trouble::Pause(which, long),
        };
        (at, trouble)
    };
    let mut troubles: Vec<(f64, Trouble)> = from.list().iter().map(read).collect();
    troubles.sort_by(|a, b| a.0.total_cmp(&b.0));
    troubles
}

fn read_range(from: &Reader<'_>, absent: f64) -> Range {
    let list = if from.given() { from.list_or_one() } else { Vec::new() };
    let number = |n: usize, absent: f64| list.get(n).map_or(absent, |each| each.number(0.0..=600.0, absent));
    if list.len() > 2 {
        from.fault("is neither a number nor a range of two");
    }
    let low = number(0, absent);
    let high = number(1, low);
    if high < low {
        from.fault("the range ends before it begins");
    }
    (low, high.max(low))
}

fn read_rig(from: &Reader<'_>, gateways: usize, boxes: usize) -> Option<RigPlan> {
    from.only(&["faults", "last_epoch", "meter", "recovery"]);
    from.given().then(|| RigPlan {
        troubles: from
            .at("faults")
            .list()
            .iter()
            .map(|each| read_rig_trouble(each, gateways, boxes))
            .collect(),
        last_epoch: from.at("last_epoch").count(1..=1000, 1),
        meter: from.at("meter").flag(false),
        recovery: from.at("recovery").flag(false),
    })
}

fn read_rig_trouble(from: &Reader<'_>, gateways: usize, boxes: usize) -> RigTrouble {
    from.only(&["at", "for", "what", "gateway", "pick", "links", "ms", "bytes", "percent", "box", "how"]);
    let links = match from.at("links").word(&["store", "discovery", "both"]) {
        "discovery" => Links::Discovery,
        "both" => Links::Both,
        _ => Links::Store,
    };
    let which = from.at("box").count(0..=boxes as u64 - 1, 0) as usize;
    let words = [
        "cut",
        "cut-up",
        "cut-down",
        "reset",
        "delay",
        "slow",
        "lose",
        "freeze",
        "kill",
        "change",
        "bad-file",
        "cordon",
        "uncordon",
        "empty-store",
        "lose-keys",
        "old-version",
        "store-down",
        "split-store",
        "replace-store",
        "lose-half",
        "stale-list",
        "spoil",
    ];
    let fault = match from.at("what").word(&words) {
        "cut-up" => RigFault::Link(links, Fault::CutUp),
        "cut-down" => RigFault::Link(links, Fault::CutDown),
        "reset" => RigFault::Link(links, Fault::Reset),
        "delay" => {
            RigFault::Link(links, Fault::Delay(Duration::from_millis(from.at("ms").count(1..=10_000, 100))))
        }
        "slow" => RigFault::Link(links, Fault::SlowRead(from.at("bytes").count(1..=65_536, 16) as usize)),
        "lose" => RigFault::Link(links, Fault::LoseConnections(from.at("percent").count(1..=100, 50) as u8)),
        "freeze" => RigFault::Freeze,
        "kill" => RigFault::Kill,
        "change" => RigFault::Change,
        "bad-file" => RigFault::BadFile,
        "cordon" => RigFault::Cordon(which),
        "uncordon" => RigFault::Uncordon(which),
        "empty-store" => RigFault::EmptyStore,
        "lose-keys" => RigFault::LoseKeys,
        "old-version" => RigFault::OldVersion,
        "store-down" => RigFault::StoreDown,
        "split-store" => RigFault::SplitStore,
        "replace-store" => RigFault::ReplaceStore,
        "lose-half" => RigFault::LoseHalf,
        "stale-list" => RigFault::StaleList,
        "spoil" => RigFault::Spoil(match from.at("how").word(&["cut", "foreign", "old-format", "missing"]) {
            "foreign" => Spoil::Foreign,
            "old-format" => Spoil::OldFormat,
            "missing" => Spoil::Missing,
            _ => Spoil::Cut,
        }),
        _ => RigFault::Link(links, Fault::Cut),
    };
    let (pick, gateway) = (from.at("pick"), from.at("gateway"));
    let whom = match (pick.given(), gateway.given()) {
        (true, true) => {
            gateway.fault("either gateway or pick");
            Whom::All
        }
        (true, _) => Whom::Pick(pick.count(1..=gateways.max(2) as u64 - 1, 1) as usize),
        (_, true) => Whom::Number(gateway.count(0..=gateways as u64 - 1, 0) as usize),
        _ => Whom::All,
    };
    RigTrouble { at: read_range(&from.at("at"), 0.0), lasts: read_range(&from.at("for"), 1.0), whom, fault }
}

fn read_expect(from: &Reader<'_>) -> Expect {
    from.only(&["what", "at_least", "at_most"]);
    let (least, most) = (from.at("at_least"), from.at("at_most"));
    if !least.given() && !most.given() {
        from.fault("needs at_least or at_most");
    }
    if !from.at("what").given() {
        from.at("what").fault("missing: the path of a figure, such as plans.basic.served_share");
    }
    let any = -1e18..=1e18;
    Expect {
        what: from.at("what").text(""),
        least: least.number(any.clone(), f64::NEG_INFINITY),
        most: most.number(any, f64::INFINITY),
    }
}
