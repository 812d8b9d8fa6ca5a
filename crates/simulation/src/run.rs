//! Runs one scenario from start to end.

use crate::log::Log;
use crate::nodes::{InProcess, SharedInProcess};
use crate::processes::Processes;
use cherrywood_checker::settle::{Settled, settle};
use cherrywood_checker::{
    Checker, Failure, GroupFigures, History, LeastServed, Measurements, Violation, Wait, What,
    measurements,
};
use cherrywood_emulator::{Cloud, ControllerSupervisor, FaultInjector, StateService, Users, World};
use cherrywood_node::node::NodeStatus;
use cherrywood_node::settings::Operator;
use cherrywood_scenario::Scenario;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Virtual s between two samples of the state of the run.
const SAMPLE_INTERVAL_S: f64 = 0.25;
/// s between two records of the waiting tasks in the history.
const WAITING_INTERVAL_S: f64 = 5.0;
/// Time without an open job, after the end of play, until a run ends, s: late responses are
/// still received meanwhile.
const QUIET_PERIOD_S: f64 = 3.0;

#[derive(Debug, Clone, Default)]
pub struct Options {
    pub seed: u64,
    pub operator: Operator,
    /// Runs the controllers as processes on loopback, from this port on, in real time.
    pub processes: Option<u16>,
}

/// State of a run, passed to the observer four times a virtual second.
pub struct RunView<'a> {
    pub world: &'a Arc<World>,
    pub state: &'a Arc<StateService>,
    pub cloud: &'a Arc<Cloud>,
    pub users: &'a Arc<Users>,
    pub faults: &'a Arc<FaultInjector>,
    pub controllers: &'a Controllers,
}

/// Controllers as tasks of this process, or as processes of their own.
pub enum Controllers {
    InProcess(Arc<InProcess>),
    Processes(Arc<Processes>),
}

impl Controllers {
    /// Returns the status of a controller; `None` if it is down or runs as a process.
    pub fn status(&self, node: usize) -> Option<NodeStatus> {
        match self {
            Controllers::InProcess(all) => all.status(node),
            Controllers::Processes(_) => None,
        }
    }

    /// Takes the controllers that exited by themselves since the last call, with the cause.
    fn take_exited(&self) -> Vec<(usize, String)> {
        match self {
            Controllers::InProcess(all) => all.take_exited(),
            Controllers::Processes(all) => all.take_exited(),
        }
    }
}

/// Result of an observer: continue, or the reason for which the run ends early.
pub type ObserverResult = Result<(), String>;

/// Result of a run.
#[derive(Debug)]
pub struct Outcome {
    pub scenario: Scenario,
    pub seed: u64,
    pub history: History,
    pub settled: BTreeMap<String, Settled>,
    pub violations: Vec<Violation>,
    pub measurements: Measurements,
    /// Reasons for which the operators would count the run as failed.
    pub failures: Vec<Failure>,
    /// Figures of each class and team.
    pub groups: Vec<GroupFigures>,
    /// Jobs left waiting although there was capacity before the last fault was over; these are
    /// no violations.
    pub earlier_waits: Vec<Wait>,
    /// Tasks that came onto machines after their user was told that the job is cancelled.
    pub starts_after_cancel: u64,
    /// The class or team served least, if the scenario asks for it.
    pub least: Option<LeastServed>,
    pub digest: String,
    /// Virtual s that the scenario lasted, and real s that the run took.
    pub scenario_s: f64,
    pub real_s: f64,
    /// Reason for which the run ended early.
    pub stopped: Option<String>,
    /// Controllers that exited by themselves, with the cause.
    pub exited: Vec<String>,
    /// Keys and bytes in the key-value store at the end, and requests over its rates.
    pub state: (usize, usize),
    pub over_rate: u64,
}

impl Outcome {
    /// Returns the number of jobs that did not settle.
    pub fn unsettled(&self) -> usize {
        let open = |s: &&Settled| s.end == cherrywood_checker::End::Unsettled;
        self.settled.values().filter(open).count()
    }

    /// Whether every job settled, no rule was broken, the operators would not count the run
    /// as failed, no controller exited by itself, and the run did not end early.
    pub fn is_good(&self) -> bool {
        self.unsettled() == 0
            && self.violations.is_empty()
            && self.failures.is_empty()
            && self.exited.is_empty()
            && self.stopped.is_none()
    }
}

