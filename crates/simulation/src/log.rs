//! What the controllers log while a scenario is played, with the scenario's time and
//! the controller that said it; and the life of one job across all of them.

use cherrywood_checker::history::Event;
use cherrywood_checker::{History, What};
use cherrywood_emulator::process;
use std::collections::VecDeque;
use std::fmt::{self, Write as _};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::Instant;
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id};
use tracing::{Level, Metadata, Subscriber};
use tracing_subscriber::layer::{Context, Layer};
use tracing_subscriber::registry::LookupSpan;

/// Lines kept; the oldest go first.
const LINES_MOST: usize = 200_000;

#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    pub at_ms: u64,
    pub node: String,
    pub level: Level,
    pub text: String,
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>9.3} {:<10} {:<5} {}",
            self.at_ms as f64 / 1000.0,
            self.node,
            self.level,
            self.text
        )
    }
}

#[derive(Debug, Default)]
struct Kept {
    start: Option<Instant>,
    lines: VecDeque<Line>,
    /// Of the job that is traced.
    life: Vec<Line>,
}

/// Collects log lines; cheap to clone.
#[derive(Debug, Clone)]
pub struct Log {
    kept: Arc<Mutex<Kept>>,
    level: Level,
    trace: Option<String>,
    /// Print them as they come.
    echo: bool,
}

/// What a span belongs to.
#[derive(Debug, Clone, Default)]
struct Of {
    job: Option<String>,
    text: String,
}

#[derive(Debug, Default)]
struct Read {
    message: String,
    fields: String,
    job: Option<String>,
}

impl Visit for Read {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        match field.name() {
            "message" => self.message = format!("{value:?}"),
            name => {
                let text = format!("{value:?}");
                if matches!(name, "job" | "task") {
                    self.job = Some(text.trim_matches('"').to_string());
                }
                let _ = write!(self.fields, " {name}={text}");
            }
        }
    }
}

