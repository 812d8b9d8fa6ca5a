//! Tests that the checker detects violations: each rule is broken once by a written history,
//! and the checker must name the rule, job, machine and both times.

use cherrywood_checker::history::{Aim, Ask, Facts, Job, MachineType, Off, Served, State, Team};
use cherrywood_checker::settle::{self, End};
use cherrywood_checker::{Checker, History, Rule, What, measurements};

const CANCEL_S: f64 = 40.0;

fn facts() -> Facts {
    let team = |name: &str, cpus_max| Team {
        name: name.into(),
        cpus: 4.0,
        cpus_max,
        gpus: 0.0,
        gpus_max: 0.0,
        weight: 1.0,
    };
    let small = MachineType {
        name: "m4".into(),
        cpus: 4.0,
        price: 3.6,
        spot_price: Some(0.9),
        ..MachineType::default()
    };
    let large = MachineType {
        name: "m8".into(),
        cpus: 8.0,
        price: 7.2,
        ..MachineType::default()
    };
    Facts {
        cancel_s: CANCEL_S,
        teams: vec![team("t", 6.0), team("guest", 0.0)],
        kinds: vec![small, large],
        aims: Vec::new(),
        served: None,
    }
}

fn job(id: &str, tasks: u32) -> Job {
    Job {
        id: id.into(),
        class: "c".into(),
        team: "t".into(),
        standing: false,
        tasks,
        cpus: 2.0,
        gpus: 0.0,
        ram_gb: 0.0,
        kinds: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        needs: Vec::new(),
    }
}

/// A history under construction, with the current time in ms.
struct HistoryBuilder {
    history: History,
    at_ms: u64,
}

impl HistoryBuilder {
    fn new() -> HistoryBuilder {
        let mut h = History::default();
        let scenario = "test".to_string();
        let facts = facts();
        h.record(
            0,
            What::Begins {
                scenario,
                seed: 1,
                facts,
            },
        );
        let mut builder = HistoryBuilder {
            history: h,
            at_ms: 0,
        };
        for (name, zone, spot) in [("vm-1", "a", true), ("vm-2", "b", false)] {
            builder.history.record(
                0,
                What::Rented {
                    machine: name.into(),
                    kind: "m4".into(),
                    zone: zone.into(),
                    spot,
                    request: "r".into(),
                },
            );
        }
        builder
    }

    /// Sets the time, in s.
    fn at(&mut self, s: u64) -> &mut HistoryBuilder {
        self.at_ms = s * 1000;
        self
    }

    fn add(&mut self, what: What) -> &mut HistoryBuilder {
        self.history.record(self.at_ms, what);
        self
    }

    fn submit(&mut self, job: Job) -> &mut HistoryBuilder {
        self.add(What::Submitted { job })
    }

    /// Adds a response received 100 ms after its request was sent.
    fn response(
        &mut self,
        ask: Ask,
        job: &str,
        status: u16,
        state: Option<State>,
    ) -> &mut HistoryBuilder {
        let sent_ms = self.at_ms.saturating_sub(100);
        self.add(What::Told {
            ask,
            job: job.into(),
            sent_ms,
            status,
            state,
            node: "n1".into(),
        })
    }

    fn accepted(&mut self, job: Job) -> &mut HistoryBuilder {
        let id = job.id.clone();
        self.submit(job)
            .response(Ask::Submit, &id, 201, Some(State::Queued))
    }

    fn on(&mut self, machine: &str, task: &str) -> &mut HistoryBuilder {
        self.add(What::On {
            machine: machine.into(),
            task: task.into(),
            attempt: 1,
        })
    }

    fn off(&mut self, machine: &str, task: &str, why: Off, kept_s: f64) -> &mut HistoryBuilder {
        self.add(What::Off {
            machine: machine.into(),
            task: task.into(),
            attempt: 1,
            why,
            kept_s,
        })
    }

    fn poll(&mut self, job: &str, state: State) -> &mut HistoryBuilder {
        self.response(Ask::Poll, job, 200, Some(state))
    }

