//! Tests of checks that span several events: waits although there is capacity, starts after a
//! cancellation, infeasible jobs, outdated responses, requests without a response, and failed
//! days.

use cherrywood_checker::history::{Ask, Facts, Job, MachineType, Off, State, Team};
use cherrywood_checker::{Checker, Failure, History, Rule, Violation, What};

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
    Facts {
        cancel_s: CANCEL_S,
        teams: vec![team("limited", 4.0), team("free", 0.0)],
        kinds: vec![MachineType {
            name: "m4".into(),
            cpus: 4.0,
            ram_gb: 16.0,
            ..MachineType::default()
        }],
        aims: Vec::new(),
        served: None,
    }
}

fn job(id: &str, tasks: u32) -> Job {
    Job {
        id: id.into(),
        class: "c".into(),
        team: "limited".into(),
        standing: false,
        tasks,
        cpus: 2.0,
        gpus: 0.0,
        ram_gb: 4.0,
        kinds: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        needs: Vec::new(),
    }
}

/// A history under construction, with the current time in s.
struct HistoryBuilder {
    history: History,
    at_s: u64,
}

impl HistoryBuilder {
    fn new() -> HistoryBuilder {
        let mut builder = HistoryBuilder {
            history: History::default(),
            at_s: 0,
        };
        let (scenario, seed) = ("test".to_string(), 1);
        builder.add(What::Begins {
            scenario,
            seed,
            facts: facts(),
        });
        builder
    }

    fn at(&mut self, s: u64) -> &mut HistoryBuilder {
        self.at_s = s;
        self
    }

    fn add(&mut self, what: What) -> &mut HistoryBuilder {
        self.history.record(self.at_s * 1000, what);
        self
    }

    fn machine(&mut self, name: &str, zone: &str) -> &mut HistoryBuilder {
        self.add(What::Rented {
            machine: name.into(),
            kind: "m4".into(),
            zone: zone.into(),
            spot: false,
            request: "r".into(),
        })
        .add(What::Up {
            machine: name.into(),
        })
    }

    fn fault(&mut self, on: bool) -> &mut HistoryBuilder {
        self.add(What::Trouble {
            trouble: "zone_cut".into(),
            on,
        })
    }

    /// Adds a response received `after_s` seconds after its request was sent.
    fn response(
        &mut self,
        ask: Ask,
        job: &str,
        after_s: u64,
        status: u16,
        state: Option<State>,
    ) -> &mut HistoryBuilder {
        self.add(What::Told {
            ask,
            job: job.into(),
            sent_ms: (self.at_s - after_s) * 1000,
            status,
            state,
            node: "node-1".into(),
        })
    }

    fn accepted(&mut self, job: Job) -> &mut HistoryBuilder {
        let id = job.id.clone();
        self.add(What::Submitted { job })
            .response(Ask::Submit, &id, 0, 201, Some(State::Queued))
    }

    fn poll(&mut self, job: &str, after_s: u64, state: State) -> &mut HistoryBuilder {
        self.response(Ask::Poll, job, after_s, 200, Some(state))
    }

    fn cancelled(&mut self, job: &str) -> &mut HistoryBuilder {
        self.add(What::Unwanted { job: job.into() }).response(
            Ask::Cancel,
            job,
            0,
            200,
            Some(State::Cancelled),
        )
    }

    fn starts(&mut self, machine: &str, task: &str) -> &mut HistoryBuilder {
        self.add(What::Starts {
            machine: machine.into(),
            task: task.into(),
            attempt: 1,
        })
    }

    fn on(&mut self, machine: &str, task: &str) -> &mut HistoryBuilder {
        self.add(What::On {
            machine: machine.into(),
            task: task.into(),
            attempt: 1,
        })
    }

    fn off(&mut self, machine: &str, task: &str, why: Off) -> &mut HistoryBuilder {
        self.add(What::Off {
            machine: machine.into(),
            task: task.into(),
            attempt: 1,
            why,
            kept_s: 1.0,
        })
    }

    fn checked(&mut self) -> Checker {
        self.add(What::Ends);
        Checker::from_events(&self.history.events)
    }

    fn violations(&mut self) -> Vec<Violation> {
        self.checked().violations
    }

    /// Asserts that there is exactly one violation, of this rule, and returns it.
    fn assert_only(&mut self, rule: Rule) -> Violation {
        let violations = self.violations();
        let rules: Vec<Rule> = violations.iter().map(|b| b.rule).collect();
        assert_eq!(rules, [rule], "{violations:#?}");
        violations.into_iter().next().unwrap()
    }

