//! May this process speak for the controllers now? The one owner of that question.
//!
//! Two things are needed, and neither stands for the other. **The lease of the leader's
//! key** says that nobody else leads. **A view of the cancellations** says what may no
//! longer run: any controller confirms a cancellation, so an answer to a worker is safe
//! only as long as what it rests on is known to be complete up to some moment, and that
//! moment is not long ago. A lease that is renewed by touching it shows no cancellation:
//! after an outage it has its full time again, and where only the reading of what changed
//! is refused, lags or hangs, it goes on being renewed.
//!
//! Both count from the sending of the request that proves them.

use crate::Timing;
use cherrywood_limits as limits;

#[derive(Debug, Default, Clone, PartialEq)]
pub struct Leadership {
    /// The lease of the leader's key; 0 if this process doesn't hold it.
    lease: u64,
    leased_until: f64,
    /// All cancellations committed before this moment are known here.
    viewed: Option<f64>,
    /// Since when the lease is renewed while the view is too old.
    blind_since: Option<f64>,
}

impl Leadership {
    /// The key is held under `lease`, which was asked for at `sent`. Nothing of an earlier
    /// term counts.
    pub fn won(&mut self, lease: u64, sent: f64, timing: &Timing) {
        *self = Leadership {
            lease,
            leased_until: sent + timing.leader_s * (1.0 - limits::DRIFT),
            viewed: None,
            blind_since: None,
        };
    }

    pub fn lost(&mut self) {
        *self = Leadership::default();
    }

    pub fn lease(&self) -> u64 {
        self.lease
    }

    /// A renewal that was sent at `sent` was answered: the lease lives.
    pub fn renewed(&mut self, lease: u64, sent: f64, timing: &Timing) {
        if lease == 0 || lease != self.lease {
            return;
        }
        self.leased_until = sent + timing.leader_s * (1.0 - limits::DRIFT);
        let old = self.viewed.is_some_and(|v| sent >= v + timing.view_s);
        match old {
            true => self.blind_since = Some(self.blind_since.unwrap_or(sent)),
            false => self.blind_since = None,
        }
    }

    /// Whatever was committed before `sent` has been taken in, by the leader of `lease`.
    pub fn viewed(&mut self, lease: u64, sent: f64) {
        if lease != 0 && lease == self.lease {
            self.viewed = Some(self.viewed.map_or(sent, |v| v.max(sent)));
            self.blind_since = None;
        }
    }

    /// Nobody else leads.
    pub fn holds(&self, now: f64) -> bool {
        self.lease != 0 && now < self.leased_until
    }

    /// May workers be answered, blocks be granted and commands be sent?
    pub fn speaks(&self, now: f64, timing: &Timing) -> bool {
        let until = |v: f64| v + timing.view_s * (1.0 - limits::DRIFT);
        self.holds(now) && self.viewed.is_some_and(|v| now < until(v))
    }

    /// s for which the lease has been renewed without a view: another may see more.
    pub fn blind_s(&self, now: f64) -> f64 {
        self.blind_since.map_or(0.0, |since| now - since)
    }
}
