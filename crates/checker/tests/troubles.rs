//! Tests of checks that span several events: waits although there is capacity, starts after a
//! cancellation, infeasible jobs, outdated responses, requests without a response, and failed
//! days.

use cherrywood_checker::history::{Ask, Facts, Job, MachineType, Off, State, Team};
use cherrywood_checker::{Breach, Checker, Failure, History, Rule, What};

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
struct Script {
    history: History,
    at_s: u64,
}

impl Script {
    fn new() -> Script {
        let mut script = Script {
            history: History::default(),
            at_s: 0,
        };
        let (scenario, seed) = ("test".to_string(), 1);
        script.add(What::Begins {
            scenario,
            seed,
            facts: facts(),
        });
        script
    }

    fn at(&mut self, s: u64) -> &mut Script {
        self.at_s = s;
        self
    }

    fn add(&mut self, what: What) -> &mut Script {
        self.history.record(self.at_s * 1000, what);
        self
    }

    fn machine(&mut self, name: &str, zone: &str) -> &mut Script {
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

    fn trouble(&mut self, on: bool) -> &mut Script {
        self.add(What::Trouble {
            trouble: "zone_cut".into(),
            on,
        })
    }

    /// Adds a response received `after_s` seconds after its request was sent.
    fn told(
        &mut self,
        ask: Ask,
        job: &str,
        after_s: u64,
        status: u16,
        state: Option<State>,
    ) -> &mut Script {
        self.add(What::Told {
            ask,
            job: job.into(),
            sent_ms: (self.at_s - after_s) * 1000,
            status,
            state,
            node: "node-1".into(),
        })
    }

    fn accepted(&mut self, job: Job) -> &mut Script {
        let id = job.id.clone();
        self.add(What::Submitted { job })
            .told(Ask::Submit, &id, 0, 201, Some(State::Queued))
    }

    fn poll(&mut self, job: &str, after_s: u64, state: State) -> &mut Script {
        self.told(Ask::Poll, job, after_s, 200, Some(state))
    }

    fn cancelled(&mut self, job: &str) -> &mut Script {
        self.add(What::Unwanted { job: job.into() }).told(
            Ask::Cancel,
            job,
            0,
            200,
            Some(State::Cancelled),
        )
    }

    fn starts(&mut self, machine: &str, task: &str) -> &mut Script {
        self.add(What::Starts {
            machine: machine.into(),
            task: task.into(),
            attempt: 1,
        })
    }

    fn on(&mut self, machine: &str, task: &str) -> &mut Script {
        self.add(What::On {
            machine: machine.into(),
            task: task.into(),
            attempt: 1,
        })
    }

    fn off(&mut self, machine: &str, task: &str, why: Off) -> &mut Script {
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
        Checker::of(&self.history.events)
    }

    fn breaches(&mut self) -> Vec<Breach> {
        self.checked().breaches
    }

    /// Asserts that there is exactly one violation, of this rule, and returns it.
    fn only(&mut self, rule: Rule) -> Breach {
        let breaches = self.breaches();
        let rules: Vec<Rule> = breaches.iter().map(|b| b.rule).collect();
        assert_eq!(rules, [rule], "{breaches:#?}");
        breaches.into_iter().next().unwrap()
    }

    fn none(&mut self) {
        let breaches = self.breaches();
        assert!(breaches.is_empty(), "{breaches:#?}");
    }
}

/// A cluster of one machine of 4 CPUs, on which a task of another job runs all the time, so that
/// the rule `nothing_ran` holds.
fn beside(other_cpus: f64) -> Script {
    let mut script = Script::new();
    script.machine("vm-1", "a");
    let other = Job {
        cpus: other_cpus,
        team: "free".into(),
        ..job("wk-000009", 1)
    };
    script.at(1).accepted(other).starts("vm-1", "wk-000009/0");
    script.on("vm-1", "wk-000009/0");
    script
}

#[test]
fn a_job_left_beside_room_for_90_s_is_named_with_the_machine() {
    let mut script = beside(2.0);
    script.at(10).accepted(job("wk-000001", 1));
    let breach = script.at(101).only(Rule::LeftWaiting);
    assert_eq!(
        (breach.what.as_str(), breach.place.as_str()),
        ("wk-000001", "vm-1")
    );
    assert_eq!(breach.since_ms, 10_000);
    let mut script = beside(2.0);
    script.at(10).accepted(job("wk-000001", 1));
    script.at(99).none();
}

#[test]
fn only_room_that_lasts_on_a_machine_that_fits_counts() {
    // Too little capacity.
    let mut script = beside(3.0);
    script.at(10).accepted(job("wk-000001", 1)).at(300).none();
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
        let mut script = beside(2.0);
        script.at(10).accepted(wanted).at(300).none();
    }
    // A machine with a spot notice.
    let mut script = beside(2.0);
    script.at(10).add(What::Notice {
        machine: "vm-1".into(),
    });
    script.accepted(job("wk-000001", 1)).at(300).none();
    // Capacity that another task used for a moment while it fetched its image.
    let mut script = beside(2.0);
    script.at(10).accepted(job("wk-000001", 1));
    let other = Job {
        team: "free".into(),
        ..job("wk-000002", 1)
    };
    script.at(60).accepted(other).starts("vm-1", "wk-000002/0");
    script.at(61).cancelled("wk-000002").add(What::Dropped {
        machine: "vm-1".into(),
        task: "wk-000002/0".into(),
        attempt: 1,
    });
    script.at(150).none();
    script.at(152).only(Rule::LeftWaiting);
}

