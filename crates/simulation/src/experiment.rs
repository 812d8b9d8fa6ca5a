//! Experiments: runs the same scenarios under different settings, over seeds and loads, and
//! compares them in pairs. Finished cells are stored, so that a stopped experiment can be
//! resumed.

use crate::log::Log;
use crate::plot;
use crate::run::{Options, run};
use anyhow::Context as _;
use cherrywood_checker::ClassFigures;
use cherrywood_node::settings::Operator;
use cherrywood_scenario::{Scenario, file};
use garde::Validate;
use maud::{DOCTYPE, Markup, PreEscaped, html};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rayon::prelude::*;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::fs::{self, OpenOptions};
use std::io::Write as _;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use tracing::Level;

/// Resamples of a bootstrap, and the share of them that an interval contains.
const RESAMPLES: usize = 4000;
const CONFIDENCE: f64 = 0.95;

/// Definition of an experiment: the scenarios that are run and the arms that are compared.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    #[garde(length(min = 1, max = 60))]
    pub name: String,
    #[serde(default)]
    #[garde(skip)]
    pub about: String,
    /// Number of seeds: each cell is run with the seeds 1 to this.
    #[garde(range(min = 1, max = 10_000))]
    pub seeds: u64,
    /// Multipliers of the scenario's traffic.
    #[serde(default = "once")]
    #[garde(length(min = 1, max = 50), inner(range(min = 0.001, max = 1000.0)))]
    pub loads: Vec<f64>,
    /// Multipliers of the jobs that wait at the start of the scenario, by name.
    #[serde(default = "no_backlogs")]
    #[garde(length(min = 1, max = 20))]
    pub backlogs: BTreeMap<String, f64>,
    /// Operator settings to compare, by name.
    #[garde(length(min = 2, max = 20), dive)]
    pub arms: BTreeMap<String, Operator>,
    /// The arm that the others are compared with.
    #[garde(skip)]
    pub against: String,
    #[garde(dive)]
    #[serde(alias = "night")]
    pub scenario: Scenario,
}

fn once() -> Vec<f64> {
    vec![1.0]
}

fn no_backlogs() -> BTreeMap<String, f64> {
    BTreeMap::from([("as written".to_string(), 1.0)])
}

/// One run of an experiment.
#[derive(Debug, Clone, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Cell {
    pub load: f64,
    pub backlog: String,
    pub arm: String,
    pub seed: u64,
}

/// Result of a cell.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Hash of the scenario, the settings, the seed and the version of this package: after a
    /// change of the file the cell is run again.
    pub key: String,
    pub cell: Cell,
    pub digest: String,
    /// Number of violations.
    pub broken: usize,
    /// Number of jobs that did not settle.
    pub unsettled: usize,
    pub price: f64,
    /// Values of [`MEASURES`], by class.
    pub classes: BTreeMap<String, [f64; MEASURES.len()]>,
}

impl Experiment {
    pub fn load(path: &Path) -> anyhow::Result<Experiment> {
        let name = path.display().to_string();
        let e: Experiment = file::parse(&name, &file::read(path)?)?;
        if !e.arms.contains_key(&e.against) {
            let all: Vec<&str> = e.arms.keys().map(String::as_str).collect();
            anyhow::bail!(
                "{name}, against: no such arm, found {}, allowed: {}",
                e.against,
                all.join(", ")
            );
        }
        // The scenario in the experiment file is validated like any other scenario.
        let mut report = garde::Report::new();
        cherrywood_scenario::check::check(&e.scenario, &mut report);
        if let Some((path, why)) = report.iter().next() {
            anyhow::bail!("{name}, scenario.{path}: {why}");
        }
        Ok(e)
    }

    pub fn cells(&self) -> Vec<Cell> {
        let mut cells = Vec::new();
        for seed in 1..=self.seeds {
            for load in &self.loads {
                for backlog in self.backlogs.keys() {
                    for arm in self.arms.keys() {
                        cells.push(Cell {
                            load: *load,
                            backlog: backlog.clone(),
                            arm: arm.clone(),
                            seed,
                        });
                    }
                }
            }
        }
        cells
    }

    fn scenario(&self, cell: &Cell) -> Scenario {
        let at_start = self.backlogs.get(&cell.backlog).copied().unwrap_or(1.0);
        self.scenario.clone().with_traffic(cell.load, at_start)
    }

    fn key(&self, cell: &Cell) -> String {
        let all = (self.scenario(cell), self.arms.get(&cell.arm), cell.seed);
        let text = serde_json::to_vec(&all).unwrap_or_default();
        let version = env!("CARGO_PKG_VERSION").as_bytes();
        let hash = blake3::hash(&[text.as_slice(), version].concat());
        hash.to_hex()[..24].to_string()
    }

