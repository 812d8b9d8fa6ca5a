//! Summary of a run for the terminal.

use crate::run::Outcome;
use cherrywood_checker::GroupFigures;
use cherrywood_checker::Share;
use cherrywood_checker::settle::{End, tally};
use cherrywood_scenario::Aim;
use std::fmt::Write as _;

/// Entries listed at most, for each of failures, violations and unsettled jobs.
const MAX_LISTED: usize = 10;

/// Returns the description of an objective and the value that it asks for.
pub fn aim(a: &Aim) -> (String, f64) {
    match a {
        Aim::Wait {
            class,
            within_s,
            share,
        } => (format!("tasks of {class} started in {within_s} s"), *share),
        Aim::Finished {
            class,
            within_s,
            share,
        } => (format!("{class} done in {within_s} s"), *share),
        Aim::Guarantee { within_s, share } => {
            (format!("guaranteed tasks started in {within_s} s"), *share)
        }
        Aim::Submit { within_s, share } => (format!("accepted in {within_s} s"), *share),
        Aim::Useful { share } => ("money spent on useful work".into(), *share),
        Aim::Price { most } => ("price of useful work, at most".into(), *most),
    }
}

/// The last line of every simulation.
pub fn verdict(o: &Outcome) -> String {
    let all = o.settled.len();
    let settled = all - o.unsettled();
    format!(
        "settled {settled}/{all}, rules broken {}, digest {}",
        o.violations.len(),
        o.digest
    )
}

/// Formats a share of jobs with their number, or a dash if there are none.
pub fn share(share: Option<Share>) -> String {
    match share {
        Some(s) if s.wanted > 0 => format!("{:.2} of {}", s.value(), s.wanted),
        _ => "-".into(),
    }
}

/// Formats the figures of a class or team as one line.
fn group(g: &GroupFigures) -> String {
    let largest = match g.largest {
        Some(_) => format!(", largest {}", share(g.largest)),
        None => String::new(),
    };
    format!(
        "{} {}: {} jobs, served {}{largest}, longest wait beside room {:.0} s, \
         longest without an answer {:.0} s",
        g.kind.name(),
        g.name,
        g.jobs,
        share(Some(g.served)),
        g.longest_wait_s,
        g.longest_unanswered_s
    )
}

/// Returns the summary, without the last line ([`verdict`]).
pub fn text(o: &Outcome) -> String {
    let mut out = String::new();
    let mut line = |name: &str, text: String| {
        let _ = writeln!(out, "{name:<10}{text}");
    };
    let speed = o.scenario_s / o.real_s.max(1e-9);
    line(
        "scenario",
        format!(
            "{}, seed {}: {:.0} s, played in {:.1} s ({speed:.0} times as fast)",
            o.scenario.name, o.seed, o.scenario_s, o.real_s
        ),
    );
    if let Some(why) = &o.stopped {
        line("stopped", why.clone());
    }
    let ends = tally(&o.settled);
    let count = |e| ends.get(&e).copied().unwrap_or(0);
    line(
        "jobs",
        format!(
            "{}: done {}, cancelled {}, refused {}, never accepted {}, unsettled {}",
            o.settled.len(),
            count(End::Done),
            count(End::Cancelled),
            count(End::Refused),
            count(End::NeverAccepted),
            count(End::Unsettled)
        ),
    );
    for (class, c) in &o.measurements.classes {
        line(
            "",
            format!(
                "{class}: {} of {} done, mean {:.1} s, 95% in {:.1} s; tasks wait {:.1} s, 95% {:.1} s",
                c.done, c.jobs, c.done_mean_s, c.done_p95_s, c.wait_mean_s, c.wait_p95_s
            ),
        );
    }
    for g in &o.groups {
        line("", group(g));
    }
    line(
        "cancelled",
        format!(
            "{} tasks started after the confirmation",
            o.starts_after_cancel
        ),
    );
    if let Some(longest) = o.earlier_waits.iter().max_by_key(|wait| wait.length_ms()) {
        line(
            "waiting",
            format!(
                "{} jobs were left beside room between troubles, {} for {} s",
                o.earlier_waits.len(),
                longest.job,
                longest.length_ms() / 1000
            ),
        );
    }
    line(
        "money",
        format!(
            "{:.2} spent, {:.0} CPU-hours of useful work, price {:.2}",
            o.measurements.cost,
            o.measurements.useful_cpu_s / 3600.0,
            o.measurements.price
        ),
    );
    if let Some(l) = &o.least {
        line(
            "served",
            format!(
                "least: {}, {:.3} of its jobs in time; {:.3} of each class at best; \
                 largest jobs begun within {:.0} s",
                l.name, l.share, l.bound, l.longest_start_s
            ),
        );
    }
    for r in &o.measurements.reached {
        let (what, wanted) = aim(&r.aim);
        let met = if r.met { "met" } else { "missed" };
        line("aim", format!("{what}: {:.3} of {wanted} {met}", r.got));
    }
    for why in &o.exited {
        line("ended", why.clone());
    }
    for failure in o.failures.iter().take(MAX_LISTED) {
        line("failed", failure.to_string());
    }
    for violation in o.violations.iter().take(MAX_LISTED) {
        line("broken", violation.to_string());
    }
    let unsettled = o.settled.iter().filter(|(_, s)| s.end == End::Unsettled);
    for (id, s) in unsettled.take(MAX_LISTED) {
        line("unsettled", format!("{id}: {}", s.evidence));
    }
    out
}