    fn assert_no_violation(&mut self) {
        let violations = self.violations();
        assert!(violations.is_empty(), "{violations:#?}");
    }
}

/// A cluster of one machine of 4 CPUs, on which a task of another job runs all the time, so that
/// the rule `nothing_ran` is not violated.
fn one_machine_with_running_task(other_cpus: f64) -> HistoryBuilder {
    let mut builder = HistoryBuilder::new();
    builder.machine("vm-1", "a");
    let other = Job {
        cpus: other_cpus,
        team: "free".into(),
        ..job("wk-000009", 1)
    };
    builder.at(1).accepted(other).starts("vm-1", "wk-000009/0");
    builder.on("vm-1", "wk-000009/0");
    builder
}

#[test]
fn a_job_left_waiting_for_90_s_beside_free_capacity_is_named_with_the_machine() {
    let mut builder = one_machine_with_running_task(2.0);
    builder.at(10).accepted(job("wk-000001", 1));
    let violation = builder.at(101).assert_only(Rule::LeftWaiting);
    assert_eq!(
        (violation.what.as_str(), violation.place.as_str()),
        ("wk-000001", "vm-1")
    );
    assert_eq!(violation.since_ms, 10_000);
    let mut builder = one_machine_with_running_task(2.0);
    builder.at(10).accepted(job("wk-000001", 1));
    builder.at(99).assert_no_violation();
}

#[test]
fn only_lasting_capacity_on_a_suitable_machine_counts() {
    // Too little capacity.
    let mut builder = one_machine_with_running_task(3.0);
    builder
        .at(10)
        .accepted(job("wk-000001", 1))
        .at(300)
        .assert_no_violation();
    // Memory that is in use, or a zone that the job does not allow.
    let wants = [
        Job {
            ram_gb: 13.0,
            ..job("wk-000001", 1)
        },
        Job {
            zone: Some("b".into()),
            ..job("wk-000001", 1)
        },
    ];
    for wanted in wants {
        let mut builder = one_machine_with_running_task(2.0);
        builder
            .at(10)
            .accepted(wanted)
            .at(300)
            .assert_no_violation();
    }
    // A machine with a spot notice.
    let mut builder = one_machine_with_running_task(2.0);
    builder.at(10).add(What::Notice {
        machine: "vm-1".into(),
    });
    builder
        .accepted(job("wk-000001", 1))
        .at(300)
        .assert_no_violation();
    // Capacity that another task used for a moment while it fetched its image.
    let mut builder = one_machine_with_running_task(2.0);
    builder.at(10).accepted(job("wk-000001", 1));
    let other = Job {
        team: "free".into(),
        ..job("wk-000002", 1)
    };
    builder.at(60).accepted(other).starts("vm-1", "wk-000002/0");
    builder.at(61).cancelled("wk-000002").add(What::Dropped {
        machine: "vm-1".into(),
        task: "wk-000002/0".into(),
        attempt: 1,
    });
    builder.at(150).assert_no_violation();
    builder.at(152).assert_only(Rule::LeftWaiting);
}

#[test]
fn a_team_limit_a_cancellation_or_a_needed_job_excuses_a_wait() {
    let full = Job {
        cpus: 4.0,
        ..job("wk-000001", 1)
    };
    let mut builder = HistoryBuilder::new();
    builder.machine("vm-1", "a").machine("vm-2", "a");
    builder.at(1).accepted(full).starts("vm-1", "wk-000001/0");
    builder.on("vm-1", "wk-000001/0");
    builder.at(2).accepted(job("wk-000002", 1)).at(300);
    builder.assert_no_violation();
    builder.off("vm-1", "wk-000001/0", Off::Done);
    let violation = builder.at(391).assert_only(Rule::LeftWaiting);
    assert_eq!(violation.since_ms, 300_000);
    // The user no longer wants the job.
    let mut builder = one_machine_with_running_task(2.0);
    builder.at(10).accepted(job("wk-000001", 1));
    builder.add(What::Unwanted {
        job: "wk-000001".into(),
    });
    builder.at(300).assert_no_violation();
    // The job needs another one.
    let mut builder = one_machine_with_running_task(2.0);
    let after = Job {
        needs: vec!["wk-000009".into()],
        ..job("wk-000001", 1)
    };
    builder.at(10).accepted(after).at(200);
    builder
        .off("vm-1", "wk-000009/0", Off::Done)
        .at(289)
        .assert_no_violation();
    builder.at(291).assert_only(Rule::LeftWaiting);
}

