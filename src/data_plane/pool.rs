//! Connection pool for workers. Connections are kept by worker id, which identifies one incarnation of a
//! worker.

use super::connector::{Connector, TcpConnector};
use super::policy;
use super::worker_connection::WorkerConnection;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::future::Future;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Why no connection could be leased. Nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeaseError {
    /// The worker's machine refused the connection.
    Refused,
    /// The address is invalid, or the connection could not be established in time.
    ConnectFailed,
    /// All connections that this gatekeeper may hold to the worker are in use.
    PoolExhausted,
}

/// Pool of connections to all workers.
#[derive(Debug)]
pub(crate) struct Pool {
    workers: RefCell<HashMap<String, Rc<WorkerPool>>>,
    /// Number of open connections to all workers.
    open: Rc<Cell<u32>>,
    /// Maximum of `open`, derived from the descriptor limit of the process.
    max_open: u32,
    connector: Rc<dyn Connector>,
}

/// Limits of one lease.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LeaseLimits {
    /// Maximum number of open connections to the worker.
    pub(crate) connections: u32,
    /// Timeout for establishing a new connection.
    pub(crate) connect: Duration,
}

/// Connections to one worker.
#[derive(Debug)]
struct WorkerPool {
    idle: RefCell<Vec<IdleConnection>>,
    count: Rc<ConnectionCount>,
}

/// Number of connections to a worker, in use or idle.
#[derive(Debug)]
struct ConnectionCount {
    open: Cell<u32>,
    total_open: Rc<Cell<u32>>,
    /// Notified when a connection becomes idle or closes.
    released: Notify,
}

/// Counts one connection until it is dropped.
#[derive(Debug)]
struct ConnectionPermit(Rc<ConnectionCount>);

/// A connection with its permit. The permit is released after the connection has closed.
#[derive(Debug)]
struct CountedConnection {
    connection: WorkerConnection,
    _permit: ConnectionPermit,
}

#[derive(Debug)]
struct IdleConnection {
    counted: CountedConnection,
    idle_since: Instant,
    expires_at: Instant,
}

/// A connection in use. Dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct Lease {
    counted: CountedConnection,
    pool: Rc<WorkerPool>,
}

impl Pool {
    /// Creates an empty pool that opens at most `max_open` connections.
    pub(crate) fn new(max_open: u32) -> Pool {
        Pool::with_connector(Rc::new(TcpConnector), max_open)
    }

    /// Creates a pool whose streams come from the given connector.
    pub(crate) fn with_connector(connector: Rc<dyn Connector>, max_open: u32) -> Pool {
        Pool { workers: RefCell::default(), open: Rc::default(), max_open, connector }
    }

    /// Leases a connection to a worker: an idle one, a new one if the limits allow it, or else the next that
    /// becomes available.
    pub(crate) async fn lease(
        &self,
        worker_id: &str,
        address: &str,
        limits: LeaseLimits,
    ) -> Result<Lease, LeaseError> {
        let pool = self.worker_pool(worker_id);
        let wait_until = Instant::now() + policy::MAX_CONNECTION_WAIT;
        loop {
            if let Some(counted) = pool.take_idle() {
                return Ok(Lease { counted, pool });
            }
            if pool.count.open.get() < limits.connections && self.make_room() {
                let connecting = self.connect(address);
                let counted =
                    CountedConnection::connect_within(limits.connect, connecting, &pool.count).await?;
                return Ok(Lease { counted, pool });
            }
            let released = pool.count.released.notified();
            tokio::time::timeout_at(wait_until, released).await.map_err(|_| LeaseError::PoolExhausted)?;
        }
    }

    async fn connect(&self, address: &str) -> Result<WorkerConnection, LeaseError> {
        let address = address.parse().map_err(|_| LeaseError::ConnectFailed)?;
        let stream = self.connector.connect(address).await.map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused => LeaseError::Refused,
            _ => LeaseError::ConnectFailed,
        })?;
        WorkerConnection::handshake(stream).await.map_err(|_| LeaseError::ConnectFailed)
    }

    /// Probes a worker after one of its connections has failed. Closes its idle connections, which are likely
    /// dead too, and tries to establish a new one.
    pub(crate) async fn probe(
        &self,
        worker_id: &str,
        address: &str,
        limits: LeaseLimits,
    ) -> Result<(), LeaseError> {
        let pool = self.worker_pool(worker_id);
        pool.idle.borrow_mut().clear();
        if pool.count.open.get() >= limits.connections || !self.make_room() {
            return Ok(());
        }
        let counted =
            CountedConnection::connect_within(limits.connect, self.connect(address), &pool.count).await?;
        pool.add_idle(counted, policy::PROBE_CONNECTION_IDLE_TIMEOUT);
        Ok(())
    }

    /// Number of open connections to all workers.
    pub(crate) fn open_connections(&self) -> u32 {
        self.open.get()
    }

    /// Whether the pool holds an idle connection to the worker.
    pub(crate) fn has_idle(&self, worker_id: &str) -> bool {
        self.workers.borrow().get(worker_id).is_some_and(|pool| pool.idle_since().is_some())
    }

    /// Removes the idle connections of all workers that are not listed.
    pub(crate) fn retain(&self, worker_ids: &HashSet<&str>) {
        self.workers.borrow_mut().retain(|id, _| worker_ids.contains(id.as_str()));
    }

    /// Removes idle connections that have closed or that their workers are about to close.
    pub(crate) fn drop_expired(&self) {
        let now = Instant::now();
        for pool in self.workers.borrow().values() {
            pool.drop_expired(now);
        }
    }

    /// Whether one more connection may be opened. At the limit, closes the connection that has been idle
    /// longest to make room.
    fn make_room(&self) -> bool {
        if self.open.get() >= self.max_open {
            self.close_longest_idle();
        }
        self.open.get() < self.max_open
    }

    fn close_longest_idle(&self) {
        let workers = self.workers.borrow();
        let oldest = workers.values().filter_map(|pool| pool.idle_since().map(|since| (since, pool)));
        if let Some((_, pool)) = oldest.min_by_key(|(since, _)| *since) {
            pool.idle.borrow_mut().remove(0);
        }
    }

    fn worker_pool(&self, worker_id: &str) -> Rc<WorkerPool> {
        let mut workers = self.workers.borrow_mut();
        if let Some(pool) = workers.get(worker_id) {
            return pool.clone();
        }
        let pool = Rc::new(WorkerPool::new(self.open.clone()));
        workers.insert(worker_id.to_owned(), pool.clone());
        pool
    }
}

