//! The leader's view of the jobs: it watches their records for new and ended jobs.
//!
//! Once a response has been processed completely, the leader knows every cancellation that was
//! committed before the request was sent. Its right to respond to workers depends on that, so
//! nothing is awaited between receiving a response and processing it.

use crate::job_records;
use crate::node::Node;
use crate::state::WatchPosition;
use cherrywood_control::keys;
use cherrywood_limits as limits;
use cherrywood_net::NetError;
use cherrywood_net::store_client::Readable;
use cherrywood_wire::records::JobRecord;
use cherrywood_wire::store::{WatchEvent, WatchResponse};
use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;

/// A change of one job's record.
struct JobChange {
    key: String,
    /// `None` if the job is over.
    record: Option<JobRecord>,
    revision: u64,
}

/// Changes of job records, as read in one response of the key-value store.
struct JobChanges {
    changes: Vec<JobChange>,
    /// Ids of live jobs whose records can't be read.
    unreadable: BTreeSet<String>,
    /// Whether these are all live jobs: any job that is not among them is over.
    is_complete: bool,
    /// The key-value store's revision up to which the changes are complete.
    revision: u64,
}

/// Passes changes of job records to the leader, for as long as this controller leads.
pub(super) async fn run(node: Arc<Node>) {
    let mut position: Option<WatchPosition> = None;
    loop {
        node.host.sleep(limits::WATCH_INTERVAL_MIN_S).await;
        let leading = {
            let mut state = node.lock_state();
            // The recovery has already read all jobs.
            position = state.term.recovered_up_to.take().or(position);
            let leader = state.term.leader.as_ref();
            leader.map(|l| (l.term(), state.term.leadership.lease_id()))
        };
        let Some((term, lease)) = leading else {
            position = None;
            node.host.sleep(limits::WATCH_INTERVAL_MIN_S).await;
            continue;
        };
        // A position that was read under another lease belongs to another term.
        let from = position.filter(|p| p.lease == lease).map(|p| p.revision);
        let sent = node.now();
        match read_changes(&node, from).await {
            Ok(Some(changes)) => {
                node.record_store_response();
                let revision = changes.revision;
                let is_applied = apply_changes(&node, term, changes);
                position = is_applied.then_some(WatchPosition { lease, revision });
                if is_applied {
                    node.lock_state()
                        .term
                        .leadership
                        .view_completed(lease, sent);
                }
                node.notify_commits_due();
            }
            // The key-value store no longer has the changes since `from`: all jobs are read again.
            Ok(None) => position = None,
            Err(_) => node.host.sleep(limits::WATCH_RETRY_S).await,
        }
    }
}

/// Reads the changes after revision `from`, or all jobs if it is `None`. Returns `None` if the
/// key-value store no longer has the changes since `from`.
async fn read_changes(node: &Node, from: Option<u64>) -> Result<Option<JobChanges>, NetError> {
    match from {
        None => {
            let live = job_records::list_live(node).await?;
            let changes = live.rows.into_iter().map(|row| JobChange {
                key: row.key,
                record: Some(row.value),
                revision: row.revision,
            });
            Ok(Some(JobChanges {
                changes: changes.collect(),
                unreadable: live.unreadable,
                is_complete: true,
                revision: live.revision,
            }))
        }
        Some(from) => {
            let events = node
                .store
                .watch::<Readable<JobRecord>>(keys::JOBS, from)
                .await?;
            Ok(events.map(watched_changes))
        }
    }
}

fn watched_changes(events: WatchResponse<Readable<JobRecord>>) -> JobChanges {
    let change = |e: WatchEvent<Readable<JobRecord>>| {
        let (key, record) = match (e.value, e.put_key, e.deleted_key) {
            (Some(value), Some(key), _) => {
                let record = value.ok(&key)?;
                (key, Some(record))
            }
            (_, _, Some(key)) => (key, None),
            _ => return None,
        };
        Some(JobChange {
            key,
            record,
            revision: e.revision,
        })
    };
    JobChanges {
        changes: events.events.into_iter().filter_map(change).collect(),
        unreadable: BTreeSet::new(),
        is_complete: false,
        revision: events.revision,
    }
}

/// Applies the changes to the leader of this term. Returns false if this controller no longer
/// leads in it.
fn apply_changes(node: &Arc<Node>, term: u64, changes: JobChanges) -> bool {
    let now = node.now();
    let mut state = node.lock_state();
    let leader_term = &mut state.term;
    let leader = leader_term.leader.as_mut();
    let Some(leader) = leader.filter(|l| l.term() == term) else {
        return false;
    };
    let unread = &mut leader_term.unread_submissions;
    if changes.is_complete {
        let readable = changes.changes.iter();
        let readable = readable.filter_map(|change| keys::job_of(&change.key));
        let unreadable = changes.unreadable.iter().map(String::as_str);
        let live: HashSet<&str> = readable.chain(unreadable).collect();
        let known = leader.live_job_ids().into_iter();
        for id in known.filter(|id| !live.contains(id.as_str())) {
            leader.remove_job(&id);
        }
        unread.retain(|id, _| live.contains(id.as_str()));
        let known = leader.unreadable_job_ids();
        let still_live = known.filter(|id| live.contains(id.as_str()));
        let unreadable = still_live.chain(&changes.unreadable).cloned().collect();
        leader.set_unreadable_jobs(unreadable);
    }
    for change in changes.changes {
        let Some(id) = keys::job_of(&change.key) else {
            continue;
        };
        match change.record {
            None => {
                unread.remove(id);
                leader.remove_job(id);
            }
            // The chunked submission is read in a separate task: one that can't be read, or can't
            // be read yet, must not delay the cancellations that come after it.
            Some(record) if record.chunk_set().is_some() && !leader.has_live_job(id) => {
                unread.insert(id.to_string(), change.revision);
                let read = read_submission(node.clone(), term, record, change.revision);
                node.host.spawn(read);
            }
            Some(record) => leader.add_job(record, change.revision, now),
        }
    }
    true
}

/// Reads a submission that is stored in chunks beside its record, and passes the job to the
/// leader unless the job is over by then.
async fn read_submission(node: Arc<Node>, term: u64, record: JobRecord, revision: u64) {
    let id = record.submission.id.clone();
    loop {
        let read = job_records::with_submission(&node, record.clone()).await;
        let now = node.now();
        {
            let mut state = node.lock_state();
            let leader_term = &mut state.term;
            let is_wanted = leader_term.unread_submissions.get(&id) == Some(&revision);
            let leader = leader_term.leader.as_mut();
            let Some(leader) = leader.filter(|l| l.term() == term && is_wanted) else {
                return;
            };
            if let Ok(job) = read {
                leader_term.unread_submissions.remove(&id);
                if let Some(job) = job {
                    leader.add_job(job, revision, now);
                }
                node.placement_commit_due.notify_one();
                return;
            }
        }
        node.host.sleep(limits::WATCH_RETRY_S).await;
    }
}
