//! Log of the controllers during a run, each line with its scenario time and controller, and
//! the trace of one job across all controllers.

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

/// Lines kept at most; the oldest are dropped first.
const MAX_LINES: usize = 200_000;

/// A log line, with the time since the start of the run.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    pub at_ms: u64,
    pub node: String,
    pub level: Level,
    pub text: String,
}

impl fmt::Display for LogLine {
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
struct Buffer {
    start: Option<Instant>,
    lines: VecDeque<LogLine>,
    /// Lines about the traced job.
    job_trace: Vec<LogLine>,
}

/// Collects log lines. Clones share their lines.
#[derive(Debug, Clone)]
pub struct Log {
    buffer: Arc<Mutex<Buffer>>,
    level: Level,
    /// Id of the traced job.
    trace: Option<String>,
    /// Whether lines are printed to stderr as they arrive.
    echo: bool,
}

/// Job and text of a span.
#[derive(Debug, Clone, Default)]
struct SpanContext {
    job: Option<String>,
    text: String,
}

/// Collects the message, the fields and the job of an event or a span.
#[derive(Debug, Default)]
struct FieldVisitor {
    message: String,
    fields: String,
    job: Option<String>,
}

impl Visit for FieldVisitor {
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
    /// Creates a log that keeps lines up to a level, and those of a job if one is traced.
    pub fn new(level: Level, trace: Option<String>, echo: bool) -> Log {
        Log {
            buffer: Arc::default(),
            level,
            trace,
            echo,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the clock of the lines; lines before this are dropped.
    pub fn start_clock(&self) {
        self.lock().start = Some(Instant::now());
    }

    pub fn lines(&self) -> Vec<LogLine> {
        self.lock().lines.iter().cloned().collect()
    }

    fn is_traced(&self, job: &str) -> bool {
        let id = job.split('/').next();
        self.trace.as_deref() == id
    }

    /// Runs a function and captures its log lines.
    pub fn capture<T>(&self, work: impl FnOnce() -> T) -> T {
        use tracing_subscriber::layer::SubscriberExt as _;
        let subscriber = tracing_subscriber::registry().with(self.clone());
        tracing::subscriber::with_default(subscriber, work)
    }

    /// Appends a line that a controller running as a process has printed.
    pub fn append_printed(&self, node: &str, text: &str) {
        let (level, text) = text.trim_start().split_once(' ').unwrap_or(("INFO", text));
        let level = level.parse().unwrap_or(Level::INFO);
        self.append(node, level, text.trim().to_string(), false);
    }

    /// Appends a line of the controller that is running on this thread.
    fn append_current(&self, level: Level, text: String, to_job_trace: bool) {
        let node = process::current().unwrap_or_else(|| "tool".into());
        self.append(&node, level, text, to_job_trace);
    }

    fn append(&self, node: &str, level: Level, text: String, to_job_trace: bool) {
        let mut buffer = self.lock();
        let Some(start) = buffer.start else { return };
        let line = LogLine {
            at_ms: start.elapsed().as_millis() as u64,
            node: node.to_string(),
            level,
            text,
        };
        if to_job_trace {
            buffer.job_trace.push(line);
            return;
        }
        if self.echo {
            eprintln!("{line}");
        }
        if buffer.lines.len() >= MAX_LINES {
            buffer.lines.pop_front();
        }
        buffer.lines.push_back(line);
    }

    /// Returns the trace of the traced job in order of time: the responses to its user, the
    /// events on machines, and the log lines of the controllers.
    pub fn job_trace(&self, history: &History) -> Vec<String> {
        let Some(id) = &self.trace else {
            return Vec::new();
        };
        let external = history.events.iter().filter_map(|e| {
            let (actor, action) = describe(e, id)?;
            let at = e.at_ms as f64 / 1000.0;
            Some((e.at_ms, format!("{at:>9.3} {actor:<10} {action}")))
        });
        let logged = self.lock().job_trace.clone();
        let logged = logged.into_iter().map(|l| {
            let at = l.at_ms as f64 / 1000.0;
            (l.at_ms, format!("{at:>9.3} {:<10} {}", l.node, l.text))
        });
        let mut all: Vec<(u64, String)> = external.chain(logged).collect();
        all.sort_by_key(|(at, _)| *at);
        all.into_iter().map(|(_, text)| text).collect()
    }
}

/// Returns the actor and the description of an event that concerns the job.
fn describe(e: &Event, id: &str) -> Option<(String, String)> {
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
        let mut visitor = FieldVisitor::default();
        attrs.record(&mut visitor);
        let text = format!("{}{{{}}}", span.name(), visitor.fields.trim());
        // A span that belongs to no job concerns every job.
        if visitor.job.as_deref().is_none_or(|j| self.is_traced(j)) && span.name() != "placement" {
            self.append_current(Level::TRACE, format!("{text} begins"), true);
        }
        span.extensions_mut().insert(SpanContext {
            job: visitor.job,
            text,
        });
    }

    fn on_close(&self, id: Id, ctx: Context<'_, S>) {
        let Some(span) = ctx.span(&id) else { return };
        let context = span
            .extensions()
            .get::<SpanContext>()
            .cloned()
            .unwrap_or_default();
        if context.job.as_deref().is_none_or(|j| self.is_traced(j)) && span.name() != "placement" {
            self.append_current(Level::TRACE, format!("{} ends", context.text), true);
        }
    }

    fn on_event(&self, event: &tracing::Event<'_>, ctx: Context<'_, S>) {
        let mut visitor = FieldVisitor::default();
        event.record(&mut visitor);
        let only_job_trace = event.metadata().target() == "life";
        let level = *event.metadata().level();
        let mut within = None;
        for span in ctx.event_scope(event).into_iter().flatten() {
            let context = span
                .extensions()
                .get::<SpanContext>()
                .cloned()
                .unwrap_or_default();
            visitor.job = visitor.job.or(context.job);
            within.get_or_insert(context.text);
        }
        let text = format!("{}{}", visitor.message, visitor.fields);
        let traced = visitor.job.as_deref().is_some_and(|j| self.is_traced(j));
        if traced {
            let within = within.map_or(String::new(), |w| format!("{w}: "));
            self.append_current(level, format!("{within}{text}"), true);
        }
        if !only_job_trace {
            self.append_current(level, text, false);
        }
    }
}
