//! One run: everything is started, the load is played, and what came of it becomes a [`Outcome`].

use crate::boxes::{Portal, Records, Registry};
use crate::load::{self, Fate, Live, Planned, Try, AIM_MS, GIVE_UP_MS, PLANS};
use crate::rig::checker;
use crate::rig::faults::{Deed, Rig};
use crate::scenario::{Scenario, Spoil, Trouble};
use crate::stand_in::{resident_kb, signal};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A gateway has so long to be ready, and to end.
const STARTS_WITHIN: Duration = Duration::from_secs(10);
const ENDS_WITHIN: Duration = Duration::from_secs(15);
/// After the load, gateways on the rig have so long to act on one version.
const AGREES_WITHIN: Duration = Duration::from_secs(15);
/// Who comes back is met when it is handed on within this of the time told.
const MET_WITHIN_MS: f64 = 500.0;
/// Keys of the scenarios' key files: nothing secret lies behind them.
const KEYS: [&str; 2] = [
    "6c61622d6b65792d6f6e652d6c61622d6b65792d6f6e652d6c61622d6b657931",
    "6c61622d6b65792d74776f2d6c61622d6b65792d74776f2d6c61622d6b657932",
];

/// What a run is told.
#[derive(Debug, Clone)]
pub struct Wanted {
    /// The seed of all chance.
    pub seed: u64,
    /// The gateway's program.
    pub gateway: PathBuf,
    /// This program, which is the least relay as well.
    pub own: PathBuf,
    /// Where the gateways' files and logs go.
    pub folder: PathBuf,
}

/// What came of a run.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Every figure by its path.
    pub figures: BTreeMap<String, f64>,
    /// As `result.json` has it.
    pub json: Value,
    /// By second: served, refused and failed tries.
    pub by_second: Vec<[u32; 3]>,
    /// By second: the served share of each plan's asks.
    pub service: Vec<[f64; 3]>,
    /// By second: the median and the 99th percentile of the time to an answer, in milliseconds.
    pub latency: Vec<[f64; 2]>,
    /// Each gateway's resident memory by second, in KiB.
    pub memory: Vec<Vec<u64>>,
    /// Whether all that was expected held, with its figure.
    pub expect: Vec<(String, f64, f64, f64, bool)>,
}

struct Running {
    child: Child,
    address: SocketAddr,
    /// Where operators call, where the configuration names a place.
    control: Option<SocketAddr>,
    /// How it is started: its files name the addresses that it got at first.
    files: Option<Place>,
    rss: Vec<u64>,
    cpu_at_start: u64,
}

/// A gateway's files.
#[derive(Clone)]
struct Place {
    gateway: PathBuf,
    config: PathBuf,
    operator: Option<PathBuf>,
    log: PathBuf,
}

impl Place {
    fn command(&self) -> Command {
        let mut command = Command::new(&self.gateway);
        command.current_dir(self.config.parent().unwrap_or(Path::new(".")));
        for name in ["RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_CONTROL", "SWITCHHILL_OPERATOR"] {
            command.env_remove(name);
        }
        // Danger: with one place for all, a gateway started again would be taken for an upgrade of another one.
        command.env("RELAY_CONFIG", &self.config).env("TMPDIR", self.config.with_extension("tmp"));
        if let Some(operator) = &self.operator {
            command.env("SWITCHHILL_OPERATOR", operator);
        }
        command
    }

    /// Replaces the configuration's text in one step.
    fn write(&self, text: &str) -> Result<(), String> {
        let next = self.config.with_extension("next");
        let written = std::fs::write(&next, text).and_then(|()| std::fs::rename(next, &self.config));
        written.map_err(|e| format!("{}: {e}", self.config.display()))
    }

    fn change(&self, change: impl FnOnce(&mut Value)) -> Result<(), String> {
        let text = std::fs::read_to_string(self.whole()).map_err(|e| e.to_string())?;
        let mut config: Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
        change(&mut config);
        std::fs::write(self.whole(), config.to_string()).map_err(|e| e.to_string())?;
        self.write(&config.to_string())
    }

    /// The last whole text, beside the one in place, which may be cut off.
    fn whole(&self) -> PathBuf {
        self.config.with_extension("whole")
    }
}

