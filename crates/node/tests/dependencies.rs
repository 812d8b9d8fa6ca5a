//! Submissions of jobs with dependencies.

mod common;

use cherrywood_control::keys;
use cherrywood_node::state::FinalStateCache;
use cherrywood_wire::encode;
use cherrywood_wire::records::{FinalStateRecord, StoredRecord};
use cherrywood_wire::user::{JobKind, JobState, Submission};
use common::*;

#[test]
fn job_may_depend_only_on_accepted_jobs_that_can_end() {
    run(async {
        let cluster = TestCluster::single().await;
        let queued = (201, "Queued".to_string());
        assert_eq!(cluster.submit(&job("wk-000001", &[])).await, queued);
        let other = Submission {
            team: "u".into(),
            ..job("wk-000002", &["wk-000001", "wk-000001"])
        };
        assert_eq!(cluster.submit(&other).await, queued);
        // Dependency that was never accepted, the job itself, and a dependency that was never
        // accepted beside an accepted one.
        for (id, dependencies) in [
            ("wk-000003", &["wk-000009"][..]),
            ("wk-000003", &["wk-000003"]),
            ("wk-000003", &["wk-000001", "wk-000009"]),
        ] {
            let (status, why) = cluster.submit(&job(id, dependencies)).await;
            let named = dependencies[dependencies.len() - 1];
            assert!(status == 422 && why.contains(named), "{status} {why}");
            assert!(why.contains("allowed"), "{why}");
        }
        let service = Submission {
            kind: JobKind::Service,
            ..job("wk-000004", &[])
        };
        assert_eq!(cluster.submit(&service).await, queued);
        let (status, why) = cluster.submit(&job("wk-000005", &["wk-000004"])).await;
        assert!(status == 422 && why.contains("standing"), "{why}");
        // A dependency that ended long ago, written by an earlier version.
        let done = FinalStateRecord {
            state: JobState::Done,
            tasks: 1,
            ended_at_ms: None,
        };
        cluster
            .put_record(
                &keys::final_state("wk-000006"),
                StoredRecord::FinalState(done),
            )
            .await;
        let accepted = job("wk-000007", &["wk-000006"]);
        assert_eq!(cluster.submit(&accepted).await, queued);
        // While the key-value store refuses requests, no submission is refused for good. A
        // repeated submission of an accepted job is recognised before any other check.
        cluster.store_faults.refuse(&["/"]);
        assert_eq!(
            cluster.submit(&job("wk-000008", &["wk-000009"])).await.0,
            503
        );
        cluster.store_faults.refuse(&[]);
        assert_eq!(cluster.submit(&accepted).await, (200, "Queued".into()));
    });
}

#[test]
fn malformed_list_of_dependencies_is_400() {
    run(async {
        let cluster = TestCluster::single().await;
        let (status, why) = cluster.submit(&job("wk-000001", &["wk-1"])).await;
        assert!(status == 400 && why.contains("waits_on"), "{why}");
        assert!(why.contains("wk-1") && why.contains("allowed"), "{why}");
        // The last field of the map is a list of one id.
        let list = encode(&job("wk-000001", &["wk-000009"]));
        let at = list.len() - 11;
        assert_eq!(list[at], 0x91);
        for instead in [&[0xa1, b'x'][..], &[0x91, 0x07], &[0x80], &[0x07]] {
            let body = [&list[..at], instead].concat();
            let (status, why) = status_and_text(&cluster.post("/submissions", body).await);
            assert!(status == 400 && why.contains("waits_on"), "{status} {why}");
        }
        let null = [&list[..at], &[0xc0]].concat();
        assert_eq!(cluster.post("/submissions", null).await.status, 201);
    });
}

/// Guards against a response that reports a submission with a cancelled dependency as queued, long
/// after the user was told of the cancellation.
#[test]
fn job_that_depends_on_a_cancelled_one_is_accepted_as_cancelled() {
    run(async {
        let cluster = TestCluster::single().await;
        cluster.submit(&job("wk-000001", &[])).await;
        cluster.submit(&job("wk-000002", &[])).await;
        assert_eq!(cluster.cancel("wk-000001").await, 200);
        let dependent = job("wk-000003", &["wk-000002", "wk-000001"]);
        let cancelled = "Cancelled".to_string();
        assert_eq!(cluster.submit(&dependent).await, (201, cancelled.clone()));
        assert_eq!(cluster.submit(&dependent).await, (200, cancelled.clone()));
        // Without its cache the controller knows only committed final states, like any other.
        let next = Submission {
            id: "wk-000004".into(),
            ..job("", &["wk-000003"])
        };
        cluster.node.lock_state().final_states = FinalStateCache::default();
        assert_eq!(cluster.submit(&next).await, (201, cancelled));
    });
}
