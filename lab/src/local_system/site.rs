//! A whole site: core machines, edges, workers.

use super::client::Client;
use super::configuration::USUAL_MODEL;
use super::http::{call, get};
use super::machine::{Machine, MachinePlan, SiteLimits, SitePorts};
use super::operator::Operator;
use super::ports::{free_port, AddressBlock};
use super::process::Process;
use super::stand_in_worker::StandInWorker;
use super::wait::until;
use anyhow::Context;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Machines of a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SiteSize {
    /// Core machines, [`SiteSize::MOST_CORES`] at the most.
    pub cores: u8,
    /// Edge machines, [`SiteSize::MOST_EDGES`] at the most.
    pub edges: u8,
}

impl SiteSize {
    /// Addresses for core machines.
    pub const MOST_CORES: u8 = FIRST_EDGE - 1;
    /// Addresses for edges.
    pub const MOST_EDGES: u8 = FIRST_WORKER - FIRST_EDGE;
    /// The site of the stories.
    const USUAL: SiteSize = SiteSize { cores: 3, edges: 2 };
}

/// Last part of the first edge's address; those of core machines begin at 1.
const FIRST_EDGE: u8 = 11;

/// Last part of the first worker's address.
const FIRST_WORKER: u8 = 121;

/// Addresses for workers.
const WORKER_ADDRESSES: u8 = 120;

/// Core machines that settings files name as seeds.
pub(crate) const SEEDS: usize = 3;

/// Last parts of the addresses for core machines that take the place of others.
const SPARE_CORES: std::ops::RangeInclusive<u8> = FIRST_WORKER + WORKER_ADDRESSES..=254;

/// Folders made by this process.
static FOLDERS: AtomicU32 = AtomicU32::new(0);

/// Three core machines, two edges, and workers, on loopback.
pub struct Site {
    block: AddressBlock,
    ports: SitePorts,
    pub(crate) cores: Vec<Machine>,
    pub(crate) edges: Vec<Machine>,
    /// Workers that live.
    pub workers: Vec<StandInWorker>,
    started_workers: u8,
    folder: PathBuf,
}

impl Site {
    /// Starts all machines with empty disks, and no worker.
    ///
    /// # Errors
    /// A process cannot be started.
    pub fn start(program: &Path) -> anyhow::Result<Site> {
        Site::start_with(program, SiteSize::USUAL, SiteLimits::USUAL)
    }

    /// Starts all machines of a site of this size, with these limits.
    pub(crate) fn start_with(program: &Path, size: SiteSize, limits: SiteLimits) -> anyhow::Result<Site> {
        let mut site = Site::lay_out(program, size, limits)?;
        site.machines().try_for_each(Machine::start)?;
        Ok(site)
    }

