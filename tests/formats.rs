//! Encodings that other versions of the program read: records on disk, and messages between
//! processes. The bytes are those that an earlier version of the program wrote.

use std::fmt::Write;

use bytes::Bytes;
use fulmardrift::{
    AgentOrder, AgentReport, Body, DiskId, Durable, Evidence, Index, JobId, LogEntry, Millis,
    Payload, Position, Raft, RaftTiming, Record, Replica, ReplicaId, ReplicaTimes, Resources,
    RunId, Snapshot, SnapshotChunk, TaskId, Term, Urgency, UrgencyClass, Voter, Want,
};

/// The encoding of a value, as hexadecimal digits.
fn encode<T: serde::Serialize>(value: &T) -> String {
    let mut text = String::new();
    for byte in postcard::to_stdvec(value).unwrap() {
        write!(text, "{byte:02x}").unwrap();
    }
    text
}

fn task() -> TaskId {
    TaskId {
        job: JobId(7),
        step: 1,
        index: 2,
    }
}

#[test]
fn records_keep_their_encoding() {
    let voters = vec![Voter {
        id: ReplicaId(3),
        disk: DiskId(300),
    }];
    let entry = LogEntry {
        position: Position {
            term: Term(2),
            index: Index(5),
        },
        payload: Payload::Voters(voters),
    };
    let records = [
        (Record::Disk(DiskId(300)), "00ac02"),
        (Record::Vote(Term(2), Some(ReplicaId(3))), "01020103"),
        (Record::Entries(vec![entry]), "02010205010103ac02"),
    ];
    for (record, bytes) in records {
        assert_eq!(encode(&record), bytes, "{record:?}");
    }
}

/// True if an instance starts on a disk with a snapshot of these bytes.
fn reads_snapshot(data: Vec<u8>) -> bool {
    let data = Bytes::from(data);
    let position = Position {
        term: Term(2),
        index: Index(5),
    };
    let snapshot = Snapshot {
        position,
        voters: Vec::new(),
        data,
    };
    let durable = Durable {
        disk: DiskId(300),
        records: vec![Record::Snapshot(snapshot)],
    };
    let timing = RaftTiming {
        election: Millis(500),
        heartbeat: Millis(100),
        margin: Millis(50),
    };
    let raft = Raft::new(ReplicaId(3), Vec::new(), timing, durable, Millis(0), 1);
    let times = ReplicaTimes {
        keep: Millis(1_000),
    };
    Replica::new(raft, times).is_ok()
}

/// No configuration, nothing evacuated, the agent "a", no job, five entries applied.
const OLDEST_SNAPSHOT: [u8; 8] = [0, 0, 1, 1, b'a', 0, 0, 5];

/// A snapshot of a version that recorded no crashes of backend servers.
#[test]
fn a_snapshot_without_crashes_is_read() {
    assert!(reads_snapshot(OLDEST_SNAPSHOT.to_vec()));
}

/// A snapshot of a version that recorded crashes, but not the queues of jobs.
#[test]
fn a_snapshot_without_queues_is_read() {
    // One chunk with one crash: a run 9 of task 2 of step 1 of job 7.
    let crashes = [1, 1, 7, 1, 2, 1, 9, 1];
    assert!(reads_snapshot([&OLDEST_SNAPSHOT[..], &crashes].concat()));
}

/// A snapshot of a version that did not record how many voters the group has had.
#[test]
fn a_snapshot_without_the_number_of_voters_is_read() {
    // Neither crashes nor queues.
    let tables = [0, 0, 0, 0];
    assert!(reads_snapshot([&OLDEST_SNAPSHOT[..], &tables].concat()));
    // The present version, with five voters.
    assert!(reads_snapshot(
        [&OLDEST_SNAPSHOT[..], &tables, &[5]].concat()
    ));
}

#[test]
fn messages_keep_their_encoding() {
    let (task, run) = (task(), RunId(9));
    assert_eq!(encode(&AgentOrder::Stop { task, run }), "0207010209");
    assert_eq!(encode(&AgentOrder::Revoke { task, run }), "0107010209");
    let used = Resources {
        cpu: 1_000,
        memory: 10,
        gpu: 0,
    };
    let evidence = Evidence {
        job: JobId(1),
        service: "s".to_owned(),
        priority: 2,
        crashes: 3,
    };
    assert_eq!(encode(&AgentOrder::Blame(evidence.clone())), "040101730203");
    assert_eq!(encode(&AgentReport::Blamed(evidence)), "090101730203");
    let want = Want {
        need: used,
        urgency: Urgency {
            class: UrgencyClass::Late,
            cost: 300,
        },
        length: Millis(50),
        wait: Millis(70),
    };
    assert_eq!(
        encode(&AgentOrder::Want(vec![want])),
        "0501e8070a0002ac023246"
    );
    let length = Millis(50);
    let expect = AgentOrder::Expect { task, run, length };
    assert_eq!(encode(&expect), "060701020932");
    let unreachable = AgentReport::Unreachable {
        life: 1,
        runs: Vec::new(),
        unanswered: Vec::new(),
    };
    assert_eq!(encode(&unreachable), "0a010000");
    assert_eq!(encode(&AgentReport::Pace(550)), "0ba604");
    let (late, entries) = (1, 12);
    let late_entries = AgentReport::LateEntries { late, entries };
    assert_eq!(encode(&late_entries), "0c010c");
    assert_eq!(encode(&AgentReport::OtherUsage(used)), "05e8070a00");
    let progress = AgentReport::Progress(vec![(task, run, 40)]);
    assert_eq!(encode(&progress), "06010701020928");
    assert_eq!(encode(&AgentReport::Started(task, run)), "0207010209");
}

#[test]
fn parts_of_snapshots_keep_their_encoding() {
    let (term, leader_time) = (Term(2), Millis(10));
    let position = Position {
        term,
        index: Index(5),
    };
    let chunk = SnapshotChunk {
        position,
        voters: Vec::new(),
        offset: 7,
        total: 9,
        data: Bytes::from_static(&[3]),
    };
    let part = Body::InstallChunk {
        term,
        chunk,
        leader_time,
    };
    assert_eq!(encode(&part), "0a02020500070901030a");
    let stored = Body::ChunkStored {
        term,
        position,
        offset: 8,
        leader_time,
    };
    assert_eq!(encode(&stored), "0b020205080a");
}