    fn run_cell(&self, cell: &Cell) -> anyhow::Result<Row> {
        let options = Options {
            seed: cell.seed,
            operator: self.arms.get(&cell.arm).cloned().unwrap_or_default(),
            processes: None,
        };
        let log = Log::new(Level::ERROR, None, false);
        let outcome = log.capture(|| run(self.scenario(cell), &options, &log, &mut |_| Ok(())))?;
        let least = outcome.least.clone().unwrap_or_default();
        let figures = |c: &ClassFigures| {
            [
                c.done_mean_s,
                c.done_p95_s,
                c.wait_mean_s,
                c.wait_p95_s,
                100.0 * c.done as f64 / c.jobs.max(1) as f64,
                100.0 * least.share,
                100.0 * least.share / least.bound.max(1e-9),
            ]
        };
        let mut classes: BTreeMap<String, [f64; MEASURES.len()]> = outcome
            .measurements
            .classes
            .iter()
            .map(|(n, c)| (n.clone(), figures(c)))
            .collect();
        classes.insert(ALL_CLASSES.to_string(), figures(&outcome.measurements.all));
        Ok(Row {
            key: self.key(cell),
            cell: cell.clone(),
            broken: outcome.violations.len(),
            unsettled: outcome.unsettled(),
            digest: outcome.digest,
            price: outcome.measurements.price,
            classes,
        })
    }

    /// Runs the cells that are not in `cells.jsonl` yet, on all cores. `done` is called with the
    /// number of finished cells and of all cells.
    pub fn run(
        &self,
        dir: &Path,
        stop: &AtomicBool,
        done: &(dyn Fn(usize, usize) + Sync),
    ) -> anyhow::Result<Vec<Row>> {
        fs::create_dir_all(dir).with_context(|| dir.display().to_string())?;
        let path = dir.join("cells.jsonl");
        let stored = fs::read_to_string(&path).unwrap_or_default();
        // A truncated line, from a write that was interrupted, is ignored: its cell runs again.
        let stored: BTreeMap<String, Row> = stored
            .lines()
            .filter_map(|l| serde_json::from_str::<Row>(l).ok())
            .map(|r| (r.key.clone(), r))
            .collect();
        let cells = self.cells();
        let all = cells.len();
        let pending: Vec<&Cell> = cells
            .iter()
            .filter(|c| !stored.contains_key(&self.key(c)))
            .collect();
        let file = OpenOptions::new().create(true).append(true).open(&path);
        let file = Mutex::new(file.with_context(|| path.display().to_string())?);
        let count = std::sync::atomic::AtomicUsize::new(all - pending.len());
        done(count.load(Ordering::Relaxed), all);
        let fresh: anyhow::Result<Vec<Option<Row>>> = pending
            .par_iter()
            .map(|cell| {
                if stop.load(Ordering::Relaxed) {
                    return Ok(None);
                }
                let row = self.run_cell(cell)?;
                let line = serde_json::to_string(&row)?;
                let mut file = file.lock().map_err(|_| anyhow::anyhow!("cells.jsonl"))?;
                writeln!(file, "{line}")?;
                drop(file);
                done(count.fetch_add(1, Ordering::Relaxed) + 1, all);
                Ok(Some(row))
            })
            .collect();
        let wanted: BTreeSet<String> = cells.iter().map(|c| self.key(c)).collect();
        let mut rows: Vec<Row> = stored
            .into_values()
            .filter(|r| wanted.contains(&r.key))
            .collect();
        rows.extend(fresh?.into_iter().flatten());
        rows.sort_by(|a, b| {
            a.cell
                .partial_cmp(&b.cell)
                .unwrap_or(std::cmp::Ordering::Equal)
        });
        Ok(rows)
    }
}

/// Name of the entry that counts all classes together.
const ALL_CLASSES: &str = "all";

/// Measures of a class, in the order of [`Row::classes`].
pub const MEASURES: [&str; 7] = [
    "mean completion",
    "95% completion",
    "mean wait of tasks",
    "95% wait of tasks",
    "jobs done (%)",
    "least served in time (%)",
    "least served, of its bound (%)",
];

/// Index in [`MEASURES`] from which the measures are of the scenario as a whole. They are
/// compared only if the scenario asks for the share of jobs served.
const FIRST_SCENARIO_MEASURE: usize = 5;

/// Comparison of an arm with the base arm in one measure of a class, at a load and backlog.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Comparison {
    pub load: f64,
    pub backlog: String,
    pub class: String,
    pub measure: &'static str,
    pub arm: String,
    /// Number of seeds that both arms have run.
    pub pairs: usize,
    /// Means over the seeds of the base arm and of this arm, s or %.
    pub base: f64,
    pub got: f64,
    /// Mean of the paired differences over the mean of the base, in % (for shares: in
    /// percentage points), and the interval that contains 95 of 100 resamples.
    pub change: f64,
    pub from: f64,
    pub to: f64,
}

