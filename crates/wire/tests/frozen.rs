//! What the version in production writes, byte for byte: `frozen.txt` was recorded from
//! the sources pinned in `deploy/service.toml`. `bitcode` frames don't describe
//! themselves, so a field, a variant or an order changed here is another frame, and a
//! controller of the other version reads nonsense. Records in the state service may
//! gain optional fields only.

use cherrywood_wire::admission::{
    AdmissionTable, AdmissionValue, ClassCounts, Gate, JobHash, RefusedJob, Shortage, TableVersion,
    TenantClassId,
};
use cherrywood_wire::agent::{
    Command, DirectCommands, ExitCause, Heartbeat, TaskState, TaskStatus,
};
use cherrywood_wire::peer::{PeerReply, PeerRequest};
use cherrywood_wire::records::*;
use cherrywood_wire::user::{JobKind, JobState, Priority, Submission};
use cherrywood_wire::{decode, encode};
use serde::{Serialize, de::DeserializeOwned};
use std::fmt::Debug;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// The recorded bytes of this name.
fn frozen(name: &str) -> Vec<u8> {
    let line = include_str!("frozen.txt")
        .lines()
        .find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
    let text = line.unwrap_or_default();
    let byte = |at| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal digits");
    (0..text.len()).step_by(2).map(byte).collect()
}

fn frame<T>(name: &str, content: &T)
where
    T: bitcode::Encode + bitcode::DecodeOwned + PartialEq + Debug,
{
    let bytes = frozen(name);
    assert_eq!(hex(&bitcode::encode(content)), hex(&bytes), "{name}");
    assert_eq!(&bitcode::decode::<T>(&bytes).unwrap(), content, "{name}");
}

fn record<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, content: &T) {
    let bytes = frozen(name);
    assert_eq!(hex(&encode(content)), hex(&bytes), "{name}");
    assert_eq!(&decode::<T>(&bytes).unwrap(), content, "{name}");
}

fn report() -> Heartbeat {
    let task = |n: u32, state, why, saved| TaskStatus {
        task: format!("wk-000412/{n}"),
        attempt: (7 << 32) | u64::from(n),
        state,
        exit_cause: why,
        checkpoint_saved: saved,
    };
    Heartbeat {
        machine: "vm-000231".into(),
        address: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        incarnation: 2,
        sequence: 88,
        fencing_token: (7 << 32) | 41,
        spot_notice_s: Some(12.5),
        tasks: vec![
            task(0, TaskState::Fetching, None, None),
            task(1, TaskState::WaitingForGang, None, None),
            task(2, TaskState::Running, None, None),
            task(3, TaskState::Saving, None, None),
            task(4, TaskState::Exited, Some(ExitCause::Done), None),
            task(5, TaskState::Exited, Some(ExitCause::Stopped), Some(true)),
            task(6, TaskState::Exited, Some(ExitCause::Error), None),
            task(7, TaskState::Exited, Some(ExitCause::NoRoom), None),
            task(8, TaskState::Exited, Some(ExitCause::InUse), None),
            task(9, TaskState::Exited, Some(ExitCause::Unknown), None),
            task(10, TaskState::Exited, Some(ExitCause::Other), Some(false)),
        ],
    }
}

fn commands() -> Vec<Command> {
    let (task, attempt) = ("wk-000412/4".to_string(), (7 << 32) | 2);
    vec![
        Command::Start {
            task: task.clone(),
            attempt,
        },
        Command::Stop {
            task: task.clone(),
            attempt,
            grace_s: 10.5,
        },
        Command::Forget { task, attempt },
    ]
}

fn table() -> AdmissionTable {
    let gate = |class, max_work_cpu_s, share| Gate {
        class: TenantClassId(class),
        max_work_cpu_s,
        share,
    };
    AdmissionTable {
        term: 7,
        generation: 3,
        gates: vec![gate(5, 120.5, 0.25), gate(1 << 60, f64::INFINITY, 1.0)],
        median_runtimes: vec![(4, 20.25).into(), (1 << 50, 60.5).into()],
        relief_s: 12.5,
        shortage: Shortage::TeamQuota,
    }
}

