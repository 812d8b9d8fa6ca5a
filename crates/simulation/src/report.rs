//! The report of a run: `report.json`, and a self-contained HTML page with plots.

use crate::log::Log;
use crate::plot;
use crate::run::Outcome;
use crate::summary::{self, aim};
use crate::timeline::{CpuAccount, Timeline, timeline};
use anyhow::Context as _;
use cherrywood_checker::GroupFigures;
use cherrywood_checker::Share;
use cherrywood_checker::settle::{End, tally};
use maud::{DOCTYPE, Markup, PreEscaped, html};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::BufWriter;
use std::path::Path;

/// Content of `report.json`.
#[derive(Debug, Serialize)]
pub struct Report {
    pub scenario: String,
    pub about: String,
    pub seed: u64,
    pub digest: String,
    /// Virtual s that the scenario lasted, and real s that the run took.
    pub scenario_s: f64,
    pub real_s: f64,
    /// Reason for which the run ended early.
    pub stopped: Option<String>,
    pub good: bool,
    /// Number of jobs, by outcome.
    pub jobs: BTreeMap<&'static str, usize>,
    pub unsettled: Vec<String>,
    /// Violations of the rules.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
    /// Controllers that exited by themselves, with the cause.
    #[serde(rename = "ended")]
    pub exited: Vec<String>,
    /// Reasons for which the operators would count the run as failed.
    pub failed: Vec<String>,
    pub classes: BTreeMap<String, ClassReport>,
    /// Every class and every team.
    pub groups: Vec<GroupReport>,
    /// Jobs left waiting although there was capacity, between faults.
    pub earlier_waits: usize,
    /// Tasks that came onto machines after their user was told that the job is cancelled.
    pub starts_after_cancel: u64,
    pub least: Option<LeastServedReport>,
    pub aims: Vec<AimResult>,
    pub cost: f64,
    pub price: f64,
    pub useful_cpu_s: f64,
    /// Keys and bytes in the key-value store at the end, and requests over its rates.
    pub state_keys: usize,
    pub state_bytes: usize,
    pub state_over_rate: u64,
    pub timeline: Timeline,
}

/// Figures of a job class.
#[derive(Debug, Serialize)]
pub struct ClassReport {
    pub jobs: usize,
    pub done: usize,
    pub done_mean_s: f64,
    pub done_p95_s: f64,
    pub wait_mean_s: f64,
    pub wait_p95_s: f64,
}

/// Figures of a class or a team.
#[derive(Debug, Serialize)]
pub struct GroupReport {
    /// `class` or `team`.
    pub kind: &'static str,
    pub name: String,
    pub jobs: usize,
    /// Share done of the jobs that were wanted and could run, and their number.
    pub served: f64,
    pub wanted: usize,
    /// The same for the largest tenth of the jobs of a class.
    pub largest_served: Option<f64>,
    pub largest_wanted: Option<usize>,
    /// Longest wait of a job although there was capacity, while no fault was active, s; and
    /// longest time in which no request about an accepted job got a conclusive response, s.
    pub longest_wait_beside_room_s: f64,
    pub longest_without_answer_s: f64,
}

impl From<&GroupFigures> for GroupReport {
    fn from(figures: &GroupFigures) -> GroupReport {
        GroupReport {
            kind: figures.kind.name(),
            name: figures.name.clone(),
            jobs: figures.jobs,
            served: figures.served.value(),
            wanted: figures.served.wanted,
            largest_served: figures.largest.map(Share::value),
            largest_wanted: figures.largest.map(|share| share.wanted),
            longest_wait_beside_room_s: figures.longest_wait_s,
            longest_without_answer_s: figures.longest_unanswered_s,
        }
    }
}

/// The class or team served least: the share of its jobs done in time, and the share that
/// every class could have had.
#[derive(Debug, Serialize)]
pub struct LeastServedReport {
    pub name: String,
    pub share: f64,
    pub bound: f64,
    /// Longest time from when an accepted job of the largest tenths of all classes was ready to
    /// its start, s.
    pub longest_start_s: f64,
}

/// An objective of the deployment, with the value that was reached.
#[derive(Debug, Serialize)]
pub struct AimResult {
    pub aim: String,
    pub wanted: f64,
    pub got: f64,
    pub met: bool,
}

fn end_name(end: End) -> &'static str {
    match end {
        End::Done => "done",
        End::Cancelled => "cancelled",
        End::Refused => "refused",
        End::NeverAccepted => "never accepted",
        End::Unsettled => "unsettled",
    }
}