#[test]
fn a_team_at_its_limit_a_call_off_and_jobs_before_it_excuse_a_wait() {
    let full = Job {
        cpus: 4.0,
        ..job("wk-000001", 1)
    };
    let mut script = Script::new();
    script.machine("vm-1", "a").machine("vm-2", "a");
    script.at(1).accepted(full).starts("vm-1", "wk-000001/0");
    script.on("vm-1", "wk-000001/0");
    script.at(2).accepted(job("wk-000002", 1)).at(300);
    script.none();
    script.off("vm-1", "wk-000001/0", Off::Done);
    let breach = script.at(391).only(Rule::LeftWaiting);
    assert_eq!(breach.since_ms, 300_000);
    // The user no longer wants the job.
    let mut script = beside(2.0);
    script.at(10).accepted(job("wk-000001", 1));
    script.add(What::Unwanted {
        job: "wk-000001".into(),
    });
    script.at(300).none();
    // The job needs another one.
    let mut script = beside(2.0);
    let after = Job {
        needs: vec!["wk-000009".into()],
        ..job("wk-000001", 1)
    };
    script.at(10).accepted(after).at(200);
    script.off("vm-1", "wk-000009/0", Off::Done).at(289).none();
    script.at(291).only(Rule::LeftWaiting);
}

#[test]
fn a_wait_before_the_last_trouble_is_told_but_no_breach() {
    let mut script = beside(2.0);
    script.at(10).accepted(job("wk-000001", 1));
    script.at(120).trouble(true).at(130).trouble(false);
    let checker = script.at(200).checked();
    assert!(checker.breaches.is_empty(), "{:?}", checker.breaches);
    assert_eq!(checker.earlier_waits()[0].job, "wk-000001");
    // Once the fault is over, the time starts again.
    let breach = script.at(221).only(Rule::LeftWaiting);
    assert_eq!(breach.since_ms, 130_000);
}

#[test]
fn tasks_bound_to_one_zone_wait_for_room_there() {
    let bound = Job {
        one_zone: true,
        team: "free".into(),
        cpus: 4.0,
        ..job("wk-000001", 2)
    };
    let mut script = Script::new();
    script.machine("vm-1", "a").machine("vm-2", "b");
    script.at(1).accepted(bound).starts("vm-1", "wk-000001/0");
    script.on("vm-1", "wk-000001/0").at(300).none();
    script.machine("vm-3", "a").at(391).only(Rule::LeftWaiting);
}

