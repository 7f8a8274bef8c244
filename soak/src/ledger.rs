//! What the operators were told, and checks of what they read against it.

use std::fmt::Write;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use crate::document::{self, Documents};

/// What a run did and found.
#[derive(Debug)]
pub struct Report {
    /// Seed of the schedule, the configurations and the jobs.
    pub seed: u64,
    /// What was counted and measured.
    pub counts: String,
    /// Violations; empty in a run that held.
    pub findings: Vec<String>,
    /// What was done, one line a step, with seconds from the start.
    pub trace: String,
    /// Directory with logs and trace, if they are kept.
    pub logs: Option<PathBuf>,
}

/// What is known of a version that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Open,
    Acknowledged,
    Refused,
}

/// Record of one run.
#[derive(Debug)]
pub(crate) struct Ledger {
    documents: Documents,
    began: Instant,
    /// Versions that were sent, in ascending order.
    sent: Vec<(u64, Fate)>,
    /// Highest version that was acknowledged or read.
    floor: u64,
    trace: String,
    findings: Vec<String>,
    pub(crate) reads: usize,
    last_read: Option<Instant>,
    /// Longest time between two successful reads.
    pub(crate) longest_gap: Duration,
}

impl Ledger {
    pub(crate) fn new(documents: Documents) -> Self {
        Self {
            documents,
            began: Instant::now(),
            sent: Vec::new(),
            floor: 0,
            trace: String::new(),
            findings: Vec::new(),
            reads: 0,
            last_read: None,
            longest_gap: Duration::ZERO,
        }
    }

    /// Adds a line to the trace.
    pub(crate) fn note(&mut self, line: &str) {
        let at = self.began.elapsed().as_secs_f64();
        // Writing to a string does not fail.
        let _ = writeln!(self.trace, "{at:8.3} {line}");
    }

    pub(crate) fn find(&mut self, finding: String) {
        self.note(&format!("FOUND {finding}"));
        self.findings.push(finding);
    }

    /// A new version, above all others.
    pub(crate) fn next_version(&mut self, step: u64) -> u64 {
        let version = self.sent.last().map_or(0, |(version, _)| *version) + step;
        self.sent.push((version, Fate::Open));
        version
    }

    pub(crate) fn acknowledged(&mut self, version: u64) {
        self.set(version, Fate::Acknowledged);
        self.floor = self.floor.max(version);
    }

    pub(crate) fn refused(&mut self, version: u64) {
        self.set(version, Fate::Refused);
    }

    fn set(&mut self, version: u64, fate: Fate) {
        if let Ok(at) = self.sent.binary_search_by_key(&version, |(v, _)| *v) {
            self.sent[at].1 = fate;
        }
    }

    /// Number of acknowledged versions.
    pub(crate) fn acknowledgements(&self) -> usize {
        self.count(Fate::Acknowledged)
    }

    /// Number of refused versions.
    pub(crate) fn refusals(&self) -> usize {
        self.count(Fate::Refused)
    }

    fn count(&self, fate: Fate) -> usize {
        self.sent.iter().filter(|(_, f)| *f == fate).count()
    }

    /// The lowest version that a read which begins now may return.
    pub(crate) fn floor(&self) -> u64 {
        self.floor
    }

    /// Checks a document that was read; `floor` was taken before the read began.
    pub(crate) fn check_read(&mut self, floor: u64, found: &[u8]) {
        self.reads += 1;
        let now = Instant::now();
        let gap = self.last_read.map_or(Duration::ZERO, |last| now - last);
        self.longest_gap = self.longest_gap.max(gap);
        self.last_read = Some(now);
        let Some(version) = document::version(found) else {
            self.find(format!("read back: not a document: {} bytes", found.len()));
            return;
        };
        if version < floor {
            self.find(format!("read back: version {version} after {floor}"));
        }
        match self.sent.binary_search_by_key(&version, |(v, _)| *v) {
            Err(_) => self.find(format!("read back: version {version}, never sent")),
            Ok(at) if self.sent[at].1 == Fate::Refused => {
                self.find(format!("version {version} is in force, but was refused"));
            }
            Ok(_) if self.documents.valid(version) != found => {
                self.find(format!("read back: version {version} is another document"));
            }
            Ok(_) => self.floor = self.floor.max(version),
        }
    }

    /// When a document was last read.
    pub(crate) fn last_read(&self) -> Option<Instant> {
        self.last_read
    }

    /// Ends a run. If there are findings, or `always`, its trace is kept in `target`, and `copy` puts
    /// the processes' logs there.
    pub(crate) fn report(
        &self,
        seed: u64,
        counts: String,
        target: Option<PathBuf>,
        always: bool,
        copy: impl FnOnce(&Path) -> io::Result<()>,
    ) -> io::Result<Report> {
        let logs = target.filter(|_| always || !self.findings.is_empty());
        if let Some(target) = &logs {
            fs::create_dir_all(target)?;
            copy(target)?;
            fs::write(target.join("trace"), &self.trace)?;
        }
        Ok(Report {
            seed,
            counts,
            findings: self.findings.clone(),
            trace: self.trace.clone(),
            logs,
        })
    }
}
