//! What a run starts: upstream hosts, discovery, the fault rig and the gateways; and their end.

use super::files::{configuration, write_keys, GatewayFiles, KEYS};
use super::gateway::{GatewayProcess, LogObserver, STARTS_WITHIN};
use super::health::{counters, ready};
use super::Wanted;
use crate::boxes::{Discovery, Records, UpstreamHost};
use crate::load::PLANS;
use crate::rig::faults::Rig;
use crate::scenario::Scenario;
use serde_json::json;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A gateway has so long to end.
const ENDS_WITHIN: Duration = Duration::from_secs(15);
/// After the load, gateways on the rig have so long to act on one version, and then to tell of it.
const AGREES_WITHIN: Duration = Duration::from_secs(15);
const LOGS_ARRIVE_WITHIN: Duration = Duration::from_millis(300);
/// How often it is looked whether something has come about.
pub(super) const LOOKS_EVERY: Duration = Duration::from_millis(20);

/// Everything that a run has started.
pub(super) struct Site {
    records: Arc<Mutex<Records>>,
    pub(super) hosts: Vec<Arc<UpstreamHost>>,
    pub(super) discovery: Arc<Discovery>,
    pub(super) rig: Option<Rig>,
    pub(super) gateways: Vec<GatewayProcess>,
    pub(super) folder: PathBuf,
}

/// What the gateways used over the load.
pub(super) struct Usage {
    /// Sums of their counters.
    pub(super) counters: BTreeMap<String, f64>,
    /// Processor time of each, in microseconds.
    pub(super) cpu_us: Vec<u64>,
    /// Resident memory of each by second, in KiB.
    pub(super) resident_kb: Vec<Vec<u64>>,
    /// How many had ended by themselves.
    pub(super) crashed: u64,
}

impl Site {
    /// Starts everything; the gateways are ready, and agreed where there is a rig.
    pub(super) async fn start(scenario: &Scenario, wanted: &Wanted) -> Result<Self, String> {
        let records = Arc::new(Mutex::new(Records::default()));
        let hosts = start_hosts(scenario, wanted.seed, &records).await?;
        let discovery =
            Discovery::start(hosts.clone()).await.map_err(|e| format!("discovery cannot start: {e}"))?;
        let plan = scenario.rig.as_ref().filter(|_| !scenario.bare);
        let rig = plan.map(|plan| Rig::start(plan, scenario.gateways, discovery.address, wanted.seed));
        let folder = wanted.folder.clone();
        let mut site = Self { records, hosts, discovery, rig, gateways: Vec::new(), folder };
        site.start_gateways(scenario, wanted).await?;
        if let Some(rig) = &mut site.rig {
            rig.first_agreed(scenario.gateways).await?;
        }
        Ok(site)
    }

    async fn start_gateways(&mut self, scenario: &Scenario, wanted: &Wanted) -> Result<(), String> {
        let folder = &wanted.folder;
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        for number in 0..scenario.gateways {
            let log = folder.join(format!("gateway-{number}.log"));
            let _ = (std::fs::remove_file(&log), std::fs::remove_file(folder.join(Rig::snapshot(number))));
            let gateway = if scenario.bare {
                let mut command = Command::new(&wanted.own);
                command.arg("bare").args(self.hosts.iter().map(|host| host.address.to_string()));
                GatewayProcess::start(&mut command, &log, false, None).await?
            } else {
                self.start_gateway(number, scenario, wanted, log).await?
            };
            self.gateways.push(gateway);
        }
        // All are started before the first is waited for, as a site is.
        for (number, gateway) in self.gateways.iter().enumerate() {
            if !scenario.bare && !ready(gateway.address).await {
                return Err(format!("gateway {number} was not ready in {STARTS_WITHIN:?}"));
            }
        }
        Ok(())
    }

