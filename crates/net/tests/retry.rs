//! Number and delays of the repetitions of failed requests.

use cherrywood_net::retry::{RetryBudget, RetryPolicy};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const POLICY: RetryPolicy = RetryPolicy {
    max_attempts: 6,
    first_delay_s: 0.05,
    max_delay_s: 0.2,
    give_up_after_s: 2.0,
};

#[derive(Default)]
struct Totals {
    requests: u32,
    repetitions: u32,
    given_up: u32,
}

/// Sends this number of requests, of whose attempts the given share fails.
fn send_requests(requests: u32, failing_share: f64) -> Totals {
    let budget = RetryBudget::default();
    let mut rng = Pcg64::seed_from_u64(3);
    let mut totals = Totals {
        requests,
        ..Totals::default()
    };
    for n in 0..requests {
        let mut now = f64::from(n) * 0.1;
        let mut request = POLICY.begin(now);
        loop {
            if rng.random::<f64>() >= failing_share {
                budget.record_response();
                break;
            }
            match request.next_delay_s(&budget, None, rng.random(), now) {
                Some(delay_s) => {
                    now += delay_s;
                    totals.repetitions += 1;
                }
                None => {
                    totals.given_up += 1;
                    break;
                }
            }
        }
    }
    totals
}

#[test]
fn when_all_attempts_fail_repetitions_add_at_most_a_tenth() {
    let t = send_requests(300, 1.0);
    assert!(
        t.repetitions * 10 <= t.requests,
        "{} beside {}",
        t.repetitions,
        t.requests
    );
}

#[test]
fn when_a_fifth_of_attempts_fails_under_one_request_in_200_is_given_up() {
    let t = send_requests(2000, 0.2);
    assert!(t.repetitions > 350, "{}", t.repetitions);
    assert!(
        t.given_up * 200 < t.requests,
        "{} of {}",
        t.given_up,
        t.requests
    );
}

#[test]
fn delays_grow_with_jitter_and_respect_retry_after_and_the_deadline() {
    let nominal: Vec<f64> = (1..5).map(|n| POLICY.delay_s(n, 0.5)).collect();
    assert_eq!(nominal, [0.05, 0.1, 0.2, 0.2]);
    assert_eq!(POLICY.delay_s(3, 0.0), 0.1);
    assert!(POLICY.delay_s(3, 0.999) < 0.3);
    let budget = RetryBudget::default();
    let mut request = POLICY.begin(10.0);
    assert_eq!(
        request.next_delay_s(&budget, Some(1.0), 0.5, 10.0),
        Some(1.0)
    );
    // An attempt that would begin after the deadline isn't made and spends no budget.
    assert_eq!(request.next_delay_s(&budget, Some(1.5), 0.5, 11.0), None);
    assert!(request.next_delay_s(&budget, None, 0.5, 11.0).is_some());
    let mut request = POLICY.begin(0.0);
    let repetitions = (0..9).filter(|_| request.next_delay_s(&budget, None, 0.0, 0.0).is_some());
    assert_eq!(repetitions.count(), 5, "six attempts in total");
}
