//! A leader whose key-value store serves only some requests: conditions of the leader's right to
//! act besides its lease, which is renewed throughout.

mod common;

use cherrywood_node::background;
use cherrywood_wire::peer::{PeerReply, PeerRequest};
use cherrywood_wire::user::Submission;
use common::*;
use std::time::Duration;

impl TestCluster {
    async fn leading() -> TestCluster {
        let cluster = TestCluster::single().await;
        background::start(&cluster.node);
        assert!(
            eventually(5.0, || cluster.may_act()).await,
            "elected, with a view of cancellations"
        );
        cluster
    }

    fn may_act(&self) -> bool {
        let now = self.node.now();
        let timing = &self.node.timing;
        self.node
            .lock_state()
            .term
            .leader_if_may_act(now, timing)
            .is_some()
    }

    fn may_write(&self) -> bool {
        let now = self.node.now();
        let term = &self.node.lock_state().term;
        term.leadership.may_write(now)
    }

    fn leader_knows(&self, id: &str) -> bool {
        let term = &self.node.lock_state().term;
        term.leader.as_ref().is_some_and(|l| l.has_live_job(id))
    }
}

/// A job whose submission is too large for one value, so that it is stored in chunks beside its
/// record.
fn chunked_job(id: &str) -> Submission {
    let unknown_types = (0..3000).map(|n| format!("kind-{n:08}"));
    Submission {
        machine_types: Some(unknown_types.chain(["m8".into()]).collect()),
        ..job(id, &[])
    }
}

/// Guards against a submission whose chunks can't be read and which keeps all later changes,
/// cancellations included, from the leader, although its lease is renewed.
#[test]
fn unreadable_submission_does_not_delay_cancellations() {
    run(async {
        let cluster = TestCluster::leading().await;
        assert_eq!(cluster.submit(&job("wk-000001", &[])).await.0, 201);
        assert!(eventually(2.0, || cluster.leader_knows("wk-000001")).await);
        cluster.store_faults.refuse(&["/keys?starts=n/"]);
        assert_eq!(cluster.submit(&chunked_job("wk-000002")).await.0, 201);
        assert_eq!(cluster.cancel("wk-000001").await, 200);
        assert!(
            eventually(1.5, || !cluster.leader_knows("wk-000001")).await,
            "cancelled"
        );
        assert!(!cluster.leader_knows("wk-000002") && cluster.may_act());
        // One chunked job is cancelled before it can be read, the other is read later.
        assert_eq!(cluster.submit(&chunked_job("wk-000003")).await.0, 201);
        assert_eq!(cluster.cancel("wk-000003").await, 200);
        cluster.store_faults.refuse(&[]);
        assert!(
            eventually(3.0, || cluster.leader_knows("wk-000002")).await,
            "read once the store serves it"
        );
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(!cluster.leader_knows("wk-000003"), "cancelled before");
    });
}

/// The watch hangs while the lease is renewed. Once the view of cancellations is too old the
/// leader may not act, its responses to hellos renew no shard lease, and it gives up leadership
/// for another controller that may have a newer view.
#[test]
fn hanging_watch_ends_the_right_to_act() {
    run(async {
        let cluster = TestCluster::leading().await;
        cluster.store_faults.hang(&["/watch", "/keys?starts=j/"]);
        let since = cluster.node.now();
        assert!(
            eventually(cluster.node.timing.view_max_age_s + 1.5, || !cluster
                .may_act())
            .await
        );
        let after = cluster.node.now() - since;
        assert!(
            after > cluster.node.timing.view_max_age_s - 1.5,
            "too early: {after}"
        );
        assert!(cluster.may_write(), "the lease is still renewed");
        let hello = PeerRequest::Hello {
            from: "n1".into(),
            store_reachable: true,
            table_version: Default::default(),
            refused: Vec::new(),
        };
        match cluster.node.handle_peer_request(hello).await {
            PeerReply::Hello {
                leading_term,
                shard,
                ..
            } => assert!(leading_term.is_some() && shard.is_empty()),
            other => panic!("{other:?}"),
        }
        let lease = cluster.node.lock_state().term.leadership.lease_id();
        let stepped_down = || cluster.node.lock_state().term.leadership.lease_id() != lease;
        assert!(
            eventually(8.0, stepped_down).await,
            "gives up leadership without a view"
        );
        cluster.store_faults.hang(&[]);
        assert!(eventually(8.0, || cluster.may_act()).await);
    });
}

/// Guards against a new leader that reads all jobs twice, during recovery and again for its watch,
/// in the seconds in which every worker sends it a heartbeat.
#[test]
fn failover_reads_all_jobs_once_and_the_watch_continues_from_there() {
    run(async {
        let cluster = TestCluster::single().await;
        assert_eq!(cluster.submit(&job("wk-000001", &[])).await.0, 201);
        assert_eq!(cluster.submit(&job("wk-000002", &[])).await.0, 201);
        background::start(&cluster.node);
        assert!(
            eventually(5.0, || cluster.may_act()).await,
            "elected, with a view of cancellations"
        );
        assert!(cluster.leader_knows("wk-000001") && cluster.leader_knows("wk-000002"));
        assert_eq!(cluster.cancel("wk-000001").await, 200);
        assert_eq!(cluster.submit(&job("wk-000003", &[])).await.0, 201);
        let watched = || !cluster.leader_knows("wk-000001") && cluster.leader_knows("wk-000003");
        assert!(
            eventually(2.0, watched).await,
            "the watch reports later changes"
        );
        assert_eq!(cluster.store_faults.count_of("/keys?starts=j/"), 1);
    });
}
