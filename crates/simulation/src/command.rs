//! `cherrywood simulate`, and `cherrywood schema`.

use crate::exit::{BAD_INPUT, BROKEN, GOOD};
use crate::experiment::{self, Experiment, compare};
use crate::live::Live;
use crate::log::Log;
use crate::play::{Options, Scene, play};
use crate::search::search;
use crate::{report, summary};
use cherrywood_node::settings::Settings;
use cherrywood_scenario::Scenario;
use cherrywood_scenario::file::read;
use clap::{Args, ValueEnum};
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tracing::Level;

/// The scenario that is played if none is named.
pub const QUIET: &str = include_str!("../../../scenarios/quiet.yaml");

/// Play a scenario: the whole service on this machine, troubles included.
#[derive(Debug, Args)]
pub struct SimulateArgs {
    /// The scenario (YAML); a quiet one if it isn't given.
    pub scenario: Option<PathBuf>,
    /// Draws everything; the same seed replays the same scenario. That of the file, or 1,
    /// if it isn't given.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Write report.html, report.json, history.jsonl and controllers.log here.
    #[arg(long, value_name = "DIR")]
    pub report: Option<PathBuf>,
    /// Machines, teams and traffic times this.
    #[arg(long, default_value_t = 1.0, value_name = "TIMES")]
    pub scale: f64,
    /// Play only so many seconds of it, with the troubles in them.
    #[arg(long, value_name = "S")]
    pub play: Option<f64>,
    /// Run the controllers as processes on loopback, in real time.
    #[arg(long, conflicts_with = "live")]
    pub processes: bool,
    /// First port on loopback of a scenario with processes.
    #[arg(
        long,
        default_value_t = 21_000,
        value_name = "PORT",
        requires = "processes"
    )]
    pub port: u16,
    /// Watch it on the terminal: pause, single steps, speed.
    #[arg(long, conflicts_with_all = ["log"])]
    pub live: bool,
    /// The operators' own settings (YAML).
    #[arg(long, value_name = "FILE")]
    pub operator: Option<PathBuf>,
    /// Play so many seeds on all cores, from --seed on, and say what was not good.
    #[arg(long, value_name = "N", conflicts_with_all = ["report", "live", "processes", "trace", "log"])]
    pub search: Option<u64>,
    /// Write the smallest scenario that fails in the same way, of each that fails, here.
    #[arg(long, value_name = "DIR", requires = "search")]
    pub shrink: Option<PathBuf>,
    /// Print the life of one job across all controllers.
    #[arg(long, value_name = "ID")]
    pub trace: Option<String>,
    /// Print what the controllers log.
    #[arg(long, value_name = "LEVEL")]
    pub log: Option<LogLevel>,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum LogLevel {
    Error,
    Warn,
    Info,
    Debug,
}

impl LogLevel {
    fn level(self) -> Level {
        match self {
            LogLevel::Error => Level::ERROR,
            LogLevel::Warn => Level::WARN,
            LogLevel::Info => Level::INFO,
            LogLevel::Debug => Level::DEBUG,
        }
    }
}

/// Set by ctrl-C; a scenario then ends with the report of what was played.
pub fn interrupted() -> Arc<AtomicBool> {
    let flag = Arc::new(AtomicBool::new(false));
    let set = flag.clone();
    // A second handler in one process is refused: then the first one stays.
    let _ = ctrlc::set_handler(move || set.store(true, Ordering::Relaxed));
    flag
}

pub fn load(args: &SimulateArgs) -> anyhow::Result<(Scenario, Options)> {
    let scenario = match &args.scenario {
        Some(path) => Scenario::load(path)?,
        None => Scenario::parse("the built-in scenario", QUIET)?,
    };
    if !(args.scale.is_finite() && (0.01..=1000.0).contains(&args.scale)) {
        anyhow::bail!("--scale: 0.01 to 1000 is allowed, found {}", args.scale);
    }
    let operator = match &args.operator {
        Some(path) => Settings::parse_operator(&path.display().to_string(), &read(path)?)?,
        None => cherrywood_node::settings::Operator::default(),
    };
    let options = Options {
        seed: args.seed.or(scenario.seed).unwrap_or(1),
        operator,
        processes: args.processes.then_some(args.port),
    };
    let mut scenario = scenario.scaled(args.scale);
    if let Some(s) = args.play {
        if !(10.0..=scenario.play_s).contains(&s) {
            anyhow::bail!("--play: 10 to {} s is allowed, found {s}", scenario.play_s);
        }
        scenario = scenario.first(s);
    }
    if options.processes.is_some() {
        let drawn = scenario.clone().with_draws(options.seed);
        let out = drawn
            .troubles
            .iter()
            .filter(|t| !t.can_run_on_loopback())
            .map(|t| t.name());
        for name in out.collect::<std::collections::BTreeSet<_>>() {
            eprintln!("cherrywood: {name} can't be made with processes, and is left out");
        }
    }
    Ok((scenario, options))
}