#[test]
fn a_wait_before_the_last_fault_is_reported_but_no_violation() {
    let mut builder = one_machine_with_running_task(2.0);
    builder.at(10).accepted(job("wk-000001", 1));
    builder.at(120).fault(true).at(130).fault(false);
    let checker = builder.at(200).checked();
    assert!(checker.violations.is_empty(), "{:?}", checker.violations);
    assert_eq!(checker.earlier_waits()[0].job, "wk-000001");
    // Once the fault is over, the time starts again.
    let violation = builder.at(221).assert_only(Rule::LeftWaiting);
    assert_eq!(violation.since_ms, 130_000);
}

#[test]
fn tasks_bound_to_one_zone_wait_for_capacity_there() {
    let bound = Job {
        one_zone: true,
        team: "free".into(),
        cpus: 4.0,
        ..job("wk-000001", 2)
    };
    let mut builder = HistoryBuilder::new();
    builder.machine("vm-1", "a").machine("vm-2", "b");
    builder.at(1).accepted(bound).starts("vm-1", "wk-000001/0");
    builder
        .on("vm-1", "wk-000001/0")
        .at(300)
        .assert_no_violation();
    builder
        .machine("vm-3", "a")
        .at(391)
        .assert_only(Rule::LeftWaiting);
}

#[test]
fn starts_after_a_confirmed_cancellation_are_counted_and_unexplained_ones_named() {
    // The command was in flight when the user was told.
    let mut builder = one_machine_with_running_task(1.0);
    builder
        .at(10)
        .accepted(job("wk-000001", 1))
        .at(12)
        .cancelled("wk-000001");
    builder
        .at(14)
        .starts("vm-1", "wk-000001/0")
        .on("vm-1", "wk-000001/0");
    builder.at(15).off("vm-1", "wk-000001/0", Off::Stopped);
    let checker = builder.checked();
    assert!(checker.violations.is_empty(), "{:?}", checker.violations);
    assert_eq!(checker.starts_after_cancel(), 1);
    // Nothing delayed the command.
    let mut builder = one_machine_with_running_task(1.0);
    builder
        .at(10)
        .accepted(job("wk-000001", 1))
        .at(12)
        .cancelled("wk-000001");
    builder.at(30).starts("vm-1", "wk-000001/0");
    let violation = builder.assert_only(Rule::StartedCancelled);
    assert_eq!(
        (violation.what.as_str(), violation.since_ms),
        ("wk-000001/0", 12_000)
    );
    // A fault may have delayed it.
    let mut builder = one_machine_with_running_task(1.0);
    builder
        .at(10)
        .accepted(job("wk-000001", 1))
        .at(12)
        .cancelled("wk-000001");
    builder.at(12).fault(true).at(25).fault(false);
    builder
        .at(30)
        .starts("vm-1", "wk-000001/0")
        .assert_no_violation();
}

#[test]
fn a_cancelled_task_that_runs_on_after_its_machine_hung_is_ran_cancelled() {
    let hung = |until_s| {
        let mut builder = one_machine_with_running_task(1.0);
        builder.at(10).accepted(job("wk-000001", 1));
        builder
            .starts("vm-1", "wk-000001/0")
            .on("vm-1", "wk-000001/0");
        builder.at(20).add(What::Trouble {
            trouble: "machine_hang".into(),
            on: true,
        });
        builder.at(21).cancelled("wk-000001");
        builder.at(55).add(What::Trouble {
            trouble: "machine_hang".into(),
            on: false,
        });
        builder.at(until_s).off("vm-1", "wk-000001/0", Off::Stopped);
        builder
    };
    hung(61).assert_no_violation();
    let violation = hung(63).assert_only(Rule::RanCancelled);
    assert_eq!(
        (violation.what.as_str(), violation.since_ms),
        ("wk-000001/0", 21_000)
    );
    // So does a task that starts again after the machine has resumed.
    let mut builder = hung(60);
    builder.at(70).on("vm-1", "wk-000001/0");
    builder.assert_only(Rule::RanCancelled);
}