#[test]
fn starts_after_a_confirmed_cancellation_are_counted_and_unexplained_ones_named() {
    // The command was in flight when the user was told.
    let mut script = beside(1.0);
    script
        .at(10)
        .accepted(job("wk-000001", 1))
        .at(12)
        .cancelled("wk-000001");
    script
        .at(14)
        .starts("vm-1", "wk-000001/0")
        .on("vm-1", "wk-000001/0");
    script.at(15).off("vm-1", "wk-000001/0", Off::Stopped);
    let checker = script.checked();
    assert!(checker.breaches.is_empty(), "{:?}", checker.breaches);
    assert_eq!(checker.starts_after_cancel(), 1);
    // Nothing delayed the command.
    let mut script = beside(1.0);
    script
        .at(10)
        .accepted(job("wk-000001", 1))
        .at(12)
        .cancelled("wk-000001");
    script.at(30).starts("vm-1", "wk-000001/0");
    let breach = script.only(Rule::StartedCancelled);
    assert_eq!(
        (breach.what.as_str(), breach.since_ms),
        ("wk-000001/0", 12_000)
    );
    // A fault may have delayed it.
    let mut script = beside(1.0);
    script
        .at(10)
        .accepted(job("wk-000001", 1))
        .at(12)
        .cancelled("wk-000001");
    script.at(12).trouble(true).at(25).trouble(false);
    script.at(30).starts("vm-1", "wk-000001/0").none();
}

#[test]
fn a_cancelled_task_that_goes_on_after_its_machine_hung_ran_cancelled() {
    let hung = |until_s| {
        let mut script = beside(1.0);
        script.at(10).accepted(job("wk-000001", 1));
        script
            .starts("vm-1", "wk-000001/0")
            .on("vm-1", "wk-000001/0");
        script.at(20).add(What::Trouble {
            trouble: "machine_hang".into(),
            on: true,
        });
        script.at(21).cancelled("wk-000001");
        script.at(55).add(What::Trouble {
            trouble: "machine_hang".into(),
            on: false,
        });
        script.at(until_s).off("vm-1", "wk-000001/0", Off::Stopped);
        script
    };
    hung(61).none();
    let breach = hung(63).only(Rule::RanCancelled);
    assert_eq!(
        (breach.what.as_str(), breach.since_ms),
        ("wk-000001/0", 21_000)
    );
    // So does a task that starts again after the machine has resumed.
    let mut script = hung(60);
    script.at(70).on("vm-1", "wk-000001/0");
    script.only(Rule::RanCancelled);
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
        let mut script = beside(4.0);
        script.at(10).accepted(odd.clone()).at(20);
        let breach = script.only(Rule::AcceptedImpossible);
        assert_eq!(breach.what, "wk-000001", "{text}");
        let mut script = beside(4.0);
        script.at(10).add(What::Submitted { job: odd });
        script.told(Ask::Submit, "wk-000001", 0, 422, None).none();
    }
    let mut script = beside(4.0);
    script.at(10).add(What::LacksField {
        job: "wk-000001".into(),
        field: "crew".into(),
    });
    let breach = script.accepted(plain()).only(Rule::AcceptedImpossible);
    assert!(breach.why.contains("lacks crew"), "{breach}");
    // Also if the history has no submission of the job.
    let mut script = beside(4.0);
    script.at(10).add(What::LacksField {
        job: "wk-000001".into(),
        field: "crew".into(),
    });
    let told = Some(State::Queued);
    script.told(Ask::Submit, "wk-000001", 0, 201, told);
    script.only(Rule::AcceptedImpossible);
    // An array needs capacity for one task at a time only.
    beside(4.0).at(10).accepted(plain()).none();
}

/// Each contradicting response is to a request that was sent once the earlier response had
/// been received.
#[test]
fn no_node_may_answer_older_than_the_user_was_told() {
    let begun = || {
        let mut script = beside(4.0);
        script.at(10).accepted(job("wk-000001", 1));
        script
    };
    for (ask, status) in [
        (Ask::Poll, 404),
        (Ask::Cancel, 404),
        (Ask::Submit, 400),
        (Ask::Submit, 422),
    ] {
        let mut script = begun();
        script
            .at(10)
            .told(ask, "wk-000001", 0, status, None)
            .only(Rule::Forgotten);
        // Sent before the job was accepted, with a late response.
        let mut script = begun();
        script.at(11).told(ask, "wk-000001", 2, status, None).none();
    }
    for state in [State::Queued, State::Running] {
        for ask in [Ask::Poll, Ask::Submit] {
            let mut script = begun();
            script.at(12).cancelled("wk-000001");
            script.told(ask, "wk-000001", 0, 200, Some(state));
            script.only(Rule::WentBack);
            let mut script = begun();
            script.at(12).cancelled("wk-000001");
            script
                .at(13)
                .told(ask, "wk-000001", 2, 200, Some(state))
                .none();
        }
        let mut script = beside(2.0);
        script.at(10).accepted(job("wk-000001", 1));
        script
            .starts("vm-1", "wk-000001/0")
            .on("vm-1", "wk-000001/0");
        script.at(20).off("vm-1", "wk-000001/0", Off::Done);
        script.poll("wk-000001", 0, State::Done).at(21);
        script.poll("wk-000001", 0, state).only(Rule::WentBack);
    }
}