impl WorkerPool {
    fn new(total_open: Rc<Cell<u32>>) -> WorkerPool {
        let count = ConnectionCount { open: Cell::new(0), total_open, released: Notify::new() };
        WorkerPool { idle: RefCell::default(), count: Rc::new(count) }
    }

    /// When the connection that has been idle longest became idle.
    fn idle_since(&self) -> Option<Instant> {
        self.idle.borrow().first().map(|idle| idle.idle_since)
    }

    /// Takes the most recently used connection among those that have settled, or else the one that has been
    /// idle longest.
    fn take_idle(&self) -> Option<CountedConnection> {
        let now = Instant::now();
        self.drop_expired(now);
        let mut idle = self.idle.borrow_mut();
        let index = idle.iter().rposition(|idle| idle.is_settled(now)).unwrap_or(0);
        (index < idle.len()).then(|| idle.remove(index).counted)
    }

    fn drop_expired(&self, now: Instant) {
        self.idle.borrow_mut().retain(|idle| idle.is_usable(now));
    }

    fn add_idle(&self, counted: CountedConnection, idle_for: Duration) {
        let idle_since = Instant::now();
        self.idle.borrow_mut().push(IdleConnection {
            counted,
            idle_since,
            expires_at: idle_since + idle_for,
        });
        self.count.released.notify_one();
    }
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        now < self.expires_at && self.counted.connection.is_ready()
    }

    /// Whether the connection has been idle long enough for surplus bytes after the last response to have
    /// arrived.
    fn is_settled(&self, now: Instant) -> bool {
        now.duration_since(self.idle_since) >= policy::CONNECTION_SETTLE_TIME
    }
}

impl ConnectionPermit {
    fn acquire(count: &Rc<ConnectionCount>) -> ConnectionPermit {
        count.open.set(count.open.get() + 1);
        count.total_open.set(count.total_open.get() + 1);
        ConnectionPermit(count.clone())
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.total_open.set(self.0.total_open.get() - 1);
        self.0.released.notify_one();
    }
}

impl CountedConnection {
    /// Establishes a connection, which is counted from the start of the attempt.
    async fn connect_within(
        limit: Duration,
        connecting: impl Future<Output = Result<WorkerConnection, LeaseError>>,
        count: &Rc<ConnectionCount>,
    ) -> Result<CountedConnection, LeaseError> {
        let permit = ConnectionPermit::acquire(count);
        let connected = tokio::time::timeout(limit, connecting).await;
        let connection = connected.unwrap_or(Err(LeaseError::ConnectFailed))?;
        Ok(CountedConnection { connection, _permit: permit })
    }
}

impl Lease {
    pub(crate) fn connection(&mut self) -> &mut WorkerConnection {
        &mut self.counted.connection
    }

    /// Returns the connection to the pool after a complete response. `idle_for` is the keep-alive time
    /// announced by the worker.
    pub(crate) fn return_to_pool(self, idle_for: Option<Duration>) {
        let idle_for = idle_for.unwrap_or(policy::DEFAULT_IDLE_TIMEOUT);
        let margin = policy::IDLE_CLOSE_MARGIN.min(idle_for.mul_f64(policy::IDLE_CLOSE_MARGIN_SHARE));
        let idle_for = idle_for - margin;
        let Lease { mut counted, pool } = self;
        if counted.connection.is_ready() {
            pool.add_idle(counted, idle_for);
            return;
        }
        if counted.connection.is_closed() {
            return;
        }
        tokio::task::spawn_local(async move {
            let ready =
                tokio::time::timeout(policy::CONNECTION_SETTLE_TIME, counted.connection.ready()).await;
            if let Ok(Ok(())) = ready {
                pool.add_idle(counted, idle_for);
            }
        });
    }
}
