//! The jobs admitted in a recent window, used as an estimate of the next offers.

use cherrywood_limits::admission as limits;
use cherrywood_wire::admission::{JobHash, TenantClassId};
use std::collections::VecDeque;

/// A job that was admitted in the window.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WindowEntry {
    pub(crate) admitted_at: f64,
    pub(crate) job: JobHash,
    pub(crate) class: TenantClassId,
    pub(crate) work_cpu_s: f64,
}

/// Jobs admitted in the last `limits::OFFERED_WINDOW_S`, oldest first.
#[derive(Debug)]
pub(crate) struct AdmissionWindow {
    entries: VecDeque<WindowEntry>,
    started_at: f64,
    /// Seconds that the window covers; see [`length_s`](Self::length_s).
    length_s: f64,
}

impl AdmissionWindow {
    pub(crate) fn new(now_s: f64) -> Self {
        AdmissionWindow {
            entries: VecDeque::new(),
            started_at: now_s,
            length_s: limits::OFFERED_WINDOW_MIN_S,
        }
    }

    pub(crate) fn push(&mut self, entry: WindowEntry) {
        self.entries.push_back(entry);
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = &WindowEntry> {
        self.entries.iter()
    }

    /// Returns the seconds that the window covers: those since the leader's election, at least
    /// `limits::OFFERED_WINDOW_MIN_S` and at most `limits::OFFERED_WINDOW_S`.
    pub(crate) fn length_s(&self) -> f64 {
        self.length_s
    }

    pub(crate) fn advance(&mut self, now_s: f64) {
        let filled_s = now_s - self.started_at;
        self.length_s = filled_s.clamp(limits::OFFERED_WINDOW_MIN_S, limits::OFFERED_WINDOW_S);
        let oldest = now_s - limits::OFFERED_WINDOW_S;
        while self.entries.front().is_some_and(|e| e.admitted_at < oldest) {
            self.entries.pop_front();
        }
    }
}
