//! What users and workers ask over HTTP.

use crate::lookup::{Found, finals, lookup};
use crate::node::Node;
use crate::parts;
use crate::polls::Told;
use cherrywood_admission::Verdict;
use cherrywood_control::leader::UNTOLD;
use cherrywood_control::{keys, life};
use cherrywood_limits as limits;
use cherrywood_net::NetError;
use cherrywood_net::budget::Class;
use cherrywood_net::server::{Request, Response};
use cherrywood_net::state::{Read, TxnResult};
use cherrywood_wire::agent::{Redirect, Report, ReportAnswer};
use cherrywood_wire::state::{Change, FinalValue, Guard, JobValue, Txn, Value};
use cherrywood_wire::user::{JobState, JobStatus, Kind, Refusal, Submission, valid_id};
use cherrywood_wire::{decode, encode};
use std::collections::{BTreeSet, HashSet};
use tracing::{Instrument as _, debug};

pub async fn answer(node: &Node, request: Request) -> Response {
    let path = request.path.split('?').next().unwrap_or("");
    let post = request.method == "POST";
    let get = request.method == "GET";
    let job = path.strip_prefix("/submissions/");
    let cancel = job.and_then(|j| j.strip_suffix("/cancel"));
    match path {
        "/healthz" if get && node.healthy() => Response::empty(200),
        "/healthz" if get => Response::busy(),
        "/agent/beat" if post => beat(node, &request.body).await,
        "/submissions" if post => submit(node, &request.body).await,
        "/healthz" | "/agent/beat" | "/submissions" => Response::empty(405),
        _ => match (job, cancel) {
            (_, Some(id)) if post => self::cancel(node, id).await,
            (_, Some(_)) => Response::empty(405),
            (Some(id), None) if get && !id.contains('/') => poll(node, id).await,
            (Some(id), None) if !id.contains('/') => Response::empty(405),
            _ => Response::empty(404),
        },
    }
}

fn status(code: u16, id: &str, state: JobState, counts: Option<(u32, u32)>) -> Response {
    let (done, running) = (counts.map(|c| c.0), counts.map(|c| c.1));
    Response::new(
        code,
        encode(&JobStatus {
            id: id.to_string(),
            state,
            done,
            running,
        }),
    )
}

fn ended(code: u16, id: &str, v: &FinalValue) -> Response {
    let done = (v.ended == JobState::Done).then_some((v.tasks, 0));
    status(code, id, v.ended, done)
}

fn refuse(code: u16, why: &str) -> Response {
    Response::new(
        code,
        encode(&Refusal {
            error: why.to_string(),
        }),
    )
}

/// A request that the state service didn't serve gets its answer at once.
fn busy(node: &Node, what: &str, e: &NetError) -> Response {
    debug!(node = node.me(), what, %e, "state service");
    Response::busy()
}

async fn beat(node: &Node, body: &[u8]) -> Response {
    let Ok(report) = decode::<Report>(body) else {
        return Response::empty(400);
    };
    match node.report(report).await {
        Some((token, commands)) => Response::new(200, encode(&ReportAnswer { token, commands })),
        None => {
            // Another node may hold the machine: name the leader, who can
            // take every machine.
            let leader = node.core().known.clone().filter(|k| k != node.me());
            match leader {
                Some(_) => Response::new(421, encode(&Redirect { report_to: leader })),
                None => Response::busy(),
            }
        }
    }
}

async fn submit(node: &Node, body: &[u8]) -> Response {
    let job = match Submission::read(body) {
        Ok(job) => job,
        Err(e) => return refuse(400, &e.to_string()),
    };
    let id = job.id.clone();
    let span = tracing::trace_span!(target: "life", "submission", job = %id);
    async {
        let answer = accept(node, job).await;
        life!(id, status = answer.status, "answered");
        answer
    }
    .instrument(span)
    .await
}

