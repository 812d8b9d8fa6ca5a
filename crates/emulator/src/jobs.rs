//! Jobs that users submit, drawn from the scenario's classes.

use crate::machine::TaskSpec;
use crate::world::{UploadedJob, World};
use cherrywood_checker::history::Job;
use cherrywood_scenario::workload::{Class, JobKind, Rank, Spread};
use cherrywood_wire::user::{self, MAX_TASKS, Priority, Submission};
use rand::Rng;
use rand_distr::StandardNormal;
use rand_pcg::Pcg64;

/// Number of standard deviations that 95 of 100 values of a normal distribution lie below.
const SD_95: f64 = 1.645;
/// Spread of the run times of one job's tasks around the job's own.
const TASK_RUN_TIME_SIGMA: f64 = 0.25;
/// Cumulative shares, among the jobs that cannot run, of an unknown team and of too many
/// CPUs; the others ask for an unknown machine type.
const UNKNOWN_TEAM_SHARE: f64 = 0.4;
const TOO_LARGE_SHARE: f64 = 0.7;

/// A job to be submitted, and its user's later actions.
#[derive(Debug, Clone)]
pub struct PlannedJob {
    pub submission: Submission,
    pub upload: UploadedJob,
    pub job: Job,
    /// Seconds after acceptance at which the user cancels the job.
    pub cancel_after_s: Option<f64>,
    /// The job runs until it is cancelled, or until the end of play.
    pub runs_until_cancelled: bool,
    pub resubmits: bool,
}

/// Range of the time after acceptance at which a user who cancels does so, s.
const CANCEL_AFTER_S: (f64, f64) = (5.0, 60.0);
/// Range of the time after which the user of a job with a mistake cancels it, s.
const MISTAKE_AFTER_S: (f64, f64) = (60.0, 120.0);

/// Generator of the jobs of one class.
#[derive(Debug)]
pub struct JobGenerator {
    rng: Pcg64,
    class: usize,
    /// Name, size in GB, and cumulative weight of each image.
    images: Vec<(String, f64, f64)>,
    /// Job numbers in no particular order; the generators divide them among themselves.
    next: u32,
    step: u32,
    slot: u32,
    slots: u32,
}

fn draw(rng: &mut Pcg64, s: &Spread) -> f64 {
    let sigma = s.p95.map_or(0.0, |p| libm::log(p / s.median) / SD_95);
    let value = s.median * libm::exp(sigma * rng.sample::<f64, _>(StandardNormal));
    value.min(s.most.unwrap_or(f64::INFINITY))
}

/// Rounds to two decimals, as a user would write a measured amount.
fn round(v: f64) -> f64 {
    (v * 100.0).round() / 100.0
}

/// Count of job numbers, and steps that visit all of them: primes, which have no divisor in
/// common with the count.
const JOB_NUMBERS: u32 = 1_000_000;
const STEPS: [u32; 4] = [104_729, 224_737, 350_377, 479_909];

impl JobGenerator {
    /// Creates the generators of each class, and of each stage of each pipeline; draws from
    /// one do not shift another.
    pub fn all(world: &World) -> (Vec<JobGenerator>, Vec<Vec<JobGenerator>>) {
        let w = &world.scenario.workload;
        let number = |name: &str| w.classes.iter().position(|c| c.name == name);
        let mut slots = w.classes.len();
        let stages: Vec<Vec<(usize, usize, String)>> = w
            .pipelines
            .iter()
            .map(|p| {
                let stages = p.stages.iter().enumerate();
                let of = stages.map(|(n, s)| {
                    slots += 1;
                    let stream = format!("stage {n} of {}", p.name);
                    (number(&s.class).unwrap_or(0), slots - 1, stream)
                });
                of.collect()
            })
            .collect();
        let one = |class: usize, slot: usize, stream: &str| {
            let c: &Class = &w.classes[class];
            let mut rng = world.rng(stream);
            let mut sum = 0.0;
            let images = (0..c.images.count).map(|i| {
                sum += libm::pow(f64::from(i + 1), -c.images.zipf);
                let gb = round(draw(&mut rng, &c.images.gb)).max(0.01);
                (format!("img-{}-{i}", c.name), gb, sum)
            });
            let images = images.collect();
            JobGenerator {
                class,
                slot: slot as u32,
                images,
                next: rng.random_range(0..JOB_NUMBERS / slots as u32),
                step: STEPS[rng.random_range(0..STEPS.len())],
                slots: slots as u32,
                rng,
            }
        };
        let classes = w.classes.iter().enumerate();
        let classes = classes.map(|(n, c)| one(n, n, &format!("jobs of {}", c.name)));
        let pipelines = stages.iter().map(|of| {
            let of = of
                .iter()
                .map(|(class, slot, stream)| one(*class, *slot, stream));
            of.collect()
        });
        (classes.collect(), pipelines.collect())
    }

    /// Returns the next job id; ids are unique, in no particular order.
    fn id(&mut self) -> String {
        let own = JOB_NUMBERS / self.slots;
        self.next = (self.next + self.step) % own;
        format!("wk-{:06}", self.next * self.slots + self.slot)
    }

