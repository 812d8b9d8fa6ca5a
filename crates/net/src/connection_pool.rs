//! A bounded pool of the connections that a server has open.
//!
//! A connection is *active* while a request on it is read, handled and responded to, and
//! *idle* otherwise. A new connection never has to wait for idle ones: when the pool is full,
//! the least recently used idle connection is evicted, users' before workers'. An active
//! connection is never evicted; while all are active, new ones are refused.
//!
//! An eviction costs the client a failed request, since its next one finds the connection
//! closed. Slots are therefore freed by closing connections where nothing can be lost: with
//! the response to a request (`Connection: close`), users' before workers'. The number of idle
//! connections is bounded so that all users who may be active at a time find room beside them,
//! whether they are active now or not:
//!
//! `idle + max_active_users <= max_open_to_keep_workers <= max_connections`
//!
//! So an idle connection is evicted only if new connections, active workers and refused users
//! together take more than `max_connections - max_open_to_keep_workers` slots.
//!
//! The order of eviction follows a counter of uses, so it doesn't depend on a clock.

use cherrywood_limits as limits;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;

/// Kind of client that a connection serves, by its last request. In order of eviction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionClass {
    /// A user, who repeats the request if the connection fails.
    User,
    /// A worker, whose lease depends on its heartbeats; a health check; or a connection
    /// without a request yet, which may turn out to be of either class.
    Worker,
}

/// How many connections a pool may hold, and for what.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Number of open connections up to which a user's is kept after a response; the slots
    /// that active users may take are counted as open.
    pub max_open_to_keep_users: usize,
    /// The same bound for a worker's connection.
    pub max_open_to_keep_workers: usize,
    /// Maximum number of users' requests handled at once; others are refused with 503.
    pub max_active_users: usize,
}

impl PoolLimits {
    /// Returns limits that treat all classes alike and keep every connection until it is
    /// evicted.
    pub fn uniform(max_connections: usize) -> Self {
        PoolLimits {
            max_connections,
            max_open_to_keep_users: max_connections,
            max_open_to_keep_workers: max_connections,
            max_active_users: max_connections,
        }
    }

    /// Returns the limits of a controller with this number of sockets, some of which it needs
    /// for its own requests.
    pub fn for_sockets(sockets: usize) -> Self {
        let share_of = |all: usize, share: f64| (all as f64 * share) as usize;
        let max_connections =
            share_of(sockets, limits::SERVED_SOCKETS_SHARE).max(limits::SERVED_CONNECTIONS_MIN);
        PoolLimits {
            max_connections,
            max_open_to_keep_users: share_of(max_connections, limits::KEEP_USER_CONNECTIONS_SHARE),
            max_open_to_keep_workers: share_of(
                max_connections,
                limits::KEEP_WORKER_CONNECTIONS_SHARE,
            ),
            max_active_users: share_of(max_connections, limits::ACTIVE_USER_CONNECTIONS_SHARE),
        }
    }

    fn max_open_to_keep(&self, class: ConnectionClass) -> usize {
        match class {
            ConnectionClass::User => self.max_open_to_keep_users,
            ConnectionClass::Worker => self.max_open_to_keep_workers,
        }
    }

    /// Number of idle connections below which one more of this class may become idle, so that
    /// users still find their whole share of the pool. Where that share is the whole pool,
    /// nothing can be reserved for it.
    fn max_idle(&self, class: ConnectionClass) -> usize {
        if self.max_active_users >= self.max_connections {
            return self.max_connections;
        }
        self.max_open_to_keep(class)
            .saturating_sub(self.max_active_users)
    }
}

/// Position of an idle connection in the order of eviction: the smallest is evicted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionOrder {
    class: ConnectionClass,
    last_use: u64,
}

/// Counts of connections and requests by outcome, since the pool was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolCounts {
    /// Connections admitted to the pool.
    pub admitted: u64,
    /// Connections refused because all others were active.
    pub refused_full: u64,
    /// Idle connections evicted that had served users.
    pub evicted_users: u64,
    /// Idle connections evicted that had served workers.
    pub evicted_workers: u64,
    /// Connections evicted before their first request.
    pub evicted_unused: u64,
    /// Requests served whose connections had been evicted as they arrived.
    pub served_after_eviction: u64,
    /// Users' requests refused because `max_active_users` were being handled.
    pub refused_users: u64,
    /// Users' connections closed with a response to make room.
    pub closed_users: u64,
    /// Workers' connections closed with a response to make room.
    pub closed_workers: u64,
    /// Connections closed because no request came for too long.
    pub idle_timeouts: u64,
}

impl PoolCounts {
    /// Returns the number of idle connections evicted.
    pub fn evicted(&self) -> u64 {
        self.evicted_users + self.evicted_workers + self.evicted_unused
    }

    /// Returns the number of connections and requests refused.
    pub fn refused(&self) -> u64 {
        self.refused_full + self.refused_users
    }
}

#[derive(Debug, Default)]
struct PoolState {
    /// Connections that hold a slot: idle and active ones.
    open: usize,
    active_users: usize,
    idle: BTreeMap<EvictionOrder, IdleConnection>,
    uses: u64,
    counts: PoolCounts,
}

