//! Connections to workers, kept for each incarnation of a worker.

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

/// Why no connection could be had. Nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoConnection {
    /// The worker's machine refused the connection.
    Refused,
    /// The address is not one, or the connection did not come up in time.
    ConnectFailed,
    /// All connections that this gatekeeper may hold to the worker are in use.
    AllInUse,
}

/// Connections of all workers.
#[derive(Debug)]
pub(crate) struct Pool {
    workers: RefCell<HashMap<String, Rc<WorkerConnections>>>,
    /// Connections to all workers together.
    open: Rc<Cell<u32>>,
    /// Bound of `open`, from the descriptors of the process.
    most_open: u32,
    connector: Rc<dyn Connector>,
}

/// Bounds of one lease.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LeaseLimits {
    /// Connections that may be open to the worker.
    pub(crate) connections: u32,
    /// Time in which a new connection has to come up.
    pub(crate) connect: Duration,
}

/// Connections of one worker.
#[derive(Debug)]
struct WorkerConnections {
    idle: RefCell<Vec<IdleConnection>>,
    count: Rc<ConnectionCount>,
}

/// How many connections a worker has, in use or at rest.
#[derive(Debug)]
struct ConnectionCount {
    open: Cell<u32>,
    open_to_all: Rc<Cell<u32>>,
    /// Told when a connection comes to rest or closes.
    released: Notify,
}

/// The place of one connection in the count.
#[derive(Debug)]
struct Place(Rc<ConnectionCount>);

/// A connection and its place, which is given back after the connection has closed.
#[derive(Debug)]
struct CountedConnection {
    connection: WorkerConnection,
    _place: Place,
}

#[derive(Debug)]
struct IdleConnection {
    counted: CountedConnection,
    since: Instant,
    until: Instant,
}

/// A connection in use. Dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct Lease {
    counted: CountedConnection,
    home: Rc<WorkerConnections>,
}

impl Pool {
    /// A pool without connections, of which at most `most_open` may be open.
    pub(crate) fn new(most_open: u32) -> Pool {
        Pool::over(Rc::new(TcpConnector), most_open)
    }

    /// The same over streams of another kind.
    pub(crate) fn over(connector: Rc<dyn Connector>, most_open: u32) -> Pool {
        Pool { workers: RefCell::default(), open: Rc::default(), most_open, connector }
    }

    /// A connection to a worker: one at rest, a new one while the limits allow it, or the next that comes
    /// free.
    pub(crate) async fn lease(
        &self,
        worker_id: &str,
        address: &str,
        limits: LeaseLimits,
    ) -> Result<Lease, NoConnection> {
        let home = self.home(worker_id);
        let give_up = Instant::now() + policy::MAX_CONNECTION_WAIT;
        loop {
            if let Some(counted) = home.take_idle() {
                return Ok(Lease { counted, home });
            }
            if home.count.open.get() < limits.connections && self.has_room() {
                let connecting = self.connect(address);
                let counted = CountedConnection::within(limits.connect, connecting, &home.count).await?;
                return Ok(Lease { counted, home });
            }
            let released = home.count.released.notified();
            tokio::time::timeout_at(give_up, released).await.map_err(|_| NoConnection::AllInUse)?;
        }
    }

    async fn connect(&self, address: &str) -> Result<WorkerConnection, NoConnection> {
        let address = address.parse().map_err(|_| NoConnection::ConnectFailed)?;
        let stream = self.connector.connect(address).await.map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused => NoConnection::Refused,
            _ => NoConnection::ConnectFailed,
        })?;
        WorkerConnection::over(stream).await.map_err(|_| NoConnection::ConnectFailed)
    }

    /// Closes the connections at rest to a worker one of whose connections has just failed, as they are likely dead too,
    /// and tries whether a new one comes up.
    pub(crate) async fn check(
        &self,
        worker_id: &str,
        address: &str,
        limits: LeaseLimits,
    ) -> Result<(), NoConnection> {
        let home = self.home(worker_id);
        home.idle.borrow_mut().clear();
        if home.count.open.get() >= limits.connections || !self.has_room() {
            return Ok(());
        }
        let counted = CountedConnection::within(limits.connect, self.connect(address), &home.count).await?;
        home.rest(counted, policy::PROBE_CONNECTION_IDLE_TIMEOUT);
        Ok(())
    }

    /// Whether a connection to the worker is at rest.
    pub(crate) fn has_idle(&self, worker_id: &str) -> bool {
        self.workers.borrow().get(worker_id).is_some_and(|home| home.idle_since().is_some())
    }

    /// Drops what is idle of workers that are not among these.
    pub(crate) fn retain(&self, worker_ids: &HashSet<&str>) {
        self.workers.borrow_mut().retain(|id, _| worker_ids.contains(id.as_str()));
    }

    /// Drops idle connections that are closed or that their workers are about to close.
    pub(crate) fn drop_expired(&self) {
        let now = Instant::now();
        for home in self.workers.borrow().values() {
            home.drop_expired(now);
        }
    }

    /// Whether one more connection may be opened; the one that has rested longest makes room for it.
    fn has_room(&self) -> bool {
        if self.open.get() >= self.most_open {
            self.close_longest_idle();
        }
        self.open.get() < self.most_open
    }

    fn close_longest_idle(&self) {
        let workers = self.workers.borrow();
        let oldest = workers.values().filter_map(|home| home.idle_since().map(|since| (since, home)));
        if let Some((_, home)) = oldest.min_by_key(|(since, _)| *since) {
            home.idle.borrow_mut().remove(0);
        }
    }

    fn home(&self, worker_id: &str) -> Rc<WorkerConnections> {
        let mut workers = self.workers.borrow_mut();
        if let Some(home) = workers.get(worker_id) {
            return home.clone();
        }
        let home = Rc::new(WorkerConnections::new(self.open.clone()));
        workers.insert(worker_id.to_owned(), home.clone());
        home
    }
}