#[test]
fn a_job_without_an_answer_for_75_s_is_forgotten_however_others_fare() {
    let silent = |until_s: u64, trouble_until_s: u64| {
        let mut script = beside(4.0);
        script.at(10).accepted(job("wk-000001", 1)).trouble(true);
        script.at(trouble_until_s).trouble(false);
        let from_s = trouble_until_s.max(15);
        for s in (from_s..=until_s).step_by(5) {
            // Requests about the other job fail too.
            script.at(s).told(Ask::Poll, "wk-000001", 2, 503, None);
            script.told(Ask::Poll, "wk-000009", 2, 0, None);
        }
        script
    };
    silent(80, 11).none();
    let breaches = silent(90, 11).breaches();
    let named: Vec<_> = breaches.iter().map(|b| (b.rule, b.what.as_str())).collect();
    assert_eq!(
        named,
        [
            (Rule::Forgotten, "wk-000001"),
            (Rule::Forgotten, "wk-000009")
        ]
    );
    // The time counts from the end of the fault.
    silent(90, 30).none();
    // One response is enough.
    let mut script = silent(80, 11);
    script.poll("wk-000001", 2, State::Queued);
    script.poll("wk-000009", 2, State::Running).at(100);
    script.told(Ask::Poll, "wk-000001", 2, 503, None).none();
}

/// Ten jobs, each of more tasks than the one before. The first `done` of them start and end at
/// once, the largest at `largest_begins_s`; the others are never done.
fn served(done: u32, largest_begins_s: u64) -> Checker {
    let mut script = Script::new();
    script.machine("vm-1", "a");
    script.at(1);
    for n in 1..=10 {
        let one = Job {
            team: "free".into(),
            cpus: 4.0,
            ..job(&format!("wk-{n:06}"), n)
        };
        script.accepted(one);
    }
    for n in 1..=done {
        let begins_s = if n == 10 { largest_begins_s } else { 2 };
        for task in 0..n {
            let task = format!("wk-{n:06}/{task}");
            script.at(begins_s).starts("vm-1", &task).on("vm-1", &task);
            script.off("vm-1", &task, Off::Done);
        }
    }
    script.at(300).checked()
}

#[test]
fn a_day_fails_by_what_is_served_and_by_when_the_largest_begin() {
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
fn jobs_that_can_never_run_are_wanted_by_nobody() {
    let mut script = Script::new();
    script.machine("vm-1", "a");
    let task = "wk-000003/0";
    script.at(1).accepted(job("wk-000003", 1));
    script.at(2).starts("vm-1", task).on("vm-1", task);
    script.off("vm-1", task, Off::Done);
    for (id, team, cpus) in [("wk-000001", "nobody", 2.0), ("wk-000002", "free", 1.0e6)] {
        let odd = Job {
            team: team.into(),
            cpus,
            ..job(id, 1)
        };
        script.at(10).add(What::Submitted { job: odd });
        script.at(70).told(Ask::Submit, id, 5, 503, None);
    }
    let checker = script.at(300).checked();
    assert_eq!(checker.failures, []);
    assert_eq!(checker.breaches, []);
}

#[test]
fn figures_stand_for_each_class_and_team() {
    let mut script = beside(2.0);
    script.at(10).accepted(job("wk-000001", 1));
    script.at(15).told(Ask::Poll, "wk-000001", 2, 503, None);
    script.at(40).told(Ask::Poll, "wk-000001", 2, 0, None);
    let groups = script.at(50).checked().groups;
    let of = |name: &str| groups.iter().find(|g| g.name == name).unwrap();
    assert_eq!(groups.iter().map(|g| g.jobs).sum::<usize>(), 4);
    assert_eq!(of("limited").longest_unanswered_s, 27.0);
    assert_eq!(of("limited").longest_wait_s, 40.0);
    assert_eq!(of("free").longest_wait_s, 0.0);
    assert_eq!((of("c").served.wanted, of("c").served.served), (2, 0));
}
