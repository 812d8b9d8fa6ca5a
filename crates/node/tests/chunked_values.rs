//! Values that don't fit one record of the state service.

mod common;

use cherrywood_control::keys;
use cherrywood_limits::store_limits::{ConfiguredLimits, StoreLimits};
use cherrywood_net::rate_limiter::RequestPriority;
use cherrywood_node::{chunked_values, job_records};
use cherrywood_wire::records::{HistogramsRecord, JobRecord, LeaderRecord, StoredRecord};
use cherrywood_wire::store::Guard;
use cherrywood_wire::user::Submission;
use common::*;

/// A thousand jobs in one list, under values of 2 KB and 16 changes: in parts, read back
/// whole, and written the same by a repeat after a writer that ended between two parts.
#[test]
fn submission_that_needs_a_thousand_jobs_is_stored_in_chunks() {
    run(async {
        let cluster = TestCluster::single().await;
        cluster.service.lock().unwrap().set_limits(allowed(2.0, 16));
        let ids: Vec<String> = (0..1000).map(|n| format!("wk-1{n:05}")).collect();
        for id in &ids {
            assert_eq!(cluster.submit(&job(id, &[])).await.0, 201);
        }
        let all: Vec<&str> = ids.iter().map(String::as_str).collect();
        let spec = Submission {
            machine_types: Some(vec!["m8".into()]),
            ..job("wk-000001", &all)
        };
        assert_eq!(cluster.submit(&spec).await, (201, "Queued".into()));
        let key = keys::job(&spec.id);
        let row = cluster
            .node
            .store
            .get::<JobRecord>(&key)
            .await
            .unwrap()
            .unwrap();
        assert!(
            row.value.chunk_set().is_some_and(|p| p.count > 5),
            "{row:?}"
        );
        assert_eq!(
            row.value.submission.machine_types,
            Some(Vec::new()),
            "fits nowhere as it is"
        );
        let read = job_records::with_submission(&cluster.node, row.value.clone())
            .await
            .unwrap()
            .unwrap();
        assert_eq!(read.into_submission(), spec);
        assert_eq!(cluster.submit(&spec).await, (200, "Queued".into()));
    });
}

fn histograms(n: usize) -> HistogramsRecord {
    let row = |i| (format!("t|{i}"), 21, 0.5, "x".repeat(300 + n));
    HistogramsRecord {
        pooled: format!("{n}").repeat(3000),
        keys: (0..40).map(row).collect(),
        chunks: None,
    }
}

/// The limits drop without notice while production may still have to read: the refused
/// size is not tried again, what follows is in parts, and a reader finds the old or the
/// new set whole, also after a writer that ended in the middle.
#[test]
fn values_are_chunked_when_store_limits_drop_and_are_read_whole() {
    run(async {
        let cluster = TestCluster::single().await;
        let leader = LeaderRecord {
            leader: "n0".into(),
            term: 1,
            nonce: 1,
        };
        cluster
            .put_record(keys::LEADER, StoredRecord::Leader(leader))
            .await;
        let at = cluster.node.store.get::<LeaderRecord>(keys::LEADER).await;
        let guard = Guard {
            key: keys::LEADER.into(),
            revision: at.unwrap().unwrap().revision,
        };
        let key = keys::HISTOGRAMS;
        let write = async |n| {
            let value = histograms(n);
            chunked_values::write(
                &cluster.node,
                guard.clone(),
                key,
                value,
                RequestPriority::Critical,
            )
            .await
        };
        let read = async || {
            chunked_values::read::<HistogramsRecord>(&cluster.node, key)
                .await
                .unwrap()
        };
        assert_eq!(write(1).await, Ok(1), "whole, as production reads it");
        cluster.service.lock().unwrap().set_limits(allowed(2.0, 16));
        assert_eq!(read().await, Some(histograms(1)), "what is stored stays");
        assert!(write(2).await.is_err(), "refused for its size");
        let changes = write(2).await.unwrap();
        assert!(changes > 7, "{changes}");
        assert_eq!(read().await, Some(histograms(2)));
        write(3).await.unwrap();
        assert_eq!(read().await, Some(histograms(3)));
        // A writer that ends before the record that names its parts.
        let slot = cluster
            .node
            .store
            .get::<HistogramsRecord>(key)
            .await
            .unwrap();
        let slot = 1 - slot.unwrap().value.chunks.unwrap().slot;
        let torn = format!("{}0", keys::chunk_prefix(key, slot));
        let part = cherrywood_wire::chunks::ChunkRecord {
            set_id: 77,
            text: "half".into(),
        };
        cluster.put_record(&torn, StoredRecord::Chunk(part)).await;
        assert_eq!(read().await, Some(histograms(3)));
        write(4).await.unwrap();
        assert_eq!(read().await, Some(histograms(4)));
        // The version before reads an empty value, and no error.
        #[derive(serde::Deserialize)]
        struct Old {
            pooled: String,
            keys: Vec<(String, u64, f64, String)>,
        }
        let old = cluster
            .node
            .store
            .get::<Old>(key)
            .await
            .unwrap()
            .unwrap()
            .value;
        assert!(old.pooled.is_empty() && old.keys.is_empty());
        // Lower than anybody said: smaller again, instead of the same for ever.
        cluster.service.lock().unwrap().set_limits(allowed(1.0, 8));
        assert!(write(5).await.is_err());
        write(5).await.unwrap();
        assert_eq!(read().await, Some(histograms(5)));
        let store_limits = cluster.node.store.limits();
        let least = ConfiguredLimits {
            rps: 9000.0,
            write_rps: 9000.0,
            value_kb: 1.0,
            txn_ops: 8,
        };
        let small = StoreLimits::new(least, least);
        assert_eq!(
            (store_limits.value_bytes, store_limits.txn_changes),
            (small.value_bytes, small.txn_changes)
        );
    });
}
