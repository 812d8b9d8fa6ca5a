//! Polls that wait for an answer. Users may ask many times as often as usual,
//! so those that wait share one request to the state service, sent after the
//! last of them came: no answer is older than its question. Polls leave the
//! budget to submissions, cancellations and the leader's writes, and what can't
//! be answered gets its 503 at once.

use crate::lock;
use cherrywood_wire::state::FinalValue;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::{Notify, oneshot};

#[derive(Debug)]
pub enum Told {
    /// Tasks done and running.
    Live(u32, u32),
    Ended(FinalValue),
    Nothing,
    /// Not now; the user is told when to ask again.
    Later,
}

pub(crate) type Waiting = BTreeMap<String, Vec<oneshot::Sender<Told>>>;

#[derive(Debug, Default)]
pub struct Polls {
    waiting: Mutex<Waiting>,
    pub(crate) due: Notify,
    /// Answered with 503 since the log last said so.
    refused: AtomicUsize,
}

impl Polls {
    pub fn refused(&self) -> usize {
        self.refused.swap(0, Ordering::Relaxed)
    }

    /// These had to be answered with 503.
    pub(crate) fn refuse(&self, askers: usize) {
        self.refused.fetch_add(askers, Ordering::Relaxed);
    }

    pub async fn ask(&self, id: &str) -> Told {
        let (answer, told) = oneshot::channel();
        lock(&self.waiting)
            .entry(id.to_string())
            .or_default()
            .push(answer);
        self.due.notify_one();
        told.await.unwrap_or(Told::Later)
    }

    /// At most `most` jobs with all who ask for them.
    pub(crate) fn take(&self, most: usize) -> Waiting {
        let mut waiting = lock(&self.waiting);
        let rest = match waiting.keys().nth(most).cloned() {
            Some(from) => waiting.split_off(&from),
            None => Waiting::new(),
        };
        std::mem::replace(&mut waiting, rest)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_batch_holds_no_more_than_a_comparison_may() {
        let polls = Polls::default();
        for n in 0..10 {
            let (answer, _told) = oneshot::channel();
            let id = format!("wk-{n:06}");
            lock(&polls.waiting).entry(id).or_default().push(answer);
        }
        let sizes: Vec<usize> = (0..4).map(|_| polls.take(4).len()).collect();
        assert_eq!(sizes, [4, 4, 2, 0]);
    }
}