    async fn start_gateway(
        &self,
        number: usize,
        scenario: &Scenario,
        wanted: &Wanted,
        log: PathBuf,
    ) -> Result<GatewayProcess, String> {
        let rig = self.rig.as_ref();
        let operator = match rig {
            Some(rig) => Some(rig.operator(number, scenario.operator.as_deref())),
            None => scenario.operator.clone(),
        };
        let folder = &wanted.folder;
        let files = GatewayFiles {
            program: wanted.gateway.clone(),
            operator: operator.is_some().then(|| folder.join(format!("operator-{number}.yaml"))),
            log,
            config: folder.join(format!("config-{number}.json")),
        };
        let config = configuration(scenario, number, &self.discovery, wanted.seed, rig)?;
        files.create(&config, operator.as_deref())?;
        if scenario.keys && number == 0 {
            write_keys(folder, &KEYS[..1])?;
        }
        let observer = rig.map(|rig| observer(rig, number));
        let mut gateway =
            GatewayProcess::start(&mut files.command(), &files.log, rig.is_some(), observer).await?;
        if rig.is_some() {
            // Started again, it is to be where its clients know it.
            files.change(|config| {
                config["listen"] = json!(gateway.address.to_string());
                config["control"] = json!(gateway.control.map(|control| control.to_string()));
            })?;
        }
        gateway.files = Some(files);
        Ok(gateway)
    }

    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(|gateway| gateway.address).collect()
    }

    pub(super) fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the faults that are still on, gives the gateways their time to agree, and tells the rig's figures.
    pub(super) async fn end_faults(&mut self, gateways: usize) -> Result<BTreeMap<String, f64>, String> {
        let Some(rig) = &mut self.rig else { return Ok(BTreeMap::new()) };
        for (number, action) in rig.due(f64::INFINITY) {
            self.carry_out(number, action).await?;
        }
        let Some(rig) = &self.rig else { return Ok(BTreeMap::new()) };
        let asked = Instant::now();
        while asked.elapsed() < AGREES_WITHIN && !rig.converged(gateways) {
            tokio::time::sleep(LOOKS_EVERY).await;
        }
        tokio::time::sleep(LOGS_ARRIVE_WITHIN).await;
        let bound = switchhill_agreement::Settings::default().bound_ms();
        Ok(rig.figures(gateways, bound))
    }

    /// Reads what the gateways used, and ends them.
    pub(super) async fn stop_gateways(&mut self) -> Usage {
        let mut usage = Usage {
            counters: counters(self.gateways.iter().map(|gateway| gateway.address)).await,
            cpu_us: self.gateways.iter().map(GatewayProcess::cpu_us_counted).collect(),
            resident_kb: self.gateways.iter().map(|gateway| gateway.resident_kb.clone()).collect(),
            crashed: 0,
        };
        for gateway in &mut self.gateways {
            usage.crashed += u64::from(!gateway.is_running());
            gateway.signal("-TERM");
        }
        let asked = Instant::now();
        while asked.elapsed() < ENDS_WITHIN && self.gateways.iter_mut().any(GatewayProcess::is_running) {
            tokio::time::sleep(LOOKS_EVERY).await;
        }
        self.gateways.clear();
        usage
    }
}

/// Who learns from a gateway's log for the rig.
pub(super) fn observer(rig: &Rig, number: usize) -> LogObserver {
    LogObserver { number, events: rig.events.clone(), returns: rig.returns.clone() }
}

async fn start_hosts(
    scenario: &Scenario,
    seed: u64,
    records: &Arc<Mutex<Records>>,
) -> Result<Vec<Arc<UpstreamHost>>, String> {
    let rates: HashMap<String, (f64, f64)> =
        PLANS.iter().map(|(name, rate, burst)| (name.to_string(), (*rate, *burst))).collect();
    let rates = Arc::new(rates);
    let mut hosts = Vec::new();
    for number in 0..scenario.boxes.count {
        let (set, records, rates) = (scenario.boxes.clone(), records.clone(), rates.clone());
        let host = UpstreamHost::start(number, set, seed, records, rates).await;
        hosts.push(host.map_err(|e| format!("a box cannot start: {e}"))?);
    }
    Ok(hosts)
}
