//! Values that do not fit into one record of the key-value store.

mod common;

use cherrywood_control::keys;
use cherrywood_limits::store_limits::{ConfiguredLimits, StoreLimits};
use cherrywood_net::rate_limiter::RequestPriority;
use cherrywood_node::{chunked_values, job_records};
use cherrywood_wire::records::{HistogramsRecord, JobRecord, LeaderRecord, StoredRecord};
use cherrywood_wire::store::Guard;
use cherrywood_wire::user::Submission;
use common::*;

/// A submission with a thousand dependencies, under limits of 2 KB per value and 16 changes per
/// transaction, is written in chunks and read back whole. A repeated submission is recognised.
#[test]
fn submission_with_a_thousand_dependencies_is_stored_in_chunks() {
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
            "the record alone allows no machine type"
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

/// The store's limits drop without notice while the version in production may still have to read
/// the value. The refused size is not tried again, later values are written in chunks, and a
/// reader finds the old or the new set whole, even after a writer that ended midway.
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
        assert_eq!(write(1).await, Ok(1), "whole, as the old version reads it");
        cluster.service.lock().unwrap().set_limits(allowed(2.0, 16));
        assert_eq!(read().await, Some(histograms(1)), "stored value unchanged");
        assert!(write(2).await.is_err(), "refused for its size");
        let changes = write(2).await.unwrap();
        assert!(changes > 7, "{changes}");
        assert_eq!(read().await, Some(histograms(2)));
        write(3).await.unwrap();
        assert_eq!(read().await, Some(histograms(3)));
        // A writer ends before it has written the record that names its chunks.
        let slot = cluster
            .node
            .store
            .get::<HistogramsRecord>(key)
            .await
            .unwrap();
        let slot = 1 - slot.unwrap().value.chunks.unwrap().slot;
        let chunk_key = format!("{}0", keys::chunk_prefix(key, slot));
        let chunk = cherrywood_wire::chunks::ChunkRecord {
            set_id: 77,
            text: "half".into(),
        };
        cluster
            .put_record(&chunk_key, StoredRecord::Chunk(chunk))
            .await;
        assert_eq!(read().await, Some(histograms(3)));
        write(4).await.unwrap();
        assert_eq!(read().await, Some(histograms(4)));
        // The previous version reads an empty value rather than an error.
        #[derive(serde::Deserialize)]
        struct PreviousHistograms {
            pooled: String,
            keys: Vec<(String, u64, f64, String)>,
        }
        let old = cluster
            .node
            .store
            .get::<PreviousHistograms>(key)
            .await
            .unwrap()
            .unwrap()
            .value;
        assert!(old.pooled.is_empty() && old.keys.is_empty());
        // The limits drop below the announced ones: the next write is made for the lower limits
        // instead of repeating the refused one for ever.
        cluster.service.lock().unwrap().set_limits(allowed(1.0, 8));
        assert!(write(5).await.is_err());
        write(5).await.unwrap();
        assert_eq!(read().await, Some(histograms(5)));
        let store_limits = cluster.node.store.limits();
        let lowest = ConfiguredLimits {
            rps: 9000.0,
            write_rps: 9000.0,
            value_kb: 1.0,
            txn_ops: 8,
        };
        let expected = StoreLimits::new(lowest, lowest);
        assert_eq!(
            (store_limits.value_bytes, store_limits.txn_changes),
            (expected.value_bytes, expected.txn_changes)
        );
    });
}