    /// Asserts that there is exactly one violation, of this rule, and returns its message.
    fn assert_only(&mut self, rule: Rule) -> String {
        self.add(What::Ends);
        let checker = Checker::from_events(&self.history.events);
        let rules: Vec<Rule> = checker.violations.iter().map(|b| b.rule).collect();
        assert_eq!(rules, [rule], "{:#?}", checker.violations);
        checker.violations[0].to_string()
    }
}

#[test]
fn a_job_that_runs_to_its_end_violates_no_rule() {
    let mut builder = HistoryBuilder::new();
    builder.at(1).accepted(job("wk-000001", 1));
    builder.at(2).on("vm-1", "wk-000001/0");
    builder.at(9).off("vm-1", "wk-000001/0", Off::Done, 7.0);
    builder
        .at(10)
        .poll("wk-000001", State::Done)
        .add(What::Ends);
    assert!(
        Checker::from_events(&builder.history.events)
            .violations
            .is_empty()
    );
    let ends = settle::settle(&builder.history.events);
    assert_eq!(ends["wk-000001"].end, End::Done);
}

#[test]
fn ran_twice_names_task_machines_and_times() {
    let mut builder = HistoryBuilder::new();
    builder.at(1).accepted(job("wk-000001", 2));
    builder.at(5).on("vm-1", "wk-000001/0");
    builder.at(8).on("vm-2", "wk-000001/0");
    let message = builder.assert_only(Rule::RanTwice);
    for part in ["ran_twice", "wk-000001/0", "vm-2 at 8.000", "vm-1", "5.000"] {
        assert!(message.contains(part), "{message}");
    }
    // Once the task is off the machine, another one may start it.
    let mut builder = HistoryBuilder::new();
    builder.at(1).accepted(job("wk-000001", 2));
    builder.at(5).on("vm-1", "wk-000001/0");
    builder.at(6).off("vm-1", "wk-000001/0", Off::Lease, 0.0);
    builder.at(8).on("vm-2", "wk-000001/0").add(What::Ends);
    assert!(
        Checker::from_events(&builder.history.events)
            .violations
            .is_empty()
    );
}

#[test]
fn quota_counts_tasks_on_machines() {
    let mut builder = HistoryBuilder::new();
    builder.at(1).accepted(job("wk-000001", 4));
    for (s, task) in [(2, 0), (3, 1), (4, 2)] {
        builder.at(s).on("vm-1", &format!("wk-000001/{task}"));
    }
    builder.at(5).off("vm-1", "wk-000001/0", Off::Done, 3.0);
    builder.at(6).on("vm-1", "wk-000001/0");
    builder.at(7).on("vm-2", "wk-000001/3");
    let message = builder.assert_only(Rule::Quota);
    for part in ["wk-000001/3", "vm-2 at 7.000", "8 of 6", "6.000"] {
        assert!(message.contains(part), "{message}");
    }
    // The team `guest` has no limit.
    let mut builder = HistoryBuilder::new();
    let guest = Job {
        team: "guest".into(),
        ..job("wk-000001", 9)
    };
    builder.at(1).accepted(guest);
    for i in 0..9 {
        builder.at(2).on("vm-1", &format!("wk-000001/{i}"));
    }
    builder.add(What::Ends);
    assert!(
        Checker::from_events(&builder.history.events)
            .violations
            .is_empty()
    );
}