impl Log {
    /// Keeps lines up to a level, and those of a job if one is traced.
    pub fn new(level: Level, trace: Option<String>, echo: bool) -> Log {
        Log {
            kept: Arc::default(),
            level,
            trace,
            echo,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The scenario begins now.
    pub fn begin(&self) {
        self.lock().start = Some(Instant::now());
    }

    pub fn lines(&self) -> Vec<Line> {
        self.lock().lines.iter().cloned().collect()
    }

    fn ours(&self, job: &str) -> bool {
        let id = job.split('/').next();
        self.trace.as_deref() == id
    }

    /// Runs something whose log lines are kept here.
    pub fn around<T>(&self, work: impl FnOnce() -> T) -> T {
        use tracing_subscriber::layer::SubscriberExt as _;
        let subscriber = tracing_subscriber::registry().with(self.clone());
        tracing::subscriber::with_default(subscriber, work)
    }

    /// A line that a controller printed which is a process of its own.
    pub fn printed(&self, node: &str, text: &str) {
        let (level, text) = text.trim_start().split_once(' ').unwrap_or(("INFO", text));
        let level = level.parse().unwrap_or(Level::INFO);
        self.keep_of(node, level, text.trim().to_string(), false);
    }

    fn keep(&self, level: Level, text: String, life: bool) {
        let node = process::current().unwrap_or_else(|| "tool".into());
        self.keep_of(&node, level, text, life);
    }

    fn keep_of(&self, node: &str, level: Level, text: String, life: bool) {
        let mut kept = self.lock();
        let Some(start) = kept.start else { return };
        let line = Line {
            at_ms: start.elapsed().as_millis() as u64,
            node: node.to_string(),
            level,
            text,
        };
        if life {
            kept.life.push(line);
            return;
        }
        if self.echo {
            eprintln!("{line}");
        }
        if kept.lines.len() >= LINES_MOST {
            kept.lines.pop_front();
        }
        kept.lines.push_back(line);
    }

    /// The life of the traced job: what its user was told, what machines did,
    /// and what the controllers did about it, by time.
    pub fn life(&self, history: &History) -> Vec<String> {
        let Some(id) = &self.trace else {
            return Vec::new();
        };
        let outside = history.events.iter().filter_map(|e| {
            let (who, what) = outside(e, id)?;
            let at = e.at_ms as f64 / 1000.0;
            Some((e.at_ms, format!("{at:>9.3} {who:<10} {what}")))
        });
        let inside = self.lock().life.clone();
        let inside = inside.into_iter().map(|l| {
            let at = l.at_ms as f64 / 1000.0;
            (l.at_ms, format!("{at:>9.3} {:<10} {}", l.node, l.text))
        });
        let mut all: Vec<(u64, String)> = outside.chain(inside).collect();
        all.sort_by_key(|(at, _)| *at);
        all.into_iter().map(|(_, text)| text).collect()
    }
}

/// Who did what to the job, as the world saw it.
fn outside(e: &Event, id: &str) -> Option<(String, String)> {
    let of = |task: &str| task.split('/').next() == Some(id);
    let user = |what: String| Some(("user".to_string(), what));
    match &e.what {
        What::Submitted { job } if job.id == id => user(format!(
            "submits {} tasks of {} CPUs for {}",
            job.tasks, job.cpus, job.team
        )),
        What::Told {
            ask,
            job,
            status,
            state,
            node,
            sent_ms,
        } if job == id => {
            let state = state.map_or(String::new(), |s| format!(" {s:?}"));
            let waited = e.at_ms - sent_ms;
            user(format!(
                "{ask:?} -> {status}{state} from {node} in {waited} ms"
            ))
        }
        What::Unwanted { job } if job == id => user("wants it cancelled".into()),
        What::GaveUp { job } if job == id => user("gives up".into()),
        What::Starts {
            machine,
            task,
            attempt,
        } if of(task) => Some((
            machine.clone(),
            format!("takes {task}, attempt {attempt:x}"),
        )),
        What::On { machine, task, .. } if of(task) => {
            Some((machine.clone(), format!("runs {task}")))
        }
        What::Stops { machine, task } if of(task) => {
            Some((machine.clone(), format!("is told to stop {task}")))
        }
        What::Off {
            machine,
            task,
            why,
            kept_s,
            ..
        } if of(task) => Some((
            machine.clone(),
            format!("ends {task}: {why:?}, {kept_s:.1} s kept"),
        )),
        _ => None,
    }
}

impl<S: Subscriber + for<'a> LookupSpan<'a>> Layer<S> for Log {
    fn enabled(&self, meta: &Metadata<'_>, _: Context<'_, S>) -> bool {
        if meta.target() == "life" {
            self.trace.is_some()
        } else {
            *meta.level() <= self.level
        }
    }

    fn on_new_span(&self, attrs: &Attributes<'_>, id: &Id, ctx: Context<'_, S>) {
        let Some(span) = ctx.span(id) else { return };
        let mut read = Read::default();
        attrs.record(&mut read);
        let text = format!("{}{{{}}}", span.name(), read.fields.trim());
        // One that belongs to no job concerns all of them.
        if read.job.as_deref().is_none_or(|j| self.ours(j)) && span.name() != "placement" {
            self.keep(Level::TRACE, format!("{text} begins"), true);
        }
        span.extensions_mut().insert(Of {
            job: read.job,
            text,
        });
    }

    fn on_close(&self, id: Id, ctx: Context<'_, S>) {
        let Some(span) = ctx.span(&id) else { return };
        let of = span.extensions().get::<Of>().cloned().unwrap_or_default();
        if of.job.as_deref().is_none_or(|j| self.ours(j)) && span.name() != "placement" {
            self.keep(Level::TRACE, format!("{} ends", of.text), true);
        }
    }

    fn on_event(&self, event: &tracing::Event<'_>, ctx: Context<'_, S>) {
        let mut read = Read::default();
        event.record(&mut read);
        let life = event.metadata().target() == "life";
        let level = *event.metadata().level();
        let mut within = None;
        for span in ctx.event_scope(event).into_iter().flatten() {
            let of = span.extensions().get::<Of>().cloned().unwrap_or_default();
            read.job = read.job.or(of.job);
            within.get_or_insert(of.text);
        }
        let text = format!("{}{}", read.message, read.fields);
        let ours = read.job.as_deref().is_some_and(|j| self.ours(j));
        if ours {
            let within = within.map_or(String::new(), |w| format!("{w}: "));
            self.keep(level, format!("{within}{text}"), true);
        }
        if !life {
            self.keep(level, text, false);
        }
    }
}
