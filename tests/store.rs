//! The write-ahead log is read back completely, or opening it fails with an error.

use std::io;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use fulmardrift::{
    Batch, DiskId, FrameError, Index, LogDirectory, LogEntry, Payload, Position, RaftInput, Record,
    ReplicaId, Snapshot, Storage, Term, Wal, WalError, decode_records, encode_write, start_writer,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn entry(index: u64) -> LogEntry {
    let position = Position {
        term: Term(1),
        index: Index(index),
    };
    LogEntry {
        position,
        payload: Payload::Command(Bytes::from(vec![7; 20])),
    }
}

fn records() -> Vec<Record> {
    vec![
        Record::Disk(DiskId(9)),
        Record::Vote(Term(1), Some(ReplicaId(2))),
        Record::Entries(vec![entry(1), entry(2)]),
        Record::Entries(vec![entry(3)]),
    ]
}

/// Each record as a write of its own.
fn encode(records: &[Record]) -> Vec<u8> {
    let writes = records.iter().map(std::slice::from_ref);
    writes
        .flat_map(|write| encode_write(write).unwrap())
        .collect()
}

/// The records as versions without marks wrote them.
fn encode_unmarked(records: &[Record]) -> Vec<u8> {
    let mut buf = Vec::new();
    for record in records {
        let body = postcard::to_stdvec(record).unwrap();
        let length = u32::try_from(body.len()).unwrap().to_le_bytes();
        let checksum = crc32fast::hash(&[&length, body.as_slice()].concat());
        buf.extend([length, checksum.to_le_bytes()].concat());
        buf.extend(body);
    }
    buf
}

type Encoder = fn(&[Record]) -> Vec<u8>;

const ENCODERS: [Encoder; 2] = [encode, encode_unmarked];

#[test]
fn a_tail_torn_at_any_byte_of_the_last_record_is_cut_off() {
    let all = records();
    for encode in ENCODERS {
        let encoded = encode(&all);
        let valid_len = encode(&all[..3]).len();
        for cut in valid_len..encoded.len() {
            let frames = decode_records(&encoded[..cut]).unwrap();
            assert_eq!(frames.records, all[..3], "cut at {cut}");
            assert_eq!(frames.valid_len, valid_len);
        }
    }
}

#[test]
fn a_flipped_bit_is_damage_and_never_another_state() {
    let all = records();
    for encode in ENCODERS {
        let encoded = encode(&all);
        let last = encode(&all[..3]).len();
        for at in 0..encoded.len() {
            for bit in 0..8 {
                let mut bad = encoded.clone();
                bad[at] ^= 1 << bit;
                match decode_records(&bad) {
                    Err(FrameError::Damaged { .. } | FrameError::Decode { .. }) => {}
                    Err(other) => panic!("{other}"),
                    // Only a greater length of the last record looks like an incomplete write,
                    // since no complete record follows it.
                    Ok(frames) => {
                        assert_eq!(frames.records, all[..3], "byte {at} bit {bit}");
                        assert!((last..last + 4).contains(&at), "byte {at} bit {bit}");
                    }
                }
            }
        }
    }
}

/// An earlier version ignores what follows the record in a body.
#[test]
fn files_of_versions_without_marks_are_read_and_theirs_read_these() {
    let all = records();
    assert_eq!(decode_records(&encode_unmarked(&all)).unwrap().records, all);
    let mixed = [
        encode_unmarked(&all[..2]),
        encode_write(&all[2..]).unwrap(),
        encode_unmarked(&all[3..]),
    ];
    let read = decode_records(&mixed.concat()).unwrap().records;
    assert_eq!(read, [&all[..], &all[3..]].concat());
    for record in &all {
        let write = encode_write(std::slice::from_ref(record)).unwrap();
        let body = &write[8..];
        assert_eq!(&postcard::from_bytes::<Record>(body).unwrap(), record);
    }
}

proptest! {
    #![proptest_config(Config { cases: 512, rng_seed: RngSeed::Fixed(11), ..Config::default() })]

    #[test]
    fn any_bytes_are_read_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode_records(&bytes);
    }

    #[test]
    fn any_prefix_gives_a_prefix_of_the_records(cut in 0_usize..2_000, count in 1_u64..20) {
        let mut all = vec![Record::Disk(DiskId(1))];
        all.extend((1..=count).map(|i| Record::Entries(vec![entry(i)])));
        let encoded = encode(&all);
        let frames = decode_records(&encoded[..cut.min(encoded.len())]).unwrap();
        prop_assert!(all.starts_with(&frames.records));
    }
}