#[test]
fn wrong_place_checks_type_zone_spot_and_other_tasks() {
    let with = |change: &dyn Fn(&mut Job)| {
        let mut j = job("wk-000001", 3);
        change(&mut j);
        let mut builder = HistoryBuilder::new();
        builder.at(1).accepted(j);
        builder.at(4).on("vm-1", "wk-000001/0");
        builder
    };
    let message = with(&|j| j.kinds = Some(vec!["m8".into()])).assert_only(Rule::WrongPlace);
    assert!(message.contains("wk-000001/0 on vm-1 at 4.000") && message.contains("m4"));
    with(&|j| j.zone = Some("b".into())).assert_only(Rule::WrongPlace);
    with(&|j| j.spot = false).assert_only(Rule::WrongPlace);
    let mut builder = with(&|j| j.one_zone = true);
    let message = builder
        .at(6)
        .on("vm-2", "wk-000001/1")
        .assert_only(Rule::WrongPlace);
    assert!(
        message.contains("vm-2 at 6.000") && message.contains("at 4.000"),
        "{message}"
    );
    // At most 2 of 3 tasks may be in one zone.
    let mut builder = with(&|j| j.spread = true);
    builder.at(6).on("vm-1", "wk-000001/1");
    builder
        .at(7)
        .on("vm-1", "wk-000001/2")
        .assert_only(Rule::WrongPlace);
}

#[test]
fn ran_cancelled_counts_from_the_response_to_the_user() {
    let cancelled = || {
        let mut builder = HistoryBuilder::new();
        builder.at(1).accepted(job("wk-000001", 2));
        builder.at(3).on("vm-1", "wk-000001/0");
        builder.at(10).add(What::Unwanted {
            job: "wk-000001".into(),
        });
        builder
            .at(11)
            .response(Ask::Cancel, "wk-000001", 200, Some(State::Cancelled));
        builder
    };
    let mut builder = cancelled();
    builder
        .at(51)
        .off("vm-1", "wk-000001/0", Off::Stopped, 0.0)
        .add(What::Ends);
    assert!(
        Checker::from_events(&builder.history.events)
            .violations
            .is_empty(),
        "the task is gone 40 s after the response"
    );
    let mut builder = cancelled();
    builder.at(52).off("vm-1", "wk-000001/0", Off::Stopped, 0.0);
    let message = builder.assert_only(Rule::RanCancelled);
    assert!(
        message.contains("vm-1 at 51.000") && message.contains("11.000"),
        "{message}"
    );
    let mut builder = cancelled();
    builder.at(12).off("vm-1", "wk-000001/0", Off::Stopped, 0.0);
    builder
        .at(60)
        .on("vm-2", "wk-000001/1")
        .at(61)
        .off("vm-2", "wk-000001/1", Off::Stopped, 0.0);
    builder.assert_only(Rule::RanCancelled);
    let mut builder = cancelled();
    builder.at(70).assert_only(Rule::RanCancelled);
}

#[test]
fn forgotten_covers_404_a_refused_resubmission_and_failing_queries() {
    let mut builder = HistoryBuilder::new();
    builder.at(1).accepted(job("wk-000001", 1));
    builder.at(2).on("vm-1", "wk-000001/0");
    let message = builder
        .at(9)
        .response(Ask::Poll, "wk-000001", 404, None)
        .assert_only(Rule::Forgotten);
    assert!(
        message.contains("n1 at 9.000") && message.contains("1.000"),
        "{message}"
    );
    let mut builder = HistoryBuilder::new();
    builder.at(1).accepted(job("wk-000001", 1));
    builder.at(2).on("vm-1", "wk-000001/0");
    builder.at(9).response(Ask::Submit, "wk-000001", 422, None);
    builder.assert_only(Rule::Forgotten);
    // Failing status queries for 90 s count if and only if most others succeed, also while a
    // fault is active.
    for others in [true, false] {
        let mut builder = HistoryBuilder::new();
        builder.at(1).add(What::Trouble {
            trouble: "state_outage".into(),
            on: true,
        });
        builder.at(1).accepted(job("wk-000001", 1));
        builder.at(1).accepted(job("wk-000002", 1));
        builder.at(2).on("vm-1", "wk-000001/0");
        for s in (5..=100).step_by(5) {
            builder.at(s).response(Ask::Poll, "wk-000001", 0, None);
            for _ in 0..2 {
                let (status, state) = if others {
                    (200, Some(State::Queued))
                } else {
                    (503, None)
                };
                builder.response(Ask::Poll, "wk-000002", status, state);
            }
        }
        if others {
            builder.assert_only(Rule::Forgotten);
        } else {
            builder.add(What::Ends);
            assert!(
                Checker::from_events(&builder.history.events)
                    .violations
                    .is_empty()
            );
        }
    }
}

