//! Division of a rate among requests of different priorities.

use cherrywood_net::rate_limiter::{RateLimiter, RequestPriority};

#[test]
fn lower_priorities_leave_tokens_to_higher_ones() {
    let limiter = RateLimiter::new(100.0);
    for _ in 0..40 {
        assert_eq!(
            limiter.try_acquire(RequestPriority::Snapshot, 1.0, 0.0),
            None
        );
    }
    assert!(
        limiter
            .try_acquire(RequestPriority::Snapshot, 1.0, 0.0)
            .is_some()
    );
    assert_eq!(
        limiter.try_acquire(RequestPriority::Progress, 20.0, 0.0),
        None
    );
    assert!(
        limiter
            .try_acquire(RequestPriority::Progress, 10.0, 0.0)
            .is_some()
    );
    assert_eq!(
        limiter.try_acquire(RequestPriority::Critical, 40.0, 0.0),
        None
    );
    assert!(
        limiter
            .try_acquire(RequestPriority::Critical, 1.0, 0.0)
            .is_some()
    );
    assert_eq!(
        limiter.try_acquire(RequestPriority::Critical, 10.0, 0.11),
        None,
        "refilled at the rate"
    );
}

/// A flood of status queries leaves enough tokens for a submission at any moment.
#[test]
fn status_queries_leave_tokens_to_critical_requests() {
    let limiter = RateLimiter::new(20.0);
    for tick in 0..300 {
        let now = f64::from(tick) * 0.01;
        while limiter
            .try_acquire(RequestPriority::StatusQuery, 1.0, now)
            .is_none()
        {}
        if tick % 50 == 49 {
            let wait = limiter.try_acquire(RequestPriority::Critical, 1.0, now);
            assert_eq!(wait, None, "at {now}");
        }
    }
}

/// Guards against starvation of a write of many final states by placement writes that take
/// each token as it is earned: the jobs would be done without their users learning of it.
#[test]
fn a_large_critical_request_is_not_starved_by_small_ones_of_lower_priority() {
    let limiter = RateLimiter::new(33.0);
    limiter.try_acquire(RequestPriority::Critical, 33.0, 0.0);
    let mut next_attempt_at = 0.0;
    let mut acquired_at = None;
    for tick in 1..400 {
        let now = f64::from(tick) * 0.01;
        limiter.try_acquire(RequestPriority::Placement, 2.0, now);
        if acquired_at.is_none() && now >= next_attempt_at {
            match limiter.try_acquire(RequestPriority::Critical, 24.0, now) {
                Some(wait_s) => next_attempt_at = now + wait_s,
                None => acquired_at = Some(now),
            }
        }
    }
    assert!(acquired_at.is_some_and(|t| t < 1.2), "{acquired_at:?}");
    // No critical request waits any more, so requests of lower priority proceed.
    let wait = limiter.try_acquire(RequestPriority::Placement, 2.0, 10.0);
    assert_eq!(wait, None);
}
