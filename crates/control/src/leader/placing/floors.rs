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
            let mut jobs: Vec<(f64, JobNo)> = Vec::new();
            for (no, w) in self.waiters.iter().filter(|(_, w)| !w.blocked) {
                if let Some(job) = self.jobs.get(no).filter(|j| j.cell == *cell) {
                    let left = f64::from(job.left()) * job.spec.cpus * w.est;
                    jobs.push((left, *no));
                }
            }
            jobs.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            for (_, no) in jobs {
                let of = self.jobs.get(&no).map(|j| j.spec.priority);
                while self.placed() < most
                    && !self.sites.is_empty()
                    && of.is_some_and(|rank| self.ready(&no, false, rank))
                    && let Some(pick) = queue.find(&no)
                {
                    self.place_group(queue, &pick, false, Order::Any);
                }
            }
        }
        self.floor = false;
    }
}
