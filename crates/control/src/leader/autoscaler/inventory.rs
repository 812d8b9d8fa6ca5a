//! The machines that exist, according to the cloud's responses and lists, and the tasks that are
//! lost because every lease of their machine has expired.

use crate::leader::{FreeContext, FreeReason, Leader, Machine, PlacementStage};
use cherrywood_limits as limits;
use cherrywood_wire::cloud::{ListedMachine, ListedMachineState, MachineType, RentalRequest};
use std::collections::HashSet;
use tracing::info;

/// Seconds added to twice the lag of the lists. A machine that was first listed longer ago than
/// this sum is missing from a list only if it is gone.
const LIST_MARGIN_S: f64 = 1.0;

impl Leader {
    /// Sets the machine types that the cloud offers, with their prices.
    pub fn set_machine_types(&mut self, machine_types: Vec<MachineType>) {
        self.machine_types = machine_types;
    }

    /// Returns the machine type of this name, if the cloud offers it.
    pub(in crate::leader) fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.machine_types.iter().find(|t| t.name == name)
    }

    /// Applies the cloud's complete list of machines, which is up to `list_lag_s` of the
    /// settings old.
    pub fn apply_machine_list(&mut self, list: &[ListedMachine], now: f64) {
        for listed in list {
            if !self.deleted_machines.contains_key(&listed.name) {
                self.apply_listed_machine(listed, now);
            }
        }
        let listed: HashSet<&str> = list.iter().map(|listed| listed.name.as_str()).collect();
        self.delete_unlisted_machines(&listed, now);
        self.deleted_machines.retain(|name, deleted_at| {
            now - *deleted_at < limits::DELETED_MACHINE_MEMORY_S || listed.contains(name.as_str())
        });
    }

    fn apply_listed_machine(&mut self, listed: &ListedMachine, now: f64) {
        let created_at = now - listed.age_s;
        if !self.machines.contains_key(&listed.name) {
            let mut machine = Machine::new(&listed.machine_type, &listed.zone, listed.spot, now);
            machine.cached_images = self.take_image_hints(&listed.name, now);
            machine.created_at = created_at;
            machine.last_heartbeat_at = now;
            self.machines.insert(listed.name.clone(), machine);
        }
        let Some(machine) = self.machines.get_mut(&listed.name) else {
            return;
        };
        machine.first_listed_at.get_or_insert(now);
        machine.created_at = machine.created_at.min(created_at);
        machine.listed_as_booting = listed.state == ListedMachineState::Booting;
        // From the first heartbeat on, the worker's own address is used.
        if let Some(address) = &listed.address
            && !machine.up
        {
            machine.address.clone_from(address);
        }
        if listed.state == ListedMachineState::Failed && !machine.deleting {
            info!(
                machine = listed.name,
                reason = "failed by itself",
                "deleting machine"
            );
            machine.deleting = true;
        }
    }

    /// Marks machines that the cloud has reclaimed for deletion. Once listed, a machine stays
    /// listed until it is gone. But a list may be older than the one before it, so a machine must
    /// also be silent.
    fn delete_unlisted_machines(&mut self, listed: &HashSet<&str>, now: f64) {
        let max_listing_age_s = 2.0 * self.settings.cloud.list_lag_s + LIST_MARGIN_S;
        let max_silent_s = limits::MISSED_HEARTBEATS_MAX * self.settings.workers.report_s;
        for (name, machine) in &mut self.machines {
            let silent_s = now - machine.last_heartbeat_at;
            let first_listed_at = machine.first_listed_at;
            if first_listed_at.is_some_and(|at| now - at > max_listing_age_s)
                && !listed.contains(name.as_str())
                && silent_s > max_silent_s
                && !machine.deleting
            {
                info!(
                    machine = name,
                    silent_s,
                    reason = "silent and no longer listed",
                    "deleting machine"
                );
                machine.deleting = true;
            }
        }
    }

    /// Applies the cloud's response to a rental: the names of the new machines, or None for "no
    /// capacity".
    pub fn rental_answered(&mut self, rental: &RentalRequest, names: Option<&[String]>, now: f64) {
        let names = names.unwrap_or_default();
        self.autoscaler.record_rental(rental, names.len(), now);
        info!(
            machine_type = rental.machine_type,
            zone = rental.zone,
            spot = rental.spot,
            requested = rental.count,
            rented = names.len(),
            "rental answered"
        );
        for name in names {
            if self.deleted_machines.contains_key(name) || self.machines.contains_key(name) {
                continue;
            }
            let mut machine = Machine::new(&rental.machine_type, &rental.zone, rental.spot, now);
            machine.rented_this_term = true;
            self.machines.insert(name.clone(), machine);
        }
    }

    /// Applies a successful deletion by the cloud: the machines and all tasks on them are gone.
    pub fn machines_deleted(&mut self, names: &[String], now: f64) {
        for name in names {
            let Some(mut machine) = self.machines.remove(name) else {
                continue;
            };
            self.deleted_machines.insert(name.clone(), now);
            let lost = std::mem::take(&mut *machine.placements);
            let context =
                FreeContext::without_message(name, &machine.zone, FreeReason::MachineDeleted);
            self.free_lost(lost, &context, now);
        }
    }

    /// Frees the placements of silent machines all of whose leases have expired: no task runs
    /// there any more.
    pub(super) fn free_expired_placements(&mut self, now: f64) {
        let gone_after_s = self.timing.tasks_gone_after_s();
        let expired: Vec<String> = self
            .machines
            .iter()
            .filter(|(_, m)| !m.placements.is_empty() && now > m.grants_expire_at + gone_after_s)
            .filter(|(_, m)| now - m.last_heartbeat_at > gone_after_s)
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            let Some(machine) = self.machines.get_mut(&name) else {
                continue;
            };
            let lost = machine
                .placements
                .take_if(|p| p.stage == PlacementStage::Durable);
            let zone = machine.zone.clone();
            info!(
                machine = name,
                tasks = lost.len(),
                "every lease of the machine has expired: its tasks are lost"
            );
            let context = FreeContext::without_message(&name, &zone, FreeReason::LeasesExpired);
            self.free_lost(lost, &context, now);
        }
    }
}
