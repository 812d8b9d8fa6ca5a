//! Tracks the responses that the user of a job has received, and finds later responses that
//! contradict them. A response to a request that was sent before an earlier response was
//! received may be older than that response.

use crate::history::{Ask, State};
use crate::violation::Rule;

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
pub struct Response {
    pub ask: Ask,
    /// Time at which the request was sent, in ms.
    pub sent_ms: u64,
    /// Time at which the response was received, in ms.
    pub at_ms: u64,
    /// HTTP status; 0 if there was no response.
    pub status: u16,
    pub state: Option<State>,
}

impl Response {
    fn is_acceptance(&self) -> bool {
        matches!(self.status, 200 | 201)
    }
}

/// The responses about one job that later ones must not fall behind.
#[derive(Debug, Default)]
pub struct ReceivedResponses {
    /// Time at which the user was first told that the job is accepted, in ms.
    pub accepted_ms: Option<u64>,
    /// The final state that the user was first told, and when.
    pub final_state: Option<(State, u64)>,
}

impl ReceivedResponses {
    /// Returns the contradictions of the response to earlier ones.
    pub fn contradictions(&self, response: &Response) -> Vec<Contradiction> {
        let all = [
            self.reported_unknown(response),
            self.refused_again(response),
            self.changed_state(response),
        ];
        all.into_iter().flatten().collect()
    }

    /// Records the response. Returns true if it is the first with a final state.
    pub fn record(&mut self, response: &Response) -> bool {
        if !response.is_acceptance() {
            return false;
        }
        self.accepted_ms.get_or_insert(response.at_ms);
        let Some(end) = response.state.filter(|state| state.is_final()) else {
            return false;
        };
        let first = self.final_state.is_none();
        self.final_state.get_or_insert((end, response.at_ms));
        first
    }

    /// Returns when the user was told that the job is accepted, if that was no later than the
    /// sending of this request.
    fn accepted_before(&self, response: &Response) -> Option<u64> {
        self.accepted_ms.filter(|ms| response.sent_ms >= *ms)
    }

    fn reported_unknown(&self, response: &Response) -> Option<Contradiction> {
        let since_ms = self.accepted_before(response)?;
        (response.status == 404).then(|| Contradiction {
            rule: Rule::Forgotten,
            since_ms,
            why: "reported as unknown, but accepted".into(),
        })
    }

    fn refused_again(&self, response: &Response) -> Option<Contradiction> {
        let since_ms = self.accepted_before(response)?;
        let refused = response.ask == Ask::Submit && matches!(response.status, 400 | 422);
        refused.then(|| Contradiction {
            rule: Rule::Forgotten,
            since_ms,
            why: "a repeated submission was refused, but it was accepted".into(),
        })
    }

    fn changed_state(&self, response: &Response) -> Option<Contradiction> {
        let state = response.state.filter(|_| response.is_acceptance())?;
        let (earlier, since_ms) = self.final_state.filter(|(earlier, _)| *earlier != state)?;
        // Final states must agree even if the response was sent before the earlier one arrived.
        let contradicts = response.sent_ms >= since_ms || state.is_final();
        contradicts.then(|| Contradiction {
            rule: Rule::WentBack,
            since_ms,
            why: format!("reported as {state:?}, but already reported as {earlier:?}"),
        })
    }
}