    /// Chooses addresses and ports and writes settings; starts nothing.
    pub(crate) fn lay_out(program: &Path, size: SiteSize, limits: SiteLimits) -> anyhow::Result<Site> {
        let block = AddressBlock::new();
        let ports = choose_ports(block, size)?;
        let number = FOLDERS.fetch_add(1, Ordering::SeqCst);
        let folder = std::env::temp_dir().join(format!("switchhill-local-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let seeds: Vec<SocketAddr> =
            core_ips(block, size).take(SEEDS).map(|ip| SocketAddr::from((ip, ports.service))).collect();
        let plan = |name: String, ip: Ipv4Addr| MachinePlan {
            program,
            folder: &folder,
            name,
            ip,
            ports,
            seeds: &seeds,
            limits,
        };
        let cores = core_ips(block, size)
            .zip(1..)
            .map(|(ip, number)| Machine::core(&plan(format!("core-{number}"), ip)));
        let edges = edge_ips(block, size).zip(1..);
        let edges = edges.map(|(ip, number)| Machine::edge(&plan(format!("edge-{number}"), ip)));
        let (cores, edges) = (cores.collect::<Result<_, _>>()?, edges.collect::<Result<_, _>>()?);
        Ok(Site { block, ports, cores, edges, workers: Vec::new(), started_workers: 0, folder })
    }

    fn machines(&mut self) -> impl Iterator<Item = &mut Machine> {
        self.cores.iter_mut().chain(&mut self.edges)
    }

    /// Starts a worker that holds the usual model.
    ///
    /// # Errors
    /// Its address cannot be listened on.
    pub async fn start_worker(&mut self) -> anyhow::Result<()> {
        let address = self.worker_address(self.started_workers);
        self.started_workers += 1;
        let id = format!("worker-{}", self.started_workers);
        self.workers
            .push(StandInWorker::start(&id, address, &[USUAL_MODEL], self.control_addresses()).await?);
        Ok(())
    }

    /// The address of a worker by its number; they come again after [`WORKER_ADDRESSES`].
    pub(crate) fn worker_address(&self, number: u8) -> SocketAddr {
        let ip = self.block.address(FIRST_WORKER + number % WORKER_ADDRESSES);
        SocketAddr::from((ip, self.ports.service))
    }

    /// Addresses for core machines that take the place of others.
    pub(crate) fn spare_core_ips(&self) -> Vec<Ipv4Addr> {
        SPARE_CORES.map(|last| self.block.address(last)).collect()
    }

    /// Addresses of workers.
    pub(crate) fn worker_addresses(&self) -> Vec<SocketAddr> {
        (0..WORKER_ADDRESSES).map(|number| self.worker_address(number)).collect()
    }

    /// `http` addresses of the edges.
    pub(crate) fn edge_addresses(&self) -> Vec<SocketAddr> {
        self.edges.iter().map(|edge| SocketAddr::from((edge.ip, self.ports.service))).collect()
    }

    /// `readiness` addresses of the edges.
    pub(crate) fn readiness_addresses(&self) -> Vec<SocketAddr> {
        self.edges.iter().map(|edge| SocketAddr::from((edge.ip, self.ports.readiness))).collect()
    }

    /// `control` addresses of the core machines.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.cores.iter().map(|core| SocketAddr::from((core.ip, self.ports.service))).collect()
    }

    /// The operator.
    pub fn operator(&self) -> Operator {
        Operator::of(self.control_addresses())
    }

    /// A client of each edge.
    pub fn clients(&self) -> Vec<Client> {
        self.edge_addresses().into_iter().map(Client::of).collect()
    }

    /// Waits until an edge answers readiness checks with a status, and returns the time it took.
    ///
    /// # Errors
    /// It takes too long.
    pub async fn until_readiness(&self, edge: usize, status: u16) -> anyhow::Result<Duration> {
        let address = SocketAddr::from((self.edges[edge].ip, self.ports.readiness));
        let what = format!("{} answers readiness checks with {status}", self.edges[edge].name);
        let (_, took) = until(&what, || async move {
            call(address, get(address, "/api/ready")).await.ok().filter(|answer| answer.status == status)
        })
        .await?;
        Ok(took)
    }

    /// The data plane of an edge.
    pub fn data_plane(&mut self, edge: usize) -> &mut Process {
        self.edges[edge].running.last_mut().expect("an edge runs two programs")
    }

    /// All processes that were started and not ended.
    pub fn processes(&mut self) -> impl Iterator<Item = &mut Process> {
        self.machines().flat_map(|machine| &mut machine.running)
    }

    /// Kills the control plane of a core machine.
    ///
    /// # Errors
    /// It cannot be killed.
    pub fn kill_core(&mut self, core: usize) -> anyhow::Result<()> {
        self.cores[core].kill()
    }

    /// Kills the control plane of a core machine, wipes its disk and starts it again.
    ///
    /// # Errors
    /// One of these fails.
    pub fn restart_core_with_empty_disk(&mut self, core: usize) -> anyhow::Result<()> {
        let machine = &mut self.cores[core];
        machine.kill()?;
        machine.wipe_disk()?;
        machine.has_started_once()?;
        machine.start()
    }

    /// Removes all that the disk of a core machine holds, whose control plane does not run.
    pub(crate) fn wipe_core(&mut self, core: usize) -> anyhow::Result<()> {
        self.cores[core].wipe_disk()
    }

    /// How often a text stands in the logs of each core machine.
    pub fn logged_by_cores(&self, text: &str) -> Vec<usize> {
        self.cores.iter().map(|core| core.logged(text)).collect()
    }

    /// Kills every process of every machine.
    ///
    /// # Errors
    /// One cannot be killed.
    pub fn kill_all(&mut self) -> anyhow::Result<()> {
        self.machines().try_for_each(Machine::kill)
    }

    /// Starts every machine again, on the disks as they are.
    ///
    /// # Errors
    /// One cannot be started.
    pub fn start_all_again(&mut self) -> anyhow::Result<()> {
        self.machines().try_for_each(Machine::has_started_once)?;
        self.machines().try_for_each(Machine::start)
    }

    /// Takes a worker out of the site that fulfils a condition.
    ///
    /// # Errors
    /// There is none.
    pub fn take_worker(
        &mut self,
        is_wanted: impl Fn(&StandInWorker) -> bool,
    ) -> anyhow::Result<StandInWorker> {
        let index = self.workers.iter().position(is_wanted).context("no such worker")?;
        Ok(self.workers.remove(index))
    }

    /// Fails if a process has ended by itself.
    ///
    /// # Errors
    /// It names the process.
    pub fn all_run(&mut self) -> anyhow::Result<()> {
        for process in self.processes() {
            if let Some(status) = process.ended()? {
                anyhow::bail!("{} has ended: {status}", process.name());
            }
        }
        Ok(())
    }

    /// Where settings, disks and logs are.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Ends everything and removes its files.
    ///
    /// # Errors
    /// A process cannot be ended, or a file cannot be removed.
    pub fn clear_away(mut self) -> anyhow::Result<()> {
        self.kill_all()?;
        std::fs::remove_dir_all(&self.folder)?;
        Ok(())
    }
}

fn core_ips(block: AddressBlock, size: SiteSize) -> impl Iterator<Item = Ipv4Addr> {
    (1..=size.cores).map(move |last| block.address(last))
}

fn edge_ips(block: AddressBlock, size: SiteSize) -> impl Iterator<Item = Ipv4Addr> {
    (FIRST_EDGE..FIRST_EDGE + size.edges).map(move |last| block.address(last))
}

/// The ports that all machines share. The internal port is the lowest and that of the feed the highest, since they are the
/// first and the last of a range.
fn choose_ports(block: AddressBlock, size: SiteSize) -> anyhow::Result<SitePorts> {
    let every: Vec<Ipv4Addr> = core_ips(block, size).chain(edge_ips(block, size)).collect();
    let mut ports = Vec::new();
    for _ in 0..4 {
        ports.push(free_port(&every, &ports)?);
    }
    ports.sort_unstable();
    Ok(SitePorts { internal: ports[0], service: ports[1], readiness: ports[2], feed: ports[3] })
}