    fn team(&mut self, world: &World, class: &Class) -> String {
        let teams = &world.scenario.deployment.teams;
        if let Some(team) = &class.team {
            return team.clone();
        }
        let all: f64 = teams.iter().map(|t| t.weight).sum();
        let mut left = self.rng.random::<f64>() * all;
        for t in teams {
            left -= t.weight;
            if left < 0.0 {
                return t.name.clone();
            }
        }
        teams[teams.len() - 1].name.clone()
    }

    pub fn next_job(&mut self, world: &World) -> PlannedJob {
        let c = &world.scenario.workload.classes[self.class];
        let w = &world.scenario.workload;
        let id = self.id();
        let team = self.team(world, c);
        let images = &self.images;
        let most = images.last().map_or(1.0, |i| i.2);
        let at = self.rng.random::<f64>() * most;
        let image = images.iter().find(|i| i.2 >= at).unwrap_or(&images[0]);
        let (image, image_gb) = (image.0.clone(), image.1);
        let rng = &mut self.rng;
        let standing = c.kind == JobKind::Standing;
        let tasks = (draw(rng, &c.tasks).round().max(1.0) as u32).min(MAX_TASKS);
        let run = draw(rng, &c.run_s);
        let limit = c.run_s.most.unwrap_or(f64::INFINITY);
        let run_times_s: Vec<f64> = (0..if standing { 0 } else { tasks })
            .map(|_| {
                let by = libm::exp(TASK_RUN_TIME_SIGMA * rng.sample::<f64, _>(StandardNormal));
                (run * by).clamp(0.1, limit)
            })
            .collect();
        let error = libm::exp(c.estimate_error * rng.sample::<f64, _>(StandardNormal));
        let estimate_s = if standing {
            0.0
        } else {
            round(run * c.estimate_bias * error).max(0.1)
        };
        let chance = |rng: &mut Pcg64, share: f64| rng.random::<f64>() < share;
        let mistaken = !standing && chance(rng, c.mistaken);
        let cancels = chance(rng, c.cancelled);
        let drawn = |rng: &mut Pcg64, (least, most): (f64, f64)| {
            least + rng.random::<f64>() * (most - least)
        };
        let (soon, later) = (drawn(rng, CANCEL_AFTER_S), drawn(rng, MISTAKE_AFTER_S));
        let cancel_after_s = match (standing, mistaken, cancels) {
            (true, ..) => Some(c.stands_s),
            (_, true, _) => Some(later),
            (_, _, true) => Some(soon),
            _ => None,
        };
        let resubmits = chance(rng, w.repeats);
        let impossible = chance(rng, w.impossible);
        let kind: f64 = rng.random();
        let mut submission = Submission {
            id: id.clone(),
            class: c.name.clone(),
            team: team.clone(),
            kind: if standing {
                user::JobKind::Service
            } else {
                user::JobKind::Array
            },
            priority: match c.rank {
                Rank::Critical => Priority::Production,
                Rank::Urgent => Priority::High,
                Rank::Normal => Priority::Normal,
                Rank::Low => Priority::Low,
            },
            tasks,
            cpus: c.cpus,
            gpus: c.gpus,
            memory_gb: c.ram_gb,
            image: image.clone(),
            image_gb,
            machine_types: c.types.clone(),
            zone: c.zone.clone(),
            single_zone: c.one_zone,
            spread_over_zones: c.spread,
            allow_spot: c.spot,
            estimate_s,
            checkpoint_interval_s: c.checkpoint_s,
            checkpoint_save_s: c.save_s,
            deadline_s: None,
            dependencies: Vec::new(),
        };
        if impossible && kind < UNKNOWN_TEAM_SHARE {
            submission.team = "nobody".into();
        } else if impossible && kind < TOO_LARGE_SHARE {
            submission.cpus = 1.0e6;
        } else if impossible {
            submission.machine_types = Some(vec!["no-such-type".into()]);
        }
        let job = history_job(&submission);
        let spec = TaskSpec {
            job: id,
            tasks,
            cpus: submission.cpus,
            gpus: submission.gpus,
            ram_gb: submission.memory_gb,
            image,
            image_gb,
            run_s: None,
            checkpoint_s: c.checkpoint_s,
            save_s: c.save_s,
            mistaken,
            saved_s: 0.0,
            finished: false,
        };
        PlannedJob {
            submission,
            upload: UploadedJob { spec, run_times_s },
            job,
            cancel_after_s,
            runs_until_cancelled: standing,
            resubmits,
        }
    }
}

/// Converts a submission to its form in the history.
pub(crate) fn history_job(submission: &Submission) -> Job {
    Job {
        id: submission.id.clone(),
        class: submission.class.clone(),
        team: submission.team.clone(),
        standing: submission.kind == user::JobKind::Service,
        tasks: submission.tasks,
        cpus: submission.cpus,
        gpus: submission.gpus,
        ram_gb: submission.memory_gb,
        kinds: submission.machine_types.clone(),
        zone: submission.zone.clone(),
        one_zone: submission.single_zone,
        spread: submission.spread_over_zones,
        spot: submission.allow_spot,
        needs: submission.dependencies.clone(),
    }
}
