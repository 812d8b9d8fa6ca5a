//! Validation across fields: values that are valid one by one can contradict one another.

use crate::workload::JobKind;
use crate::{Aim, Fault, Scenario};
use garde::{Error, Path, Report};

fn join_names(names: &[&str]) -> String {
    names.join(", ")
}

/// Appends each violated constraint to the report, with the path of its field.
pub fn check(scenario: &Scenario, report: &mut Report) {
    let d = &scenario.deployment;
    let root = Path::empty;
    let zones: Vec<&str> = d.zones.iter().map(String::as_str).collect();
    let kinds: Vec<&str> = d.machine_types.iter().map(|t| t.name.as_str()).collect();
    let teams: Vec<&str> = d.teams.iter().map(|t| t.name.as_str()).collect();
    let classes: Vec<&str> = scenario
        .workload
        .classes
        .iter()
        .map(|c| c.name.as_str())
        .collect();
    let mut reject = |path: Path, why: String| report.append(path, Error::new(why));
    let unknown =
        |what: &str, names: &[&str]| format!("no such {what}; allowed: {}", join_names(names));
    for (what, names, field) in [
        ("zone", &zones, "zones"),
        ("machine type", &kinds, "machine_types"),
        ("team", &teams, "teams"),
    ] {
        let mut seen = names.clone();
        seen.sort_unstable();
        if let Some(w) = seen.windows(2).find(|w| w[0] == w[1]) {
            let why = format!("two {what}s are called {}", w[0]);
            reject(root().join("deployment").join(field), why);
        }
    }
    let capacity = root().join("deployment").join("capacity");
    for (i, c) in d.capacity.iter().enumerate() {
        let at = |field| capacity.join(i).join(field);
        if !zones.contains(&c.zone.as_str()) {
            reject(at("zone"), unknown("zone", &zones));
        }
        let kind = d.machine_types.iter().find(|t| t.name == c.kind);
        if kind.is_none() {
            reject(at("type"), unknown("machine type", &kinds));
        } else if c.spot > 0 && kind.is_some_and(|k| k.spot_price.is_none()) {
            reject(at("spot"), format!("{} has no spot_price", c.kind));
        }
        if c.up > c.count {
            reject(at("up"), format!("more than count, which is {}", c.count));
        }
    }
    let total: u32 = d.capacity.iter().map(|c| c.count + c.spot).sum();
    if total == 0 {
        reject(capacity, "no machine can be rented".to_string());
    }
    if d.workers.lease_s < 4.0 * d.workers.report_s {
        let path = root().join("deployment").join("workers").join("lease_s");
        let least = 4.0 * d.workers.report_s;
        reject(path, format!("shorter than four reports, {least} s"));
    }
    let least = cherrywood_limits::min_cancel_s(d.workers.lease_s);
    if d.workers.cancel_s < least {
        let path = root().join("deployment").join("workers").join("cancel_s");
        reject(
            path,
            format!("too short beside lease_s; at least {least:.2} s"),
        );
    }
    let pipelines = root().join("workload").join("pipelines");
    for (i, p) in scenario.workload.pipelines.iter().enumerate() {
        for (n, stage) in p.stages.iter().enumerate() {
            let at = |field| pipelines.join(i).join("stages").join(n).join(field);
            let class = scenario
                .workload
                .classes
                .iter()
                .find(|c| c.name == stage.class);
            if class.is_none() {
                reject(at("class"), unknown("class", &classes));
            } else if class.is_some_and(|c| c.kind == JobKind::Standing) {
                let why = "a standing job is never done; allowed: arrays".to_string();
                reject(at("class"), why);
            }
            if let Some(later) = stage.needs.iter().find(|m| **m >= n) {
                let why = format!("found {later}; allowed: stages before it, 0 to {n} without {n}");
                reject(at("needs"), why);
            }
        }
    }
    let class_paths = root().join("workload").join("classes");
    for (i, c) in scenario.workload.classes.iter().enumerate() {
        let at = |field| class_paths.join(i).join(field);
        if let Some(team) = &c.team
            && !teams.contains(&team.as_str())
        {
            reject(at("team"), unknown("team", &teams));
        }
        if let Some(zone) = &c.zone
            && !zones.contains(&zone.as_str())
        {
            reject(at("zone"), unknown("zone", &zones));
        }
        if let Some(types) = &c.types
            && let Some(t) = types.iter().find(|t| !kinds.contains(&t.as_str()))
        {
            reject(
                at("types"),
                format!("{t}: {}", unknown("machine type", &kinds)),
            );
        }
        let fits = d.machine_types.iter().any(|t| {
            let is_offered = d.capacity.iter().any(|k| {
                k.kind == t.name
                    && (k.count > 0 || c.spot && k.spot > 0)
                    && c.zone.as_ref().is_none_or(|z| *z == k.zone)
            });
            is_offered
                && c.types.as_ref().is_none_or(|a| a.contains(&t.name))
                && c.cpus <= t.cpus
                && c.gpus <= t.gpus
                && c.ram_gb <= t.ram_gb
        });
        if !fits {
            let why = "a task fits no machine type that can be rented for it";
            reject(at("cpus"), why.to_string());
        }
        if c.kind == JobKind::Standing {
            let least = d
                .teams
                .iter()
                .filter(|t| c.team.as_ref().is_none_or(|n| *n == t.name))
                .map(|t| {
                    if t.cpus_max > 0.0 {
                        t.cpus_max
                    } else {
                        f64::INFINITY
                    }
                })
                .fold(f64::INFINITY, f64::min);
            let most = c.tasks.most.or(c.tasks.p95).unwrap_or(c.tasks.median);
            if most * c.cpus > least {
                let why = format!("a standing job of {most} tasks is more than its team's limit");
                reject(at("tasks"), why);
            }
        }
    }
    let aims = root().join("deployment").join("aims");
    for (i, a) in d.aims.iter().enumerate() {
        // An objective for a class that the scenario does not have is allowed and has no effect.
        if let Aim::Wait { class, .. } | Aim::Finished { class, .. } = a
            && class.is_empty()
        {
            reject(aims.join(i), "class is empty".to_string());
        }
    }
    let faults = root().join("troubles");
    for (i, t) in scenario.troubles.iter().enumerate() {
        let at = |field| faults.join(i).join(field);
        if t.at_s() >= scenario.play_s {
            let why = format!("after the end of play, which is at {} s", scenario.play_s);
            reject(at("at_s"), why);
        }
        let zone = match t {
            Fault::ZoneCut(t) => Some(&t.zone),
            Fault::CloudFull(t) => t.zone.as_ref(),
            Fault::BootsLate(t) => t.zone.as_ref(),
            Fault::MachineDie(t) => t.zone.as_ref(),
            Fault::MachineDeaf(t) => t.zone.as_ref(),
            Fault::MachineMute(t) => t.zone.as_ref(),
            _ => None,
        };
        if zone.is_some_and(|z| !zones.contains(&z.as_str())) {
            reject(at("zone"), unknown("zone", &zones));
        }
        if let Fault::JobBurst(t) = t
            && !classes.contains(&t.class.as_str())
        {
            reject(at("class"), unknown("class", &classes));
        }
    }
    let mut check_span = |path: Path, from_s: f64, to_s: f64| {
        if to_s <= from_s {
            reject(path, format!("not after from_s, {from_s} s"));
        } else if to_s > scenario.play_s {
            let why = format!("after the end of play, which is at {} s", scenario.play_s);
            reject(path, why);
        }
    };
    for (i, draw) in scenario.drawn.iter().enumerate() {
        let path = root().join("drawn").join(i).join("to_s");
        check_span(path, draw.from_s, draw.to_s);
    }
    if let Some(compound) = &scenario.drawn_compound {
        let path = root().join("drawn_compound").join("to_s");
        check_span(path, compound.from_s, compound.to_s);
    }
}