#[test]
fn invented_not_done_and_went_back_are_found() {
    let mut builder = HistoryBuilder::new();
    builder.at(1).accepted(job("wk-000001", 1));
    builder.at(2).on("vm-1", "wk-000001/0");
    let message = builder
        .at(7)
        .poll("wk-999999", State::Queued)
        .assert_only(Rule::Invented);
    assert!(
        message.contains("wk-999999") && message.contains("7.000"),
        "{message}"
    );

    let mut builder = HistoryBuilder::new();
    builder.at(1).accepted(job("wk-000001", 2));
    builder.at(2).on("vm-1", "wk-000001/0");
    builder.at(3).off("vm-1", "wk-000001/0", Off::Done, 1.0);
    let message = builder
        .at(4)
        .poll("wk-000001", State::Done)
        .assert_only(Rule::NotDone);
    assert!(message.contains("1 of 2"), "{message}");

    let done = || {
        let mut builder = HistoryBuilder::new();
        builder.at(1).accepted(job("wk-000001", 1));
        builder.at(2).on("vm-1", "wk-000001/0");
        builder.at(3).off("vm-1", "wk-000001/0", Off::Done, 1.0);
        builder.at(4).poll("wk-000001", State::Done);
        builder
    };
    let message = done()
        .at(9)
        .poll("wk-000001", State::Running)
        .assert_only(Rule::WentBack);
    assert!(
        message.contains("9.000") && message.contains("4.000"),
        "{message}"
    );
    // Sent before the user was told of the end: the older state is no violation.
    let mut builder = done();
    builder.add(What::Told {
        ask: Ask::Poll,
        job: "wk-000001".into(),
        sent_ms: 3500,
        status: 200,
        state: Some(State::Running),
        node: "n2".into(),
    });
    builder.add(What::Ends);
    assert!(
        Checker::from_events(&builder.history.events)
            .violations
            .is_empty()
    );
    let mut builder = HistoryBuilder::new();
    builder.at(1).accepted(job("wk-000001", 1));
    builder.at(2).on("vm-1", "wk-000001/0");
    builder.at(3).off("vm-1", "wk-000001/0", Off::Stopped, 0.0);
    builder
        .at(4)
        .poll("wk-000001", State::Cancelled)
        .assert_only(Rule::WentBack);
}

#[test]
fn nothing_ran_is_a_violation_of_its_own() {
    let mut builder = HistoryBuilder::new();
    builder.at(1).accepted(job("wk-000001", 1));
    builder.at(300).assert_only(Rule::NothingRan);
}

#[test]
fn every_job_has_exactly_one_outcome() {
    let mut builder = HistoryBuilder::new();
    builder.at(1).submit(job("wk-000001", 1));
    builder.response(Ask::Submit, "wk-000001", 422, None);
    builder.submit(job("wk-000002", 1));
    builder.response(Ask::Submit, "wk-000002", 503, None);
    builder.at(61).add(What::GaveUp {
        job: "wk-000002".into(),
    });
    builder.accepted(job("wk-000003", 1));
    builder.accepted(job("wk-000004", 1)).add(What::Unwanted {
        job: "wk-000004".into(),
    });
    builder.response(Ask::Cancel, "wk-000004", 200, Some(State::Cancelled));
    builder.submit(job("wk-000005", 1));
    builder.response(Ask::Submit, "wk-000005", 422, None);
    builder.on("vm-1", "wk-000005/0");
    let ends = settle::settle(&builder.history.events);
    let end = |id: &str| ends[id].end;
    assert_eq!(end("wk-000001"), End::Refused);
    assert_eq!(end("wk-000002"), End::NeverAccepted);
    assert_eq!(end("wk-000003"), End::Unsettled);
    assert_eq!(end("wk-000004"), End::Cancelled);
    assert_eq!(end("wk-000005"), End::Unsettled, "refused, and ran");
    assert_eq!(settle::tally(&ends)[&End::Unsettled], 2);
}

