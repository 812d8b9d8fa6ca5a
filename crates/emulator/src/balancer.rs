//! The load balancer, written from its published rules. A state machine without I/O.

use std::collections::VecDeque;

/// Seconds between two probes, and the time-out of a probe, s.
pub const PROBE_INTERVAL_S: f64 = 1.0;
pub const PROBE_TIMEOUT_S: f64 = 1.0;
/// Seconds that a controller may take to accept a connection, and controllers tried for one
/// connection.
pub const ACCEPT_TIMEOUT_S: f64 = 0.5;
pub const MAX_TRIES: usize = 3;
/// Consecutive failed connections after which a controller is skipped, and for how long, s.
const SKIP_AFTER: u32 = 3;
const SKIP_S: f64 = 3.0;
/// Most recent probes considered, the failures among them that make a controller unhealthy,
/// and the consecutive failures that do so as well.
const PROBES_CONSIDERED: usize = 6;
const MAX_FAILURES: usize = 3;
const MAX_CONSECUTIVE_FAILURES: usize = 2;
/// Consecutive successes that make a controller healthy again.
const CONSECUTIVE_SUCCESSES: usize = 2;
/// Pause after a removal, s, which doubles with each further removal within
/// `REMOVALS_WITHIN_S`, up to `MAX_PAUSE_S`.
const PAUSE_S: f64 = 3.0;
const MAX_PAUSE_S: f64 = 60.0;
const REMOVALS_WITHIN_S: f64 = 120.0;
/// Seconds over which the share of new connections of a newly healthy controller ramps up.
const RAMP_S: f64 = 10.0;
/// Seconds after which the connections of an unhealthy controller are reset.
pub const RESET_AFTER_S: f64 = 5.0;

#[derive(Debug, Clone, Default)]
struct Target {
    healthy: bool,
    ever_healthy: bool,
    /// Results of the last probes, the newest last.
    probes: VecDeque<bool>,
    /// Time at which the controller last became healthy or unhealthy.
    since: f64,
    /// Times of removals within the last two minutes.
    removals: Vec<f64>,
    back_at: f64,
    open: u32,
    failed: u32,
    skip_until: f64,
    reset: bool,
}

#[derive(Debug, Clone)]
pub struct LoadBalancer {
    nodes: Vec<Target>,
}

impl LoadBalancer {
    pub fn new(nodes: usize) -> LoadBalancer {
        LoadBalancer {
            nodes: vec![Target::default(); nodes],
        }
    }

    pub fn is_healthy(&self, node: usize) -> bool {
        self.nodes[node].healthy
    }

    /// Records whether a probe of `GET /healthz` was answered with 200 in time.
    pub fn record_probe(&mut self, node: usize, ok: bool, now: f64) {
        let v = &mut self.nodes[node];
        v.probes.push_back(ok);
        if v.probes.len() > PROBES_CONSIDERED {
            v.probes.pop_front();
        }
        let last = |n: usize, what: bool| {
            v.probes.len() >= n && v.probes.iter().rev().take(n).all(|p| *p == what)
        };
        if v.healthy {
            let failures = v.probes.iter().filter(|p| !**p).count();
            if last(MAX_CONSECUTIVE_FAILURES, false) || failures >= MAX_FAILURES {
                v.removals.retain(|t| now - t < REMOVALS_WITHIN_S);
                let pause = PAUSE_S * 2f64.powi(v.removals.len().min(10) as i32);
                v.removals.push(now);
                v.healthy = false;
                v.since = now;
                v.reset = false;
                v.back_at = now + pause.min(MAX_PAUSE_S);
            }
        } else if !v.ever_healthy && ok || last(CONSECUTIVE_SUCCESSES, true) && now >= v.back_at {
            // Failures from before must not remove the controller again at once.
            v.probes.clear();
            (v.healthy, v.ever_healthy, v.since) = (true, true, now);
        }
    }

    /// Whether a controller has been unhealthy for so long that its connections are reset
    /// now. Returns true once for each period of being unhealthy.
    pub fn takes_reset(&mut self, node: usize, now: f64) -> bool {
        let v = &mut self.nodes[node];
        let due = v.ever_healthy && !v.healthy && !v.reset && now - v.since >= RESET_AFTER_S;
        v.reset |= due;
        due
    }