async fn accept(node: &Node, job: Submission) -> Response {
    let id = job.id.clone();
    if let Some(v) = node.core().finals.get(&id) {
        return ended(200, &id, v);
    }
    let types = node.core().types.clone();
    if types.is_empty() {
        return Response::busy();
    }
    let cluster = &node.settings.platform.deployment.cluster;
    if let Err(why) = possible(&job, &cluster.teams, &types) {
        return refuse(422, why);
    }
    let mut doomed = false;
    if job.needs.is_empty() {
        let now = node.now();
        if let Verdict::Refuse { retry_s } = node.gate.judge(&job, now) {
            return match known(node, &id).await {
                Some(answer) => answer,
                None => {
                    node.gate.refused(&job, node.now());
                    full(retry_s)
                }
            };
        }
    } else {
        // The stages after the first pass the gates: what they are to follow was
        // admitted, and ran for nothing if they are refused.
        match named(node, &job).await {
            Ok(cancelled) => doomed = cancelled,
            Err(answer) => return answer,
        }
    }
    let at_ms = node.host.wall_ms();
    let number = cherrywood_admission::number(&id);
    let written = match doomed {
        true => parts::accept_cancelled(node, &job, at_ms).await,
        false => parts::accept(node, &job, at_ms).await,
    };
    match written {
        Ok(TxnResult::Applied(_)) if doomed => {
            node.state_answered();
            status(201, &id, JobState::Cancelled, None)
        }
        Ok(TxnResult::Applied(_)) => {
            node.state_answered();
            node.gate.admitted(number);
            status(201, &id, JobState::Queued, None)
        }
        Ok(TxnResult::Failed(_)) => {
            node.state_answered();
            match lookup(node, &id, Class::First).await {
                Ok(Found::Live) => {
                    let counts = node.counts(std::slice::from_ref(&id)).await;
                    match counts.first().copied().unwrap_or_default() {
                        UNTOLD => Response::busy(),
                        counts => live(&id, counts),
                    }
                }
                Ok(Found::Ended(v)) => ended(200, &id, &v),
                _ => Response::busy(),
            }
        }
        Err(e) => busy(node, "submit", &e),
    }
}

/// May the job wait for those that it names? Each must have been accepted, which is for
/// good: an accepted job is live or over, in every state after. One comparison tells of
/// many, and whether the job itself is known already, which comes before all else. A
/// standing job is never done, so nothing may wait for it; that is looked at for a few,
/// since users never name one (protocol). True if one of them is cancelled: then this
/// one is so from the start. Left to the leader it was called queued once more, by the
/// answer to its submission, long after its user had been told.
async fn named(node: &Node, job: &Submission) -> Result<bool, Response> {
    let at_once = (node.state.kept().ops * 2).saturating_sub(1).max(1);
    let (known, unknown): (Vec<&String>, Vec<&String>) = {
        let core = node.core();
        let needs = job.needs.iter();
        needs.partition(|id| core.finals.contains_key(*id))
    };
    let mut over: BTreeSet<String> = known.into_iter().cloned().collect();
    let mut running = Vec::new();
    for some in unknown.chunks(at_once) {
        let ids = some.iter().copied().chain([&job.id]);
        let keys = ids.flat_map(|id| [keys::job(id), keys::ended(id)]);
        let found = node.state.existing(keys, Class::First).await;
        let found = found.map_err(|e| busy(node, "waits_on", &e))?;
        node.state_answered();
        let found: HashSet<String> = found.into_iter().collect();
        if found.contains(&keys::job(&job.id)) || found.contains(&keys::ended(&job.id)) {
            return Ok(false);
        }
        for id in some {
            if found.contains(&keys::job(id)) {
                running.push(*id);
            } else if found.contains(&keys::ended(id)) {
                over.insert((*id).clone());
            } else {
                let why = format!("waits_on: {id} was never accepted; allowed: jobs that were");
                return Err(refuse(422, &why));
            }
        }
    }
    for id in running.into_iter().take(limits::NEEDS_LOOKED_AT) {
        let record = node.state.get::<Read<JobValue>>(&keys::job(id)).await;
        let record = record.map_err(|e| busy(node, "waits_on", &e))?;
        let value = record.and_then(|r| r.value.ok(id));
        if value.is_some_and(|v| v.job.kind == Kind::Service) {
            let why = format!("waits_on: {id} is standing, and never done; allowed: arrays");
            return Err(refuse(422, &why));
        }
    }
    let ends = finals(node, &over).await;
    let ends = ends.map_err(|e| busy(node, "waits_on", &e))?;
    Ok(ends.iter().any(|(_, v)| v.ended == JobState::Cancelled))
}