/// Builds the report of a run.
pub fn report(o: &Outcome) -> Report {
    let unsettled = o.settled.iter().filter(|(_, s)| s.end == End::Unsettled);
    Report {
        scenario: o.scenario.name.clone(),
        about: o.scenario.about.clone(),
        seed: o.seed,
        digest: o.digest.clone(),
        scenario_s: o.scenario_s,
        real_s: o.real_s,
        stopped: o.stopped.clone(),
        good: o.is_good(),
        jobs: tally(&o.settled)
            .into_iter()
            .map(|(e, n)| (end_name(e), n))
            .collect(),
        unsettled: unsettled
            .map(|(id, s)| format!("{id}: {}", s.evidence))
            .collect(),
        violations: o.violations.iter().map(ToString::to_string).collect(),
        exited: o.exited.clone(),
        classes: o
            .measurements
            .classes
            .iter()
            .map(|(n, c)| {
                let c = ClassReport {
                    jobs: c.jobs,
                    done: c.done,
                    done_mean_s: c.done_mean_s,
                    done_p95_s: c.done_p95_s,
                    wait_mean_s: c.wait_mean_s,
                    wait_p95_s: c.wait_p95_s,
                };
                (n.clone(), c)
            })
            .collect(),
        failed: o.failures.iter().map(ToString::to_string).collect(),
        groups: o.groups.iter().map(GroupReport::from).collect(),
        earlier_waits: o.earlier_waits.len(),
        starts_after_cancel: o.starts_after_cancel,
        least: o.least.clone().map(|l| LeastServedReport {
            name: l.name,
            share: l.share,
            bound: l.bound,
            longest_start_s: l.longest_start_s,
        }),
        aims: o
            .measurements
            .reached
            .iter()
            .map(|r| {
                let (aim, wanted) = aim(&r.aim);
                AimResult {
                    aim,
                    wanted,
                    got: r.got,
                    met: r.met,
                }
            })
            .collect(),
        cost: o.measurements.cost,
        price: o.measurements.price,
        useful_cpu_s: o.measurements.useful_cpu_s,
        state_keys: o.state.0,
        state_bytes: o.state.1,
        state_over_rate: o.over_rate,
        timeline: timeline(&o.history.events),
    }
}

/// Creates the directory of a report and checks that files can be written to it. Called
/// before the run, so that a report that cannot be written fails at once.
pub fn prepare(dir: &Path) -> anyhow::Result<()> {
    let probe = dir.join("history.jsonl");
    let created = fs::create_dir_all(dir).and_then(|()| File::create(&probe));
    created
        .map(|_| ())
        .with_context(|| format!("report directory {}", dir.display()))
}

/// Writes report.json, report.html, history.jsonl and controllers.log.
pub fn write(dir: &Path, o: &Outcome, log: &Log) -> anyhow::Result<()> {
    let report = report(o);
    let file = |name: &str| {
        let path = dir.join(name);
        let file = File::create(&path).with_context(|| path.display().to_string());
        file.map(BufWriter::new)
    };
    serde_json::to_writer_pretty(file("report.json")?, &report).context("report.json")?;
    o.history
        .write(&mut file("history.jsonl")?)
        .context("history.jsonl")?;
    let lines: Vec<String> = log.lines().iter().map(ToString::to_string).collect();
    let text = lines.join("\n") + "\n";
    fs::write(dir.join("controllers.log"), text).context("controllers.log")?;
    let page = page(&report, o).into_string();
    fs::write(dir.join("report.html"), page).context("report.html")?;
    Ok(())
}