#[test]
fn a_log_directory_returns_what_was_written() {
    let directory = tempfile::tempdir().unwrap();
    let open = || Wal::open(LogDirectory::open(directory.path()).unwrap(), DiskId(5)).unwrap();
    let (mut wal, first) = open();
    assert_eq!(first.records, [Record::Disk(DiskId(5))]);
    wal.write(&[Record::Entries(vec![entry(1)])]).unwrap();
    wal.write(&[Record::Entries(vec![entry(2)])]).unwrap();
    let (mut wal, second) = open();
    assert_eq!(second.disk, DiskId(5), "the identity is the disk's own");
    assert_eq!(second.records.len(), 3);
    let position = Position {
        term: Term(1),
        index: Index(2),
    };
    let snapshot = Snapshot {
        position,
        voters: Vec::new(),
        data: Bytes::from_static(b"s"),
    };
    let tail = Record::Entries(vec![entry(3)]);
    wal.write(&[Record::Snapshot(snapshot.clone()), tail.clone()])
        .unwrap();
    let (_, third) = open();
    assert_eq!(
        third.records,
        [Record::Disk(DiskId(5)), Record::Snapshot(snapshot), tail]
    );
}

#[test]
fn an_incomplete_record_on_disk_is_cut_off_and_overwritten() {
    let directory = tempfile::tempdir().unwrap();
    let open = || Wal::open(LogDirectory::open(directory.path()).unwrap(), DiskId(5)).unwrap();
    let (mut wal, _) = open();
    wal.write(&[Record::Entries(vec![entry(1)])]).unwrap();
    let path = directory.path().join("log");
    let mut content = std::fs::read(&path).unwrap();
    content.extend([200, 0, 0, 0, 1, 2]);
    std::fs::write(&path, content).unwrap();
    let (mut wal, durable) = open();
    assert_eq!(durable.records.len(), 2);
    wal.write(&[Record::Entries(vec![entry(2)])]).unwrap();
    assert_eq!(open().1.records.len(), 3);
}

/// Storage whose writes fail with a full disk after some successful ones.
#[derive(Clone)]
struct FailingStorage {
    content: Arc<Mutex<Vec<u8>>>,
    writes_left: Arc<Mutex<u32>>,
}

