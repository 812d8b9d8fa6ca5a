//! Conditions under which a job that was passed over must be placed before all others.

use cherrywood_limits as limits;
use cherrywood_sched::starvation::PassedOverJob;

const AT_QUOTA: PassedOverJob = PassedOverJob {
    waited_s: limits::STARVATION_UNPLACED_S,
    has_started: true,
    is_placed: false,
    quota_limited: true,
};

#[test]
fn a_job_of_a_team_at_its_quota_starves_after_a_bounded_wait_whether_or_not_it_started() {
    assert!(AT_QUOTA.is_starving());
    let not_started = PassedOverJob {
        has_started: false,
        ..AT_QUOTA
    };
    assert!(not_started.is_starving());
    let recent = PassedOverJob {
        waited_s: limits::STARVATION_UNPLACED_S - 1.0,
        ..AT_QUOTA
    };
    assert!(!recent.is_starving());
    let placed = PassedOverJob {
        is_placed: true,
        ..AT_QUOTA
    };
    assert!(!placed.is_starving());
    let long_ago = PassedOverJob {
        waited_s: limits::STARVATION_PLACED_S,
        ..placed
    };
    assert!(long_ago.is_starving());
}

#[test]
fn a_job_of_a_team_below_its_quota_starves_only_if_it_never_started() {
    let below_quota = PassedOverJob {
        waited_s: limits::admission::FIRST_TASK_WITHIN_S + 1.0,
        quota_limited: false,
        ..AT_QUOTA
    };
    assert!(!below_quota.is_starving());
    let not_started = PassedOverJob {
        has_started: false,
        ..below_quota
    };
    assert!(not_started.is_starving());
}