impl WorkerConnections {
    fn new(open_to_all: Rc<Cell<u32>>) -> WorkerConnections {
        let count = ConnectionCount { open: Cell::new(0), open_to_all, released: Notify::new() };
        WorkerConnections { idle: RefCell::default(), count: Rc::new(count) }
    }

    /// Since when the first of the idle connections has rested.
    fn idle_since(&self) -> Option<Instant> {
        self.idle.borrow().first().map(|resting| resting.since)
    }

    /// The connection used last among those that have rested, or else the one that has rested longest.
    fn take_idle(&self) -> Option<CountedConnection> {
        let now = Instant::now();
        self.drop_expired(now);
        let mut idle = self.idle.borrow_mut();
        let place = idle.iter().rposition(|resting| resting.is_rested(now)).unwrap_or(0);
        (place < idle.len()).then(|| idle.remove(place).counted)
    }

    fn drop_expired(&self, now: Instant) {
        self.idle.borrow_mut().retain(|resting| resting.is_usable(now));
    }

    fn rest(&self, counted: CountedConnection, idle_for: Duration) {
        let since = Instant::now();
        self.idle.borrow_mut().push(IdleConnection { counted, since, until: since + idle_for });
        self.count.released.notify_one();
    }
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        now < self.until && self.counted.connection.is_ready()
    }

    /// Whether surplus bytes of the last answer would have shown by now.
    fn is_rested(&self, now: Instant) -> bool {
        now.duration_since(self.since) >= policy::CONNECTION_SETTLE_TIME
    }
}

impl Place {
    fn take(count: &Rc<ConnectionCount>) -> Place {
        count.open.set(count.open.get() + 1);
        count.open_to_all.set(count.open_to_all.get() + 1);
        Place(count.clone())
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.open_to_all.set(self.0.open_to_all.get() - 1);
        self.0.released.notify_one();
    }
}

impl CountedConnection {
    /// A new connection, counted from the first attempt on.
    async fn within(
        limit: Duration,
        connecting: impl Future<Output = Result<WorkerConnection, NoConnection>>,
        count: &Rc<ConnectionCount>,
    ) -> Result<CountedConnection, NoConnection> {
        let place = Place::take(count);
        let connected = tokio::time::timeout(limit, connecting).await;
        let connection = connected.unwrap_or(Err(NoConnection::ConnectFailed))?;
        Ok(CountedConnection { connection, _place: place })
    }
}

impl Lease {
    /// The connection.
    pub(crate) fn connection(&mut self) -> &mut WorkerConnection {
        &mut self.counted.connection
    }

    /// Puts the connection to rest after a whole answer; `idle_for` is the time the worker keeps it.
    pub(crate) fn keep(self, idle_for: Option<Duration>) {
        let idle_for = idle_for.unwrap_or(policy::DEFAULT_IDLE_TIMEOUT);
        let margin = policy::IDLE_CLOSE_MARGIN.min(idle_for.mul_f64(policy::IDLE_CLOSE_MARGIN_SHARE));
        let idle_for = idle_for - margin;
        let Lease { mut counted, home } = self;
        if counted.connection.is_ready() {
            home.rest(counted, idle_for);
            return;
        }
        if counted.connection.is_closed() {
            return;
        }
        tokio::task::spawn_local(async move {
            let settled =
                tokio::time::timeout(policy::CONNECTION_SETTLE_TIME, counted.connection.ready()).await;
            if let Ok(Ok(())) = settled {
                home.rest(counted, idle_for);
            }
        });
    }
}
