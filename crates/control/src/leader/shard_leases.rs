//! Shard leases: which controller responds to a machine, and until when.
//!
//! A machine is leased to the controller that received its newest heartbeat, under a fencing token.
//! The lease is extended by each heartbeat that is accepted and by each hello of the owner. For the
//! leader the leases of a machine last until `grants_expire_at`, which is later than the expiry on
//! any owner's clock: after it no controller responds to the machine.

use super::*;

impl Leader {
    /// Extends the machine's shard lease, and leases the machine to the controller that received
    /// the heartbeat.
    ///
    /// A new owner gets a new token, and the former owner is fenced as soon as the worker sees it.
    /// A worker can have seen tokens of this term only from this leader, so it shows none that is
    /// newer than the machine's, unless the machine has no token of this term yet.
    pub(super) fn lease_to_owner(
        &mut self,
        machine: &mut Machine,
        owner: &str,
        heartbeat: &Heartbeat,
        now: f64,
    ) {
        let has_newest_token =
            machine.fencing_token != 0 && machine.fencing_token >= heartbeat.fencing_token;
        if machine.shard_owner != owner || !has_newest_token {
            machine.shard_owner = owner.to_string();
            machine.fencing_token = self.next_token();
        }
        let expires_at = now + self.timing.shard_lease_bound_s();
        machine.grants_expire_at = machine.grants_expire_at.max(expires_at);
    }

    /// Extends the leases of the controller that sends a hello; returns its machines with their
    /// tokens.
    ///
    /// A machine whose heartbeats stay away is left out, so that its lease expires and its tasks
    /// can be freed. So is a machine with work that may not go on: a hello carries no stop, so an
    /// owner whose hellos alone reach the leader would keep such work alive.
    pub fn extend_shard(&mut self, owner: &str, now: f64) -> Vec<(String, u64)> {
        let fresh_s = limits::MISSED_HEARTBEATS_MAX * self.settings.workers.report_s;
        let expires_at = now + self.timing.shard_lease_bound_s();
        let mut shard = Vec::new();
        for (name, machine) in &mut self.machines {
            let is_owned = machine.shard_owner == owner && machine.fencing_token > 0;
            let is_fresh = now - machine.last_heartbeat_at <= fresh_s;
            if is_owned && is_fresh && !machine.has_unwanted_work(&self.jobs) {
                machine.grants_expire_at = machine.grants_expire_at.max(expires_at);
                shard.push((name.clone(), machine.fencing_token));
            }
        }
        shard
    }
}

impl Machine {
    /// Whether a task that must be stopped may be on it.
    fn has_unwanted_work(&self, jobs: &JobTable) -> bool {
        self.lists_unwanted_task || self.placements.iter().any(|p| p.job_is_over(jobs))
    }
}
