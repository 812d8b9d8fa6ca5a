//! Compound failures: several failures within seconds of a leader election, drawn from the seed,
//! on a deployment that may be drawn from the seed as well.

use crate::fault::*;
use crate::{Deployment, Fault, Scenario};
use garde::Validate;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Salt of the seed, so that compound failures have a random stream of their own.
const STREAM_SALT: u64 = 0x636f_6d70_6f75_6e64;
/// Minimum and maximum number of failures in one compound failure.
const FAILURES: (usize, usize) = (2, 3);
/// Maximum time (s) before or after the election at which a failure begins.
const MAX_OFFSET_S: f64 = 4.0;
/// Minimum time (s) for which users and machines run before the first fault, and for which the
/// scenario continues after the begin of the last one.
const MARGIN_S: f64 = 5.0;
/// Time (s) by which an outage of the key-value store exceeds `cancel_s`, in the failures with an
/// outage longer than that.
const BEYOND_CANCEL_S: f64 = 5.0;

macro_rules! failures {
    ($( $(#[doc = $about:literal])* $name:ident ),* $(,)?) => {
        /// A failure of the catalog, made up of one or more faults.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
        #[serde(rename_all = "snake_case")]
        pub enum Failure { $( $(#[doc = $about])* $name, )* }

        impl Failure {
            pub const ALL: &'static [Failure] = &[$(Failure::$name),*];
        }
    };
}

failures!(
    /// Jobs are cancelled while the work of a controller is handed over.
    CancelDuringHandover,
    /// Machines stop in a zone to which jobs are bound.
    ZoneBoundLoseMachines,
    /// Jobs are cancelled whose machines hang or are partitioned, and the leader changes.
    CancelOnLostMachines,
    /// The leader is killed every 8 s, so that the tasks of a job end under different leaders.
    EndsFarApart,
    /// Old heartbeats reach the next leader as its term begins.
    OldReportsAtElection,
    /// Direct commands are delayed, and machines hang and resume later.
    LateCommands,
    /// The key-value store is slow, refuses the leader, then refuses all controllers for longer
    /// than `cancel_s`, while users send status queries.
    StateAway,
    /// Transactions are executed and only their responses are lost, while users send status
    /// queries to all controllers.
    LostAnswers,
    /// Workers cannot connect to any controller, while direct commands reach them.
    CommandsOnly,
    /// The leader is partitioned from the key-value store and its peers, and jobs are cancelled
    /// through its successor.
    CutLeader,
    /// Ten leaders in two minutes, some of them during an outage of the key-value store.
    ManyLeaders,
    /// Jobs are cancelled as the key-value store refuses the leader; then the store is down for
    /// longer than `cancel_s`.
    CancelAtRefusal,
    /// Jobs are cancelled while machines are unreachable.
    CancelWhileUnreached,
    /// Jobs of a class are submitted four times as often, and a quarter of the jobs is cancelled
    /// as they end.
    ManySmallJobs,
    /// A zone is partitioned for longer than a lease.
    ZoneCut,
    /// A burst of jobs is placed while transactions are executed late.
    WorkBeforeWrites,
    /// Duplicates of all heartbeats are held back until another controller leads.
    ReportsForNext,
    /// Machines with long tasks are partitioned, or receive nothing from the new leader.
    UnreachedLongTasks,
    /// More work than capacity.
    Overload,
    /// Users query all controllers, and repeat submissions, right after each state change of a job.
    CloseLooks,
    /// Old heartbeats arrive after newer ones.
    OldReports,
    /// Cancellations, status queries and repeated submissions coincide with the end of the last
    /// task of a job.
    RequestsAtEnd,
    /// Transactions are executed late, after newer transactions.
    LateTransactions,
    /// All controllers are paused for longer than a lease.
    AllAway,
    /// Leadership changes back and forth in quick succession; then all controllers are killed and
    /// restart.
    HandOverAndBack,
);

/// A number of compound failures at times drawn from the seed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Compound {
    #[garde(range(min = 1, max = 50))]
    pub count: u32,
    #[garde(range(min = 0.0, max = 86_400.0))]
    pub from_s: f64,
    #[garde(range(min = 0.0, max = 86_400.0))]
    pub to_s: f64,
    /// Failures to draw from; all of the catalog if none is given.
    #[serde(default)]
    #[garde(skip)]
    pub of: Vec<Failure>,
    /// Draws the deployment from the seed as well: 2 to 14 controllers that restart after 0.2 s or
    /// more, machines that boot in 1 s, team quotas at a third, slow networks.
    #[serde(default)]
    #[garde(skip)]
    pub deployment: bool,
}

impl Scenario {
    /// Returns the same scenario with everything that is drawn from the seed written out: the
    /// deployment, and every fault at its time.
    #[must_use]
    pub fn with_draws(self, seed: u64) -> Scenario {
        let mut scenario = self.with_fleet(seed);
        if let Some(compound) = scenario.drawn_compound.take() {
            let mut rng = Pcg64::seed_from_u64(seed ^ STREAM_SALT);
            if compound.deployment {
                draw_deployment(&mut scenario.deployment, &mut rng);
            }
            for _ in 0..compound.count {
                let faults = draw_compound_failure(&scenario, &compound, &mut rng);
                scenario.troubles.extend(faults);
            }
        }
        scenario.troubles = scenario.all_faults(seed);
        scenario.drawn.clear();
        scenario
    }
}

fn draw_deployment(d: &mut Deployment, rng: &mut Pcg64) {
    d.controllers = rng.random_range(2..=14);
    d.node.restart_s = [0.2, 1.0, 3.0][rng.random_range(0..3)];
    if rng.random_bool(0.5) {
        for machine_type in &mut d.machine_types {
            machine_type.boot_s = 1.0;
        }
    }
    if rng.random_bool(0.5) {
        for team in &mut d.teams {
            team.cpus = (team.cpus / 3.0).floor();
            team.cpus_max = (team.cpus_max / 3.0).floor();
        }
    }
    if rng.random_bool(0.4) {
        d.network.same_zone_ms = 15.0;
        d.network.cross_zone_ms = 60.0;
        d.network.loss = 0.005;
    }
}

/// Draws one compound failure: an election, and two or three failures within seconds of it.
fn draw_compound_failure(scenario: &Scenario, compound: &Compound, rng: &mut Pcg64) -> Vec<Fault> {
    let of = match compound.of.as_slice() {
        [] => Failure::ALL,
        of => of,
    };
    let at_s = rng.random_range(compound.from_s..compound.to_s.max(compound.from_s + 0.1));
    let mut faults = vec![draw_election(at_s, rng)];
    for _ in 0..rng.random_range(FAILURES.0..=FAILURES.1) {
        let failure = of[rng.random_range(0..of.len())];
        let begins_s = at_s + rng.random_range(-MAX_OFFSET_S..MAX_OFFSET_S);
        faults.extend(failure.faults(scenario, begins_s, rng));
    }
    let last_s = (scenario.play_s - MARGIN_S).max(MARGIN_S);
    for fault in &mut faults {
        let at_s = fault.at_s().clamp(MARGIN_S, last_s);
        fault.set_at_s((at_s * 10.0).round() / 10.0);
    }
    faults
}

/// Draws a fault that makes another controller lead.
fn draw_election(at_s: f64, rng: &mut Pcg64) -> Fault {
    let who = Who::Leader;
    match rng.random_range(0..5) {
        0 => Fault::NodeFreeze(NodeFreeze {
            at_s,
            for_s: 12.0,
            who,
        }),
        1 => Fault::NodeRefused(NodeRefused {
            at_s,
            for_s: 12.0,
            who,
        }),
        2 => Fault::NodeEnds(NodeEnds {
            at_s,
            every_s: 0.5,
            times: 4,
            who,
        }),
        3 => Fault::NodeCrash(NodeCrash {
            at_s,
            who: Who::All,
        }),
        _ => Fault::NodeCrash(NodeCrash { at_s, who }),
    }
}

impl Failure {
    /// Returns the faults of the failure, which begins at `at_s`.
    pub fn faults(self, scenario: &Scenario, at_s: f64, rng: &mut Pcg64) -> Vec<Fault> {
        let d = &scenario.deployment;
        let (who, lease_s) = (Who::Leader, d.workers.lease_s);
        let outage_s = d.workers.cancel_s + BEYOND_CANCEL_S;
        let zone = d.zones[rng.random_range(0..d.zones.len())].clone();
        let classes = &scenario.workload.classes;
        let class = classes[rng.random_range(0..classes.len())].name.clone();
        let machines: u32 = d.capacity.iter().map(|c| c.count + c.spot).sum();
        let quarter = (machines / 4).max(1);
        let mode = [PartitionMode::Hold, PartitionMode::Reset][rng.random_range(0..2)];
        let cancel = |at_s, hang_s| {
            Fault::CancelNow(CancelNow {
                at_s,
                count: 8,
                hang_s,
            })
        };
        let cancel_at_end = |share| {
            Fault::CancelAtEnd(CancelAtEnd {
                at_s,
                for_s: 30.0,
                share,
            })
        };
        let ends = |every_s, times| {
            Fault::NodeEnds(NodeEnds {
                at_s,
                every_s,
                times,
                who,
            })
        };
        let crash = |at_s, who| Fault::NodeCrash(NodeCrash { at_s, who });
        let outage = |at_s, for_s| Fault::StateOutage(StateOutage { at_s, for_s });
        let refused = |for_s| Fault::NodeRefused(NodeRefused { at_s, for_s, who });
        let writes = |share, at_once| {
            Fault::LateWrites(LateWrites {
                at_s,
                for_s: 25.0,
                share,
                at_once,
            })
        };
        let reports = |at_s, share, for_next| {
            let (for_s, late_s) = (40.0, None);
            Fault::LateReports(LateReports {
                at_s,
                for_s,
                share,
                late_s,
                for_next,
            })
        };
        let partitioned_machines = |for_s| {
            Fault::MachineCut(MachineCut {
                at_s,
                count: quarter,
                for_s,
                mode,
            })
        };
        let burst = |times| {
            Fault::JobBurst(JobBurst {
                at_s,
                for_s: 30.0,
                class: class.clone(),
                times,
            })
        };
        let close_queries = Fault::CloseLooks(CloseLooks { at_s, for_s: 40.0 });
        let invalid_requests = Fault::OddRequests(OddRequests { at_s, for_s: 30.0 });
        match self {
            Failure::CancelDuringHandover => vec![cancel(at_s, None), crash(at_s + 0.5, Who::Any)],
            Failure::ZoneBoundLoseMachines => {
                let zone = Some(zone);
                vec![Fault::MachineDie(MachineDie {
                    at_s,
                    count: quarter,
                    zone,
                })]
            }
            Failure::CancelOnLostMachines => vec![
                cancel(at_s, Some(lease_s * 1.5)),
                partitioned_machines(lease_s * 1.5),
                crash(at_s + 1.0, who),
            ],
            Failure::EndsFarApart => vec![ends(8.0, 4)],
            Failure::OldReportsAtElection => vec![reports(at_s - 15.0, 0.5, true)],
            Failure::LateCommands => {
                let share = 0.5;
                let late = super::fault::LateCommands {
                    at_s,
                    for_s: 30.0,
                    share,
                };
                let hang = MachineHang {
                    at_s: at_s + 2.0,
                    count: quarter,
                    for_s: lease_s / 2.0,
                };
                vec![Fault::LateCommands(late), Fault::MachineHang(hang)]
            }
            Failure::StateAway => {
                let slow = StateSlow {
                    at_s,
                    for_s: 20.0,
                    share: 0.5,
                    ms: 1000.0,
                };
                let queries = PollStorm {
                    at_s,
                    for_s: outage_s,
                    times: 5.0,
                };
                vec![
                    Fault::StateSlow(slow),
                    Fault::PollStorm(queries),
                    refused(10.0),
                    outage(at_s + 8.0, outage_s),
                    cancel(at_s + 4.0, None),
                ]
            }
            Failure::LostAnswers => vec![writes(0.3, true), close_queries],
            Failure::CommandsOnly => {
                let (count, share, zone) = (None, Some(0.5), None);
                let for_s = lease_s * 2.0;
                let partition = MachineMute {
                    at_s,
                    for_s,
                    count,
                    share,
                    zone,
                };
                vec![Fault::MachineMute(partition), cancel(at_s + 3.0, None)]
            }
            Failure::CutLeader => {
                let from = vec![Side::State, Side::Peers];
                let partition = NodeCut {
                    at_s,
                    for_s: 30.0,
                    who,
                    from,
                    mode,
                };
                vec![Fault::NodeCut(partition), cancel(at_s + 12.0, None)]
            }
            Failure::ManyLeaders => vec![ends(12.0, 10), outage(at_s + 20.0, 15.0)],
            Failure::CancelAtRefusal => {
                vec![
                    cancel(at_s, None),
                    refused(2.0),
                    outage(at_s + 1.0, outage_s),
                ]
            }
            Failure::CancelWhileUnreached => {
                vec![partitioned_machines(20.0), cancel(at_s + 3.0, None)]
            }
            Failure::ManySmallJobs => vec![burst(4.0), cancel_at_end(0.25)],
            Failure::ZoneCut => {
                let for_s = lease_s * 1.5;
                vec![Fault::ZoneCut(super::fault::ZoneCut {
                    at_s,
                    for_s,
                    zone,
                    mode,
                })]
            }
            Failure::WorkBeforeWrites => vec![burst(4.0), writes(0.3, false)],
            Failure::ReportsForNext => vec![reports(at_s - 5.0, 1.0, true)],
            Failure::UnreachedLongTasks => {
                let (count, zone) = (quarter, Some(zone));
                let partition = MachineDeaf {
                    at_s,
                    for_s: lease_s * 2.0,
                    count,
                    zone,
                };
                vec![Fault::MachineDeaf(partition), partitioned_machines(lease_s)]
            }
            Failure::Overload => vec![burst(6.0)],
            Failure::CloseLooks => vec![close_queries, invalid_requests, cancel(at_s + 1.0, None)],
            Failure::OldReports => vec![reports(at_s, 0.8, false)],
            Failure::RequestsAtEnd => vec![cancel_at_end(0.8), close_queries, invalid_requests],
            Failure::LateTransactions => vec![writes(0.4, false)],
            Failure::AllAway => {
                let (for_s, who) = (lease_s * 1.5, Who::All);
                vec![Fault::NodeFreeze(NodeFreeze { at_s, for_s, who })]
            }
            Failure::HandOverAndBack => vec![ends(1.0, 5), crash(at_s + 5.5, Who::All)],
        }
    }
}
