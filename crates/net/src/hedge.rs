//! Hedged requests: a request without a response after some time is sent again in parallel to
//! the first, and the first usable response is taken.
//!
//! Only for requests that change nothing. Each repetition spends from the client's
//! [`RetryBudget`], so that hedging adds no load to a service that responds to nobody.

use crate::retry::RetryBudget;
use crate::{NetError, Runtime};
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::{Context, Poll};

/// When a hedged request is sent again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HedgePolicy {
    /// Maximum number of requests, including the first.
    pub max_requests: usize,
    /// Seconds without a response after which another request is sent.
    pub interval_s: f64,
    /// Timeout in seconds for all requests together.
    pub timeout_s: f64,
}

/// The requests that have no response yet.
struct Pending<F> {
    requests: Vec<Pin<Box<F>>>,
    last_error: Option<NetError>,
}

impl<T, F: Future<Output = Result<T, NetError>>> Pending<F> {
    /// Polls the requests for the first usable response; the last error once all have failed.
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Result<T, NetError>> {
        let mut next = 0;
        while next < self.requests.len() {
            match self.requests[next].as_mut().poll(context) {
                Poll::Pending => next += 1,
                Poll::Ready(Ok(response)) => return Poll::Ready(Ok(response)),
                Poll::Ready(Err(error)) => {
                    self.last_error = Some(error);
                    drop(self.requests.swap_remove(next));
                }
            }
        }
        match self.last_error.take() {
            Some(error) if self.requests.is_empty() => Poll::Ready(Err(error)),
            _ => Poll::Pending,
        }
    }

    async fn first_response(&mut self) -> Result<T, NetError> {
        poll_fn(|context| self.poll(context)).await
    }
}

/// Sends a request that changes nothing, and sends it again while it has no response. An error
/// ends the wait if no other request is pending.
///
/// # Errors
///
/// The last error once all requests have failed; [`NetError::OutcomeUnknown`] on timeout.
///
/// # Cancel safety
///
/// If the future is dropped, its requests may have been sent.
pub async fn send_hedged<T, F>(
    runtime: &Runtime,
    budget: &RetryBudget,
    policy: HedgePolicy,
    send: impl Fn() -> F,
) -> Result<T, NetError>
where
    F: Future<Output = Result<T, NetError>>,
{
    let mut pending = Pending {
        requests: vec![Box::pin(send())],
        last_error: None,
    };
    let responding = async {
        for _ in 1..policy.max_requests {
            let waiting = pending.first_response();
            if let Ok(result) = runtime.timeout(policy.interval_s, waiting).await {
                return result;
            }
            if !budget.try_spend() {
                break;
            }
            pending.requests.push(Box::pin(send()));
        }
        pending.first_response().await
    };
    let result = runtime.timeout(policy.timeout_s, responding).await;
    result.unwrap_or_else(|_| Err(NetError::unknown("hedged request", "timed out")))
}
