//! One controller: the state, clients and queues that its background tasks and request handlers
//! share.

use crate::admission_filter::AdmissionFilter;
use crate::chunk_slots::ChunkSlots;
use crate::heartbeats::HeartbeatOutbox;
use crate::lock;
use crate::settings::Settings;
use crate::state::{ControllerState, StoreContact};
use crate::status_queries::StatusQueryQueue;
use cherrywood_control::LeaseTiming;
use cherrywood_net::Runtime;
use cherrywood_net::cloud::CloudClient;
use cherrywood_net::connection_pool::{ConnectionPool, PoolLimits};
use cherrywood_net::peer::PeerClient;
use cherrywood_net::store_client::StoreClient;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::Notify;

/// A snapshot of a controller, for simulations and tests.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct NodeStatus {
    /// Whether the controller tells the load balancer that it serves users.
    pub is_ready: bool,
    /// Number of machines to whose heartbeats the controller may respond now: its valid shard
    /// leases.
    pub granted_machines: usize,
    /// The term in which the controller leads, if it leads.
    pub leading_term: Option<u64>,
    /// As leader: number of tasks waiting in each level.
    pub pending_tasks_by_level: Vec<u32>,
    /// As leader: each team's name, CPUs in use and limit of CPUs.
    pub team_cpus: Vec<(String, f64, f64)>,
}

/// One controller process.
///
/// Handlers of requests from users, workers and peers, and the background tasks, all use one
/// `Node`. Its mutable state is behind the lock of [`ControllerState`], in a type with its own
/// lock (admission filter, status queries, heartbeat outbox, chunk slots), or in a client.
#[derive(Debug)]
pub struct Node {
    /// The platform's and the operators' settings, as read when the process started.
    pub settings: Settings,
    /// Durations of leadership, shard leases and worker leases.
    pub timing: LeaseTiming,
    /// Client of the key-value store.
    pub store: StoreClient,
    /// Client of the cloud.
    pub cloud: CloudClient,
    /// Connections of users and workers that this controller serves.
    pub served_connections: Arc<ConnectionPool>,
    /// The other controllers.
    pub peers: Vec<PeerClient>,
    /// Clock, network, random numbers and tasks of the machine that this process runs on.
    pub host: Runtime,
    /// Notified when placements wait for a commit, or a placement pass over the queue is due.
    pub placement_commit_due: Notify,
    /// Notified when job records (progress, final states) wait for a commit.
    pub job_commit_due: Notify,
    /// Heartbeats to forward to the leader.
    pub heartbeat_outbox: HeartbeatOutbox,
    /// Status queries that wait for the next read of the key-value store.
    pub status_queries: StatusQueryQueue,
    /// Decides which new submissions are refused under overload.
    pub admission_filter: AdmissionFilter,
    /// The slots in which the chunks of large values were last seen.
    pub chunk_slots: ChunkSlots,
    /// Random number that distinguishes this process from earlier processes with its label.
    pub(crate) process_id: u64,
    state: Mutex<ControllerState>,
}

impl Node {
    /// Creates a controller that does nothing yet: [`crate::background::start`] starts its tasks.
    pub fn new(host: Runtime, settings: Settings) -> Node {
        let platform = &settings.platform;
        let services = &platform.services;
        let cluster = &platform.deployment.cluster;
        let nodes = platform.deployment.nodes;
        let pool_limits = PoolLimits::for_sockets(platform.deployment.limits.sockets);
        let state = ControllerState {
            store_contact: StoreContact {
                is_sole_controller: platform.members.is_empty(),
                ..StoreContact::default()
            },
            ..ControllerState::default()
        };
        Node {
            timing: LeaseTiming::new(cluster.workers.lease_s, cluster.workers.cancel_s),
            store: StoreClient::new(
                &host,
                services.state,
                cluster.state.conservative_limits(),
                nodes,
            ),
            cloud: CloudClient::new(&host, services.cloud, cluster.cloud.rps),
            served_connections: ConnectionPool::new(pool_limits),
            peers: platform
                .members
                .iter()
                .map(|m| PeerClient::new(&host, &m.label, m.endpoint))
                .collect(),
            placement_commit_due: Notify::new(),
            job_commit_due: Notify::new(),
            heartbeat_outbox: HeartbeatOutbox::default(),
            status_queries: StatusQueryQueue::default(),
            admission_filter: AdmissionFilter::new(settings.operator.policy().admission.gates),
            chunk_slots: ChunkSlots::default(),
            process_id: host.random(),
            state: Mutex::new(state),
            host,
            settings,
        }
    }

    /// This controller's label in the settings.
    pub fn label(&self) -> &str {
        &self.settings.platform.label
    }

    /// Seconds on this controller's monotonic clock.
    pub fn now(&self) -> f64 {
        self.host.now()
    }

    /// Locks the shared state. Never hold the guard across an await.
    pub fn lock_state(&self) -> MutexGuard<'_, ControllerState> {
        lock(&self.state)
    }

    /// Records that the key-value store has just responded to this controller.
    pub fn record_store_response(&self) {
        let now = self.now();
        self.lock_state().store_contact.record_response(now);
    }

    /// Wakes the tasks that commit placements and job records.
    pub(crate) fn notify_commits_due(&self) {
        self.placement_commit_due.notify_one();
        self.job_commit_due.notify_one();
    }

    /// The other controller with this label.
    pub(crate) fn peer_with_label(&self, label: Option<&str>) -> Option<&PeerClient> {
        self.peers.iter().find(|p| Some(p.label.as_str()) == label)
    }

    /// Whether the load balancer may send users here.
    pub fn is_ready(&self) -> bool {
        let now = self.now();
        self.lock_state().is_ready(now)
    }

    /// A snapshot of this controller, for simulations and tests.
    pub fn status(&self) -> NodeStatus {
        let now = self.now();
        let mut state = self.lock_state();
        let is_ready = state.is_ready(now);
        let granted_machines = state.shard.valid_leases(now);
        let leader = state.term.leader_if_may_write(now);
        NodeStatus {
            is_ready,
            granted_machines,
            leading_term: leader.as_ref().map(|l| l.term()),
            pending_tasks_by_level: leader
                .as_ref()
                .map(|l| l.queue_lengths())
                .unwrap_or_default(),
            team_cpus: leader.map(|l| l.team_usage()).unwrap_or_default(),
        }
    }
}