#[test]
fn objectives_price_and_useful_work_follow_the_protocol_page() {
    let mut builder = HistoryBuilder::new();
    let mut f = facts();
    f.aims = vec![
        Aim::Wait {
            class: "c".into(),
            within_s: 5.0,
            share: 0.5,
        },
        Aim::Finished {
            class: "c".into(),
            within_s: 20.0,
            share: 1.0,
        },
        Aim::Submit {
            within_s: 1.0,
            share: 1.0,
        },
        Aim::Useful { share: 0.4 },
        Aim::Price { most: 3.0 },
    ];
    builder.add(What::Begins {
        scenario: "test".into(),
        seed: 1,
        facts: f,
    });
    builder.at(0).submit(job("wk-000001", 2));
    builder
        .at(2)
        .response(Ask::Submit, "wk-000001", 201, Some(State::Queued));
    builder
        .at(4)
        .on("vm-1", "wk-000001/0")
        .on("vm-1", "wk-000001/1");
    // Stopped within 30 s: that start does not count, the next one does.
    builder.at(8).add(What::Stops {
        machine: "vm-1".into(),
        task: "wk-000001/1".into(),
    });
    builder.off("vm-1", "wk-000001/1", Off::Stopped, 0.0);
    builder.at(10).on("vm-1", "wk-000001/1");
    builder.at(14).off("vm-1", "wk-000001/0", Off::Done, 10.0);
    builder.at(20).off("vm-1", "wk-000001/1", Off::Done, 10.0);
    builder.at(21).poll("wk-000001", State::Done);
    // 3,600 s of 4 CPUs at 0.9 per hour, with 40 useful CPU-seconds.
    builder.at(3600).add(What::Gone {
        machine: "vm-1".into(),
        why: "returned".into(),
        cost: 0.9,
    });
    let a = measurements::measure(&builder.history.events);
    let got: Vec<(f64, bool)> = a.reached.iter().map(|r| (r.got, r.met)).collect();
    assert_eq!(got[0], (0.5, true), "one of two tasks within 5 s");
    assert_eq!(got[1], (1.0, true));
    assert_eq!(got[2], (0.0, false), "accepted after 2 s");
    assert!((a.useful_cpu_s - 40.0).abs() < 1e-9);
    assert!((got[3].0 - 40.0 / 14_400.0).abs() < 1e-9 && !got[3].1);
    assert!((a.price - 0.9 / (40.0 * 0.225 / 3600.0)).abs() < 1e-6);
    let c = &a.classes["c"];
    assert_eq!((c.jobs, c.done, c.done_mean_s), (1, 1, 20.0));
    assert_eq!(c.wait_p95_s, 10.0);
}

#[test]
fn a_written_history_reads_back_with_the_same_digest() {
    let mut builder = HistoryBuilder::new();
    builder
        .at(1)
        .accepted(job("wk-000001", 1))
        .on("vm-1", "wk-000001/0");
    let mut out = Vec::new();
    builder.history.write(&mut out).unwrap();
    let text = String::from_utf8(out).unwrap();
    let again = History::read(&text).unwrap();
    assert_eq!(again.digest(), builder.history.digest());
    assert_eq!(again.events, builder.history.events);
    let other = text.replacen("vm-1", "vm-3", 1);
    assert_ne!(
        History::read(&other).unwrap().digest(),
        builder.history.digest()
    );
    let err = History::read("{\"at_ms\":1}").unwrap_err();
    assert!(err.contains("line 1"), "{err}");
}

