//! Numbers of a job's tasks that are done and running, as the leader counts them. They are for
//! display only: the key-value store decides whether a job is live, over or unknown.

use crate::node::Node;
use cherrywood_control::Leader;
use cherrywood_control::leader::COUNTS_WITHHELD;
use cherrywood_limits as limits;
use cherrywood_wire::peer::{PeerReply, PeerRequest};

/// The leader's counts of a live job's tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskCounts {
    /// Numbers of tasks done and running; both are 0 if the leader could not be asked.
    Known {
        /// Tasks that ended as done.
        done: u32,
        /// Tasks that run now.
        running: u32,
    },
    /// The job is being cancelled because a dependency was cancelled, and its final state is not
    /// written yet: users must be told neither that it is live nor, yet, that it is cancelled.
    Withheld,
}

impl Default for TaskCounts {
    fn default() -> Self {
        TaskCounts::Known {
            done: 0,
            running: 0,
        }
    }
}

/// Converts from the form in peer frames, in which a special value stands for "withheld".
impl From<(u32, u32)> for TaskCounts {
    fn from(counts: (u32, u32)) -> Self {
        match counts {
            COUNTS_WITHHELD => TaskCounts::Withheld,
            (done, running) => TaskCounts::Known { done, running },
        }
    }
}

/// The counts (done, running) of each job, in the form of peer frames.
pub(crate) fn leader_task_counts(leader: &Leader, jobs: &[String], now: f64) -> Vec<(u32, u32)> {
    jobs.iter()
        .map(|job| leader.task_counts(job, now).unwrap_or_default())
        .collect()
}

impl Node {
    /// The task counts of each of these jobs. A leader that has been silent for long is not
    /// asked: the caller would only wait for the timeout.
    pub(crate) async fn task_counts(&self, jobs: &[String]) -> Vec<TaskCounts> {
        let now = self.now();
        let leader_to_ask = {
            let mut state = self.lock_state();
            if let Some(leader) = state.term.leader_if_may_write(now) {
                return from_frame(leader_task_counts(leader, jobs, now));
            }
            let contact = &state.leader_contact;
            let known_leader = contact.known_leader.clone();
            known_leader.filter(|_| !contact.is_silent(now))
        };
        match self.peer_with_label(leader_to_ask.as_deref()) {
            Some(leader) => {
                let request = PeerRequest::TaskCounts {
                    jobs: jobs.to_vec(),
                };
                match leader.send(&request, limits::TASK_COUNTS_TIMEOUT_S).await {
                    Ok(PeerReply::TaskCounts { counts }) if counts.len() == jobs.len() => {
                        from_frame(counts)
                    }
                    _ => vec![TaskCounts::default(); jobs.len()],
                }
            }
            None => vec![TaskCounts::default(); jobs.len()],
        }
    }
}

fn from_frame(counts: Vec<(u32, u32)>) -> Vec<TaskCounts> {
    counts.into_iter().map(TaskCounts::from).collect()
}