pub fn simulate(args: &SimulateArgs) -> u8 {
    let prepared = load(args).and_then(|loaded| {
        if let Some(dir) = &args.report {
            report::prepare(dir)?;
        }
        Ok(loaded)
    });
    let (scenario, options) = match prepared {
        Ok(loaded) => loaded,
        Err(e) => {
            eprintln!("cherrywood: {e:#}");
            return BAD_INPUT;
        }
    };
    let stop = interrupted();
    if let Some(seeds) = args.search {
        return search(&scenario, &options, seeds, args.shrink.as_deref(), &stop);
    }
    let bar = ProgressBar::new(scenario.play_s as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} s of play  {msg}") {
        bar.set_style(style);
    }
    let level = args.log.map_or(Level::INFO, LogLevel::level);
    let log = Log::new(level, args.trace.clone(), args.log.is_some());
    let play_s = scenario.play_s;
    let mut live = match args.live.then(Live::new).transpose() {
        Ok(live) => live,
        Err(e) => {
            eprintln!("cherrywood: --live needs a terminal: {e}");
            return BAD_INPUT;
        }
    };
    if live.is_some() {
        bar.set_draw_target(ProgressDrawTarget::hidden());
    }
    let mut watch = |scene: &Scene| {
        if let Some(live) = &mut live {
            live.look(scene)?;
        }
        let now = scene.world.now_s();
        bar.set_position(now.min(play_s) as u64);
        if now >= play_s {
            bar.set_message(format!("{} jobs to settle", scene.world.open_jobs()));
        }
        if stop.load(Ordering::Relaxed) {
            return Err(format!("interrupted at {now:.0} s of {play_s:.0} s"));
        }
        Ok(())
    };
    let played = log.around(|| play(scenario, &options, &log, &mut watch));
    bar.finish_and_clear();
    drop(live);
    let outcome = match played {
        Ok(outcome) => outcome,
        Err(e) => {
            eprintln!("cherrywood: {e:#}");
            return BAD_INPUT;
        }
    };
    for line in log.life(&outcome.history) {
        println!("{line}");
    }
    if let Some(id) = &args.trace
        && !outcome.settled.contains_key(id)
    {
        eprintln!("cherrywood: --trace: no job {id} on this scenario");
    }
    print!("{}", summary::text(&outcome));
    if let Some(dir) = &args.report {
        if let Err(e) = report::write(dir, &outcome, &log) {
            eprintln!("cherrywood: {e:#}");
            return BAD_INPUT;
        }
        println!("report    {}", dir.join("report.html").display());
    }
    println!("{}", summary::verdict(&outcome));
    if outcome.good() { GOOD } else { BROKEN }
}

/// Play the same scenarios under different settings, and compare them in pairs.
#[derive(Debug, Args)]
pub struct ExperimentArgs {
    /// The experiment (YAML).
    pub file: PathBuf,
    /// Where cells, comparisons and the report go; finished cells are kept.
    #[arg(long, value_name = "DIR")]
    pub out: Option<PathBuf>,
    /// Seeds 1 to this, whatever the file says.
    #[arg(long, value_name = "N")]
    pub seeds: Option<u64>,
}

pub fn experiment(args: &ExperimentArgs) -> u8 {
    let mut e = match Experiment::load(&args.file) {
        Ok(e) => e,
        Err(e) => {
            eprintln!("cherrywood: {e:#}");
            return BAD_INPUT;
        }
    };
    e.seeds = args.seeds.unwrap_or(e.seeds).max(1);
    let dir = args.out.clone();
    let dir = dir.unwrap_or_else(|| PathBuf::from(format!("{}-experiment", e.name)));
    let stop = interrupted();
    let bar = ProgressBar::new(0);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} scenarios  {eta} left") {
        bar.set_style(style);
    }
    let played = e.run(&dir, &stop, &|n, all| {
        bar.set_length(all as u64);
        bar.set_position(n as u64);
    });
    bar.finish_and_clear();
    let rows = match played {
        Ok(rows) => rows,
        Err(e) => {
            eprintln!("cherrywood: {e:#}");
            return BAD_INPUT;
        }
    };
    let all = compare(&e, &rows);
    if let Err(e) = experiment::write(&dir, &e, &rows, &all) {
        eprintln!("cherrywood: {e:#}");
        return BAD_INPUT;
    }
    print!("{}", experiment::table(&e, &all));
    println!("report    {}", dir.join("report.html").display());
    let (want, got) = (e.cells().len(), rows.len());
    let broken: usize = rows.iter().map(|r| r.broken).sum();
    let unsettled: usize = rows.iter().map(|r| r.unsettled).sum();
    if stop.load(Ordering::Relaxed) {
        println!("interrupted; the same command goes on where it was");
    }
    println!("scenarios {got}/{want}, rules broken {broken}, unsettled {unsettled}");
    if got == want && broken == 0 && unsettled == 0 {
        GOOD
    } else {
        BROKEN
    }
}

/// Files that a schema describes.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum Schema {
    #[value(alias = "night")]
    Scenario,
    Experiment,
    Operator,
}

/// The JSON Schema of a file, for editors and checks.
pub fn schema(which: Schema) -> String {
    let schema = match which {
        Schema::Scenario => schemars::schema_for!(Scenario),
        Schema::Experiment => schemars::schema_for!(Experiment),
        Schema::Operator => schemars::schema_for!(cherrywood_node::settings::Operator),
    };
    serde_json::to_string_pretty(&schema).unwrap_or_default()
}