#[test]
fn frames_between_controllers_are_what_production_sends() {
    let refused = RefusedJob {
        job: JobHash(77),
        class: TenantClassId(5),
        work_cpu_s: 123.5,
        first_attempt_age_s: 4.5,
        last_attempt_age_s: 0.5,
    };
    frame(
        "request-hello",
        &PeerRequest::Hello {
            from: "stallion-0".into(),
            store_reachable: true,
            table_version: TableVersion {
                term: 7,
                generation: 3,
            },
            refused: vec![refused, refused],
        },
    );
    frame(
        "request-reports",
        &PeerRequest::Heartbeats {
            from: "stallion-1".into(),
            heartbeats: vec![
                (report(), vec![("wk-000412/4".into(), 21.5)]),
                (report(), Vec::new()),
            ],
        },
    );
    let orders = DirectCommands {
        fencing_token: 41,
        incarnation: 2,
        commands: commands(),
    };
    frame(
        "request-orders",
        &PeerRequest::DirectCommands {
            commands: vec![("vm-000231".into(), "10.1.0.232:9000".into(), orders)],
        },
    );
    frame(
        "request-counts",
        &PeerRequest::TaskCounts {
            jobs: vec!["wk-000412".into(), "wk-000398".into()],
        },
    );
    let hello = |leads, table| PeerReply::Hello {
        from: "stallion-2".into(),
        process_id: 1 << 40,
        store_reachable: false,
        leading_term: leads,
        shard: vec![("vm-000231".into(), 41), ("vm-000232".into(), 42)],
        table,
    };
    frame("reply-hello", &hello(Some(7), Some(Box::new(table()))));
    frame("reply-hello-short", &hello(None, None));
    frame(
        "reply-reports",
        &PeerReply::Heartbeats {
            responses: vec![Some((41, commands())), None, Some((42, Vec::new()))],
        },
    );
    frame(
        "reply-orders",
        &PeerReply::DirectCommands {
            executed: vec![Some(true), Some(false), None],
        },
    );
    frame(
        "reply-counts",
        &PeerReply::TaskCounts {
            counts: vec![(3, 13), (0, 0)],
        },
    );
    frame("reply-no", &PeerReply::Declined);
}

fn submission() -> Submission {
    Submission {
        id: "wk-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Array,
        priority: Priority::High,
        tasks: 16,
        cpus: 8.0,
        gpus: 1.0,
        memory_gb: 64.0,
        image: "img-07".into(),
        image_gb: 6.25,
        machine_types: Some(vec!["g8".into()]),
        zone: None,
        single_zone: true,
        spread_over_zones: false,
        allow_spot: true,
        estimate_s: 240.0,
        checkpoint_interval_s: 30.0,
        checkpoint_save_s: 4.0,
        deadline_s: Some(900.0),
        dependencies: Vec::new(),
    }
}

fn job() -> JobRecord {
    JobRecord {
        submission: submission(),
        accepted_at_ms: 1_700_000_000_123,
        withheld: None,
    }
}

fn log() -> PlacementLogRecord {
    PlacementLogRecord {
        jobs: vec![LoggedJob {
            id: "wk-000412".into(),
            team: "vision".into(),
            cpus: 8.0,
            gpus: 1.0,
            memory_gb: 64.0,
        }],
        machine_classes: vec![LoggedMachineClass {
            machine_type: "g8".into(),
            zone: "a".into(),
            spot: true,
        }],
        placements: vec![LoggedPlacement(
            "vm-000231".into(),
            0,
            2,
            0,
            (7 << 32) | 2,
            3,
            9,
        )],
        freed: vec![((7 << 32) | 1, 5)],
    }
}

fn progress() -> ProgressRecord {
    ProgressRecord {
        finished_bitmap: "/wE".into(),
        first_task: None,
    }
}

fn ended() -> FinalStateRecord {
    FinalStateRecord {
        state: JobState::Done,
        tasks: 16,
        ended_at_ms: None,
    }
}

fn histograms() -> HistogramsRecord {
    HistogramsRecord {
        pooled: "HISTFAAA".into(),
        keys: vec![("vision|img-07".into(), 23, 0.015625, "HISTFBBB".into())],
        chunks: None,
    }
}

fn images() -> ImageCacheRecord {
    ImageCacheRecord {
        front_coded_machines: vec!["0vm-000231".into(), "82".into()],
        images: vec![(1 << 62, 6.25, "Aw".into())],
        chunks: None,
    }
}

fn admission() -> AdmissionValue {
    AdmissionValue {
        table: table(),
        throughput: 0.75,
        at_capacity: true,
        classes: vec![ClassCounts {
            team: "vision".into(),
            class: "train".into(),
            offered: 9.5,
            admitted: 8.5,
            done: 7.5,
        }],
        chunks: None,
    }
}

#[test]
fn records_in_the_state_service_are_what_production_writes() {
    record(
        "L-leader",
        &LeaderRecord {
            leader: "stallion-0".into(),
            term: 7,
            nonce: 1 << 50,
        },
    );
    record("L-epoch", &TermRecord { last_term: 7 });
    record("j", &job());
    record("w", &log());
    record("p", &progress());
    record("f", &ended());
    record("h-all", &histograms());
    record("h-images", &images());
    record("h-admission", &admission());
}