/// Style sheet of the HTML pages.
pub const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:960px;padding:0 1em;color:#222}\
h1{font-size:1.5em}h2{font-size:1.1em;margin-top:2em}table{border-collapse:collapse}\
td,th{padding:.2em .8em .2em 0;text-align:left;vertical-align:top}td.n,th.n{text-align:right}\
.bad{color:#b00020;font-weight:600}.good{color:#1b6e3c;font-weight:600}pre{background:#f5f5f2;padding:.8em;overflow:auto}\
svg{max-width:100%;height:auto}footer{margin:3em 0 1em;color:#777;font-size:.85em}";

fn page(r: &Report, o: &Outcome) -> Markup {
    let verdict = summary::verdict(o);
    let plots = plot::timeline_plots(&r.timeline);
    html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { "Simulation " (r.scenario) ", seed " (r.seed) }
                style { (PreEscaped(STYLE)) }
            }
            body {
                h1 { "Simulation " (r.scenario) ", seed " (r.seed) }
                @if !r.about.is_empty() { p { (r.about) } }
                p class=(if r.good { "good" } else { "bad" }) { (verdict) }
                @if let Some(why) = &r.stopped { p class="bad" { "Stopped: " (why) } }
                h2 { "Jobs" }
                table {
                    @for (end, n) in &r.jobs { tr { td { (end) } td.n { (n) } } }
                }
                table {
                    tr { th { "class" } th.n { "jobs" } th.n { "done" } th.n { "mean s" } th.n { "95% s" }
                         th.n { "wait s" } th.n { "95% s" } }
                    @for (class, c) in &r.classes {
                        tr { td { (class) } td.n { (c.jobs) } td.n { (c.done) }
                             td.n { (one_decimal(c.done_mean_s)) } td.n { (one_decimal(c.done_p95_s)) }
                             td.n { (one_decimal(c.wait_mean_s)) } td.n { (one_decimal(c.wait_p95_s)) } }
                    }
                }
                (group_table(o))
                @if !r.failed.is_empty() {
                    h2 { "Failures" }
                    ul { @for f in &r.failed { li class="bad" { (f) } } }
                }
                @if !r.violations.is_empty() {
                    h2 { "Rules broken" }
                    ul { @for v in &r.violations { li class="bad" { (v) } } }
                }
                @if !r.unsettled.is_empty() {
                    h2 { "Unsettled" }
                    ul { @for u in &r.unsettled { li { (u) } } }
                }
                @if !r.exited.is_empty() {
                    h2 { "Controllers that exited by themselves" }
                    ul { @for e in &r.exited { li class="bad" { (e) } } }
                }
                h2 { "Aims" }
                table {
                    tr { th { "aim" } th.n { "wanted" } th.n { "got" } th {} }
                    @for a in &r.aims {
                        tr { td { (a.aim) } td.n { (a.wanted) } td.n { (format!("{:.3}", a.got)) }
                             td class=(if a.met { "good" } else { "bad" }) { (if a.met { "met" } else { "missed" }) } }
                    }
                }
                h2 { "Over time" }
                p { "Shaded: faults." }
                @for (title, svg) in &plots { h3 { (title) } (PreEscaped(svg)) }
                h2 { "Use of paid CPU time" }
                (account_table(&r.timeline.account))
                h2 { "Cost" }
                p { (format!("{:.2} spent, {:.1} CPU-hours of useful work, price {:.2}.",
                             r.cost, r.useful_cpu_s / 3600.0, r.price)) }
                h2 { "Key-value store" }
                p { (r.state_keys) " keys, " (r.state_bytes) " bytes at the end; "
                    (r.state_over_rate) " requests over its rates." }
                footer { "digest " (r.digest) ": blake3 of history.jsonl, first 16 digits; "
                         (one_decimal(r.scenario_s)) " s simulated in " (one_decimal(r.real_s)) " s" }
            }
        }
    }
}

/// Table of classes and teams: shares served and longest waits.
fn group_table(o: &Outcome) -> Markup {
    html! {
        table {
            tr { th { "class or team" } th.n { "jobs" } th.n { "served" } th.n { "largest served" }
                 th.n { "longest wait beside free capacity, s" } th.n { "longest without a response, s" } }
            @for g in &o.groups {
                tr { td { (g.kind.name()) " " (g.name) } td.n { (g.jobs) }
                     td.n { (summary::share(Some(g.served))) } td.n { (summary::share(g.largest)) }
                     td.n { (one_decimal(g.longest_wait_s)) } td.n { (one_decimal(g.longest_unanswered_s)) } }
            }
        }
        p { (o.starts_after_cancel) " tasks started after the cancellation of their job was acknowledged; "
            (o.earlier_waits.len()) " jobs were left waiting beside free capacity between faults." }
    }
}

fn one_decimal(v: f64) -> String {
    format!("{v:.1}")
}

/// Table of the CPU time paid for, by use.
fn account_table(accounts: &BTreeMap<String, CpuAccount>) -> Markup {
    let share = |part: f64, a: &CpuAccount| {
        let sum = a.booting + a.fetching + a.useful + a.lost + a.idle;
        format!("{:.0}%", 100.0 * part / sum.max(1e-9))
    };
    html! {
        table {
            tr { th { "type, zone, kind" } th.n { "CPU-hours" } th.n { "booting" } th.n { "fetching" }
                 th.n { "useful" } th.n { "lost" } th.n { "idle" } }
            @for (place, a) in accounts {
                tr {
                    td { (place) }
                    td.n { (one_decimal((a.booting + a.fetching + a.useful + a.lost + a.idle) / 3600.0)) }
                    td.n { (share(a.booting, a)) } td.n { (share(a.fetching, a)) }
                    td.n { (share(a.useful, a)) } td.n { (share(a.lost, a)) } td.n { (share(a.idle, a)) }
                }
            }
        }
    }
}