/// Returns the bootstrap interval of the relative change, in %, by resampling the pairs.
pub fn bootstrap(base: &[f64], diffs: &[f64], seed: u64) -> (f64, f64) {
    let n = diffs.len();
    if n == 0 {
        return (0.0, 0.0);
    }
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut all: Vec<f64> = (0..RESAMPLES)
        .map(|_| {
            let (mut b, mut d) = (0.0, 0.0);
            for _ in 0..n {
                let at = rng.random_range(0..n);
                b += base[at];
                d += diffs[at];
            }
            100.0 * d / b.max(1e-9)
        })
        .collect();
    all.sort_by(f64::total_cmp);
    let at = |share: f64| all[((RESAMPLES as f64 * share) as usize).min(RESAMPLES - 1)];
    (at((1.0 - CONFIDENCE) / 2.0), at((1.0 + CONFIDENCE) / 2.0))
}

/// Compares each arm with the base arm, paired by seed.
pub fn compare(e: &Experiment, rows: &[Row]) -> Vec<Comparison> {
    let mut by_arm: BTreeMap<(String, String, String), BTreeMap<u64, &Row>> = BTreeMap::new();
    for r in rows {
        let c = &r.cell;
        let at = (
            format!("{:010.4}", c.load),
            c.backlog.clone(),
            c.arm.clone(),
        );
        by_arm.entry(at).or_default().insert(c.seed, r);
    }
    let mut out = Vec::new();
    for ((load, backlog, arm), cells) in &by_arm {
        if *arm == e.against {
            continue;
        }
        let base = (load.clone(), backlog.clone(), e.against.clone());
        let Some(base) = by_arm.get(&base) else {
            continue;
        };
        let classes: BTreeSet<&String> = cells.values().flat_map(|r| r.classes.keys()).collect();
        for class in classes {
            let served_wanted = class == ALL_CLASSES && e.scenario.deployment.served.is_some();
            let measures = if served_wanted {
                &MEASURES[..]
            } else {
                &MEASURES[..FIRST_SCENARIO_MEASURE]
            };
            for (m, measure) in measures.iter().enumerate() {
                let pairs: Vec<(f64, f64)> = cells
                    .iter()
                    .filter_map(|(seed, r)| {
                        let b = base.get(seed)?.classes.get(class)?[m];
                        Some((b, r.classes.get(class)?[m]))
                    })
                    .collect();
                let n = pairs.len().max(1) as f64;
                let bases: Vec<f64> = pairs.iter().map(|p| p.0).collect();
                let diffs: Vec<f64> = pairs.iter().map(|p| p.1 - p.0).collect();
                // The change of a share is in percentage points: a base share of 0 has no
                // relative change.
                let bases = match measure.ends_with("(%)") {
                    true => vec![100.0; pairs.len()],
                    false => bases,
                };
                let sum: f64 = bases.iter().sum();
                let (from, to) = bootstrap(&bases, &diffs, 1);
                out.push(Comparison {
                    load: load.parse().unwrap_or(0.0),
                    backlog: backlog.clone(),
                    class: class.clone(),
                    measure,
                    arm: arm.clone(),
                    pairs: pairs.len(),
                    base: pairs.iter().map(|p| p.0).sum::<f64>() / n,
                    got: pairs.iter().map(|p| p.1).sum::<f64>() / n,
                    change: 100.0 * diffs.iter().sum::<f64>() / sum.max(1e-9),
                    from,
                    to,
                });
            }
        }
    }
    out
}

/// Returns the table for the terminal: all classes together, without the waits of tasks;
/// the report contains every comparison.
pub fn table(e: &Experiment, comparisons: &[Comparison]) -> String {
    let mut out = format!(
        "{:<6} {:<12} {:<14} {:<31} {:<14} {:>9} {:>9} {:>9}  95% interval\n",
        "load", "backlog", "class", "measure", "arm", e.against, "arm", "change"
    );
    for c in comparisons
        .iter()
        .filter(|c| c.class == ALL_CLASSES && !c.measure.ends_with("tasks"))
    {
        let _ = writeln!(
            out,
            "{:<6} {:<12} {:<14} {:<31} {:<14} {:>9.1} {:>9.1} {:>+8.1}%  {:+.1}% to {:+.1}%",
            c.load, c.backlog, c.class, c.measure, c.arm, c.base, c.got, c.change, c.from, c.to
        );
    }
    out
}