/// Two classes with ten jobs each, of 10 CPU seconds. `first` jobs of one class and `second` of
/// the other are done in time, and the rest late or never.
fn served(first: u32, second: u32, asked: Option<Served>) -> HistoryBuilder {
    let mut builder = HistoryBuilder::new();
    if let What::Begins { facts, .. } = &mut builder.history.events[0].what {
        facts.served = asked;
    }
    for (class, done) in [("rich", first), ("poor", second)] {
        for i in 0..10 {
            let id = format!("wk-{}{i:05}", u8::from(class == "poor"));
            let spec = Job {
                class: class.into(),
                team: format!("team-{class}"),
                tasks: 1,
                ..job(&id, 1)
            };
            builder.at(1).accepted(spec);
            let task = format!("{id}/0");
            let at = if i < done { 10 } else { 500 };
            if i < 9 {
                builder.at(at).on("vm-1", &task);
                builder.at(at + 5).off("vm-1", &task, Off::Done, 5.0);
            }
        }
    }
    // A job that its user cancels does not count.
    builder.at(2).submit(Job {
        class: "poor".into(),
        ..job("wk-999999", 1)
    });
    builder.add(What::Unwanted {
        job: "wk-999999".into(),
    });
    builder.at(600);
    builder
}

#[test]
fn starvation_is_named_if_the_excess_of_others_would_have_sufficed() {
    let half = Served {
        share: 0.5,
        within_s: 300.0,
        begin_s: None,
    };
    let asked = Some(half);
    let starved = |mut builder: HistoryBuilder| {
        builder.add(What::Ends);
        let all = Checker::from_events(&builder.history.events).violations;
        let all = all.into_iter().filter(|b| b.rule == Rule::Starved);
        all.map(|b| b.to_string()).collect::<Vec<_>>()
    };
    let messages = starved(served(9, 2, asked));
    assert_eq!(messages.len(), 2, "{messages:?}");
    for part in [
        "starved: class poor",
        "2 of 10 jobs done within 300 s",
        "30 CPU s short",
    ] {
        assert!(messages[0].contains(part), "{messages:?}");
    }
    assert!(messages[1].contains("team team-poor"), "{messages:?}");
    // No starvation: the share is reached, the others have too little to spare, or the scenario
    // asks for no share.
    assert!(starved(served(9, 5, asked)).is_empty());
    assert!(
        starved(served(6, 2, asked)).is_empty(),
        "10 CPU s to spare of the 30 that it lacks"
    );
    assert!(starved(served(9, 2, None)).is_empty());
    // Jobs whose time is not over yet do not count.
    let soon = Served {
        within_s: 700.0,
        ..half
    };
    assert!(starved(served(9, 0, Some(soon))).is_empty());
}

fn after(id: &str, needs: &[&str]) -> Job {
    Job {
        needs: needs.iter().map(|n| (*n).to_string()).collect(),
        ..job(id, 1)
    }
}

#[test]
fn too_early_names_the_job_that_is_not_done() {
    let mut builder = HistoryBuilder::new();
    builder.at(1).accepted(job("wk-000001", 2));
    builder.at(2).accepted(after("wk-000002", &["wk-000001"]));
    for task in ["wk-000001/0", "wk-000001/1"] {
        builder.at(3).on("vm-1", task);
    }
    builder.at(9).off("vm-1", "wk-000001/0", Off::Done, 6.0);
    builder.at(10).on("vm-2", "wk-000002/0");
    let message = builder.assert_only(Rule::TooEarly);
    assert!(
        message.contains("wk-000002/0") && message.contains("before wk-000001"),
        "{message}"
    );
    let mut builder = HistoryBuilder::new();
    builder.at(1).accepted(job("wk-000001", 1));
    builder.at(2).accepted(after("wk-000002", &["wk-000001"]));
    builder.at(3).on("vm-1", "wk-000001/0");
    builder.at(9).off("vm-1", "wk-000001/0", Off::Done, 6.0);
    builder.at(9).on("vm-2", "wk-000002/0").add(What::Ends);
    assert!(
        Checker::from_events(&builder.history.events)
            .violations
            .is_empty()
    );
}

