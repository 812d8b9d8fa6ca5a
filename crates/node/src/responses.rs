//! The HTTP response to each outcome of a request. Only this module contains status codes.

use crate::node::Node;
use cherrywood_control::trace_job;
use cherrywood_net::NetError;
use cherrywood_net::server::Response;
use cherrywood_wire::ErrorResponse;
use cherrywood_wire::agent::{HeartbeatResponse, Redirect};
use cherrywood_wire::encode;
use cherrywood_wire::records::FinalStateRecord;
use cherrywood_wire::user::{JobState, JobStatus};
use tracing::{Instrument as _, Span, debug};

/// Outcome of a request of a user, a worker or the load balancer.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// This controller serves users.
    Ready,
    /// A new job was written in this state.
    Accepted { id: String, state: JobState },
    /// The job is not over.
    Live { id: String, done: u32, running: u32 },
    /// The job is over.
    Ended { id: String, value: FinalStateRecord },
    /// A worker's heartbeat was accepted, with this response.
    HeartbeatAccepted(HeartbeatResponse),
    /// The submission violates the protocol, for this reason.
    Malformed(String),
    /// The body is not a heartbeat.
    UnreadableHeartbeat,
    /// The path or the job does not exist.
    NotFound,
    /// The path exists, but not for this method.
    MethodNotAllowed,
    /// The worker should send its heartbeats to the leader, which has this label.
    ReportToLeader(String),
    /// The job can never run, for this reason.
    Infeasible(String),
    /// The job can run, but there is no room for it now.
    NoRoom { retry_after_s: u64 },
    /// The request can't be served here and now; the client should retry later.
    Unavailable,
}

impl Outcome {
    /// The outcome for a job that is over.
    pub(crate) fn ended(id: &str, value: &FinalStateRecord) -> Outcome {
        Outcome::Ended {
            id: id.to_string(),
            value: value.clone(),
        }
    }

    /// The outcome if the key-value store did not serve a request that the user's request (`what`)
    /// depends on. The user gets a 503 at once: the store's request is not sent again here.
    pub(crate) fn store_failed(node: &Node, what: &str, error: &NetError) -> Outcome {
        debug!(node = node.label(), what, %error, "state service request failed");
        Outcome::Unavailable
    }
}

impl From<Outcome> for Response {
    fn from(outcome: Outcome) -> Response {
        match outcome {
            Outcome::Ready => Response::empty(200),
            Outcome::Accepted { id, state } => job_status(201, id, state, None),
            Outcome::Live { id, done, running } => {
                let state = match running {
                    0 => JobState::Queued,
                    _ => JobState::Running,
                };
                job_status(200, id, state, Some((done, running)))
            }
            Outcome::Ended { id, value } => {
                let all_done = (value.state == JobState::Done).then_some((value.tasks, 0));
                job_status(200, id, value.state, all_done)
            }
            Outcome::HeartbeatAccepted(response) => Response::new(200, encode(&response)),
            Outcome::Malformed(why) => refusal(400, why),
            Outcome::UnreadableHeartbeat => Response::empty(400),
            Outcome::NotFound => Response::empty(404),
            Outcome::MethodNotAllowed => Response::empty(405),
            Outcome::ReportToLeader(label) => {
                let report_to = Some(label);
                Response::new(
                    421,
                    encode(&Redirect {
                        controller: report_to,
                    }),
                )
            }
            Outcome::Infeasible(why) => refusal(422, why),
            Outcome::NoRoom { retry_after_s } => Response {
                retry_after_s: Some(retry_after_s),
                ..refusal(429, "no room now".to_string())
            },
            Outcome::Unavailable => Response::busy(),
        }
    }
}

/// The response with a job's state, and its numbers of tasks done and running if they are known.
fn job_status(status: u16, id: String, state: JobState, counts: Option<(u32, u32)>) -> Response {
    let (done, running) = (counts.map(|c| c.0), counts.map(|c| c.1));
    let job_status = JobStatus {
        id,
        state,
        done,
        running,
    };
    Response::new(status, encode(&job_status))
}

fn refusal(status: u16, error: String) -> Response {
    Response::new(status, encode(&ErrorResponse { error }))
}

/// Makes the response to a request about one job inside `span`, and traces it there.
pub(crate) async fn respond_in_span(
    span: Span,
    id: &str,
    outcome: impl Future<Output = Outcome>,
) -> Response {
    async {
        let response = Response::from(outcome.await);
        trace_job!(id, status = response.status, "answered");
        response
    }
    .instrument(span)
    .await
}
