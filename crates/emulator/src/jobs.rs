//! What users order: jobs drawn from the night's classes.

use crate::machine::Sheet;
use crate::world::{Upload, World};
use cherrywood_judge::history::Job;
use cherrywood_night::workload::{Class, JobKind, Rank, Spread};
use cherrywood_wire::user::{Kind, MAX_TASKS, Priority, Submission};
use rand::Rng;
use rand_distr::StandardNormal;
use rand_pcg::Pcg64;
use std::collections::HashSet;

/// Standard deviations that 95 of 100 values lie below.
const SD_95: f64 = 1.645;
/// Spread of the run times of one job's tasks around the job's own.
const TASKS_VARY: f64 = 0.25;
/// Share of the jobs that can't run which ask for each impossible thing.
const UNKNOWN_TEAM: f64 = 0.4;
const TOO_LARGE: f64 = 0.7;

/// A job to be submitted, and what its user will do.
#[derive(Debug, Clone)]
pub struct Order {
    pub submission: Submission,
    pub upload: Upload,
    pub job: Job,
    pub cancels: bool,
    pub mistaken: bool,
    pub repeats: bool,
    pub stands_s: Option<f64>,
}

#[derive(Debug)]
pub struct Shop {
    rng: Pcg64,
    /// Of each class: name, GB, and how often each image is used, summed up.
    images: Vec<Vec<(String, f64, f64)>>,
    taken: HashSet<u32>,
}

fn draw(rng: &mut Pcg64, s: &Spread) -> f64 {
    let sigma = s.p95.map_or(0.0, |p| libm::log(p / s.median) / SD_95);
    let value = s.median * libm::exp(sigma * rng.sample::<f64, _>(StandardNormal));
    value.min(s.most.unwrap_or(f64::INFINITY))
}

/// Like a measured amount: no more digits than anybody would write.
fn round(v: f64) -> f64 {
    (v * 100.0).round() / 100.0
}

impl Shop {
    pub fn new(world: &World) -> Shop {
        let mut rng = world.rng("jobs");
        let classes = world.night.workload.classes.iter();
        let images = classes.map(|c| {
            let mut sum = 0.0;
            (0..c.images.count)
                .map(|i| {
                    sum += libm::pow(f64::from(i + 1), -c.images.zipf);
                    let gb = round(draw(&mut rng, &c.images.gb)).max(0.01);
                    (format!("img-{}-{i}", c.name), gb, sum)
                })
                .collect()
        });
        let images = images.collect();
        Shop {
            rng,
            images,
            taken: HashSet::new(),
        }
    }

    fn id(&mut self) -> String {
        loop {
            let n = self.rng.random_range(0..1_000_000);
            if self.taken.insert(n) {
                return format!("wk-{n:06}");
            }
        }
    }

    fn team(&mut self, world: &World, class: &Class) -> String {
        let teams = &world.night.deployment.teams;
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

    pub fn order(&mut self, world: &World, class: usize) -> Order {
        let c = &world.night.workload.classes[class];
        let w = &world.night.workload;
        let id = self.id();
        let team = self.team(world, c);
        let images = &self.images[class];
        let most = images.last().map_or(1.0, |i| i.2);
        let at = self.rng.random::<f64>() * most;
        let image = images.iter().find(|i| i.2 >= at).unwrap_or(&images[0]);
        let (image, image_gb) = (image.0.clone(), image.1);
        let rng = &mut self.rng;
        let standing = c.kind == JobKind::Standing;
        let tasks = (draw(rng, &c.tasks).round().max(1.0) as u32).min(MAX_TASKS);
        let run = draw(rng, &c.run_s);
        let limit = c.run_s.most.unwrap_or(f64::INFINITY);
        let runs: Vec<f64> = (0..if standing { 0 } else { tasks })
            .map(|_| {
                let by = libm::exp(TASKS_VARY * rng.sample::<f64, _>(StandardNormal));
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
        let repeats = chance(rng, w.repeats);
        let impossible = chance(rng, w.impossible);
        let kind: f64 = rng.random();
        let mut submission = Submission {
            id: id.clone(),
            class: c.name.clone(),
            team: team.clone(),
            kind: if standing { Kind::Service } else { Kind::Array },
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
            types: c.types.clone(),
            zone: c.zone.clone(),
            one_zone: c.one_zone,
            spread: c.spread,
            spot: c.spot,
            estimate_s,
            checkpoint_s: c.checkpoint_s,
            save_s: c.save_s,
            deadline_s: None,
        };
        if impossible && kind < UNKNOWN_TEAM {
            submission.team = "nobody".into();
        } else if impossible && kind < TOO_LARGE {
            submission.cpus = 1.0e6;
        } else if impossible {
            submission.types = Some(vec!["no-such-type".into()]);
        }
        let job = Job {
            id: id.clone(),
            class: submission.class.clone(),
            team: submission.team.clone(),
            standing,
            tasks,
            cpus: submission.cpus,
            kinds: submission.types.clone(),
            zone: submission.zone.clone(),
            one_zone: c.one_zone,
            spread: c.spread,
            spot: c.spot,
        };
        let sheet = Sheet {
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
        Order {
            submission,
            upload: Upload { sheet, runs },
            job,
            cancels,
            mistaken,
            repeats,
            stands_s: standing.then_some(c.stands_s),
        }
    }
}