/// A user is told at 10 s that the job is cancelled. Until `cancel_s` later, jobs that need it,
/// directly or not, may be reported as queued; they may be reported as cancelled although their
/// own users never requested it.
#[test]
fn orphaned_counts_from_the_reported_cancellation_of_a_needed_job() {
    let scenario = || {
        let mut builder = HistoryBuilder::new();
        builder.at(1).accepted(job("wk-000001", 1));
        builder.at(2).accepted(after("wk-000002", &["wk-000001"]));
        builder.at(3).accepted(after("wk-000003", &["wk-000002"]));
        builder.at(4).on("vm-1", "wk-000001/0");
        builder.at(9).add(What::Unwanted {
            job: "wk-000001".into(),
        });
        builder.at(10).off("vm-1", "wk-000001/0", Off::Stopped, 0.0);
        builder
            .at(10)
            .response(Ask::Cancel, "wk-000001", 200, Some(State::Cancelled));
        builder
    };
    let cancel_s = facts().cancel_s as u64;
    let mut builder = scenario();
    builder.at(9 + cancel_s).poll("wk-000003", State::Queued);
    builder
        .at(12 + cancel_s)
        .poll("wk-000003", State::Cancelled);
    builder.add(What::Ends);
    assert!(
        Checker::from_events(&builder.history.events)
            .violations
            .is_empty()
    );
    let mut builder = scenario();
    builder.at(11 + cancel_s).poll("wk-000003", State::Queued);
    let message = builder.assert_only(Rule::Orphaned);
    assert!(
        message.contains("wk-000003") && message.contains("10.000"),
        "{message}"
    );
}

/// Of twenty jobs of a class, the two large ones are done late: the class has 0.9 of its jobs
/// done, but its largest tenth none, and these did not start in time either.
#[test]
fn starvation_of_the_largest_jobs_of_a_class_is_found() {
    let asked = Served {
        share: 0.5,
        within_s: 300.0,
        begin_s: Some(240.0),
    };
    let mut builder = HistoryBuilder::new();
    if let What::Begins { facts, .. } = &mut builder.history.events[0].what {
        facts.served = Some(asked);
    }
    for i in 0..20u64 {
        let id = format!("wk-{i:06}");
        let tasks = if i < 2 { 40 } else { 2 };
        builder.at(1).accepted(job(&id, tasks));
        for t in 0..tasks {
            let task = format!("{id}/{t}");
            let at = if i < 2 { 242 + i } else { 10 };
            builder.at(at).on("vm-1", &task);
            let takes = if i < 2 { 400 } else { 100 };
            builder.at(at + takes).off("vm-1", &task, Off::Done, 100.0);
        }
    }
    // Another class got far more than its part.
    for i in 100..120 {
        let id = format!("wk-{i:06}");
        let rich = Job {
            class: "rich".into(),
            ..job(&id, 60)
        };
        builder.at(1).accepted(rich);
        for t in 0..60 {
            builder.at(9).on("vm-2", &format!("{id}/{t}"));
            builder
                .at(99)
                .off("vm-2", &format!("{id}/{t}"), Off::Done, 90.0);
        }
    }
    builder.at(900).add(What::Ends);
    let checker = Checker::from_events(&builder.history.events);
    let messages: Vec<String> = checker.violations.iter().map(|b| b.to_string()).collect();
    let starved: Vec<&String> = messages
        .iter()
        .filter(|b| b.starts_with("starved"))
        .collect();
    assert_eq!(starved.len(), 2, "{messages:?}");
    assert!(starved[0].contains("wk-000001") && starved[0].contains("240 s"));
    assert!(
        starved[1].contains("the largest tenth of c on"),
        "{starved:?}"
    );
    let least = checker.least.unwrap();
    assert_eq!(
        (least.name.as_str(), least.share),
        ("the largest tenth of c", 0.0)
    );
    assert_eq!(least.longest_start_s, 242.0);
}