/// What a poll is told of a job that is known; None if it isn't. All that wait ask
/// together: under overload every submission without room comes this way, too.
async fn known(node: &Node, id: &str) -> Option<Response> {
    match node.polls.ask(id).await {
        Told::Live(done, running) => Some(live(id, (done, running))),
        Told::Ended(v) => Some(ended(200, id, &v)),
        Told::Nothing => None,
        Told::Later => Some(Response::busy()),
    }
}

/// Possible, but not now: there is no room for it.
fn full(retry_s: u64) -> Response {
    Response {
        retry_after_s: Some(retry_s),
        ..refuse(429, "no room now")
    }
}

/// Why a job can never run, if so.
pub fn possible(
    job: &Submission,
    teams: &[cherrywood_control::Team],
    types: &[cherrywood_wire::cloud::MachineType],
) -> Result<(), &'static str> {
    let team = teams
        .iter()
        .find(|t| t.name == job.team)
        .ok_or("unknown team")?;
    let fits = types.iter().any(|t| {
        job.types.as_ref().is_none_or(|a| a.contains(&t.name))
            && job.zone.as_ref().is_none_or(|z| t.zones.contains(z))
            && job.cpus <= t.cpus + 1e-6
            && job.gpus <= t.gpus + 1e-6
            && job.memory_gb <= t.memory_gb + 1e-6
    });
    if !fits {
        return Err("a task fits no allowed machine type");
    }
    let n = if job.kind == Kind::Service {
        f64::from(job.tasks)
    } else {
        1.0
    };
    if job.cpus * n > team.cpus_max + 1e-6 || job.gpus * n > team.gpus_max + 1e-6 {
        return Err("more than the team's limit");
    }
    Ok(())
}

fn live(id: &str, (done, running): (u32, u32)) -> Response {
    let state = if running > 0 {
        JobState::Running
    } else {
        JobState::Queued
    };
    status(200, id, state, Some((done, running)))
}

async fn poll(node: &Node, id: &str) -> Response {
    if !valid_id(id) {
        return Response::empty(404);
    }
    if let Some(v) = node.core().finals.get(id) {
        return ended(200, id, v);
    }
    known(node, id).await.unwrap_or(Response::empty(404))
}

async fn cancel(node: &Node, id: &str) -> Response {
    let span = tracing::trace_span!(target: "life", "cancellation", job = %id);
    async {
        let answer = end(node, id).await;
        life!(id, status = answer.status, "answered");
        answer
    }
    .instrument(span)
    .await
}

async fn end(node: &Node, id: &str) -> Response {
    if !valid_id(id) {
        return Response::empty(404);
    }
    // A lost race means that the job ended meanwhile; the second look tells.
    for _ in 0..limits::CANCEL_TRIES {
        if let Some(v) = node.core().finals.get(id) {
            return ended(200, id, v);
        }
        let job = match node.state.get::<Read<JobValue>>(&keys::job(id)).await {
            Ok(job) => job,
            Err(e) => return busy(node, "cancel", &e),
        };
        node.state_answered();
        let Some(job) = job else {
            return match lookup(node, id, Class::First).await {
                Ok(Found::Ended(v)) => ended(200, id, &v),
                Ok(Found::Nothing) => Response::empty(404),
                Ok(Found::Live) => continue,
                Err(e) => busy(node, "cancel", &e),
            };
        };
        // One that can't be read can be cancelled all the same.
        let tasks = job.value.ok(id).map_or(0, |v| v.job.tasks);
        let value = FinalValue {
            ended: JobState::Cancelled,
            tasks,
            at_ms: Some(node.host.wall_ms()),
        };
        let txn = Txn {
            guards: vec![
                Guard {
                    key: keys::job(id),
                    version: job.version,
                },
                Guard {
                    key: keys::ended(id),
                    version: 0,
                },
            ],
            changes: vec![
                Change::Delete { key: keys::job(id) },
                Change::Put {
                    key: keys::ended(id),
                    value: Value::Final(value.clone()),
                    lease: None,
                },
            ],
        };
        match node.state.txn(&txn, Class::First).await {
            Ok(TxnResult::Applied(_)) => {
                node.core().remember(id, value.clone());
                return ended(200, id, &value);
            }
            Ok(TxnResult::Failed(_)) => {}
            Err(e) => return busy(node, "cancel", &e),
        }
    }
    Response::busy()
}
