//! Hedged requests: repetition while there is no response, and its budget.

mod common;

use cherrywood_limits::RETRY_BUDGET_MAX;
use cherrywood_net::NetError;
use cherrywood_net::hedge::{HedgePolicy, send_hedged};
use cherrywood_net::retry::RetryBudget;
use common::run;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::sleep;

const POLICY: HedgePolicy = HedgePolicy {
    max_requests: 4,
    interval_s: 0.2,
    timeout_s: 1.0,
};

/// Time until a request gets its response.
const RESPONSE_TIME: Duration = Duration::from_millis(10);

/// Sends a hedged request whose n-th attempt is `attempt(n)`; returns the result and the number
/// of attempts.
async fn send<F>(
    runtime: &cherrywood_net::Runtime,
    budget: &RetryBudget,
    attempt: impl Fn(usize) -> F,
) -> (Result<usize, NetError>, usize)
where
    F: Future<Output = Result<usize, NetError>>,
{
    let attempts = Cell::new(0);
    let result = send_hedged(runtime, budget, POLICY, || {
        attempts.set(attempts.get() + 1);
        attempt(attempts.get())
    })
    .await;
    (result, attempts.get())
}

fn refused() -> NetError {
    NetError::OutcomeUnknown {
        request: "GET /keys/a".into(),
        cause: "refused".into(),
    }
}

#[test]
fn the_first_response_is_taken_whichever_request_it_is_for() {
    run(|runtime| async move {
        let budget = RetryBudget::default();
        let (result, attempts) = send(&runtime, &budget, |attempt| async move {
            if attempt < 3 {
                std::future::pending::<()>().await;
            }
            sleep(RESPONSE_TIME).await;
            Ok(attempt)
        })
        .await;
        assert_eq!((result, attempts), (Ok(3), 3));
    });
}

#[test]
fn a_request_with_an_early_response_or_an_error_is_sent_once() {
    run(|runtime| async move {
        let budget = RetryBudget::default();
        let responded = send(&runtime, &budget, |attempt| async move {
            sleep(RESPONSE_TIME).await;
            Ok(attempt)
        });
        assert_eq!(responded.await, (Ok(1), 1));
        let failed = send(&runtime, &budget, |_| async { Err(refused()) });
        assert_eq!(failed.await, (Err(refused()), 1));
    });
}

/// Guards against repetitions that add load to a service that responds to nobody.
#[test]
fn repetitions_to_a_service_that_never_responds_stay_within_the_budget() {
    run(|runtime| async move {
        let budget = RetryBudget::default();
        let mut attempts = 0;
        let requests = 100;
        for _ in 0..requests {
            let unanswered = send(&runtime, &budget, |_| std::future::pending());
            let (result, sent) = unanswered.await;
            assert!(result.is_err());
            attempts += sent;
        }
        assert_eq!(attempts, requests + RETRY_BUDGET_MAX as usize);
    });
}
