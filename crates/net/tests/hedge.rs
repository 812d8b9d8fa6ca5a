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

/// How long a request with an answer takes.
const ANSWER: Duration = Duration::from_millis(10);

/// Sends a hedged request whose n-th attempt is `attempt(n)`; returns the result and the number
/// of attempts.
async fn send<F>(
    host: &cherrywood_net::Runtime,
    budget: &RetryBudget,
    attempt: impl Fn(usize) -> F,
) -> (Result<usize, NetError>, usize)
where
    F: Future<Output = Result<usize, NetError>>,
{
    let attempts = Cell::new(0);
    let result = send_hedged(host, budget, POLICY, || {
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
fn the_first_response_counts_whichever_request_it_is_for() {
    run(|host| async move {
        let budget = RetryBudget::default();
        let (result, attempts) = send(&host, &budget, |attempt| async move {
            if attempt < 3 {
                std::future::pending::<()>().await;
            }
            sleep(ANSWER).await;
            Ok(attempt)
        })
        .await;
        assert_eq!((result, attempts), (Ok(3), 3));
    });
}

#[test]
fn a_request_that_is_answered_soon_or_refused_is_sent_once() {
    run(|host| async move {
        let budget = RetryBudget::default();
        let answered = send(&host, &budget, |attempt| async move {
            sleep(ANSWER).await;
            Ok(attempt)
        });
        assert_eq!(answered.await, (Ok(1), 1));
        let failed = send(&host, &budget, |_| async { Err(refused()) });
        assert_eq!(failed.await, (Err(refused()), 1));
    });
}

/// Guards against repetitions that add load to a service that responds to nobody.
#[test]
fn a_service_that_answers_nobody_gets_no_more_than_the_budget() {
    run(|host| async move {
        let budget = RetryBudget::default();
        let mut attempts = 0;
        let requests = 100;
        for _ in 0..requests {
            let silent = send(&host, &budget, |_| std::future::pending());
            let (result, sent) = silent.await;
            assert!(result.is_err());
            attempts += sent;
        }
        assert_eq!(attempts, requests + RETRY_BUDGET_MAX as usize);
    });
}
