//! A write that a power loss interrupted is cut off; what was synced before it stays.

use std::io;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use fulmardrift::{
    DiskId, Index, LogEntry, Payload, Position, Record, ReplicaId, Storage, Term, Wal, WalError,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SECTOR_LEN: usize = 512;
const SEEDS: u64 = 2_000;

/// A file of which a power loss takes the sectors of the last write that a test names.
#[derive(Clone, Default)]
struct Disk {
    content: Arc<Mutex<Vec<u8>>>,
    synced_len: Arc<Mutex<usize>>,
}

impl Disk {
    fn len(&self) -> usize {
        self.content.lock().unwrap().len()
    }

    /// Clears what was written from byte `from` on in sectors for which `is_lost` says so.
    fn lose(&self, from: usize, mut is_lost: impl FnMut(usize) -> bool) {
        let mut content = self.content.lock().unwrap();
        for sector in from / SECTOR_LEN..content.len().div_ceil(SECTOR_LEN) {
            let end = content.len().min((sector + 1) * SECTOR_LEN);
            if is_lost(sector) {
                content[from.max(sector * SECTOR_LEN)..end].fill(0);
            }
        }
    }
}

impl Storage for Disk {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        Ok(self.content.lock().unwrap().clone())
    }

    fn sync(&mut self) -> io::Result<()> {
        *self.synced_len.lock().unwrap() = self.len();
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
        *self.content.lock().unwrap() = bytes.to_vec();
        Ok(())
    }
}

fn entries(index: u64, command: Vec<u8>) -> Record {
    let position = Position {
        term: Term(1),
        index: Index(index),
    };
    Record::Entries(vec![LogEntry {
        position,
        payload: Payload::Command(Bytes::from(command)),
    }])
}

/// One to five records, of a few bytes to a few sectors.
fn random_write(rng: &mut Pcg64Mcg, next: &mut u64) -> Vec<Record> {
    let count = rng.random_range(1..=5);
    let records = (0..count).map(|_| {
        *next += 1;
        if rng.random_bool(0.2) {
            return Record::Vote(Term(*next), Some(ReplicaId(2)));
        }
        let longest = if rng.random_bool(0.5) { 40 } else { 3_000 };
        let len = rng.random_range(0..longest);
        let fill = rng.random_range(0..3);
        let byte = |_| {
            if fill == 0 {
                0
            } else {
                rng.random_range(0..=255)
            }
        };
        entries(*next, (0..len).map(byte).collect())
    });
    records.collect()
}

fn open(disk: &Disk) -> Result<(Wal<Disk>, Vec<Record>), WalError> {
    let (wal, durable) = Wal::open(disk.clone(), DiskId(1))?;
    Ok((wal, durable.records))
}

/// Guards against an instance that never starts again after a power loss: a write that lacked
/// sectors counted as damage.
#[test]
fn whatever_sectors_of_the_last_write_are_lost_the_log_opens_with_all_before_it() {
    for seed in 0..SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let disk = Disk::default();
        let (mut wal, mut all) = open(&disk).unwrap();
        let mut next = 0;
        for _ in 0..rng.random_range(0..4) {
            let records = random_write(&mut rng, &mut next);
            wal.write(&records).unwrap();
            all.extend(records);
        }
        let (synced, synced_len) = (all.len(), disk.len());
        let records = random_write(&mut rng, &mut next);
        wal.write(&records).unwrap();
        all.extend(records);
        let rate = rng.random_range(0.0..=1.0);
        disk.lose(synced_len, |_| rng.random_bool(rate));
        if rng.random_bool(0.3) {
            let len = rng.random_range(synced_len..=disk.len());
            disk.content.lock().unwrap().truncate(len);
        }
        let (mut wal, read) = open(&disk).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        assert!(read.len() >= synced, "seed {seed}");
        assert!(all.starts_with(&read), "seed {seed}");
        let after = vec![entries(next + 1, vec![9; 600])];
        wal.write(&after).unwrap();
        let (_, again) = open(&disk).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        assert_eq!(again, [read, after].concat(), "seed {seed}");
    }
}

/// Guards against a cut that takes what was acknowledged: a write behind another says that the
/// other was synced.
#[test]
fn lost_sectors_in_front_of_another_write_are_damage() {
    for seed in 0..SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let disk = Disk::default();
        let (mut wal, _) = open(&disk).unwrap();
        let from = disk.len();
        wal.write(&[entries(1, vec![7; 2_000]), entries(2, vec![7; 900])])
            .unwrap();
        let end = disk.len() / SECTOR_LEN;
        for index in 3..rng.random_range(4..6) {
            wal.write(&[entries(index, vec![7; 700])]).unwrap();
        }
        let lost = rng.random_range(0..end);
        disk.lose(from, |sector| sector == lost);
        assert!(open(&disk).is_err(), "seed {seed}");
    }
}

/// Guards against a write that is cut off at any byte, with zeros up to its full length.
#[test]
fn a_write_that_ends_in_zeros_at_any_byte_is_cut_off() {
    let disk = Disk::default();
    let (mut wal, _) = open(&disk).unwrap();
    wal.write(&[entries(1, vec![7; 50])]).unwrap();
    let synced_len = disk.len();
    wal.write(&[entries(2, vec![7; 50]), entries(3, vec![7; 50])])
        .unwrap();
    let whole = disk.content.lock().unwrap().clone();
    for kept in synced_len..whole.len() {
        *disk.content.lock().unwrap() = whole.clone();
        disk.content.lock().unwrap()[kept..].fill(0);
        let (_, read) = open(&disk).unwrap_or_else(|error| panic!("{kept} bytes: {error}"));
        assert!(read.len() >= 2, "{kept} bytes");
    }
}

/// Guards against records that an instance acknowledges as they stand in its file, and that a power
/// loss takes: the process that wrote them was killed before its sync.
#[test]
fn what_an_earlier_process_did_not_sync_is_synced_before_it_is_used() {
    let disk = Disk::default();
    let (mut wal, _) = open(&disk).unwrap();
    wal.write(&[entries(1, vec![7; 50])]).unwrap();
    *disk.synced_len.lock().unwrap() = 0;
    let (_, read) = open(&disk).unwrap();
    assert_eq!(read.len(), 2);
    assert_eq!(*disk.synced_len.lock().unwrap(), disk.len());
}