#[derive(Debug)]
struct IdleConnection {
    evict: oneshot::Sender<()>,
    /// Whether no request has arrived on it yet.
    unused: bool,
}

impl PoolState {
    /// Evicts the idle connection that is first in the order of eviction, which frees its slot
    /// for another. Returns false if no connection is idle.
    fn evict_first(&mut self) -> bool {
        let Some((order, connection)) = self.idle.pop_first() else {
            return false;
        };
        // Sending fails if the connection is closing by itself, which needs no signal.
        let _ = connection.evict.send(());
        match order.class {
            _ if connection.unused => self.counts.evicted_unused += 1,
            ConnectionClass::User => self.counts.evicted_users += 1,
            ConnectionClass::Worker => self.counts.evicted_workers += 1,
        }
        true
    }
}

/// The pool of one server's connections.
#[derive(Debug)]
pub struct ConnectionPool {
    limits: PoolLimits,
    state: Mutex<PoolState>,
}

impl ConnectionPool {
    /// Creates a pool without connections.
    pub fn new(limits: PoolLimits) -> Arc<Self> {
        Arc::new(ConnectionPool {
            limits,
            state: Mutex::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, PoolState> {
        // Every change of the state is complete even if a holder of the lock panicked.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the counts of connections and requests until now.
    pub fn counts(&self) -> PoolCounts {
        self.state().counts
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.state().open
    }

    /// Admits a new connection, if necessary in the slot of an idle one, which is evicted.
    /// Returns `None` if all connections are active.
    pub fn admit(self: &Arc<Self>) -> Option<PooledConnection> {
        let mut state = self.state();
        if state.open < self.limits.max_connections {
            state.open += 1;
        } else if !state.evict_first() {
            state.counts.refused_full += 1;
            return None;
        }
        state.counts.admitted += 1;
        drop(state);
        Some(PooledConnection {
            pool: self.clone(),
            class: ConnectionClass::Worker,
            phase: Phase::Active,
            unused: true,
            counts_as_active_user: false,
        })
    }
}

#[derive(Debug)]
enum Phase {
    Active,
    Idle(EvictionOrder),
    /// Its slot belongs to another connection.
    Evicted,
}

/// One connection's slot in its pool, held until it is dropped.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Arc<ConnectionPool>,
    class: ConnectionClass,
    phase: Phase,
    /// Whether no request has arrived on it yet.
    unused: bool,
    counts_as_active_user: bool,
}

impl PooledConnection {
    /// Marks the connection as waiting for a request. It must close when the returned receiver
    /// gets a message.
    pub fn set_idle(&mut self) -> oneshot::Receiver<()> {
        let (evict, evicted) = oneshot::channel();
        let mut state = self.pool.state();
        if std::mem::take(&mut self.counts_as_active_user) {
            state.active_users -= 1;
        }
        if matches!(self.phase, Phase::Active) {
            state.uses += 1;
            let order = EvictionOrder {
                class: self.class,
                last_use: state.uses,
            };
            let unused = self.unused;
            state.idle.insert(order, IdleConnection { evict, unused });
            self.phase = Phase::Idle(order);
        }
        evicted
    }

    /// Marks the connection as active: a request has begun to arrive.
    pub fn set_active(&mut self) {
        if let Phase::Idle(order) = self.phase {
            let still_idle = self.pool.state().idle.remove(&order).is_some();
            self.phase = if still_idle {
                Phase::Active
            } else {
                Phase::Evicted
            };
        }
    }

    /// Begins a request and returns whether it may be handled now. At most `max_active_users`
    /// requests of users are handled at a time.
    pub fn begin_request(&mut self, class: ConnectionClass) -> bool {
        self.class = class;
        self.unused = false;
        if matches!(self.phase, Phase::Evicted) {
            self.pool.state().counts.served_after_eviction += 1;
        }
        if class == ConnectionClass::User {
            let mut state = self.pool.state();
            if state.active_users >= self.pool.limits.max_active_users {
                state.counts.refused_users += 1;
                return false;
            }
            state.active_users += 1;
            self.counts_as_active_user = true;
        }
        true
    }

    /// Returns whether the connection stays open after the response that is about to be sent.
    pub fn keep_alive(&self) -> bool {
        if matches!(self.phase, Phase::Evicted) {
            return false;
        }
        let mut state = self.pool.state();
        let limits = &self.pool.limits;
        let keep = state.open <= limits.max_open_to_keep(self.class)
            && state.idle.len() < limits.max_idle(self.class);
        match self.class {
            _ if keep => {}
            ConnectionClass::User => state.counts.closed_users += 1,
            ConnectionClass::Worker => state.counts.closed_workers += 1,
        }
        keep
    }

    /// Counts a connection that is about to close because no request came for too long.
    pub fn record_idle_timeout(&self) {
        self.pool.state().counts.idle_timeouts += 1;
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.set_active();
        let mut state = self.pool.state();
        if self.counts_as_active_user {
            state.active_users -= 1;
        }
        if !matches!(self.phase, Phase::Evicted) {
            state.open -= 1;
        }
    }
}