/// Runs a scenario on this thread: in virtual time, or in real time with the controllers
/// as processes.
pub fn run(
    scenario: Scenario,
    options: &Options,
    log: &Log,
    observer: &mut dyn FnMut(&RunView) -> ObserverResult,
) -> anyhow::Result<Outcome> {
    let mut rt = tokio::runtime::Builder::new_current_thread();
    let rt = match options.processes {
        // Virtual time needs no events from outside this thread, so no I/O driver.
        None => rt.enable_time().start_paused(true).build()?,
        Some(_) => rt.enable_all().build()?,
    };
    let started = Instant::now();
    let mut outcome = rt.block_on(run_async(scenario, options, log, observer))?;
    outcome.real_s = started.elapsed().as_secs_f64();
    Ok(outcome)
}

async fn run_async(
    scenario: Scenario,
    options: &Options,
    log: &Log,
    observer: &mut dyn FnMut(&RunView) -> ObserverResult,
) -> anyhow::Result<Outcome> {
    let scenario = scenario.with_draws(options.seed);
    let world = World::new(scenario.clone(), options.seed, options.processes);
    log.start_clock();
    let state = StateService::start(&world).await?;
    let cloud = Cloud::start(&world).await?;
    let users = Users::start(&world);
    let (controllers, supervisor): (_, Arc<dyn ControllerSupervisor>) = match options.processes {
        None => {
            let all = InProcess::new(&world, options.operator.clone());
            (
                Controllers::InProcess(all.clone()),
                Arc::new(SharedInProcess(all)),
            )
        }
        Some(_) => {
            let all = Processes::new(&world, &options.operator, log)?;
            (Controllers::Processes(all.clone()), all)
        }
    };
    let faults = FaultInjector::new(&world, &state, &cloud, &users, supervisor);
    faults.start();
    let view = RunView {
        world: &world,
        state: &state,
        cloud: &cloud,
        users: &users,
        faults: &faults,
        controllers: &controllers,
    };
    let mut quiet_since_s: Option<f64> = None;
    let mut next_waiting_s = 0.0;
    let mut exited = Vec::new();
    loop {
        tokio::time::sleep(Duration::from_secs_f64(SAMPLE_INTERVAL_S)).await;
        let now = world.now_s();
        for (node, why) in controllers.take_exited() {
            exited.push(format!("{}: {why}", world.node_name(node)));
            faults.controller_exited(node, &why);
        }
        if now >= next_waiting_s {
            next_waiting_s += WAITING_INTERVAL_S;
            let statuses = (0..world.addresses.nodes.len()).filter_map(|n| controllers.status(n));
            let leaders = statuses.filter(|v| v.leading_term.is_some());
            if let Some(leader) = leaders.max_by_key(|v| v.leading_term) {
                let levels = leader.pending_tasks_by_level;
                world.record(What::Waiting { levels });
            }
        }
        if let Err(why) = observer(&view) {
            world.stop(&why);
        }
        if world.stopped().is_some() {
            break;
        }
        let play_over = now >= scenario.play_s;
        if play_over && world.open_jobs() == 0 {
            let since = *quiet_since_s.get_or_insert(now);
            if now - since >= QUIET_PERIOD_S {
                break;
            }
        } else {
            quiet_since_s = None;
        }
        if now >= scenario.play_s + scenario.settle_s {
            break;
        }
    }
    if let Controllers::Processes(all) = &controllers {
        all.stop();
    }
    cloud.return_all_machines();
    let scenario_s = world.now_s();
    let (sizes, over_rate) = (state.size(), state.over_rate());
    let history = world.finish();
    let checker = Checker::from_events(&history.events);
    Ok(Outcome {
        seed: options.seed,
        settled: settle(&history.events),
        earlier_waits: checker.earlier_waits(),
        starts_after_cancel: checker.starts_after_cancel(),
        violations: checker.violations,
        failures: checker.failures,
        groups: checker.groups,
        least: checker.least,
        measurements: measurements::measure(&history.events),
        digest: history.digest(),
        history,
        scenario_s,
        real_s: 0.0,
        stopped: world.stopped(),
        exited,
        state: sizes,
        over_rate,
        scenario,
    })
}