impl Storage for FailingStorage {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        Ok(self.content.lock().unwrap().clone())
    }

    fn sync(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn truncate(&mut self, len: usize) -> io::Result<()> {
        self.content.lock().unwrap().truncate(len);
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut writes_left = self.writes_left.lock().unwrap();
        if *writes_left == 0 {
            // Part of the bytes was written.
            self.content
                .lock()
                .unwrap()
                .extend(&bytes[..bytes.len() / 2]);
            *writes_left = 1_000;
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        *writes_left -= 1;
        self.content.lock().unwrap().extend(bytes);
        Ok(())
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        *self.content.lock().unwrap() = bytes.to_vec();
        Ok(())
    }
}

#[test]
fn after_a_failed_write_nothing_more_is_taken() {
    let disk = FailingStorage {
        content: Arc::default(),
        writes_left: Arc::new(Mutex::new(1)),
    };
    let (mut wal, _) = Wal::open(disk.clone(), DiskId(1)).unwrap();
    wal.write(&[Record::Entries(vec![entry(1)])]).unwrap();
    let failed = wal.write(&[Record::Entries(vec![entry(2)])]);
    assert!(matches!(failed, Err(WalError::Io { .. })));
    // The storage works again, but its content is unknown.
    let next = wal.write(&[Record::Entries(vec![entry(3)])]);
    assert!(matches!(next, Err(WalError::Failed)));
    let (_, durable) = Wal::open(disk, DiskId(2)).unwrap();
    assert_eq!(
        durable.records,
        [Record::Disk(DiskId(1)), Record::Entries(vec![entry(1)])]
    );
}

fn entries(at: u64) -> Vec<Record> {
    vec![Record::Entries(vec![entry(at)])]
}

/// Guards against a failed write whose torn bytes stay in front of later records.
#[test]
fn after_a_recovery_the_log_has_no_gap() {
    let disk = FailingStorage {
        content: Arc::default(),
        writes_left: Arc::new(Mutex::new(1)),
    };
    let (mut wal, _) = Wal::open(disk.clone(), DiskId(1)).unwrap();
    wal.write(&entries(1)).unwrap();
    assert!(wal.write(&entries(2)).is_err());
    wal.recover().unwrap();
    let (_, durable) = Wal::open(disk.clone(), DiskId(2)).unwrap();
    assert_eq!(durable.records.len(), 2);
    wal.write(&entries(2)).unwrap();
    wal.write(&entries(3)).unwrap();
    let (_, durable) = Wal::open(disk, DiskId(2)).unwrap();
    let expected = [entries(1), entries(2), entries(3)].concat();
    assert_eq!(durable.records[1..], expected);
}

/// Guards against an instance that writes nothing any more once its disk was full for a moment: the
/// next loss then leaves the group without a quorum.
#[test]
fn a_full_disk_is_written_again_once_it_has_room() {
    let disk = FailingStorage {
        content: Arc::default(),
        writes_left: Arc::new(Mutex::new(1)),
    };
    let (wal, _) = Wal::open(disk.clone(), DiskId(1)).unwrap();
    let (tx, rx) = std::sync::mpsc::channel();
    let writer = start_writer(wal, move |input| tx.send(input).is_ok());
    let write = |number: u64| {
        let records = entries(number);
        writer.send(Batch { number, records }).unwrap();
        rx.recv().unwrap()
    };
    assert_eq!(write(1), RaftInput::Synced(1));
    assert_eq!(write(2), RaftInput::DiskFailed);
    let mut input = write(3);
    if input == RaftInput::Synced(2) {
        input = rx.recv().unwrap();
    }
    assert_eq!(input, RaftInput::Synced(3));
    let (_, durable) = Wal::open(disk, DiskId(2)).unwrap();
    let expected: Vec<u64> = vec![1, 2, 3];
    let written = durable.records[1..].iter().flat_map(|record| match record {
        Record::Entries(entries) => entries.iter().map(|e| e.position.index.0).collect(),
        _ => Vec::new(),
    });
    assert_eq!(written.collect::<Vec<_>>(), expected);
}

fn snapshot(index: u64) -> Snapshot {
    Snapshot {
        position: entry(index).position,
        voters: Vec::new(),
        data: Bytes::from(index.to_le_bytes().to_vec()),
    }
}

/// Guards against a batch whose earlier snapshot, or whose records before the last one, are kept.
#[test]
fn of_several_snapshots_in_a_batch_the_last_starts_the_file() {
    let disk = FailingStorage {
        content: Arc::default(),
        writes_left: Arc::new(Mutex::new(1_000)),
    };
    let (mut wal, _) = Wal::open(disk.clone(), DiskId(1)).unwrap();
    wal.write(&entries(1)).unwrap();
    let vote = Record::Vote(Term(1), None);
    let first = [
        vec![Record::Snapshot(snapshot(2)), vote.clone()],
        entries(3),
    ]
    .concat();
    let second = [vec![Record::Snapshot(snapshot(4)), vote], entries(5)].concat();
    let batch = [entries(2), first, second.clone(), entries(6)].concat();
    wal.write(&batch).unwrap();
    let (_, durable) = Wal::open(disk, DiskId(2)).unwrap();
    assert_eq!(durable.records[0], Record::Disk(DiskId(1)));
    assert_eq!(durable.records[1..], [second, entries(6)].concat());
}

/// A disk that is full for new files until it is told otherwise.
#[derive(Clone, Default)]
struct FullDisk {
    content: Arc<Mutex<Vec<u8>>>,
    is_full: Arc<Mutex<bool>>,
}

impl Storage for FullDisk {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        Ok(self.content.lock().unwrap().clone())
    }

    fn sync(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn truncate(&mut self, len: usize) -> io::Result<()> {
        self.content.lock().unwrap().truncate(len);
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.content.lock().unwrap().extend(bytes);
        Ok(())
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        if *self.is_full.lock().unwrap() {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        *self.content.lock().unwrap() = bytes.to_vec();
        Ok(())
    }
}

/// Guards against an old log that goes before the new one is synced, and against a retry that takes
/// an older snapshot than the last.
#[test]
fn after_a_failed_replacement_the_old_log_is_whole_and_the_retry_takes_the_last_snapshot() {
    let disk = FullDisk::default();
    let (mut wal, _) = Wal::open(disk.clone(), DiskId(1)).unwrap();
    wal.write(&entries(1)).unwrap();
    *disk.is_full.lock().unwrap() = true;
    let mut batch = vec![Record::Snapshot(snapshot(2))];
    assert!(matches!(wal.write(&batch), Err(WalError::Io { .. })));
    let (_, durable) = Wal::open(disk.clone(), DiskId(2)).unwrap();
    assert_eq!(durable.records[1..], entries(1));
    // Without the snapshot nothing may be written: its entries may be in neither file.
    wal.recover().unwrap();
    assert!(matches!(wal.write(&entries(3)), Err(WalError::Failed)));
    batch.extend(entries(3));
    batch.push(Record::Snapshot(snapshot(3)));
    batch.extend(entries(4));
    *disk.is_full.lock().unwrap() = false;
    wal.write(&batch).unwrap();
    let (_, durable) = Wal::open(disk, DiskId(2)).unwrap();
    assert_eq!(durable.records[1..], batch[2..]);
}

/// Guards against a start that takes hours over a damaged file: each byte looked like the start of
/// a record of some megabytes.
#[test]
fn a_damaged_file_of_48_mb_is_refused() {
    let mut state = 1_u32;
    let mut bytes: Vec<u8> = Vec::with_capacity(48 << 20);
    // A length that is greater than what follows, but not too great to be one.
    bytes.extend(0x3000_0000_u32.to_le_bytes());
    while bytes.len() < 48 << 20 {
        state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        bytes.push(u8::try_from((state >> 16) % 3).unwrap());
    }
    let read = decode_records(&bytes);
    assert!(matches!(read, Err(FrameError::Damaged { offset: 0 })));
}

#[test]
fn a_file_too_large_for_memory_is_refused() {
    let directory = tempfile::tempdir().unwrap();
    let file = std::fs::File::create(directory.path().join("log")).unwrap();
    file.set_len((1 << 30) + 1).unwrap();
    let opened = Wal::open(LogDirectory::open(directory.path()).unwrap(), DiskId(5));
    assert!(matches!(opened, Err(WalError::Io { .. })));
}

/// Guards against room that a crash during a replacement takes for good.
#[test]
fn a_new_file_that_was_not_completed_is_removed() {
    let directory = tempfile::tempdir().unwrap();
    let open = || Wal::open(LogDirectory::open(directory.path()).unwrap(), DiskId(5)).unwrap();
    let (mut wal, _) = open();
    wal.write(&entries(1)).unwrap();
    let left = directory.path().join("log.new");
    std::fs::write(&left, [0; 100]).unwrap();
    let (_, durable) = open();
    assert!(!left.exists());
    assert_eq!(durable.records.len(), 2);
}

proptest! {
    #![proptest_config(Config { cases: 512, rng_seed: RngSeed::Fixed(29), ..Config::default() })]

    /// A file of which a part was overwritten and the end lost is refused, or gives the records
    /// before the damage.
    #[test]
    fn an_overwritten_file_is_refused_or_gives_a_prefix(
        count in 1_u64..12,
        damage in prop::collection::vec(any::<u8>(), 1..60),
        at in 0_usize..2_000,
        lost in 0_usize..100,
    ) {
        let mut all = vec![Record::Disk(DiskId(1)), Record::Snapshot(snapshot(3))];
        all.extend((4..4 + count).map(|i| Record::Entries(vec![entry(i)])));
        for encode in ENCODERS {
            let mut bytes = encode(&all);
            let at = at % bytes.len();
            for (place, byte) in bytes[at..].iter_mut().zip(&damage) {
                *place = *byte;
            }
            bytes.truncate(bytes.len() - lost.min(bytes.len()));
            if let Ok(frames) = decode_records(&bytes) {
                prop_assert!(all.starts_with(&frames.records));
            }
        }
    }
}
