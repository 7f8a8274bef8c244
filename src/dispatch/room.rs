//! Room for the files of the log: new changes are refused before it runs out.

use super::replicated_state::StateCommand;
use crate::control::raft::Raft;
use crate::core::clock::Millis;
use crate::events;

/// This part of the bound is set aside for what must be stored: ends of runs, cancellations and
/// the log's own records.
const RESERVE_DIVISOR: usize = 8;
/// Part of the free room that entries may take before a snapshot replaces them.
const LOG_DIVISOR: usize = 4;
/// Entries of fewer bytes are not replaced because room is short.
const MIN_LOG_BYTES: usize = 1 << 20;
/// Time between two snapshots that are taken to find out how much room has been made.
const RETRY_INTERVAL: Millis = Millis(5_000);
/// Bytes in a snapshot for a task that has not run.
const TASK_LEN: usize = 2;

/// Bytes of the log's files, against their bound.
#[derive(Debug)]
pub(crate) struct Room {
    bound: usize,
    // Bytes that tasks add to the next snapshot beyond the size of their entries.
    task_bytes: usize,
    // What the latest refused change needs, while room is short.
    wanted: Option<usize>,
    snapshot_at: Millis,
}

impl Default for Room {
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl Room {
    pub(crate) fn new(bound: usize) -> Self {
        Self {
            bound,
            task_bytes: 0,
            wanted: None,
            snapshot_at: Millis(0),
        }
    }

    /// Bytes of the file and of the next snapshot, which stand side by side until the old file is
    /// removed. A snapshot grows by no more than the entries that it replaces and their tasks.
    fn needed(&self, raft: &Raft) -> usize {
        let twice = raft.snapshot().data.len() + raft.backlog_bytes();
        twice.saturating_mul(2).saturating_add(self.task_bytes)
    }

    fn reserve(&self) -> usize {
        self.bound / RESERVE_DIVISOR
    }

    fn fits(&self, raft: &Raft, extra: usize) -> bool {
        let needed = self.needed(raft).saturating_add(self.reserve());
        needed.saturating_add(extra) <= self.bound
    }

    /// Returns true if a command that takes `len` bytes may be stored, and counts it. `batched` has
    /// what the commands before it need that are not in the log yet.
    pub(crate) fn admits(
        &mut self,
        raft: &Raft,
        command: &StateCommand,
        len: usize,
        batched: &mut usize,
    ) -> bool {
        let task_bytes = task_bytes(command);
        let extra = len.saturating_mul(2).saturating_add(task_bytes);
        let is_new = matches!(
            command,
            StateCommand::Config(_) | StateCommand::Accept(..) | StateCommand::AcceptFor(..)
        );
        if is_new && !self.fits(raft, batched.saturating_add(extra)) {
            if self.wanted.is_none() {
                events::ROOM_SHORT.log(format_args!(
                    "needed={} wanted={extra} reserve={} bound={}",
                    self.needed(raft),
                    self.reserve(),
                    self.bound
                ));
            }
            // Smaller changes are taken even if this one never fits.
            self.wanted = Some(extra.min(self.reserve()));
            return false;
        }
        *batched = batched.saturating_add(extra);
        true
    }

    /// Counts an applied command.
    pub(crate) fn applied(&mut self, command: &StateCommand) {
        self.task_bytes = self.task_bytes.saturating_add(task_bytes(command));
    }

    /// Returns true if the entries should be replaced by a snapshot now: they leave little room, or
    /// what has ended since the last snapshot may make some.
    pub(crate) fn wants_snapshot(&self, now: Millis, raft: &Raft) -> bool {
        let free = self
            .bound
            .saturating_sub(self.reserve())
            .saturating_sub(self.needed(raft) - 2 * raft.backlog_bytes());
        let limit = MIN_LOG_BYTES.max(free / LOG_DIVISOR);
        let is_due = self.wanted.is_some() && now >= self.snapshot_at + RETRY_INTERVAL;
        raft.covered_bytes() >= if is_due { 1 } else { limit }
    }

    pub(crate) fn snapshot_taken(&mut self, now: Millis) {
        self.snapshot_at = now;
        self.task_bytes = 0;
    }

    /// Ends the shortage once what was last refused fits, or this replica no longer leads.
    pub(crate) fn update(&mut self, raft: &Raft) {
        if let Some(wanted) = self.wanted
            && (!raft.is_leader() || self.fits(raft, wanted))
        {
            self.wanted = None;
            events::ROOM_MADE.log(format_args!(
                "needed={} wanted={wanted} reserve={} bound={} leads={}",
                self.needed(raft),
                self.reserve(),
                self.bound,
                raft.is_leader()
            ));
        }
    }
}

fn task_bytes(command: &StateCommand) -> usize {
    let (StateCommand::Accept(_, _, spec) | StateCommand::AcceptFor(_, _, _, spec)) = command
    else {
        return 0;
    };
    let counts = spec.steps.iter().map(|step| step.count as usize);
    counts.fold(0, |sum, count| {
        sum.saturating_add(count.saturating_mul(TASK_LEN))
    })
}
