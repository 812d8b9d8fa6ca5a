//! The placements on one machine, with sums over them.
//!
//! A placement pass reads the sums of every machine several times, while few machines have changed
//! since the last pass. So the sums are cached until a placement may have changed.

use super::placement::{EvictionState, Placement};
use std::cell::Cell;
use std::ops::{Deref, DerefMut};

/// Sums over the placements of one machine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct PlacementSums {
    pub(super) cpus: f64,
    pub(super) gpus: f64,
    pub(super) memory_gb: f64,
    /// CPUs of placements that are not best effort.
    pub(super) prioritized_cpus: f64,
    /// CPUs of placements whose eviction is pending or sent.
    pub(super) evicting_cpus: f64,
    /// Whether a placement is best effort.
    pub(super) has_best_effort: bool,
    /// Whether a placement isn't running.
    pub(super) has_not_running: bool,
    /// Whether a start or a graceful stop is to be sent to the worker as a direct command.
    pub(super) has_due_command: bool,
}

/// The placements that may be on one machine, in the order in which they were made.
#[derive(Debug, Default)]
pub(super) struct MachinePlacements {
    placements: Vec<Placement>,
    /// `None` once a placement may have changed.
    sums: Cell<Option<PlacementSums>>,
}

impl MachinePlacements {
    /// Removes and returns the placements for which the condition holds; the others keep their
    /// order.
    pub(super) fn take_if(&mut self, condition: impl Fn(&Placement) -> bool) -> Vec<Placement> {
        if !self.placements.iter().any(&condition) {
            return Vec::new();
        }
        self.sums.set(None);
        self.placements
            .extract_if(.., |placement| condition(placement))
            .collect()
    }

    /// The sums over all placements.
    pub(super) fn sums(&self) -> PlacementSums {
        if let Some(sums) = self.sums.get() {
            return sums;
        }
        let sums = self.compute_sums();
        self.sums.set(Some(sums));
        sums
    }

    /// The sums, recomputed.
    pub(super) fn compute_sums(&self) -> PlacementSums {
        let mut sums = PlacementSums::default();
        for placement in &self.placements {
            sums.cpus += placement.cpus;
            sums.gpus += placement.gpus;
            sums.memory_gb += placement.memory_gb;
            if placement.best_effort {
                sums.has_best_effort = true;
            } else {
                sums.prioritized_cpus += placement.cpus;
            }
            if placement.eviction != EvictionState::NotRequested {
                sums.evicting_cpus += placement.cpus;
            }
            sums.has_not_running |= !placement.running;
            sums.has_due_command |=
                placement.eviction == EvictionState::Pending || placement.never_sent();
        }
        sums
    }
}

impl Deref for MachinePlacements {
    type Target = Vec<Placement>;

    fn deref(&self) -> &Vec<Placement> {
        &self.placements
    }
}

/// Mutable access invalidates the sums, since any placement may change through it.
impl DerefMut for MachinePlacements {
    fn deref_mut(&mut self) -> &mut Vec<Placement> {
        self.sums.set(None);
        &mut self.placements
    }
}

impl From<Vec<Placement>> for MachinePlacements {
    fn from(placements: Vec<Placement>) -> MachinePlacements {
        MachinePlacements {
            placements,
            sums: Cell::new(None),
        }
    }
}