#[test]
fn jobs_that_can_never_run_or_lack_a_field_must_not_be_accepted() {
    let plain = || job("wk-000001", 3);
    let impossible = [
        Job {
            team: "nobody".into(),
            ..plain()
        },
        Job {
            kinds: Some(vec!["no-such-type".into()]),
            ..plain()
        },
        Job {
            team: "free".into(),
            cpus: 4.5,
            ..plain()
        },
        Job {
            ram_gb: 17.0,
            ..plain()
        },
        Job {
            gpus: 1.0,
            ..plain()
        },
        // All tasks of a standing job must fit the limit at once.
        Job {
            standing: true,
            ..plain()
        },
    ];
    for odd in impossible {
        let text = format!("{odd:?}");
        let mut builder = one_machine_with_running_task(4.0);
        builder.at(10).accepted(odd.clone()).at(20);
        let violation = builder.assert_only(Rule::AcceptedImpossible);
        assert_eq!(violation.what, "wk-000001", "{text}");
        let mut builder = one_machine_with_running_task(4.0);
        builder.at(10).add(What::Submitted { job: odd });
        builder
            .response(Ask::Submit, "wk-000001", 0, 422, None)
            .assert_no_violation();
    }
    let mut builder = one_machine_with_running_task(4.0);
    builder.at(10).add(What::LacksField {
        job: "wk-000001".into(),
        field: "crew".into(),
    });
    let violation = builder
        .accepted(plain())
        .assert_only(Rule::AcceptedImpossible);
    assert!(violation.why.contains("lacks crew"), "{violation}");
    // Also if the history has no submission of the job.
    let mut builder = one_machine_with_running_task(4.0);
    builder.at(10).add(What::LacksField {
        job: "wk-000001".into(),
        field: "crew".into(),
    });
    let queued = Some(State::Queued);
    builder.response(Ask::Submit, "wk-000001", 0, 201, queued);
    builder.assert_only(Rule::AcceptedImpossible);
    // An array needs capacity for one task at a time only.
    one_machine_with_running_task(4.0)
        .at(10)
        .accepted(plain())
        .assert_no_violation();
}

/// Each contradicting response is to a request that was sent once the earlier response had
/// been received.
#[test]
fn a_response_older_than_an_earlier_one_is_a_violation() {
    let begun = || {
        let mut builder = one_machine_with_running_task(4.0);
        builder.at(10).accepted(job("wk-000001", 1));
        builder
    };
    for (ask, status) in [
        (Ask::Poll, 404),
        (Ask::Cancel, 404),
        (Ask::Submit, 400),
        (Ask::Submit, 422),
    ] {
        let mut builder = begun();
        builder
            .at(10)
            .response(ask, "wk-000001", 0, status, None)
            .assert_only(Rule::Forgotten);
        // Sent before the job was accepted, with a late response.
        let mut builder = begun();
        builder
            .at(11)
            .response(ask, "wk-000001", 2, status, None)
            .assert_no_violation();
    }
    for state in [State::Queued, State::Running] {
        for ask in [Ask::Poll, Ask::Submit] {
            let mut builder = begun();
            builder.at(12).cancelled("wk-000001");
            builder.response(ask, "wk-000001", 0, 200, Some(state));
            builder.assert_only(Rule::WentBack);
            let mut builder = begun();
            builder.at(12).cancelled("wk-000001");
            builder
                .at(13)
                .response(ask, "wk-000001", 2, 200, Some(state))
                .assert_no_violation();
        }
        let mut builder = one_machine_with_running_task(2.0);
        builder.at(10).accepted(job("wk-000001", 1));
        builder
            .starts("vm-1", "wk-000001/0")
            .on("vm-1", "wk-000001/0");
        builder.at(20).off("vm-1", "wk-000001/0", Off::Done);
        builder.poll("wk-000001", 0, State::Done).at(21);
        builder
            .poll("wk-000001", 0, state)
            .assert_only(Rule::WentBack);
    }
}

#[test]
fn a_job_without_a_response_for_75_s_is_forgotten_even_if_all_requests_fail() {
    let failing_requests = |until_s: u64, fault_until_s: u64| {
        let mut builder = one_machine_with_running_task(4.0);
        builder.at(10).accepted(job("wk-000001", 1)).fault(true);
        builder.at(fault_until_s).fault(false);
        let from_s = fault_until_s.max(15);
        for s in (from_s..=until_s).step_by(5) {
            // Requests about the other job fail too.
            builder.at(s).response(Ask::Poll, "wk-000001", 2, 503, None);
            builder.response(Ask::Poll, "wk-000009", 2, 0, None);
        }
        builder
    };
    failing_requests(80, 11).assert_no_violation();
    let violations = failing_requests(90, 11).violations();
    let named: Vec<_> = violations
        .iter()
        .map(|b| (b.rule, b.what.as_str()))
        .collect();
    assert_eq!(
        named,
        [
            (Rule::Forgotten, "wk-000001"),
            (Rule::Forgotten, "wk-000009")
        ]
    );
    // The time counts from the end of the fault.
    failing_requests(90, 30).assert_no_violation();
    // One response is enough.
    let mut builder = failing_requests(80, 11);
    builder.poll("wk-000001", 2, State::Queued);
    builder.poll("wk-000009", 2, State::Running).at(100);
    builder
        .response(Ask::Poll, "wk-000001", 2, 503, None)
        .assert_no_violation();
}