/// Writes comparisons.json and report.html.
pub fn write(dir: &Path, e: &Experiment, rows: &[Row], all: &[Comparison]) -> anyhow::Result<()> {
    let text = serde_json::to_string_pretty(all)?;
    fs::write(dir.join("comparisons.json"), text).context("comparisons.json")?;
    let page = page(e, rows, all).into_string();
    fs::write(dir.join("report.html"), page).context("report.html")?;
    Ok(())
}

fn page(e: &Experiment, rows: &[Row], all: &[Comparison]) -> Markup {
    let broken: usize = rows.iter().map(|r| r.broken).sum();
    let unsettled: usize = rows.iter().map(|r| r.unsettled).sum();
    let mut plots = Vec::new();
    let classes: BTreeSet<&str> = all.iter().map(|c| c.class.as_str()).collect();
    for backlog in e.backlogs.keys() {
        for class in &classes {
            for measure in &MEASURES[..2] {
                let ours = |c: &&Comparison| {
                    c.backlog == *backlog && c.class == *class && c.measure == *measure
                };
                let mut series: BTreeMap<&str, Vec<[f64; 4]>> = BTreeMap::new();
                for c in all.iter().filter(ours) {
                    let points = series.entry(c.arm.as_str()).or_default();
                    points.push([c.load, c.change, c.from, c.to]);
                }
                let svg = plot::intervals(&series);
                plots.push((format!("{class}, {measure}, backlog {backlog}"), svg));
            }
        }
    }
    html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                title { "Experiment " (e.name) }
                style { (PreEscaped(crate::report::STYLE)) }
            }
            body {
                h1 { "Experiment " (e.name) }
                @if !e.about.is_empty() { p { (e.about) } }
                p { (rows.len()) " runs, " (broken) " rules broken, " (unsettled) " jobs unsettled. "
                    "Change against " b { (e.against) } ", of paired runs, with the interval that contains "
                    "95 of 100 bootstrap resamples." }
                table {
                    tr { th { "load" } th { "backlog" } th { "class" } th { "measure" } th { "arm" }
                         th.n { (e.against) ", s or %" } th.n { "arm" } th.n { "change" } th { "interval" } th.n { "pairs" } }
                    @for c in all {
                        tr { td { (c.load) } td { (c.backlog) } td { (c.class) } td { (c.measure) } td { (c.arm) }
                             td.n { (format!("{:.1}", c.base)) } td.n { (format!("{:.1}", c.got)) }
                             td.n { (format!("{:+.1}%", c.change)) }
                             td { (format!("{:+.1}% to {:+.1}%", c.from, c.to)) } td.n { (c.pairs) } }
                    }
                }
                h2 { "Change in % by load" }
                @for (title, svg) in &plots { h3 { (title) } (PreEscaped(svg)) }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_bootstrap_interval_contains_the_change_and_is_narrow_where_pairs_agree() {
        let base = [10.0; 30];
        let same = [-2.0; 30];
        let (from, to) = bootstrap(&base, &same, 1);
        assert!((from + 20.0).abs() < 1e-9 && (to + 20.0).abs() < 1e-9);
        let wild: Vec<f64> = (0..30)
            .map(|i| if i % 2 == 0 { 8.0 } else { -8.0 })
            .collect();
        let (from, to) = bootstrap(&base, &wild, 1);
        assert!(from < -5.0 && to > 5.0, "{from} {to}: no difference");
    }

    /// Guards against a relative change of a share: with a base share of 0 it was a number of
    /// 14 digits.
    #[test]
    fn the_change_of_a_share_is_in_percentage_points() {
        let text = include_str!("../../../experiments/overload.yaml");
        let e: Experiment = file::parse("overload.yaml", text).unwrap();
        let row = |arm: &str, seed, share| Row {
            key: String::new(),
            cell: Cell {
                load: 1.0,
                backlog: "as written".into(),
                arm: arm.into(),
                seed,
            },
            digest: String::new(),
            broken: 0,
            unsettled: 0,
            price: 1.0,
            classes: BTreeMap::from([(
                ALL_CLASSES.to_string(),
                [10.0, 20.0, 1.0, 2.0, 100.0, share, share],
            )]),
        };
        let rows = [
            row("rank-alone", 1, 0.0),
            row("rank-alone", 2, 0.0),
            row("as-built", 1, 60.0),
            row("as-built", 2, 70.0),
        ];
        let all = compare(&e, &rows);
        let least = all
            .iter()
            .find(|c| c.measure == MEASURES[FIRST_SCENARIO_MEASURE])
            .unwrap();
        assert_eq!((least.base, least.got, least.change), (0.0, 65.0, 65.0));
        assert!(least.from >= 60.0 && least.to <= 70.0, "{least:?}");
    }
}