/// Where a gateway's log goes beside its file: as gateway `number`, its agreement events.
type Sink = Option<(usize, Arc<Mutex<Vec<checker::Event>>>, Arc<Mutex<Vec<checker::Returned>>>)>;

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Running {
    fn rss_kb(&self) -> u64 {
        resident_kb(self.child.id()).unwrap_or(0)
    }

    /// Processor time so far, in microseconds; the system counts in hundredths of a second.
    fn cpu_us(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let after = stat.rsplit(')').next().unwrap_or("");
        let field =
            |n: usize| after.split_whitespace().nth(n).and_then(|t| t.parse::<u64>().ok()).unwrap_or(0);
        (field(11) + field(12)) * 10_000
    }

    fn signal(&self, name: &str) {
        // One that has ended is counted as crashed, not signalled.
        let _ = signal(self.child.id(), name);
    }
}

/// The platform's configuration of one gateway.
fn configuration(
    scenario: &Scenario,
    number: usize,
    registry: &Registry,
    seed: u64,
    rig: Option<&Rig>,
) -> Result<String, String> {
    let mut config: Value = serde_json::from_str(crate::stand_in::CONFIG).map_err(|e| e.to_string())?;
    config["name"] = json!(format!("n{number}"));
    config["listen"] = json!("127.0.0.1:0");
    config["discovery"] = json!(rig.map_or(registry.address, |rig| rig.discovery(number)).to_string());
    if rig.is_some() {
        config["control"] = json!("127.0.0.1:0");
    }
    config["seed"] = json!(format!("{:016x}", seed.wrapping_add(number as u64)));
    config["limits"] = json!({"cores": 1.0, "memory_mb": scenario.memory_mb, "sockets": scenario.sockets});
    config["known"] = serde_json::from_str(&registry.list(0)).map_err(|e| e.to_string())?;
    config["settings"]["balancers"] = json!(scenario.gateways);
    config["settings"]["ordinal"] = json!(number);
    config["settings"]["az"] = json!(0);
    config["settings"]["callers"]["marksRetry"] = json!(false);
    config["settings"]["requestClasses"][0]["giveUpMs"] = json!(GIVE_UP_MS[0]);
    config["settings"]["requestClasses"][1]["giveUpMs"] = json!(GIVE_UP_MS[1]);
    Ok(config.to_string())
}

