//! The command `fulmardriftd regroup` on data folders of a stopped control instance.

use std::path::Path;
use std::process::{Command, Output};

use fulmardrift::{
    DiskId, Index, LogDirectory, LogEntry, Payload, Position, Record, ReplicaId, Term, Voter, Wal,
};

fn write_config(folder: &Path) {
    let text = format!(
        "name = \"control-1\"\nregion = \"r1\"\ndata_centre = \"dc1\"\n\
         [[group]]\nid = 1\naddress = \"127.0.0.1:1\"\n\
         [control]\nid = 1\nadmin = \"127.0.0.1:2\"\ndata = \"{}\"\n",
        folder.join("data").display()
    );
    std::fs::write(folder.join("control.toml"), text).unwrap();
}

/// Writes the log of an instance in a group of three.
fn write_log(folder: &Path) {
    let directory = LogDirectory::open(&folder.join("data")).unwrap();
    let (mut wal, _) = Wal::open(directory, DiskId(0xab)).unwrap();
    let voters = (1..=3)
        .map(|id| Voter {
            id: ReplicaId(id),
            disk: DiskId(0xaa + id),
        })
        .collect();
    let entry = LogEntry {
        position: Position {
            term: Term(1),
            index: Index(1),
        },
        payload: Payload::Voters(voters),
    };
    wal.write(&[Record::Entries(vec![entry])]).unwrap();
}

fn read_log(folder: &Path) -> Vec<Record> {
    let directory = LogDirectory::open(&folder.join("data")).unwrap();
    Wal::open(directory, DiskId(1)).unwrap().1.records
}

fn regroup(folder: &Path, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fulmardriftd"))
        .arg("regroup")
        .arg(folder.join("control.toml"))
        .args(args)
        .output()
        .unwrap()
}

#[test]
fn without_a_confirmation_it_shows_the_log_and_changes_nothing() {
    let folder = tempfile::tempdir().unwrap();
    write_config(folder.path());
    write_log(folder.path());
    let before = read_log(folder.path());
    let output = regroup(folder.path(), &[]);
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(
        text.contains("disk ab\nvoters 1@ab,2@ac,3@ad\nlast entry 1 of term 1\n"),
        "{text}"
    );
    assert_eq!(read_log(folder.path()), before);
    let output = regroup(folder.path(), &["--confirm", "ac"]);
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(read_log(folder.path()), before);
}

#[test]
fn with_its_disk_confirmed_the_instance_is_the_only_voter() {
    let folder = tempfile::tempdir().unwrap();
    write_config(folder.path());
    write_log(folder.path());
    let output = regroup(folder.path(), &["--confirm", "ab"]);
    assert!(output.status.success(), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stderr).contains("E306 regrouped"));
    let Some(Record::Entries(entries)) = read_log(folder.path()).pop() else {
        panic!("no entry was written");
    };
    let survivor = Voter {
        id: ReplicaId(1),
        disk: DiskId(0xab),
    };
    assert_eq!(entries[0].payload, Payload::Voters(vec![survivor]));
}

#[test]
fn a_missing_folder_and_an_empty_log_are_refused() {
    let folder = tempfile::tempdir().unwrap();
    write_config(folder.path());
    let output = regroup(folder.path(), &[]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("no data folder"));
    std::fs::create_dir(folder.path().join("data")).unwrap();
    let output = regroup(folder.path(), &["--confirm", "ab"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("has no log"));
}
