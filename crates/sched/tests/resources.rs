//! Arithmetic and comparisons of resources.

use cherrywood_sched::Resources;
use cherrywood_sched::resources::ROUNDING;

fn resources(cpus: f64, gpus: f64, memory_gb: f64) -> Resources {
    Resources {
        cpus,
        gpus,
        memory_gb,
    }
}

#[test]
fn sums_and_differences_are_taken_component_by_component() {
    let machine = resources(32.0, 4.0, 128.0);
    let task = resources(2.0, 1.0, 8.0);
    assert_eq!(machine - task, resources(30.0, 3.0, 120.0));
    assert_eq!(task + task, resources(4.0, 2.0, 16.0));
    assert_eq!(task * 3.0, resources(6.0, 3.0, 24.0));
    let mut used = Resources::ZERO;
    used += task;
    used += task * 2.0;
    used -= task;
    assert_eq!(used, resources(4.0, 2.0, 16.0));
}

#[test]
fn a_shortage_of_any_component_prevents_a_fit() {
    let free = resources(2.0, 1.0, 8.0);
    assert!(free.fits_in(free));
    assert!(!resources(2.1, 1.0, 8.0).fits_in(free));
    assert!(!resources(2.0, 2.0, 8.0).fits_in(free));
    assert!(!resources(2.0, 1.0, 8.1).fits_in(free));
}

#[test]
fn rounding_errors_of_sums_do_not_prevent_a_fit() {
    let three_tenths = resources(0.1, 0.0, 0.1) * 3.0;
    let free = resources(0.3, 0.0, 0.3);
    assert!(three_tenths.cpus > free.cpus, "the sum is rounded up");
    assert!(three_tenths.fits_in(free));
    assert!(!three_tenths.is_within(free));
    let beyond = resources(0.3 + 2.0 * ROUNDING, 0.0, 0.3);
    assert!(!beyond.fits_in(free));
}

#[test]
fn the_scarcest_component_decides_how_many_tasks_fit() {
    let free = resources(8.0, 2.0, 64.0);
    assert_eq!(free.task_count(resources(2.0, 0.0, 1.0)), 4);
    assert_eq!(free.task_count(resources(2.0, 1.0, 1.0)), 2);
    assert_eq!(free.task_count(resources(2.0, 1.0, 64.0)), 1);
    assert_eq!(free.task_count(resources(9.0, 0.0, 1.0)), 0);
    assert_eq!(free.task_count(Resources::ZERO), u32::MAX);
}

#[test]
fn no_task_fits_into_overcommitted_resources_and_unlimited_ones_impose_no_limit() {
    let overcommitted = resources(-2.0, 0.0, 4.0);
    assert_eq!(overcommitted.task_count(resources(1.0, 0.0, 1.0)), 0);
    let unlimited = Resources::INFINITE - resources(1.0e6, 8.0, 0.0);
    assert_eq!(unlimited.task_count(resources(0.5, 1.0, 1.0)), u32::MAX);
}

#[test]
fn the_component_minimum_may_come_from_different_tasks() {
    let wide = resources(4.0, 0.0, 1.0);
    let deep = resources(1.0, 1.0, 16.0);
    assert_eq!(wide.component_min(deep), resources(1.0, 0.0, 1.0));
    assert_eq!(Resources::INFINITE.component_min(wide), wide);
}
