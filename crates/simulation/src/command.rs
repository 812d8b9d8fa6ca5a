//! The commands `cherrywood simulate`, `cherrywood experiment` and `cherrywood schema`.

use crate::exit::{BAD_INPUT, BROKEN, GOOD};
use crate::experiment::{self, Experiment, compare};
use crate::live::TerminalView;
use crate::log::Log;
use crate::run::{Options, RunView, run};
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

/// The scenario that is run if none is named.
pub const DEFAULT_SCENARIO: &str = include_str!("../../../scenarios/quiet.yaml");

/// Simulate a scenario: the whole service on this machine, with injected faults.
#[derive(Debug, Args)]
pub struct SimulateArgs {
    /// Scenario file (YAML). Default: the built-in scenario `quiet`.
    pub scenario: Option<PathBuf>,
    /// Seed of all random draws: the same seed replays the same scenario. Default: the seed
    /// in the file, or 1.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Write report.html, report.json, history.jsonl and controllers.log to this directory.
    #[arg(long, value_name = "DIR")]
    pub report: Option<PathBuf>,
    /// Multiply machines, teams and traffic by this factor.
    #[arg(long, default_value_t = 1.0, value_name = "TIMES")]
    pub scale: f64,
    /// Run only the first seconds of the scenario, with the faults in them.
    #[arg(long, value_name = "S")]
    pub play: Option<f64>,
    /// Run the controllers as processes on loopback, in real time.
    #[arg(long, conflicts_with = "live")]
    pub processes: bool,
    /// First port on loopback for --processes.
    #[arg(
        long,
        default_value_t = 21_000,
        value_name = "PORT",
        requires = "processes"
    )]
    pub port: u16,
    /// Show the run on the terminal, with pause, single steps and a choice of speed.
    #[arg(long, conflicts_with_all = ["log"])]
    pub live: bool,
    /// Operator settings file (YAML).
    #[arg(long, value_name = "FILE")]
    pub operator: Option<PathBuf>,
    /// Run this many seeds on all cores, from --seed on, and report those that fail.
    #[arg(long, value_name = "N", conflicts_with_all = ["report", "live", "processes", "trace", "log"])]
    pub search: Option<u64>,
    /// For each seed that fails, write the smallest scenario that fails in the same way to
    /// this directory.
    #[arg(long, value_name = "DIR", requires = "search")]
    pub shrink: Option<PathBuf>,
    /// Print the events of one job across all controllers.
    #[arg(long, value_name = "ID")]
    pub trace: Option<String>,
    /// Print the log of the controllers, up to this level.
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

/// Installs a handler of Ctrl-C and returns the flag that it sets. The run then ends with a
/// report of the part that was run.
pub fn interrupt_flag() -> Arc<AtomicBool> {
    let flag = Arc::new(AtomicBool::new(false));
    let set = flag.clone();
    // A process can have only one handler: a second one is refused and the first stays.
    let _ = ctrlc::set_handler(move || set.store(true, Ordering::Relaxed));
    flag
}

/// Reads the scenario and the options of a run, and applies the arguments.
pub fn load(args: &SimulateArgs) -> anyhow::Result<(Scenario, Options)> {
    let scenario = match &args.scenario {
        Some(path) => Scenario::load(path)?,
        None => Scenario::parse("the built-in scenario", DEFAULT_SCENARIO)?,
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
        let omitted = drawn
            .troubles
            .iter()
            .filter(|t| !t.can_run_on_loopback())
            .map(|t| t.name());
        for name in omitted.collect::<std::collections::BTreeSet<_>>() {
            eprintln!("cherrywood: {name} cannot be injected with --processes and is left out");
        }
    }
    Ok((scenario, options))
}

/// Runs `cherrywood simulate` and returns its exit code.
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
    let stop = interrupt_flag();
    if let Some(seeds) = args.search {
        return search(&scenario, &options, seeds, args.shrink.as_deref(), &stop);
    }
    let bar = ProgressBar::new(scenario.play_s as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} s simulated  {msg}") {
        bar.set_style(style);
    }
    let level = args.log.map_or(Level::INFO, LogLevel::level);
    let log = Log::new(level, args.trace.clone(), args.log.is_some());
    let play_s = scenario.play_s;
    let mut terminal = match args.live.then(TerminalView::new).transpose() {
        Ok(terminal) => terminal,
        Err(e) => {
            eprintln!("cherrywood: --live needs a terminal: {e}");
            return BAD_INPUT;
        }
    };
    if terminal.is_some() {
        bar.set_draw_target(ProgressDrawTarget::hidden());
    }
    let mut observer = |view: &RunView| {
        if let Some(terminal) = &mut terminal {
            terminal.update(view)?;
        }
        let now = view.world.now_s();
        bar.set_position(now.min(play_s) as u64);
        if now >= play_s {
            bar.set_message(format!("{} jobs to settle", view.world.open_jobs()));
        }
        if stop.load(Ordering::Relaxed) {
            return Err(format!("interrupted at {now:.0} s of {play_s:.0} s"));
        }
        Ok(())
    };
    let result = log.capture(|| run(scenario, &options, &log, &mut observer));
    bar.finish_and_clear();
    drop(terminal);
    let outcome = match result {
        Ok(outcome) => outcome,
        Err(e) => {
            eprintln!("cherrywood: {e:#}");
            return BAD_INPUT;
        }
    };
    for line in log.job_trace(&outcome.history) {
        println!("{line}");
    }
    if let Some(id) = &args.trace
        && !outcome.settled.contains_key(id)
    {
        eprintln!("cherrywood: --trace: no job {id} in this scenario");
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
    if outcome.is_good() { GOOD } else { BROKEN }
}

/// Run the same scenarios under different settings, and compare them in pairs.
#[derive(Debug, Args)]
pub struct ExperimentArgs {
    /// Experiment file (YAML).
    pub file: PathBuf,
    /// Directory of cells, comparisons and the report. Finished cells are not run again.
    /// Default: the name of the experiment with -experiment appended.
    #[arg(long, value_name = "DIR")]
    pub out: Option<PathBuf>,
    /// Number of seeds (1 to N), in place of that in the file.
    #[arg(long, value_name = "N")]
    pub seeds: Option<u64>,
}

/// Runs `cherrywood experiment` and returns its exit code.
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
    let stop = interrupt_flag();
    let bar = ProgressBar::new(0);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} scenarios  {eta} left") {
        bar.set_style(style);
    }
    let result = e.run(&dir, &stop, &|n, all| {
        bar.set_length(all as u64);
        bar.set_position(n as u64);
    });
    bar.finish_and_clear();
    let rows = match result {
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

/// Kinds of files that have a JSON Schema.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum Schema {
    #[value(alias = "night")]
    Scenario,
    Experiment,
    Operator,
}

/// Returns the JSON Schema of a kind of file, for editors and validation.
pub fn schema(kind: Schema) -> String {
    let schema = match kind {
        Schema::Scenario => schemars::schema_for!(Scenario),
        Schema::Experiment => schemars::schema_for!(Experiment),
        Schema::Operator => schemars::schema_for!(cherrywood_node::settings::Operator),
    };
    serde_json::to_string_pretty(&schema).unwrap_or_default()
}
