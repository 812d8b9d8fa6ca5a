//! How many machines are wanted, and where they are rented.

use cherrywood_limits as limits;

/// Waiting work of one team.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Waiting {
    /// CPUs that the team may still use.
    pub room: f64,
    /// CPUs that its waiting tasks would use all at once.
    pub cpus: f64,
    /// CPU-seconds of its waiting tasks, by their estimates.
    pub work: f64,
}

impl Waiting {
    pub fn add(&mut self, cpus: f64, count: f64, run_s: f64) {
        self.cpus += cpus * count;
        self.work += cpus * count * run_s;
    }
}

/// What the fleet is needed for.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Demand {
    /// CPUs of tasks on machines now, and of tasks that must all run at once.
    pub placed: f64,
    pub teams: Vec<Waiting>,
}

impl Demand {
    /// CPUs that drain the waiting work in `drain_s` beside what runs; never
    /// more than a team's tasks could or may use at once.
    pub fn wanted(&self, drain_s: f64) -> f64 {
        let more: f64 = self
            .teams
            .iter()
            .map(|t| t.cpus.min(t.room).min(t.work / drain_s).max(0.0))
            .sum();
        self.placed + more
    }
}

/// Where machines can be rented.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub cpus: f64,
    /// Price of an hour of the whole machine.
    pub price: f64,
    /// s that it is paid for before it works.
    pub boot_s: f64,
    /// Machines of this type and kind already there.
    pub have: u32,
    /// Most machines that should be up there by now are not.
    pub late: bool,
}

/// Splits a shortage of CPUs over offers, cheapest CPU first and, at equal
/// price, where fewest machines are: a wave or a cut then takes fewer.
pub fn shop(short_cpus: f64, offers: &mut [Offer]) -> Vec<(usize, u32)> {
    let mut buy = vec![0u32; offers.len()];
    let mut left = short_cpus;
    // A machine that boots for long earns its price in the shorter rest.
    let per_cpu = |o: &Offer| o.price * (1.0 + o.boot_s / limits::HOLD_S) / o.cpus.max(0.001);
    while left > 0.0 {
        let best = (0..offers.len())
            .filter(|i| buy[*i] < limits::RENT_MAX)
            .min_by(|a, b| {
                let (x, y) = (&offers[*a], &offers[*b]);
                // Where machines don't come up they cost and do nothing.
                x.late
                    .cmp(&y.late)
                    .then(per_cpu(x).total_cmp(&per_cpu(y)))
                    .then((x.have + buy[*a]).cmp(&(y.have + buy[*b])))
            });
        let Some(i) = best else { break };
        // A whole machine for a sliver of work would mostly idle.
        if left < offers[i].cpus * 0.5 && buy.iter().any(|n| *n > 0) {
            break;
        }
        buy[i] += 1;
        left -= offers[i].cpus;
    }
    buy.into_iter()
        .enumerate()
        .filter(|(_, n)| *n > 0)
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn offer(zone: &str, price: f64, have: u32) -> Offer {
        Offer {
            kind: "m".into(),
            zone: zone.into(),
            spot: price < 1.0,
            cpus: 32.0,
            price,
            boot_s: 30.0,
            have,
            late: false,
        }
    }

    #[test]
    fn cheap_machines_first_spread_over_zones() {
        let mut o = [offer("a", 2.4, 0), offer("b", 0.6, 2), offer("c", 0.6, 0)];
        assert_eq!(shop(128.0, &mut o), vec![(1, 1), (2, 3)]);
        assert!(shop(0.0, &mut o).is_empty());
    }

    #[test]
    fn where_machines_are_late_fewer_are_rented_until_nothing_else_is_left() {
        let mut o = [offer("a", 0.6, 0), offer("b", 0.6, 9)];
        o[0].late = true;
        assert_eq!(shop(64.0, &mut o), vec![(1, 2)]);
        assert_eq!(shop(64.0, &mut o[..1]), vec![(0, 2)]);
    }

    #[test]
    fn of_machines_at_like_prices_those_that_boot_sooner_come_first() {
        let slow = Offer {
            boot_s: 50.0,
            ..offer("a", 0.56, 0)
        };
        let quick = Offer {
            boot_s: 20.0,
            ..offer("b", 0.6, 0)
        };
        assert_eq!(shop(32.0, &mut [slow.clone(), quick]), vec![(1, 1)]);
        let dear = offer("c", 2.4, 0);
        assert_eq!(shop(32.0, &mut [slow, dear]), vec![(0, 1)]);
    }

    #[test]
    fn wanted_is_bounded_by_what_waits_and_what_the_team_may_use() {
        let mut w = Waiting {
            room: 1000.0,
            ..Waiting::default()
        };
        w.add(2.0, 100.0, 30.0);
        let d = |w| Demand {
            placed: 10.0,
            teams: vec![w],
        };
        assert_eq!(d(w).wanted(60.0), 110.0);
        assert_eq!(d(w).wanted(1.0), 210.0);
        // A long queue behind a small limit keeps just that limit busy.
        w.room = 40.0;
        assert_eq!(d(w).wanted(60.0), 50.0);
    }
}
