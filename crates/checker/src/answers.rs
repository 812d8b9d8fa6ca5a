//! What a job's user has been told, and which later answers contradict it. An answer to a
//! question that was sent before an earlier answer was received may be older than that one.

use crate::breach::Rule;
use crate::history::{Ask, State};

/// An answer that an earlier one forbids.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contradiction {
    pub rule: Rule,
    /// ms at which the earlier answer was received.
    pub since_ms: u64,
    pub why: String,
}

/// An answer to one question.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    pub ask: Ask,
    /// ms at which the question was sent, and the answer received.
    pub sent_ms: u64,
    pub at_ms: u64,
    /// 0 is no response.
    pub status: u16,
    pub state: Option<State>,
}

impl Answer {
    fn accepts(&self) -> bool {
        matches!(self.status, 200 | 201)
    }
}

/// The answers that later ones must not fall behind, of one job.
#[derive(Debug, Default)]
pub struct Told {
    /// ms at which its user first heard that it is accepted.
    pub accepted_ms: Option<u64>,
    /// The final state that its user was told, and when.
    pub ended: Option<(State, u64)>,
}

impl Told {
    /// What the answer contradicts.
    pub fn contradictions(&self, answer: &Answer) -> Vec<Contradiction> {
        let all = [
            self.unknown(answer),
            self.refused(answer),
            self.changed(answer),
        ];
        all.into_iter().flatten().collect()
    }

    /// Takes the answer in; true if it is the first that says that the job is over.
    pub fn hear(&mut self, answer: &Answer) -> bool {
        if !answer.accepts() {
            return false;
        }
        self.accepted_ms.get_or_insert(answer.at_ms);
        let Some(end) = answer.state.filter(|state| state.is_final()) else {
            return false;
        };
        let first = self.ended.is_none();
        self.ended.get_or_insert((end, answer.at_ms));
        first
    }

    /// When its user had heard that it is accepted before asking this.
    fn accepted_before(&self, answer: &Answer) -> Option<u64> {
        self.accepted_ms.filter(|ms| answer.sent_ms >= *ms)
    }

    fn unknown(&self, answer: &Answer) -> Option<Contradiction> {
        let since_ms = self.accepted_before(answer)?;
        (answer.status == 404).then(|| Contradiction {
            rule: Rule::Forgotten,
            since_ms,
            why: "called unknown, but accepted".into(),
        })
    }

    fn refused(&self, answer: &Answer) -> Option<Contradiction> {
        let since_ms = self.accepted_before(answer)?;
        let refused = answer.ask == Ask::Submit && matches!(answer.status, 400 | 422);
        refused.then(|| Contradiction {
            rule: Rule::Forgotten,
            since_ms,
            why: "a repeat was refused, but it was accepted".into(),
        })
    }

    fn changed(&self, answer: &Answer) -> Option<Contradiction> {
        let state = answer.state.filter(|_| answer.accepts())?;
        let (was, since_ms) = self.ended.filter(|(was, _)| *was != state)?;
        // Two answers that crossed must still agree on the end.
        let bound = answer.sent_ms >= since_ms || state.is_final();
        bound.then(|| Contradiction {
            rule: Rule::WentBack,
            since_ms,
            why: format!("called {state:?}, but called {was:?}"),
        })
    }
}
