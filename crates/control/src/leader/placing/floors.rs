//! Service after admission: what comes free goes in part to those who are behind.

use super::*;

impl Plan<'_> {
    /// CPUs that teams use, with what this pass has placed.
    pub(super) fn placed(&self) -> f64 {
        self.used.iter().map(|u| u.0).sum()
    }

    /// The floor of service: a part of the CPUs that come free goes to the cells that
    /// are behind what they were promised, whatever their rank, the least served
    /// first and within each the job with the least work left. Without it jobs of
    /// lower ranks waited as long as higher ones kept coming (1 of 129 done).
    pub(super) fn serve_behind(&mut self, queue: &mut Queue<JobNo>, behind: &[u64], due: f64) {
        let most = self.placed() + due;
        self.floor = true;
        for cell in behind {
            for n in self.by_work_left(|w| !w.blocked && w.cell == *cell) {
                while self.placed() < most
                    && !self.sites.is_empty()
                    && self.ready(&self.waiters[n as usize], false)
                    && let Some(pick) = self.find(queue, n)
                {
                    self.place_group(queue, n, &pick, false, Order::Any);
                }
            }
        }
        self.floor = false;
    }
}
