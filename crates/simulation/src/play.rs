//! One scenario from its beginning to its end.

use crate::log::Log;
use crate::nodes::{InProcess, Shared};
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

/// Virtual s between two looks at how the scenario goes.
const LOOK_S: f64 = 0.25;
/// s between two records of what waits.
const WAITING_EVERY_S: f64 = 5.0;
/// s after the last job settled, in which late answers are still heard.
const AFTER_S: f64 = 3.0;

#[derive(Debug, Clone, Default)]
pub struct Options {
    pub seed: u64,
    pub operator: Operator,
    /// Play with real processes on loopback, from this port on, in real time.
    pub processes: Option<u16>,
}

/// What the watcher of a scenario may see, four times a virtual second.
pub struct Scene<'a> {
    pub world: &'a Arc<World>,
    pub state: &'a Arc<StateService>,
    pub cloud: &'a Arc<Cloud>,
    pub users: &'a Arc<Users>,
    pub troubles: &'a Arc<FaultInjector>,
    pub controllers: &'a Controllers,
}

/// Controllers as tasks of this process, or as processes of their own.
pub enum Controllers {
    Inside(Arc<InProcess>),
    Processes(Arc<Processes>),
}

impl Controllers {
    /// How one looks from inside, where that can be seen.
    pub fn view(&self, node: usize) -> Option<NodeStatus> {
        match self {
            Controllers::Inside(all) => all.view(node),
            Controllers::Processes(_) => None,
        }
    }

    /// Those that ended by themselves since the last look, and why.
    fn ended(&self) -> Vec<(usize, String)> {
        match self {
            Controllers::Inside(all) => all.ended(),
            Controllers::Processes(all) => all.ended(),
        }
    }
}

/// Goes on, or why it ends early.
pub type Verdict = Result<(), String>;

/// How a scenario ended.
#[derive(Debug)]
pub struct Outcome {
    pub scenario: Scenario,
    pub seed: u64,
    pub history: History,
    pub settled: BTreeMap<String, Settled>,
    pub breaches: Vec<Violation>,
    pub aims: Measurements,
    /// Why the operators would count the day as failed.
    pub failures: Vec<Failure>,
    /// Figures of each class and team.
    pub groups: Vec<GroupFigures>,
    /// Jobs left waiting beside room before the last trouble was over: no breach.
    pub earlier_waits: Vec<Wait>,
    /// Tasks that came onto machines after their job was told cancelled.
    pub starts_after_cancel: u64,
    /// Who was served least, if the scenario asks.
    pub least: Option<LeastServed>,
    pub digest: String,
    /// s that the scenario lasted, and that playing it took.
    pub scenario_s: f64,
    pub real_s: f64,
    /// Why it ended early.
    pub stopped: Option<String>,
    /// Controllers that ended by themselves.
    pub ended: Vec<String>,
    /// Keys and bytes in the state service at the end, and requests over its
    /// rates.
    pub state: (usize, usize),
    pub over_rate: u64,
}

impl Outcome {
    pub fn unsettled(&self) -> usize {
        let open = |s: &&Settled| s.end == cherrywood_checker::End::Unsettled;
        self.settled.values().filter(open).count()
    }

    /// Everything settled, no rule broken, and not a failed day?
    pub fn good(&self) -> bool {
        self.unsettled() == 0
            && self.breaches.is_empty()
            && self.failures.is_empty()
            && self.ended.is_empty()
            && self.stopped.is_none()
    }
}

/// Plays a scenario on this thread: in virtual time, or with real processes.
pub fn play(
    scenario: Scenario,
    options: &Options,
    log: &Log,
    watch: &mut dyn FnMut(&Scene) -> Verdict,
) -> anyhow::Result<Outcome> {
    let mut rt = tokio::runtime::Builder::new_current_thread();
    let rt = match options.processes {
        // Nothing outside this thread: virtual time needs no other events.
        None => rt.enable_time().start_paused(true).build()?,
        Some(_) => rt.enable_all().build()?,
    };
    let began = Instant::now();
    let mut outcome = rt.block_on(run(scenario, options, log, watch))?;
    outcome.real_s = began.elapsed().as_secs_f64();
    Ok(outcome)
}

async fn run(
    scenario: Scenario,
    options: &Options,
    log: &Log,
    watch: &mut dyn FnMut(&Scene) -> Verdict,
) -> anyhow::Result<Outcome> {
    let scenario = scenario.with_draws(options.seed);
    let world = World::new(scenario.clone(), options.seed, options.processes);
    log.begin();
    let state = StateService::start(&world).await?;
    let cloud = Cloud::start(&world).await?;
    let users = Users::start(&world);
    let (controllers, nodes): (_, Arc<dyn ControllerSupervisor>) = match options.processes {
        None => {
            let all = InProcess::new(&world, options.operator.clone());
            (Controllers::Inside(all.clone()), Arc::new(Shared(all)))
        }
        Some(_) => {
            let all = Processes::new(&world, &options.operator, log)?;
            (Controllers::Processes(all.clone()), all)
        }
    };
    let troubles = FaultInjector::new(&world, &state, &cloud, &users, nodes);
    troubles.start();
    let scene = Scene {
        world: &world,
        state: &state,
        cloud: &cloud,
        users: &users,
        troubles: &troubles,
        controllers: &controllers,
    };
    let mut quiet_since: Option<f64> = None;
    let mut waiting_at = 0.0;
    let mut ended = Vec::new();
    loop {
        tokio::time::sleep(Duration::from_secs_f64(LOOK_S)).await;
        let now = world.now_s();
        for (node, why) in controllers.ended() {
            ended.push(format!("{}: {why}", world.node_name(node)));
            troubles.controller_exited(node, &why);
        }
        if now >= waiting_at {
            waiting_at += WAITING_EVERY_S;
            let views = (0..world.addresses.nodes.len()).filter_map(|n| controllers.view(n));
            let leads = views.filter(|v| v.leading_term.is_some());
            if let Some(leader) = leads.max_by_key(|v| v.leading_term) {
                let levels = leader.pending_tasks_by_level;
                world.record(What::Waiting { levels });
            }
        }
        if let Err(why) = watch(&scene) {
            world.stop(&why);
        }
        if world.stopped().is_some() {
            break;
        }
        let over = now >= scenario.play_s;
        if over && world.open_jobs() == 0 {
            let since = *quiet_since.get_or_insert(now);
            if now - since >= AFTER_S {
                break;
            }
        } else {
            quiet_since = None;
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
        breaches: checker.violations,
        failures: checker.failures,
        groups: checker.groups,
        least: checker.least,
        aims: measurements::measure(&history.events),
        digest: history.digest(),
        history,
        scenario_s,
        real_s: 0.0,
        stopped: world.stopped(),
        ended,
        state: sizes,
        over_rate,
        scenario,
    })
}
