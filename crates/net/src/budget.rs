//! This node's share of a rate that all controllers divide among themselves.

use std::sync::Mutex;

/// Who asks; later ones leave more of the bucket to earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// Users' requests and final states, leadership.
    First,
    /// Placements.
    Place,
    Progress,
    Histogram,
}

impl Class {
    /// Share of the bucket that must stay for others.
    fn reserve(self) -> f64 {
        match self {
            Class::First => 0.0,
            Class::Place => 0.15,
            Class::Progress => 0.35,
            Class::Histogram => 0.6,
        }
    }
}

#[derive(Debug)]
struct Bucket {
    rate: f64,
    level: f64,
    at: f64,
}

#[derive(Debug)]
pub struct Budget(Mutex<Bucket>);

impl Budget {
    pub fn new(rate: f64) -> Self {
        Budget(Mutex::new(Bucket {
            rate,
            level: rate,
            at: 0.0,
        }))
    }

    pub fn set_rate(&self, rate: f64) {
        self.0.lock().expect("no panic while held").rate = rate;
    }

    /// Takes `n` now and returns 0, or the seconds to wait before asking again.
    pub fn take(&self, class: Class, n: f64, now: f64) -> f64 {
        let mut b = self.0.lock().expect("no panic while held");
        b.level = (b.level + (now - b.at).max(0.0) * b.rate).min(b.rate);
        b.at = now;
        let keep = class.reserve() * b.rate;
        // A request larger than the bucket may pass when the bucket is full.
        let need = (n + keep).min(b.rate);
        if b.level + 1e-9 >= need {
            b.level -= n;
            0.0
        } else {
            ((need - b.level) / b.rate.max(0.001)).max(0.002)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn later_classes_leave_room_for_earlier_ones() {
        let b = Budget::new(100.0);
        for _ in 0..40 {
            assert_eq!(b.take(Class::Histogram, 1.0, 0.0), 0.0);
        }
        assert!(b.take(Class::Histogram, 1.0, 0.0) > 0.0);
        assert_eq!(b.take(Class::Progress, 20.0, 0.0), 0.0);
        assert!(b.take(Class::Progress, 10.0, 0.0) > 0.0);
        assert_eq!(b.take(Class::First, 40.0, 0.0), 0.0);
        assert!(b.take(Class::First, 1.0, 0.0) > 0.0);
        assert_eq!(
            b.take(Class::First, 10.0, 0.11),
            0.0,
            "refilled by the rate"
        );
    }
}
