//! Rules about the responses that users receive.

use super::{Checker, SILENT_MS};
use crate::answers::{Answer, Contradiction};
use crate::breach::{Breach, Rule};
use crate::history::{Ask, State};
use crate::possible;
use std::collections::BTreeSet;

impl Checker {
    /// Checks the result of a request about a job.
    pub(super) fn told(&mut self, id: &str, answer: &Answer, node: &str) {
        if answer.ask == Ask::Poll {
            self.polls.count(answer);
        }
        let breach = |rule, since_ms, why: String| Breach {
            rule,
            what: id.to_string(),
            place: node.to_string(),
            since_ms,
            at_ms: answer.at_ms,
            why,
        };
        let Some(known) = self.jobs.get(id) else {
            if matches!(answer.status, 200 | 201) {
                let (rule, why) = match self.lacking.get(id) {
                    Some(field) => {
                        let why = format!("accepted, but it lacks {field}; request sent");
                        (Rule::AcceptedImpossible, why)
                    }
                    None => (
                        Rule::Invented,
                        "no user has submitted it; request sent".into(),
                    ),
                };
                self.breach(breach(rule, answer.sent_ms, why));
            }
            return;
        };
        let older = known.told.contradictions(answer);
        let found: Vec<_> = older
            .into_iter()
            .chain(self.silent_while_others_heard(id, answer))
            .chain(self.accepted_wrongly(id, answer))
            .chain(self.state_is_wrong(id, answer))
            .map(|found| breach(found.rule, found.since_ms, found.why))
            .collect();
        self.breaches.extend(found);
        self.hear(id, answer);
    }

    /// Records the response with its job.
    fn hear(&mut self, id: &str, answer: &Answer) {
        let Some(known) = self.jobs.get_mut(id) else {
            return;
        };
        if answer.ask == Ask::Poll && known.told.accepted_ms.is_some() {
            match answer.status {
                200 | 201 | 404 => known.silent = None,
                _ => {
                    known.silent.get_or_insert(answer.sent_ms);
                }
            }
        }
        if known.told.hear(answer) && answer.state == Some(State::Cancelled) {
            let deadline = answer.at_ms + self.cancel_ms();
            self.overdue.insert((deadline, id.to_string()));
        }
    }

    /// Finds a job for which every status query has failed for at least 90 s while most
    /// status queries in that time succeeded.
    fn silent_while_others_heard(&mut self, id: &str, answer: &Answer) -> Option<Contradiction> {
        let known = self.jobs.get_mut(id)?;
        if answer.ask != Ask::Poll || matches!(answer.status, 200 | 201 | 404) {
            return None;
        }
        let since_ms = known.silent?;
        let long = answer.at_ms - since_ms >= SILENT_MS;
        if !long || !self.polls.mostly_answered(since_ms, answer.at_ms) {
            return None;
        }
        known.silent = None;
        let why = "every status query has failed while most others succeeded; the first was sent";
        Some(Contradiction {
            rule: Rule::Forgotten,
            since_ms,
            why: why.into(),
        })
    }

    /// Finds the acceptance of a job that had to be refused.
    fn accepted_wrongly(&self, id: &str, answer: &Answer) -> Option<Contradiction> {
        let known = self.jobs.get(id)?;
        if known.told.accepted_ms.is_some() || !matches!(answer.status, 200 | 201) {
            return None;
        }
        let lacks = self
            .lacking
            .get(id)
            .map(|field| format!("it lacks {field}"));
        let facts = self.facts.as_ref()?;
        let why = lacks.or_else(|| possible::impossible(facts, &known.job))?;
        Some(Contradiction {
            rule: Rule::AcceptedImpossible,
            since_ms: answer.sent_ms,
            why: format!("accepted, but {why}; request sent"),
        })
    }

    /// Finds reported states that other events than earlier responses to the user contradict.
    fn state_is_wrong(&self, id: &str, answer: &Answer) -> Vec<Contradiction> {
        let (Some(known), 200 | 201, Some(state)) =
            (self.jobs.get(id), answer.status, answer.state)
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
        let orphan_ms = self.orphaned_since(id);
        let orphan_ms = orphan_ms.filter(|ms| answer.sent_ms > ms + self.cancel_ms());
        if let Some(since_ms) = orphan_ms
            && !state.is_final()
        {
            let why =
                format!("reported as {state:?}, but a job that it needs was reported as cancelled");
            add(Rule::Orphaned, since_ms, why);
        }
        if state == State::Cancelled && !self.wanted_cancelled(id, answer.at_ms) {
            let why =
                "reported as cancelled, which its user never requested; request sent".to_string();
            add(Rule::WentBack, answer.sent_ms, why);
        }
        let (done, tasks) = (known.done.len() as u32, known.job.tasks);
        if state == State::Done && (known.job.standing || done < tasks) {
            let why = format!("reported as done with {done} of {tasks} tasks done; request sent");
            add(Rule::NotDone, answer.sent_ms, why);
        }
        found
    }

    /// Returns all jobs that this one needs, directly or through others.
    fn before(&self, id: &str) -> BTreeSet<&str> {
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
    fn orphaned_since(&self, id: &str) -> Option<u64> {
        let told = |id: &str| match self.jobs.get(id)?.told.ended? {
            (State::Cancelled, at) => Some(at),
            _ => None,
        };
        self.before(id).into_iter().filter_map(told).min()
    }

    /// Whether its user, or the user of a job that it needs, wanted a cancellation by that time.
    fn wanted_cancelled(&self, id: &str, at: u64) -> bool {
        let unwanted = |id: &str| {
            let known = self.jobs.get(id);
            known.and_then(|k| k.unwanted).is_some_and(|t| t <= at)
        };
        unwanted(id) || self.before(id).into_iter().any(unwanted)
    }
}
