//! Tracks the responses that the user of a job has received, and finds later responses that
//! contradict them. A response to a request that was sent before an earlier response was
//! received may be older than that response.

use crate::breach::Rule;
use crate::history::{Ask, State};

/// A contradiction to an earlier response or event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contradiction {
    pub rule: Rule,
    /// Time at which the earlier response was received, or the earlier event happened, in ms.
    pub since_ms: u64,
    pub why: String,
}

/// The response to one request.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    pub ask: Ask,
    /// Time at which the request was sent, in ms.
    pub sent_ms: u64,
    /// Time at which the response was received, in ms.
    pub at_ms: u64,
    /// HTTP status; 0 if there was no response.
    pub status: u16,
    pub state: Option<State>,
}

impl Answer {
    fn accepts(&self) -> bool {
        matches!(self.status, 200 | 201)
    }
}

/// The responses about one job that later ones must not fall behind.
#[derive(Debug, Default)]
pub struct Told {
    /// Time at which the user was first told that the job is accepted, in ms.
    pub accepted_ms: Option<u64>,
    /// The final state that the user was first told, and when.
    pub ended: Option<(State, u64)>,
}

impl Told {
    /// Returns the contradictions of the response to earlier ones.
    pub fn contradictions(&self, answer: &Answer) -> Vec<Contradiction> {
        let all = [
            self.unknown(answer),
            self.refused(answer),
            self.changed(answer),
        ];
        all.into_iter().flatten().collect()
    }

    /// Records the response. Returns true if it is the first with a final state.
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

    /// Returns when the user was told that the job is accepted, if that was no later than the
    /// sending of this request.
    fn accepted_before(&self, answer: &Answer) -> Option<u64> {
        self.accepted_ms.filter(|ms| answer.sent_ms >= *ms)
    }

    fn unknown(&self, answer: &Answer) -> Option<Contradiction> {
        let since_ms = self.accepted_before(answer)?;
        (answer.status == 404).then(|| Contradiction {
            rule: Rule::Forgotten,
            since_ms,
            why: "reported as unknown, but accepted".into(),
        })
    }

    fn refused(&self, answer: &Answer) -> Option<Contradiction> {
        let since_ms = self.accepted_before(answer)?;
        let refused = answer.ask == Ask::Submit && matches!(answer.status, 400 | 422);
        refused.then(|| Contradiction {
            rule: Rule::Forgotten,
            since_ms,
            why: "a repeated submission was refused, but it was accepted".into(),
        })
    }

    fn changed(&self, answer: &Answer) -> Option<Contradiction> {
        let state = answer.state.filter(|_| answer.accepts())?;
        let (was, since_ms) = self.ended.filter(|(was, _)| *was != state)?;
        // Final states must agree even if the response was sent before the earlier one arrived.
        let bound = answer.sent_ms >= since_ms || state.is_final();
        bound.then(|| Contradiction {
            rule: Rule::WentBack,
            since_ms,
            why: format!("reported as {state:?}, but already reported as {was:?}"),
        })
    }
}