/// Ten jobs, each of more tasks than the one before. The first `done` of them start and end at
/// once, the largest at `largest_begins_s`; the others are never done.
fn served(done: u32, largest_begins_s: u64) -> Checker {
    let mut builder = HistoryBuilder::new();
    builder.machine("vm-1", "a");
    builder.at(1);
    for n in 1..=10 {
        let one = Job {
            team: "free".into(),
            cpus: 4.0,
            ..job(&format!("wk-{n:06}"), n)
        };
        builder.accepted(one);
    }
    for n in 1..=done {
        let begins_s = if n == 10 { largest_begins_s } else { 2 };
        for task in 0..n {
            let task = format!("wk-{n:06}/{task}");
            builder.at(begins_s).starts("vm-1", &task).on("vm-1", &task);
            builder.off("vm-1", &task, Off::Done);
        }
    }
    builder.at(300).checked()
}

#[test]
fn a_day_fails_by_a_low_served_share_or_a_late_start_of_the_largest() {
    assert_eq!(served(10, 240).failures, []);
    let late = Failure::LateStart {
        job: "wk-000010".into(),
        after_s: 249.0,
    };
    assert_eq!(served(10, 250).failures, [late]);
    let group = |name: &str, served, wanted| Failure::Underserved {
        group: name.into(),
        served,
        wanted,
    };
    let few = served(4, 0).failures;
    assert!(few.contains(&group("class c", 4, 10)), "{few:?}");
    assert!(few.contains(&group("team free", 4, 10)), "{few:?}");
    assert!(few.contains(&group("the largest of c", 0, 1)), "{few:?}");
    // Half of the class and of the team is enough, but none of the largest are done.
    let half = served(5, 0).failures;
    assert!(half.contains(&group("the largest of c", 0, 1)), "{half:?}");
    assert!(!half.contains(&group("class c", 5, 10)), "{half:?}");
}

/// The user may give up before any controller could refuse the job: in an outage all respond 503.
#[test]
fn jobs_that_can_never_run_do_not_count_as_wanted() {
    let mut builder = HistoryBuilder::new();
    builder.machine("vm-1", "a");
    let task = "wk-000003/0";
    builder.at(1).accepted(job("wk-000003", 1));
    builder.at(2).starts("vm-1", task).on("vm-1", task);
    builder.off("vm-1", task, Off::Done);
    for (id, team, cpus) in [("wk-000001", "nobody", 2.0), ("wk-000002", "free", 1.0e6)] {
        let odd = Job {
            team: team.into(),
            cpus,
            ..job(id, 1)
        };
        builder.at(10).add(What::Submitted { job: odd });
        builder.at(70).response(Ask::Submit, id, 5, 503, None);
    }
    let checker = builder.at(300).checked();
    assert_eq!(checker.failures, []);
    assert_eq!(checker.violations, []);
}

#[test]
fn figures_cover_each_class_and_team() {
    let mut builder = one_machine_with_running_task(2.0);
    builder.at(10).accepted(job("wk-000001", 1));
    builder
        .at(15)
        .response(Ask::Poll, "wk-000001", 2, 503, None);
    builder.at(40).response(Ask::Poll, "wk-000001", 2, 0, None);
    let groups = builder.at(50).checked().groups;
    let of = |name: &str| groups.iter().find(|g| g.name == name).unwrap();
    assert_eq!(groups.iter().map(|g| g.jobs).sum::<usize>(), 4);
    assert_eq!(of("limited").longest_unanswered_s, 27.0);
    assert_eq!(of("limited").longest_wait_s, 40.0);
    assert_eq!(of("free").longest_wait_s, 0.0);
    assert_eq!((of("c").served.wanted, of("c").served.served), (2, 0));
}