async fn ready(address: SocketAddr) -> bool {
    let start = Instant::now();
    while start.elapsed() < STARTS_WITHIN {
        if get(address, "/health/ready").await.is_some_and(|(status, _)| status == 200) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

async fn get(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    let mut socket = TcpStream::connect(address).await.ok()?;
    let text = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    socket.write_all(text.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(2), socket.read_to_end(&mut bytes)).await;
    read.ok()?.ok()?;
    let text = String::from_utf8(bytes).ok()?;
    let status = text.split_whitespace().nth(1)?.parse().ok()?;
    Some((status, text.split_once("\r\n\r\n")?.1.to_string()))
}

async fn begin(command: &mut Command, log: &Path, control: bool, sink: Sink) -> Result<Running, String> {
    let mut child = command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .map_err(|e| format!("{}: {e}", command.get_program().to_string_lossy()))?;
    let stderr = child.stderr.take().ok_or("no log")?;
    let opened = std::fs::OpenOptions::new().create(true).append(true).open(log);
    let mut log = opened.map_err(|e| format!("{}: {e}", log.display()))?;
    let (tell, told) = tokio::sync::oneshot::channel();
    // A thread of its own reads the log to its end, whatever the load does.
    std::thread::spawn(move || {
        let mut lines = BufReader::new(stderr);
        let mut first = String::new();
        let _ = lines.read_line(&mut first);
        if control {
            let _ = lines.read_line(&mut first);
        }
        let _ = tell.send(first.clone());
        let _ = log.write_all(first.as_bytes());
        for line in lines.lines().map_while(Result::ok) {
            if let Some((number, events, returns)) = &sink {
                let event = checker::event(*number, &line);
                events.lock().unwrap_or_else(PoisonError::into_inner).extend(event);
                returns
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .extend(checker::returned(*number, &line));
            }
            let _ = writeln!(log, "{line}");
        }
    });
    let first = tokio::time::timeout(STARTS_WITHIN, told).await.ok().and_then(Result::ok).unwrap_or_default();
    let told = |start: &str| first.lines().find_map(|line| line.strip_prefix(start)?.trim().parse().ok());
    let address = told("listening on ");
    let control = told("operators call at ");
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut running =
        Running { child, address: nowhere, control, files: None, rss: Vec::new(), cpu_at_start: 0 };
    // Dropped on the way out, it ends its process.
    running.address = address.ok_or(format!("a gateway did not start: {}", first.trim()))?;
    Ok(running)
}

fn write_keys(folder: &Path, keys: &[&str]) -> Result<(), String> {
    use std::os::unix::fs::OpenOptionsExt;
    let (path, next) = (folder.join("appointments.key"), folder.join("appointments.next"));
    let file = std::fs::OpenOptions::new().create(true).truncate(true).write(true).mode(0o600).open(&next);
    file.and_then(|mut file| file.write_all(keys.join("\n").as_bytes()))
        .and_then(|()| std::fs::rename(next, path))
        .map_err(|e| e.to_string())
}

async fn start_gateways(
    scenario: &Scenario,
    wanted: &Wanted,
    registry: &Registry,
    boxes: &[Arc<Portal>],
    rig: Option<&Rig>,
) -> Result<Vec<Running>, String> {
    let folder = &wanted.folder;
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let mut running = Vec::new();
    for number in 0..scenario.gateways {
        let log = folder.join(format!("gateway-{number}.log"));
        let _ = (std::fs::remove_file(&log), std::fs::remove_file(folder.join(Rig::snapshot(number))));
        if scenario.bare {
            let mut command = Command::new(&wanted.own);
            command.arg("bare").args(boxes.iter().map(|portal| portal.address.to_string()));
            running.push(begin(&mut command, &log, false, None).await?);
            continue;
        }
        let config = folder.join(format!("config-{number}.json"));
        let operator = match rig {
            Some(rig) => Some(rig.operator(number, scenario.operator.as_deref())),
            None => scenario.operator.clone(),
        };
        let place = Place {
            gateway: wanted.gateway.clone(),
            operator: operator.is_some().then(|| folder.join(format!("operator-{number}.yaml"))),
            log,
            config,
        };
        std::fs::create_dir_all(place.config.with_extension("tmp")).map_err(|e| e.to_string())?;
        let text = configuration(scenario, number, registry, wanted.seed, rig)?;
        std::fs::write(place.whole(), &text).map_err(|e| e.to_string())?;
        place.write(&text)?;
        if let (Some(path), Some(operator)) = (&place.operator, &operator) {
            std::fs::write(path, operator).map_err(|e| e.to_string())?;
        }
        if scenario.keys && number == 0 {
            write_keys(folder, &KEYS[..1])?;
        }
        let sink = rig.map(|rig| (number, rig.events.clone(), rig.returns.clone()));
        let mut one = begin(&mut place.command(), &place.log, rig.is_some(), sink).await?;
        if rig.is_some() {
            // Started again, it is to be where its clients know it.
            place.change(|config| {
                config["listen"] = json!(one.address.to_string());
                config["control"] = json!(one.control.map(|control| control.to_string()));
            })?;
        }
        one.files = Some(place);
        running.push(one);
    }
    // All are started before the first is waited for, as a site is.
    for (number, one) in running.iter().enumerate() {
        if !scenario.bare && !ready(one.address).await {
            return Err(format!("gateway {number} was not ready in {STARTS_WITHIN:?}"));
        }
    }
    Ok(running)
}

/// Plays a scenario.
///
/// # Errors
/// When something cannot be started.
pub async fn run(scenario: &Arc<Scenario>, wanted: &Wanted, live: &Arc<Live>) -> Result<Outcome, String> {
    let rates: HashMap<String, (f64, f64)> =
        PLANS.iter().map(|(name, rate, burst)| (name.to_string(), (*rate, *burst))).collect();
    let (rates, records) = (Arc::new(rates), Arc::new(Mutex::new(Records::default())));
    let mut boxes = Vec::new();
    for number in 0..scenario.boxes.count {
        let (set, records, rates) = (scenario.boxes.clone(), records.clone(), rates.clone());
        let portal = Portal::start(number, set, wanted.seed, records, rates).await;
        boxes.push(portal.map_err(|e| format!("a box cannot start: {e}"))?);
    }
    let registry =
        Registry::start(boxes.clone()).await.map_err(|e| format!("discovery cannot start: {e}"))?;
    let plan = scenario.rig.as_ref().filter(|_| !scenario.bare);
    let mut rig = plan.map(|plan| Rig::start(plan, scenario.gateways, registry.address, wanted.seed));
    let mut gateways = start_gateways(scenario, wanted, &registry, &boxes, rig.as_ref()).await?;
    if let Some(rig) = &mut rig {
        rig.first_agreed(scenario.gateways).await?;
    }
    let planned = Arc::new(load::plan(scenario, wanted.seed));
    for gateway in &mut gateways {
        gateway.cpu_at_start = gateway.cpu_us();
    }
    let start = Instant::now();
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.address).collect();
    let playing = tokio::spawn(load::play(
        scenario.clone(),
        planned.clone(),
        addresses.clone(),
        start,
        wanted.seed,
        live.clone(),
    ));
    let mut troubles = scenario.troubles.iter().copied().peekable();
    let mut second = 1;
    let mut marked = false;
    while !playing.is_finished() {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let now = start.elapsed().as_secs_f64();
        while let Some((_, trouble)) = troubles.next_if(|(at, _)| *at <= now) {
            bring(trouble, &boxes, &registry, &gateways, wanted, &addresses)?;
        }
        if let Some(rig) = &mut rig {
            let due = rig.due(now);
            if rig.faults_at().is_some() && !std::mem::replace(&mut marked, true) {
                records.lock().unwrap_or_else(PoisonError::into_inner).mark();
            }
            for (number, deed) in due {
                do_to(&mut gateways[number], number, deed, rig, &registry).await?;
            }
        }
        if now >= f64::from(second) {
            second += 1;
            if let Some(rig) = &mut rig {
                rig.second();
            }
            for gateway in &mut gateways {
                let rss = gateway.rss_kb();
                gateway.rss.push(rss);
            }
        }
    }
    let tries = playing.await.map_err(|e| format!("the load failed: {e}"))?;
    let (mut rig_figures, mut faults_at) = (BTreeMap::new(), None);
    if let Some(rig) = &mut rig {
        faults_at = rig.faults_at();
        // What the scenario still has to end is ended now, and the gateways get their time to agree.
        for (number, deed) in rig.due(f64::INFINITY) {
            do_to(&mut gateways[number], number, deed, rig, &registry).await?;
        }
        let asked = Instant::now();
        while asked.elapsed() < AGREES_WITHIN && !rig.converged(scenario.gateways) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        let bound = switchhill_agreement::Settings::default().bound_ms();
        rig_figures = rig.figures(scenario.gateways, bound);
    }
    let mut counters: BTreeMap<String, f64> = BTreeMap::new();
    for address in &addresses {
        let Some((_, text)) = get(*address, "/health/counters").await else { continue };
        for (name, value) in text.lines().filter_map(|line| line.rsplit_once(' ')) {
            if let (Some(name), Ok(value)) = (name.strip_prefix("switchhill_"), value.parse::<f64>()) {
                *counters.entry(name.to_string()).or_default() += value;
            }
        }
    }
    let cpu: Vec<u64> = gateways.iter().map(|gateway| gateway.cpu_us() - gateway.cpu_at_start).collect();
    let memory = gateways.iter().map(|gateway| gateway.rss.clone()).collect();
    let mut crashed = 0;
    for gateway in &mut gateways {
        crashed += u64::from(!matches!(gateway.child.try_wait(), Ok(None)));
        gateway.signal("-TERM");
    }
    let asked = Instant::now();
    while asked.elapsed() < ENDS_WITHIN && gateways.iter_mut().any(|g| matches!(g.child.try_wait(), Ok(None)))
    {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    drop(gateways);
    let records = records.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(Account {
        scenario,
        planned: &planned,
        tries: &tries,
        records: &records,
        start,
        rig: rig_figures,
        faults_at,
    }
    .outcome(wanted.seed, counters, &cpu, memory, crashed))
}

/// Does to a gateway what the rig's plan says.
async fn do_to(
    gateway: &mut Running,
    number: usize,
    deed: Deed,
    rig: &Rig,
    registry: &Registry,
) -> Result<(), String> {
    let Some(place) = gateway.files.clone() else { return Ok(()) };
    match deed {
        Deed::Stale(on) => registry.go_back(on),
        Deed::Spoil(how) => {
            let folder = place.config.parent().unwrap_or(Path::new("."));
            let path = folder.join(Rig::snapshot(number));
            let mut bytes = std::fs::read(&path).map_err(|e| format!("{}: {e}", path.display()))?;
            match how {
                Spoil::Cut => bytes.truncate(bytes.len() / 2),
                Spoil::OldFormat => bytes[5] = 0,
                Spoil::Foreign => {
                    bytes =
                        std::fs::read(folder.join(Rig::snapshot(number + 1))).map_err(|e| e.to_string())?;
                }
                Spoil::Missing => bytes.clear(),
            }
            let done =
                if how == Spoil::Missing { std::fs::remove_file(path) } else { std::fs::write(path, bytes) };
            done.map_err(|e| e.to_string())?;
        }
        Deed::Freeze => gateway.signal("-STOP"),
        Deed::Wake => gateway.signal("-CONT"),
        Deed::Kill => {
            let _ = gateway.child.kill();
            let _ = gateway.child.wait();
        }
        Deed::Start => {
            let sink = Some((number, rig.events.clone(), rig.returns.clone()));
            let mut again = begin(&mut place.command(), &place.log, true, sink).await?;
            (again.files, again.rss) = (Some(place), std::mem::take(&mut gateway.rss));
            *gateway = again;
        }
        Deed::File(meter) => {
            place.change(|config| config["settings"]["familyInfo"]["meterMs"] = json!(meter))?;
            gateway.signal("-HUP");
        }
        Deed::CutFile => {
            let text = std::fs::read_to_string(place.whole()).map_err(|e| e.to_string())?;
            place.write(&text[..text.len() / 2])?;
            gateway.signal("-HUP");
        }
        Deed::Cordon(host, out) => {
            let Some(control) = gateway.control else { return Ok(()) };
            let call = format!("{} box-{host}\n", if out { "cordon" } else { "uncordon" });
            let said = async {
                let mut socket = TcpStream::connect(control).await.ok()?;
                socket.write_all(call.as_bytes()).await.ok()?;
                let mut text = String::new();
                socket.read_to_string(&mut text).await.ok()?;
                Some(text)
            };
            let said = tokio::time::timeout(Duration::from_secs(2), said).await.ok().flatten();
            if !said.as_ref().is_some_and(|text| text.starts_with("200")) {
                return Err(format!("gateway {number}: `{}` was answered {said:?}", call.trim()));
            }
        }
    }
    Ok(())
}

fn bring(
    trouble: Trouble,
    boxes: &[Arc<Portal>],
    registry: &Registry,
    gateways: &[Running],
    wanted: &Wanted,
    addresses: &[SocketAddr],
) -> Result<(), String> {
    match trouble {
        Trouble::Pause(number, _) | Trouble::Restart(number, _) => boxes[number].trouble(trouble),
        Trouble::Drain(number) => {
            boxes[number].trouble(trouble);
            registry.drain(number);
        }
        Trouble::NewKey => {
            write_keys(&wanted.folder, &[KEYS[1], KEYS[0]])?;
            gateways.iter().for_each(|gateway| gateway.signal("-HUP"));
        }
        Trouble::Silent(count, seconds) => {
            for address in addresses.iter().copied() {
                for _ in 0..count {
                    tokio::spawn(async move {
                        let Ok(mut socket) = TcpStream::connect(address).await else { return };
                        // Whatever is said to it is read; it says nothing itself.
                        let mut nothing = [0; 64];
                        let read =
                            async { while matches!(socket.read(&mut nothing).await, Ok(n) if n > 0) {} };
                        let _ = tokio::time::timeout(Duration::from_secs_f64(seconds), read).await;
                    });
                }
            }
        }
    }
    Ok(())
}

/// Counts of a set of asks.
#[derive(Default)]
struct Sum {
    offered: u64,
    served: u64,
    in_aim: u64,
    refused: u64,
    failed: u64,
    in_quota: u64,
    times: Option<hdrhistogram::Histogram<u64>>,
    /// By subscriber: asked inside its quota, and served.
    by_customer: HashMap<u64, (u64, u64)>,
}

impl Sum {
    fn take(&mut self, planned: &Planned, fate: Fate, took_ms: f64) {
        let served = fate == Fate::Served;
        self.offered += 1;
        self.served += u64::from(served);
        self.in_aim += u64::from(served && took_ms <= AIM_MS[planned.class]);
        self.refused += u64::from(fate == Fate::Refused);
        self.failed += u64::from(!matches!(fate, Fate::Served | Fate::Refused));
        self.in_quota += u64::from(planned.in_quota);
        let (asked, got) = self.by_customer.entry(planned.customer).or_default();
        (*asked, *got) = (*asked + u64::from(planned.in_quota), *got + u64::from(served));
        if served {
            let times = self.times.get_or_insert_with(|| {
                hdrhistogram::Histogram::new_with_bounds(1, 600_000_000, 3).expect("sound bounds")
            });
            times.saturating_record((took_ms.max(0.0) * 1000.0) as u64);
        }
    }

    fn share(part: u64, of: u64) -> f64 {
        if of == 0 {
            f64::NAN
        } else {
            part as f64 / of as f64
        }
    }

    /// What was served of what was asked inside the quotas; what a subscriber got beyond its own does not count.
    fn in_quota_share(&self) -> f64 {
        let served = self.by_customer.values().map(|(asked, got)| *asked.min(got)).sum();
        Self::share(served, self.in_quota)
    }

    fn quantile(&self, q: f64) -> f64 {
        self.times.as_ref().map_or(f64::NAN, |times| times.value_at_quantile(q) as f64 / 1000.0)
    }

    /// Jain, Chiu, Hawe (1984) over what each subscriber got.
    fn jain(&self) -> f64 {
        let n = self.by_customer.len() as f64;
        let sum: f64 = self.by_customer.values().map(|(_, got)| *got as f64).sum();
        let squares: f64 = self.by_customer.values().map(|(_, got)| (*got as f64).powi(2)).sum();
        if squares > 0.0 {
            sum * sum / (n * squares)
        } else {
            f64::NAN
        }
    }

    fn figures(&self) -> Vec<(&'static str, f64)> {
        vec![
            ("offered", self.offered as f64),
            ("served", self.served as f64),
            ("in_aim", self.in_aim as f64),
            ("refused", self.refused as f64),
            ("failed", self.failed as f64),
            ("served_share", Self::share(self.served, self.offered)),
            ("in_aim_share", Self::share(self.in_aim, self.offered)),
            ("in_quota_share", self.in_quota_share()),
            ("p50_ms", self.quantile(0.5)),
            ("p99_ms", self.quantile(0.99)),
            ("jain", self.jain()),
        ]
    }
}

struct Account<'a> {
    scenario: &'a Scenario,
    planned: &'a [Planned],
    tries: &'a [Try],
    records: &'a Records,
    start: Instant,
    rig: BTreeMap<String, f64>,
    faults_at: Option<(f64, f64)>,
}

impl Account<'_> {
    /// Of each ask the last try, with the time from the moment planned to its end.
    fn ends(&self) -> HashMap<u32, (Fate, f64)> {
        let mut ends: HashMap<u32, (u32, Fate, f64)> = HashMap::new();
        for one in self.tries {
            let end = ends.entry(one.ask).or_insert((one.number, one.fate, 0.0));
            if one.number >= end.0 {
                let since = (one.due - self.planned[one.ask as usize].at) as f64 / 1000.0;
                *end = (one.number, one.fate, since + f64::from(one.took_ms));
            }
        }
        ends.into_iter().map(|(ask, (_, fate, took))| (ask, (fate, took))).collect()
    }

    /// How those who came back when told were met: how many, the share within 500 ms, the greatest miss, and the
    /// most that were told the same 100 ms over what the boxes can do in it.
    fn returns(&self) -> [f64; 4] {
        let exact = |one: &&Try| {
            let group = &self.scenario.groups[self.planned[one.ask as usize].group];
            one.number > 0 && group.manner == crate::scenario::Manner::Exactly
        };
        let (mut count, mut met, mut greatest) = (0u64, 0u64, 0.0f64);
        let mut crowds: HashMap<u64, u64> = HashMap::new();
        for one in self.tries.iter().filter(exact) {
            count += 1;
            *crowds.entry(one.due / 100_000).or_default() += 1;
            let Some(came) = self.records.came(one.id) else { continue };
            let late = (came - self.start).as_secs_f64() * 1000.0 - one.due as f64 / 1000.0;
            greatest = greatest.max(late);
            met += u64::from(late <= MET_WITHIN_MS);
        }
        let crowd = crowds.values().max().copied().unwrap_or(0) as f64;
        [count as f64, Sum::share(met, count), greatest, crowd / (self.scenario.capacity() / 10.0)]
    }

    /// How long service took to be whole again after the last fault between processes began or ended, in milliseconds:
    /// until the end of the last half second in which fewer of the asks inside their quotas were served than four fifths
    /// of the share before the first fault. Asks of the run's last second do not count: they may not have ended.
    fn whole_again_ms(&self) -> f64 {
        let Some((first, last)) = self.faults_at else { return f64::NAN };
        let bins = (self.scenario.seconds * 2.0) as usize;
        let mut by_bin = vec![(0u32, 0u32); bins + 1];
        let mut before = (0u32, 0u32);
        for (ask, (fate, _)) in self.ends() {
            if !self.planned[ask as usize].in_quota {
                continue;
            }
            let at = self.planned[ask as usize].at as f64 / 1e6;
            let served = u32::from(fate == Fate::Served);
            let bin = &mut by_bin[((at * 2.0) as usize).min(bins)];
            *bin = (bin.0 + 1, bin.1 + served);
            if at >= self.scenario.counted_from && at < first {
                before = (before.0 + 1, before.1 + served);
            }
        }
        let usual = f64::from(before.1) / f64::from(before.0.max(1));
        let short = |&n: &usize| {
            let (asked, served) = by_bin[n];
            asked > 0 && f64::from(served) / f64::from(asked) < 0.8 * usual
        };
        let from = (last * 2.0) as usize;
        let end = (from..bins.saturating_sub(2)).filter(short).max();
        end.map_or(0.0, |n| (((n + 1) as f64 / 2.0 - last) * 1000.0).max(0.0))
    }

    fn outcome(
        &self,
        seed: u64,
        counters: BTreeMap<String, f64>,
        cpu: &[u64],
        memory: Vec<Vec<u64>>,
        crashed: u64,
    ) -> Outcome {
        let from = (self.scenario.counted_from * 1e6) as u64;
        let seconds = self.scenario.seconds.ceil() as usize + 1;
        let mut plans: BTreeMap<&str, Sum> = BTreeMap::new();
        let mut classes: BTreeMap<&str, Sum> = BTreeMap::new();
        let mut groups: BTreeMap<&str, Sum> = BTreeMap::new();
        let mut all = Sum::default();
        let mut service = vec![[(0u32, 0u32); 3]; seconds];
        for (ask, (fate, took)) in self.ends() {
            let planned = &self.planned[ask as usize];
            let group = &self.scenario.groups[planned.group];
            let plan = group.plan;
            let at = &mut service[((planned.at / 1_000_000) as usize).min(seconds - 1)][plan];
            *at = (at.0 + 1, at.1 + u32::from(fate == Fate::Served));
            if planned.at < from {
                continue;
            }
            plans.entry(PLANS[plan].0).or_default().take(planned, fate, took);
            classes.entry(["usage-view", "top-up"][planned.class]).or_default().take(planned, fate, took);
            groups.entry(&group.name).or_default().take(planned, fate, took);
            all.take(planned, fate, took);
        }
        let mut by_second = vec![[0; 3]; seconds];
        let mut latency: Vec<Vec<f64>> = vec![Vec::new(); seconds];
        for one in self.tries {
            let ended = one.due as f64 / 1e6 + f64::from(one.took_ms) / 1000.0;
            let at = (ended.max(0.0) as usize).min(seconds - 1);
            let kind = match one.fate {
                Fate::Served => 0,
                Fate::Refused => 1,
                _ => 2,
            };
            by_second[at][kind] += 1;
            latency[at].push(f64::from(one.took_ms));
        }
        let mut figures = BTreeMap::new();
        for (kind, sums) in [("plans", &plans), ("classes", &classes), ("groups", &groups)] {
            for (name, sum) in sums {
                for (what, value) in sum.figures() {
                    figures.insert(format!("{kind}.{name}.{what}"), value);
                }
            }
        }
        figures.extend(all.figures().into_iter().map(|(what, value)| (format!("all.{what}"), value)));
        let shares: Vec<f64> = plans.values().map(Sum::in_quota_share).filter(|s| s.is_finite()).collect();
        let best = shares.iter().copied().fold(0.0, f64::max);
        let worst = shares.iter().copied().fold(f64::INFINITY, f64::min);
        figures.insert("worst_to_best_plan".into(), if best > 0.0 { worst / best } else { f64::NAN });
        let names =
            ["returns.count", "returns.met_share", "returns.greatest_miss_ms", "returns.peak_to_capacity"];
        figures.extend(names.into_iter().map(String::from).zip(self.returns()));
        let count = |fate| self.tries.iter().filter(|one| one.fate == fate).count() as f64;
        let (turned_away, box_served) = self.records.turned_away_and_served();
        let rules = [
            ("double_charges", self.records.double_charges() as f64),
            ("lost", count(Fate::Lost)),
            ("wrong", count(Fate::Wrong)),
            ("after_drain", self.records.after_drain() as f64),
            ("falls", self.records.falls() as f64),
            ("crashed", crashed as f64),
        ];
        figures.extend(rules.iter().map(|(name, value)| (format!("rules.{name}"), *value)));
        let (beyond, most_beyond) = self.records.beyond();
        figures.insert("quota.beyond_units".into(), beyond);
        figures.insert("quota.most_beyond".into(), most_beyond);
        figures.insert("quota.beyond_share".into(), beyond / box_served.max(1) as f64);
        figures.insert("boxes.peak_load".into(), self.records.peak_load());
        figures.insert("recovery.whole_again_ms".into(), self.whole_again_ms());
        figures.insert("boxes.turned_away".into(), turned_away as f64);
        figures.insert("boxes.served".into(), box_served as f64);
        let streams = self.tries.len().max(1) as f64;
        figures.insert("gateways.cpu_us_per_stream".into(), cpu.iter().sum::<u64>() as f64 / streams);
        let settled = self.scenario.counted_from.ceil() as usize;
        let growth = memory.iter().map(|rss| {
            let base = rss.get(settled.min(rss.len().saturating_sub(1))).copied().unwrap_or(0);
            rss.iter().skip(settled).max().copied().unwrap_or(base) as f64 - base as f64
        });
        figures.insert("gateways.rss_growth_kb".into(), growth.fold(0.0, f64::max));
        let most = memory.iter().flatten().max().copied().unwrap_or(0);
        figures.insert("gateways.rss_most_kb".into(), most as f64);
        figures.extend(self.rig.clone());
        let customers: HashSet<u64> = self.planned.iter().map(|planned| planned.customer).collect();
        figures.insert("all.subscribers".into(), customers.len() as f64);
        figures.extend(counters.into_iter().map(|(name, value)| (format!("counters.{name}"), value)));
        let expect: Vec<_> = (self.scenario.expect.iter())
            .map(|expect| {
                let value = figures.get(&expect.what).copied().unwrap_or(f64::NAN);
                let held = value >= expect.least && value <= expect.most;
                (expect.what.clone(), value, expect.least, expect.most, held)
            })
            .collect();
        let part = |sums: &BTreeMap<&str, Sum>| -> Value {
            let of = |sum: &Sum| -> Value {
                sum.figures().into_iter().map(|(what, value)| (what.to_string(), number(value))).collect()
            };
            sums.iter().map(|(name, sum)| (name.to_string(), of(sum))).collect()
        };
        let json = json!({
            "scenario": self.scenario.name,
            "seed": seed,
            "seconds": self.scenario.seconds,
            "gateways": memory.iter().zip(cpu).map(|(rss, cpu)| json!({
                "rss_kb_by_second": rss,
                "cpu_us_per_stream": *cpu as f64 / (streams / memory.len() as f64),
            })).collect::<Vec<_>>(),
            "plans": part(&plans),
            "classes": part(&classes),
            "groups": part(&groups),
            "rules": rules.iter().map(|(name, value)| (name.to_string(), json!(value))).collect::<Value>(),
            "expect": expect.iter().map(|(what, value, least, most, held)| json!({
                "what": what, "value": number(*value), "bound": [number(*least), number(*most)], "held": held,
            })).collect::<Vec<_>>(),
            "figures": figures.iter().map(|(name, value)| (name.clone(), number(*value))).collect::<Value>(),
        });
        let quantile = |times: &mut Vec<f64>| {
            times.sort_by(f64::total_cmp);
            let at =
                |q: f64| times.get(((times.len() as f64 * q) as usize).min(times.len().saturating_sub(1)));
            [at(0.5).copied().unwrap_or(0.0), at(0.99).copied().unwrap_or(0.0)]
        };
        let share =
            |(asked, got): (u32, u32)| if asked > 0 { f64::from(got) / f64::from(asked) } else { f64::NAN };
        Outcome {
            figures,
            json,
            by_second,
            service: service.into_iter().map(|plans| plans.map(share)).collect(),
            latency: latency.iter_mut().map(quantile).collect(),
            memory,
            expect,
        }
    }
}

/// What is not a number is nothing in JSON.
fn number(value: f64) -> Value {
    if value.is_finite() {
        json!(value)
    } else {
        Value::Null
    }
}
