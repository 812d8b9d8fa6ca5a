//! A controller as the owner of a shard: the machines whose workers it responds to.
//!
//! The leader leases machines to controllers one by one; the machines leased to one
//! controller are its shard. While a lease lasts, its owner responds to the machine's
//! heartbeats under the lease's fencing token, without the leader if the leader can't be
//! reached, and so keeps the worker's own lease alive. The owner also measures how long tasks
//! ran, since it alone sees every heartbeat of its machines.
//!
//! All times are seconds on this process's monotonic clock.

use cherrywood_wire::agent::{Command, ExitCause, Heartbeat, HeartbeatResponse, TaskState};
use std::collections::HashMap;

/// The shard lease of one machine.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ShardLease {
    token: u64,
    expires_at: f64,
}

impl ShardLease {
    /// Returns a lease under which nothing may be answered, and which no older token replaces.
    fn expired(token: u64) -> ShardLease {
        ShardLease {
            token,
            expires_at: f64::NEG_INFINITY,
        }
    }
}

/// The state of a machine's tasks as its last heartbeat reported it.
#[derive(Debug, Default)]
struct ObservedMachine {
    incarnation: u64,
    sequence: u64,
    last_heartbeat_at: f64,
    /// When each running attempt of a task, by task and attempt number, was first seen running.
    running_since: HashMap<(String, u64), f64>,
}

/// The shard leases of this controller and its observations of its machines.
#[derive(Debug, Default)]
pub struct ShardOwner {
    leases: HashMap<String, ShardLease>,
    observed: HashMap<String, ObservedMachine>,
}

impl ShardOwner {
    /// Records a lease that the leader granted in response to a request sent at `sent`. The
    /// lease runs from `sent`, however long the response took. An older token, or an earlier
    /// expiry under the same token, changes nothing.
    pub fn lease_granted(&mut self, machine: &str, token: u64, sent: f64, shard_lease_s: f64) {
        let granted = ShardLease {
            token,
            expires_at: sent + shard_lease_s,
        };
        let lease = self.leases.entry(machine.to_string()).or_insert(granted);
        let extends = token == lease.token && granted.expires_at > lease.expires_at;
        if token > lease.token || extends {
            *lease = granted;
        }
    }

    /// Records that the leader responded to a heartbeat with stops for work that must not
    /// continue, under this token. The response may get lost, so it must not extend the lease:
    /// the next heartbeat that needs no such stop does. An older token is no longer valid.
    pub fn must_deliver_stops(&mut self, machine: &str, token: u64) {
        let expired = ShardLease::expired(token);
        let lease = self.leases.entry(machine.to_string()).or_insert(expired);
        lease.token = lease.token.max(token);
    }

    /// Records that the worker has seen this token. A lease under an older one has ended: another
    /// controller, or a newer leader, is entitled to respond to the machine.
    fn token_seen(&mut self, machine: &str, token: u64) {
        if let Some(lease) = self.leases.get_mut(machine)
            && lease.token < token
        {
            *lease = ShardLease::expired(token);
        }
    }

    /// Returns the response to a heartbeat that this controller received at `received_at`;
    /// `None` if it may not give one.
    ///
    /// `from_leader` is the leader's response, `None` if the leader can't be reached: then the
    /// worker's lease is renewed, without commands, for as long as the shard lease lasts. If the
    /// heartbeat shows a token, `seen_token`, newer than that of the response or the lease, others
    /// are entitled to respond: the worker would drop the response, and should turn to them.
    pub fn heartbeat_response(
        &mut self,
        machine: &str,
        seen_token: u64,
        from_leader: Option<HeartbeatResponse>,
        received_at: f64,
        now: f64,
        shard_lease_s: f64,
    ) -> Option<HeartbeatResponse> {
        self.token_seen(machine, seen_token);
        let from_leader = from_leader.filter(|response| response.fencing_token >= seen_token);
        let Some(response) = from_leader else {
            return Some(HeartbeatResponse {
                fencing_token: self.valid_token(machine, now)?,
                commands: Vec::new(),
            });
        };
        let token = response.fencing_token;
        if response.commands.iter().any(is_immediate_stop) {
            // This response may be given although it doesn't extend the lease. If both the
            // response and the leader are lost, the work ends with the worker's lease.
            self.must_deliver_stops(machine, token);
            let in_time = now < received_at + shard_lease_s;
            let may_respond = self.is_newest_token(machine, token) && in_time;
            return may_respond.then_some(response);
        }
        self.lease_granted(machine, token, received_at, shard_lease_s);
        (self.valid_token(machine, now) == Some(token)).then_some(response)
    }

    /// Whether this is the newest token known for the machine.
    pub fn is_newest_token(&self, machine: &str, token: u64) -> bool {
        self.leases
            .get(machine)
            .is_some_and(|lease| lease.token == token)
    }

    /// Returns the token under which this controller may respond to the machine now, if any.
    pub fn valid_token(&self, machine: &str, now: f64) -> Option<u64> {
        self.leases
            .get(machine)
            .filter(|lease| now < lease.expires_at)
            .map(|lease| lease.token)
    }

    /// Returns the number of machines that this controller may respond to now.
    pub fn valid_leases(&self, now: f64) -> usize {
        let leases = self.leases.values();
        leases.filter(|lease| now < lease.expires_at).count()
    }

    /// Records a heartbeat. Returns the tasks that have succeeded since the previous one and
    /// the seconds for which each was seen running; nothing for a heartbeat that is no newer
    /// than the last.
    pub fn observe_heartbeat(&mut self, heartbeat: &Heartbeat, now: f64) -> Vec<(String, f64)> {
        let observed = self.observed.entry(heartbeat.machine.clone()).or_default();
        if (heartbeat.incarnation, heartbeat.sequence) <= (observed.incarnation, observed.sequence)
        {
            return Vec::new();
        }
        if heartbeat.incarnation != observed.incarnation {
            observed.running_since.clear();
        }
        observed.incarnation = heartbeat.incarnation;
        observed.sequence = heartbeat.sequence;
        observed.last_heartbeat_at = now;
        let mut finished = Vec::new();
        let mut running_since = HashMap::new();
        for task in &heartbeat.tasks {
            let attempt = (task.task.clone(), task.attempt);
            let since = observed.running_since.get(&attempt).copied();
            match (task.state, since) {
                (TaskState::Running, since) => {
                    running_since.insert(attempt, since.unwrap_or(now));
                }
                (TaskState::Exited, Some(since)) if task.exit_cause == Some(ExitCause::Done) => {
                    finished.push((task.task.clone(), now - since));
                }
                _ => {}
            }
        }
        observed.running_since = running_since;
        finished
    }

    /// Removes the observations of machines whose last heartbeat is at least `after_s` old, and
    /// the leases that expired at least `after_s` ago.
    pub fn forget_silent(&mut self, now: f64, after_s: f64) {
        self.observed
            .retain(|_, observed| now - observed.last_heartbeat_at < after_s);
        self.leases
            .retain(|_, lease| now < lease.expires_at + after_s);
    }
}

/// Whether the command stops work that must not continue, without time to save a checkpoint.
fn is_immediate_stop(command: &Command) -> bool {
    matches!(command, Command::Stop { grace_s, .. } if *grace_s <= 0.0)
}