    /// Chooses the controller for a new connection, other than those already tried.
    pub fn choose(&self, tried: &[usize], chance: f64, now: f64) -> Option<usize> {
        let load = |v: &Target| {
            let ramp = ((now - v.since) / RAMP_S).clamp(0.1, 1.0);
            (f64::from(v.open) + 1.0) / ramp
        };
        let fit =
            |(i, v): &(usize, &Target)| v.healthy && !tried.contains(i) && now >= v.skip_until;
        let all = || self.nodes.iter().enumerate().filter(fit);
        let least = all().map(|(_, v)| load(v)).fold(f64::INFINITY, f64::min);
        let best: Vec<usize> = all()
            .filter(|(_, v)| load(v) <= least + 1e-9)
            .map(|(i, _)| i)
            .collect();
        let at = (chance * best.len() as f64) as usize;
        best.get(at.min(best.len().saturating_sub(1))).copied()
    }

    pub fn connected(&mut self, node: usize) {
        let v = &mut self.nodes[node];
        v.open += 1;
        v.failed = 0;
    }

    pub fn record_failure(&mut self, node: usize, now: f64) {
        let v = &mut self.nodes[node];
        v.failed += 1;
        if v.failed >= SKIP_AFTER {
            v.failed = 0;
            v.skip_until = now + SKIP_S;
        }
    }

    pub fn closed(&mut self, node: usize) {
        let v = &mut self.nodes[node];
        v.open = v.open.saturating_sub(1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn probes(b: &mut LoadBalancer, from: f64, all: &str) -> Vec<bool> {
        let one = |(i, c): (usize, char)| {
            b.record_probe(0, c == '+', from + i as f64);
            b.is_healthy(0)
        };
        all.chars().enumerate().map(one).collect()
    }

    #[test]
    fn two_failures_in_a_row_or_three_of_six_remove_a_controller() {
        let mut b = LoadBalancer::new(1);
        assert_eq!(
            probes(&mut b, 0.0, "-+"),
            [false, true],
            "the first success suffices"
        );
        assert_eq!(probes(&mut b, 2.0, "-+--"), [true, true, true, false]);
        let mut b = LoadBalancer::new(1);
        assert_eq!(
            probes(&mut b, 0.0, "+-+-+-"),
            [true, true, true, true, true, false]
        );
    }

    #[test]
    fn the_pause_doubles_with_every_removal_within_two_minutes() {
        let mut b = LoadBalancer::new(1);
        probes(&mut b, 0.0, "+--");
        let back = |b: &mut LoadBalancer, from: f64| {
            (0..)
                .find(|i| {
                    b.record_probe(0, true, from + f64::from(*i));
                    b.is_healthy(0)
                })
                .unwrap()
        };
        assert_eq!(back(&mut b, 3.0), 2, "not before 3 s have passed");
        probes(&mut b, 6.0, "--");
        assert_eq!(back(&mut b, 8.0), 5, "6 s");
        probes(&mut b, 14.0, "--");
        assert_eq!(back(&mut b, 16.0), 11, "12 s");
        // Two minutes later the pause is that of a first removal again.
        probes(&mut b, 300.0, "--");
        assert_eq!(back(&mut b, 302.0), 2);
    }

    #[test]
    fn connections_go_to_the_least_loaded_controller_and_a_new_one_gets_few() {
        let mut b = LoadBalancer::new(2);
        b.record_probe(0, true, 0.0);
        for _ in 0..4 {
            b.connected(b.choose(&[], 0.5, 20.0).unwrap());
        }
        b.record_probe(1, true, 20.0);
        assert_eq!(b.choose(&[], 0.5, 20.0), Some(0), "load 5 is below 1 / 0.1");
        assert_eq!(b.choose(&[], 0.5, 25.0), Some(1));
        assert_eq!(b.choose(&[1], 0.5, 25.0), Some(0));
        for _ in 0..3 {
            b.record_failure(1, 25.0);
        }
        assert_eq!(b.choose(&[], 0.5, 25.0), Some(0), "skipped for 3 s");
        assert_eq!(b.choose(&[], 0.5, 28.0), Some(1));
    }

    #[test]
    fn an_unhealthy_controllers_connections_are_reset_once_after_five_seconds() {
        let mut b = LoadBalancer::new(1);
        assert!(!b.takes_reset(0, 50.0), "it never was healthy");
        probes(&mut b, 0.0, "+--");
        assert!(!b.takes_reset(0, 6.9));
        assert!(b.takes_reset(0, 7.0));
        assert!(!b.takes_reset(0, 8.0));
    }
}
