//! Max-min fair allocation of scarce capacities.

use cherrywood_admission::allocation::{Capacity, ClassDemand, JobOffer, allocate_max_min};
use cherrywood_admission::{Shortage, TenantClassId};
use proptest::prelude::*;

fn demand(class: u64, team: usize, works_cpu_s: &[f64], capacities: &[usize]) -> ClassDemand {
    let offer = |work_cpu_s: &f64| JobOffer {
        discounted_work_cpu_s: *work_cpu_s,
        work_cpu_s: *work_cpu_s,
    };
    ClassDemand {
        class: TenantClassId(class),
        team,
        weight: 1.0,
        offered: 0.0,
        admitted: 0.0,
        offers: works_cpu_s.iter().map(offer).collect(),
        capacities: capacities.to_vec(),
        within_guarantee: false,
    }
}

fn fleet(available_cpu_s: f64) -> Capacity {
    Capacity::of_work(available_cpu_s, Shortage::Machines)
}

/// Served shares are made equal, not counts, because starvation is defined by shares. A team
/// within its guarantee is exempt.
#[test]
fn classes_with_jobs_of_the_same_work_get_the_same_served_share() {
    let mut classes = [
        demand(1, 0, &[10.0; 100], &[0]),
        demand(2, 1, &[10.0; 20], &[0]),
    ];
    let allocate = |classes: &[ClassDemand]| {
        let mut capacities = [fleet(600.0)];
        let admitted = allocate_max_min(classes, &mut capacities, &mut [0.0, 200.0], 0.6);
        assert_eq!(capacities[0].available, 0.0);
        admitted
    };
    assert_eq!(allocate(&classes), [50, 10]);
    classes[1].within_guarantee = true;
    assert_eq!(allocate(&classes), [40, 20]);
    // Earlier refusals count: the class with the smaller recent share catches up.
    (classes[0].offered, classes[0].admitted) = (100.0, 80.0);
    (classes[1].within_guarantee, classes[1].offered) = (false, 20.0);
    assert_eq!(allocate(&classes), [40, 20]);
}

/// Half of the jobs of every class take precedence over a team's guarantee.
#[test]
fn guarantees_are_filled_after_the_floor_and_before_the_rest() {
    let classes = [
        demand(1, 0, &[10.0; 10], &[0]),
        demand(2, 1, &[10.0; 10], &[0]),
    ];
    let allocate = |mut guarantees: [f64; 2]| {
        allocate_max_min(&classes, &mut [fleet(140.0)], &mut guarantees, 0.5)
    };
    assert_eq!(allocate([0.0, 0.0]), [7, 7]);
    assert_eq!(allocate([80.0, 0.0]), [8, 6]);
    assert_eq!(allocate([1e9, 0.0]), [9, 5]);
    // All jobs of a team whose entire work fits into its guarantee are admitted first.
    let mut within = classes.clone();
    within[1].within_guarantee = true;
    assert_eq!(
        allocate_max_min(&within, &mut [fleet(140.0)], &mut [0.0, 100.0], 0.5),
        [4, 10]
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// No more than the capacity is allocated, no capacity is left that a class could use, and no
    /// class has a much smaller share than another class with the same demand.
    #[test]
    fn an_allocation_is_sound_maximal_and_fair_for_any_demands(
        works in prop::collection::vec(prop::collection::vec(1.0f64..50.0, 1..30), 1..8),
        available_cpu_s in 0.0f64..1500.0,
        available_jobs in 0.0f64..150.0,
    ) {
        let mut classes: Vec<ClassDemand> = Vec::new();
        for (team, mut works) in works.into_iter().enumerate() {
            works.sort_by(f64::total_cmp);
            classes.push(demand(team as u64, team, &works, &[0, 1]));
        }
        let before = [
            fleet(available_cpu_s),
            Capacity::of_jobs(available_jobs, Shortage::StoreWrites),
        ];
        let mut left = before.clone();
        let mut guarantees = vec![0.0; classes.len()];
        let admitted = allocate_max_min(&classes, &mut left, &mut guarantees, 0.6);
        let work: f64 = classes.iter().zip(&admitted)
            .flat_map(|(class, n)| &class.offers[..*n]).map(|o| o.work_cpu_s).sum();
        prop_assert!((before[0].available - work - left[0].available).abs() < 1e-6);
        // The last job may overdraw a capacity by half of its cost.
        prop_assert!(left[0].available > -25.0 && left[1].available >= -0.5);
        for (class, n) in classes.iter().zip(&admitted) {
            if let Some(next) = class.offers.get(*n) {
                let fits = left[0].available >= next.work_cpu_s / 2.0 && left[1].available >= 0.5;
                prop_assert!(!fits, "{next:?} fits");
            }
        }
        // A class with a larger share than a class with refused jobs got its last job while their
        // shares were equal, or that job fitted into room that was too small for the other class.
        for (a, x) in classes.iter().zip(&admitted) {
            for (b, y) in classes.iter().zip(&admitted) {
                let (p, q) = (*x as f64 / a.offers.len() as f64, *y as f64 / b.offers.len() as f64);
                if *x < a.offers.len() && p + 1e-9 < (*y as f64 - 1.0) / b.offers.len() as f64 {
                    let (last, next) = (b.offers[*y - 1].work_cpu_s, a.offers[*x].work_cpu_s);
                    prop_assert!(last <= next, "shares {p} and {q}");
                }
            }
        }
    }
}
