//! The term in which this controller leads.

use cherrywood_control::{Leader, Leadership, LeaseTiming};
use std::collections::HashMap;

/// The revision up to which all changes of job records have been read, and the lease under which
/// they were read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchPosition {
    /// The lease of the leader's key at the time of that read.
    pub lease: u64,
    /// The key-value store's revision up to which every change has been applied.
    pub revision: u64,
}

/// The scheduler of a leading controller, and its right to act.
///
/// The leader's state may remain here for moments after its lease has expired. So code that
/// writes or responds to workers gets the leader through [`LeaderTerm::leader_if_may_write`] or
/// [`LeaderTerm::leader_if_may_act`], which check the right to do so at the time of use.
#[derive(Debug, Default)]
pub struct LeaderTerm {
    /// The leader's state, once it has been recovered.
    pub leader: Option<Leader>,
    /// The lease of the leader's key, and the view of cancellations.
    pub leadership: Leadership,
    /// Time (s on this controller's clock) until which an earlier process with the same label may
    /// still act as the leader.
    pub predecessor_may_act_until: f64,
    /// Jobs of this term whose record has been read but whose chunked submission has not, with
    /// the revision of the record.
    pub unread_submissions: HashMap<String, u64>,
    /// Position at which the recovery read all jobs, until the watch continues from there.
    pub recovered_up_to: Option<WatchPosition>,
}

impl LeaderTerm {
    /// The leader, while its lease has certainly not expired. It may write, since every write is
    /// guarded by the leader's key.
    pub fn leader_if_may_write(&mut self, now: f64) -> Option<&mut Leader> {
        let may_write = self.leadership.may_write(now);
        self.leader.as_mut().filter(|l| may_write && !l.deposed)
    }

    /// The leader, while it may also respond to workers, grant shard leases and send commands.
    pub fn leader_if_may_act(&mut self, now: f64, timing: &LeaseTiming) -> Option<&mut Leader> {
        let may_act = self.leadership.may_act(now, timing);
        self.leader.as_mut().filter(|l| may_act && !l.deposed)
    }

    /// The leader of this term, if this controller still leads in it. Responses that arrive after
    /// the term refer to jobs by indices that mean nothing to a new leader on the same controller.
    pub fn leader_of_term(&mut self, term: u64) -> Option<&mut Leader> {
        self.leader.as_mut().filter(|l| l.term() == term)
    }

    /// Whether this controller has just become the leader and most workers are still silent.
    pub fn is_settling(&self, now: f64) -> bool {
        self.leader.as_ref().is_some_and(|l| l.is_settling(now))
    }

    /// Begins a term after a won election: the leader's key is held under `lease`, which was
    /// requested at `sent` (s). The leader's state is still to be recovered.
    pub fn begin(&mut self, lease: u64, sent: f64, timing: &LeaseTiming) {
        self.leadership.leader_key_acquired(lease, sent, timing);
        self.unread_submissions.clear();
    }

    /// Gives up leadership. Returns false if this controller did not lead.
    pub fn end(&mut self) -> bool {
        let was_leading = self.leader.take().is_some() || self.leadership.lease_id() != 0;
        self.leadership.leader_key_lost();
        self.unread_submissions.clear();
        was_leading
    }
}
