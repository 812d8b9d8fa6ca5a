//! Reconciliation with workers that restarted under the name of their machine.
//!
//! The newest message of a worker has the largest incarnation and sequence number, as long as the
//! worker counts on. A restarted worker begins at incarnation 1: its heartbeats look older than
//! those from before, and would be dropped. So a machine whose heartbeats all look stale is queried
//! for its status. The response to a query that was sent after the newest heartbeat had arrived is
//! newer than that heartbeat; if its numbers or its token are smaller, the worker restarted.
//!
//! From then on nothing counts as proof before the machine has shown a token issued after the
//! restart; once it has, heartbeats that show an older token are stale.

use super::*;

/// Whether a machine whose heartbeats look stale is queried for its status.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum ReconciliationQuery {
    /// No query is needed.
    NotNeeded,
    /// A query is to be sent to this address.
    Due { address: String },
    /// A query was sent at this time, and has no response yet.
    Sent { at: f64 },
}

/// A query for the status of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatusQuery {
    /// The name of the machine.
    pub machine: String,
    /// The address of its worker.
    pub address: String,
}

impl Machine {
    /// Whether this heartbeat is no newer than one that was accepted, or is from before the worker
    /// restarted.
    pub(super) fn is_stale(&self, heartbeat: &Heartbeat) -> bool {
        let has_shown_new_token = self.acknowledged_token >= self.incarnation_first_token;
        let is_same_incarnation = heartbeat.incarnation == self.incarnation;
        let is_before_restart = heartbeat.fencing_token < self.incarnation_first_token
            && (has_shown_new_token || !is_same_incarnation);
        let newest = (self.incarnation, self.heartbeat_seq);
        is_before_restart || (heartbeat.incarnation, heartbeat.sequence) <= newest
    }

    /// Whether this status, newer than every heartbeat that was accepted, shows that the worker has
    /// restarted since. Until it has shown a token issued after the last restart, it may have
    /// restarted again.
    fn shows_restart(&self, status: &Heartbeat) -> bool {
        let newest = (self.incarnation, self.heartbeat_seq);
        (status.incarnation, status.sequence) <= newest
            || status.fencing_token < self.acknowledged_token
            || self.acknowledged_token < self.incarnation_first_token
    }
}

impl Leader {
    /// Handles a heartbeat that looks stale. If no newer one has arrived for long, the worker is to
    /// be queried for its status: either the heartbeat is late, or the worker restarted.
    pub(super) fn query_status_if_silent(
        &self,
        machine: &mut Machine,
        heartbeat: &Heartbeat,
        now: f64,
    ) {
        let fresh_s = limits::MISSED_HEARTBEATS_MAX * self.settings.workers.report_s;
        let is_silent = now - machine.last_heartbeat_at > fresh_s;
        if machine.reconciliation_query == ReconciliationQuery::NotNeeded && is_silent {
            let address = heartbeat.address.clone();
            machine.reconciliation_query = ReconciliationQuery::Due { address };
        }
    }

    /// The workers to query for their status now, `limits::DIRECT_CONTACT_MACHINES_MAX` at a time.
    /// Each is returned once; a call of `status_query_done` with the same time must follow.
    pub fn due_status_queries(&mut self, now: f64) -> Vec<StatusQuery> {
        let mut queries = Vec::new();
        for (name, machine) in &mut self.machines {
            if let ReconciliationQuery::Due { address } = &machine.reconciliation_query
                && !machine.deleting
                && queries.len() < limits::DIRECT_CONTACT_MACHINES_MAX
            {
                queries.push(StatusQuery {
                    machine: name.clone(),
                    address: address.clone(),
                });
                machine.reconciliation_query = ReconciliationQuery::Sent { at: now };
            }
        }
        queries
    }

    /// Handles the response of a machine to the query sent at `sent_at`; `None` if there was none.
    pub fn status_query_done(
        &mut self,
        name: &str,
        sent_at: f64,
        status: Option<&Heartbeat>,
        now: f64,
    ) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.reconciliation_query != (ReconciliationQuery::Sent { at: sent_at }) {
            return;
        }
        machine.reconciliation_query = ReconciliationQuery::NotNeeded;
        // Another machine may have the address by now.
        let Some(status) = status.filter(|status| status.machine == name) else {
            return;
        };
        // A heartbeat that arrived meanwhile may be newer than the response.
        let is_newest = machine.last_heartbeat_at < sent_at;
        if is_newest && machine.shows_restart(status) {
            self.restart_worker(name, status, now);
        }
    }

    /// Handles the restart of a machine's worker, which has forgotten its commands. Placements
    /// whose start was never sent are freed at once; all others wait until its heartbeats show the
    /// new token, and their starts are not sent again (`from_previous_term`).
    fn restart_worker(&mut self, name: &str, status: &Heartbeat, now: f64) {
        let token = self.next_token();
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        info!(
            machine = name,
            incarnation = status.incarnation,
            "worker restarted"
        );
        machine.incarnation = status.incarnation;
        machine.heartbeat_seq = status.sequence;
        machine.fencing_token = token;
        machine.incarnation_first_token = token;
        machine.acknowledged_token = status.fencing_token;
        machine.commands_unacknowledged_since = None;
        // Its next heartbeat determines which controller responds to it.
        machine.shard_owner = String::new();
        let zone = machine.zone.clone();
        let never_sent = machine.placements.take_if(Placement::never_sent);
        for placement in machine.placements.iter_mut() {
            placement.from_previous_term = true;
        }
        let context = FreeContext::shown_by(status, &zone, FreeReason::NeverSent);
        self.free_lost(never_sent, &context, now);
    }
}
