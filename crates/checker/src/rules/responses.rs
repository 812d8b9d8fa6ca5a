//! Rules about the responses that users receive.

use super::{Checker, FORGOTTEN_MS};
use crate::feasibility;
use crate::history::{Ask, State};
use crate::responses::{Contradiction, Response};
use crate::violation::{Rule, Violation};
use std::collections::BTreeSet;

impl Checker {
    /// Checks the result of a request about a job.
    pub(super) fn response(&mut self, id: &str, response: &Response, node: &str) {
        if response.ask == Ask::Poll {
            self.queries.count(response);
        }
        let violation = |rule, since_ms, why: String| Violation {
            rule,
            what: id.to_string(),
            place: node.to_string(),
            since_ms,
            at_ms: response.at_ms,
            why,
        };
        let Some(tracked) = self.jobs.get(id) else {
            if matches!(response.status, 200 | 201) {
                let (rule, why) = match self.missing_fields.get(id) {
                    Some(field) => {
                        let why = format!("accepted, but it lacks {field}; request sent");
                        (Rule::AcceptedImpossible, why)
                    }
                    None => (
                        Rule::Invented,
                        "no user has submitted it; request sent".into(),
                    ),
                };
                self.violation(violation(rule, response.sent_ms, why));
            }
            return;
        };
        let older = tracked.responses.contradictions(response);
        let found: Vec<_> = older
            .into_iter()
            .chain(self.queries_fail_while_others_succeed(id, response))
            .chain(self.accepted_infeasible(id, response))
            .chain(self.contradicted_states(id, response))
            .map(|found| violation(found.rule, found.since_ms, found.why))
            .collect();
        self.violations.extend(found);
        self.record_response(id, response);
    }

    /// Records the response with its job.
    fn record_response(&mut self, id: &str, response: &Response) {
        let Some(tracked) = self.jobs.get_mut(id) else {
            return;
        };
        if response.ask == Ask::Poll && tracked.responses.accepted_ms.is_some() {
            match response.status {
                200 | 201 | 404 => tracked.failing_since_ms = None,
                _ => {
                    tracked.failing_since_ms.get_or_insert(response.sent_ms);
                }
            }
        }
        if tracked.responses.record(response) && response.state == Some(State::Cancelled) {
            let deadline = response.at_ms + self.cancel_ms();
            self.cancel_deadlines.insert((deadline, id.to_string()));
        }
    }

    /// Finds a job for which every status query has failed for at least 90 s while most
    /// status queries in that time succeeded.
    fn queries_fail_while_others_succeed(
        &mut self,
        id: &str,
        response: &Response,
    ) -> Option<Contradiction> {
        let tracked = self.jobs.get_mut(id)?;
        if response.ask != Ask::Poll || matches!(response.status, 200 | 201 | 404) {
            return None;
        }
        let since_ms = tracked.failing_since_ms?;
        let long = response.at_ms - since_ms >= FORGOTTEN_MS;
        if !long || !self.queries.mostly_succeeded(since_ms, response.at_ms) {
            return None;
        }
        tracked.failing_since_ms = None;
        let why = "every status query has failed while most others succeeded; the first was sent";
        Some(Contradiction {
            rule: Rule::Forgotten,
            since_ms,
            why: why.into(),
        })
    }

    /// Finds the acceptance of a job that had to be refused.
    fn accepted_infeasible(&self, id: &str, response: &Response) -> Option<Contradiction> {
        let tracked = self.jobs.get(id)?;
        if tracked.responses.accepted_ms.is_some() || !matches!(response.status, 200 | 201) {
            return None;
        }
        let lacks = self
            .missing_fields
            .get(id)
            .map(|field| format!("it lacks {field}"));
        let facts = self.facts.as_ref()?;
        let why = lacks.or_else(|| feasibility::infeasibility(facts, &tracked.job))?;
        Some(Contradiction {
            rule: Rule::AcceptedImpossible,
            since_ms: response.sent_ms,
            why: format!("accepted, but {why}; request sent"),
        })
    }

    /// Finds reported states that other events than earlier responses to the user contradict.
    fn contradicted_states(&self, id: &str, response: &Response) -> Vec<Contradiction> {
        let (Some(tracked), 200 | 201, Some(state)) =
            (self.jobs.get(id), response.status, response.state)
        else {
            return Vec::new();
        };
        let mut found = Vec::new();
        let mut add = |rule, since_ms, why| {
            found.push(Contradiction {
                rule,
                since_ms,
                why,
            });
        };
        let cancelled_ms = self.prerequisite_cancelled_ms(id);
        let cancelled_ms = cancelled_ms.filter(|ms| response.sent_ms > ms + self.cancel_ms());
        if let Some(since_ms) = cancelled_ms
            && !state.is_final()
        {
            let why =
                format!("reported as {state:?}, but a job that it needs was reported as cancelled");
            add(Rule::Orphaned, since_ms, why);
        }
        if state == State::Cancelled && !self.is_cancellation_wanted(id, response.at_ms) {
            let why =
                "reported as cancelled, which its user never requested; request sent".to_string();
            add(Rule::WentBack, response.sent_ms, why);
        }
        let (done, tasks) = (tracked.done.len() as u32, tracked.job.tasks);
        if state == State::Done && (tracked.job.standing || done < tasks) {
            let why = format!("reported as done with {done} of {tasks} tasks done; request sent");
            add(Rule::NotDone, response.sent_ms, why);
        }
        found
    }

    /// Returns all jobs that this one needs, directly or through others.
    fn prerequisites(&self, id: &str) -> BTreeSet<&str> {
        let mut found: BTreeSet<&str> = BTreeSet::new();
        let needs = |id: &str| self.jobs.get(id).map_or(&[][..], |k| &k.job.needs);
        let mut next: Vec<&String> = needs(id).iter().collect();
        while let Some(id) = next.pop() {
            if found.insert(id) {
                next.extend(needs(id));
            }
        }
        found
    }

    /// Returns the earliest time at which a user was told that a job that this one needs is
    /// cancelled.
    fn prerequisite_cancelled_ms(&self, id: &str) -> Option<u64> {
        let cancelled_ms = |id: &str| match self.jobs.get(id)?.responses.final_state? {
            (State::Cancelled, at) => Some(at),
            _ => None,
        };
        self.prerequisites(id)
            .into_iter()
            .filter_map(cancelled_ms)
            .min()
    }

    /// Whether the user of the job, or of a job that it needs directly or through others, wanted
    /// a cancellation by that time.
    fn is_cancellation_wanted(&self, id: &str, at: u64) -> bool {
        let unwanted = |id: &str| {
            let tracked = self.jobs.get(id);
            tracked.and_then(|k| k.unwanted_ms).is_some_and(|t| t <= at)
        };
        unwanted(id) || self.prerequisites(id).into_iter().any(unwanted)
    }
}
