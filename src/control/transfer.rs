//! Snapshots that are sent to followers in chunks.
//!
//! A follower collects the chunks of one snapshot, of one leader, in order, and answers with the
//! number of bytes that it holds. The leader goes on from there, with the same snapshot even when it
//! takes a newer one, and keeps the log's entries from the older snapshot on.

use bytes::Bytes;

use super::log::{Index, Position, ReplicaId, Snapshot, Term, Voter};
use super::message::{Body, SnapshotChunk};
use super::progress::FollowerState;
use super::raft::{Raft, RaftGuard, RaftOutput};
use crate::core::clock::Millis;

/// Most bytes of a snapshot in one message. A shorter snapshot is not divided.
const CHUNK_BYTES: usize = 128 << 10;
/// Most bytes of a snapshot in flight.
const WINDOW_BYTES: usize = 512 << 10;
/// Entries of at least this many bytes are kept for followers, however small the snapshot.
const MIN_KEPT_BYTES: usize = 4 << 20;

/// A leader's transfer of a snapshot to a follower.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Transfer {
    snapshot: Snapshot,
    // Bytes that the follower holds.
    acked: usize,
    // Bytes that were sent.
    sent: usize,
    // The latest of the leader's clock readings in an answer about this snapshot.
    answered_time: Option<Millis>,
    // When chunks were last sent again; answers to earlier ones do not show a gap.
    rewound_at: Option<Millis>,
    // What was sent counts as lost; nothing more is sent until the follower answers.
    waits: bool,
}

impl Transfer {
    pub(crate) fn new(snapshot: Snapshot) -> Self {
        Self {
            snapshot,
            acked: 0,
            sent: 0,
            answered_time: None,
            rewound_at: None,
            waits: false,
        }
    }

    pub(crate) fn position(&self) -> Position {
        self.snapshot.position
    }

    /// Bytes of the snapshot. An empty one counts as one byte, as it is sent too.
    fn len(&self) -> usize {
        self.snapshot.data.len().max(1)
    }

    pub(crate) fn missing(&self) -> usize {
        self.len() - self.acked
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.sent - self.acked
    }

    /// The follower answers, so that sending goes on.
    pub(crate) fn resume(&mut self) {
        self.waits = false;
    }

    /// Goes back to what the follower holds, once it answers.
    pub(crate) fn expire(&mut self) {
        self.sent = self.acked;
        self.waits = true;
    }

    /// The next message, unless enough is in flight.
    fn next_message(&mut self, term: Term, now: Millis) -> Option<Body> {
        let left = self.len() - self.sent;
        if self.waits || left == 0 {
            return None;
        }
        if self.len() <= CHUNK_BYTES {
            self.sent = self.len();
            return Some(Body::Install {
                term,
                snapshot: self.snapshot.clone(),
                leader_time: now,
            });
        }
        // The last two chunks are of the same length: a short one would overtake the others.
        let len = if left > CHUNK_BYTES && left < 2 * CHUNK_BYTES {
            left.div_ceil(2)
        } else {
            left.min(CHUNK_BYTES)
        };
        if self.in_flight() + len > WINDOW_BYTES {
            return None;
        }
        let offset = self.sent;
        self.sent += len;
        let chunk = SnapshotChunk {
            position: self.snapshot.position,
            voters: self.snapshot.voters.clone(),
            offset: offset as u64,
            total: self.len() as u64,
            data: self.snapshot.data.slice(offset..self.sent),
        };
        Some(Body::InstallChunk {
            term,
            chunk,
            leader_time: now,
        })
    }

    /// The follower held `offset` bytes when it received a chunk that was sent at `leader_time`.
    /// Returns true if it holds more than before.
    pub(crate) fn stored(&mut self, now: Millis, offset: u64, leader_time: Millis) -> bool {
        let offset = usize::try_from(offset).map_or(self.len(), |n| n.min(self.len()));
        let is_newer = Some(leader_time) > self.answered_time;
        self.answered_time = self.answered_time.max(Some(leader_time));
        self.waits = false;
        if offset > self.acked {
            self.acked = offset;
            self.sent = self.sent.max(offset);
            return true;
        }
        // The chunk left a gap, or the follower has lost what it held.
        let is_gap = offset == self.acked || is_newer;
        if is_gap && Some(leader_time) > self.rewound_at {
            self.acked = offset;
            self.sent = offset;
            self.rewound_at = Some(now);
        }
        false
    }
}

/// A snapshot of which a follower holds the first bytes.
#[derive(Debug, Clone)]
pub(crate) struct PartialSnapshot {
    term: Term,
    position: Position,
    voters: Vec<Voter>,
    total: u64,
    data: Vec<u8>,
}

impl PartialSnapshot {
    pub(crate) fn index(&self) -> Index {
        self.position.index
    }

    fn held(&self) -> u64 {
        self.data.len() as u64
    }
}

impl Raft {
    /// Sends a follower the next chunks of its snapshot. Starts again with the latest snapshot when
    /// the log no longer holds the entries after the former one.
    pub(crate) fn send_chunks(&mut self, now: Millis, to: ReplicaId, out: &mut Vec<RaftOutput>) {
        let term = self.term;
        let mut messages = Vec::new();
        if let Some(progress) = self.progress.get_mut(&to)
            && let FollowerState::Snapshot(transfer) = &mut progress.state
        {
            if self.log.kept_term(transfer.position().index).is_none() {
                *transfer = Transfer::new(self.log.snapshot.clone());
                progress.next = self.log.snapshot.position.index.next();
            }
            if transfer.in_flight() == 0 {
                progress.moved_at = now;
            }
            while let Some(body) = transfer.next_message(term, now) {
                messages.push(body);
            }
        }
        for body in messages {
            self.send(to, body, out);
        }
    }

    /// True if this chunk goes on with what this replica holds.
    fn continues(&self, part: &PartialSnapshot, chunk: &SnapshotChunk) -> bool {
        let same_source = part.term == self.term && part.position == chunk.position;
        (same_source || !self.is_enabled(RaftGuard::ChunkSource))
            && part.total == chunk.total
            && part.voters == chunk.voters
    }

    pub(crate) fn on_install_chunk(
        &mut self,
        from: ReplicaId,
        chunk: &SnapshotChunk,
        leader_time: Millis,
        out: &mut Vec<RaftOutput>,
    ) {
        let (term, position) = (self.term, chunk.position);
        if position.index <= self.commit_index {
            self.confirm_committed(from, leader_time, out);
            return;
        }
        let part = match self.partial.take() {
            Some(part) if self.continues(&part, chunk) => part,
            // A chunk of an older snapshot arrived late.
            Some(part) if part.term == term && part.position.index > position.index => {
                self.partial = Some(part);
                return;
            }
            _ => PartialSnapshot {
                term,
                position,
                voters: chunk.voters.clone(),
                total: chunk.total,
                data: Vec::new(),
            },
        };
        let part = self.extend(part, chunk);
        if part.held() == part.total {
            let snapshot = Snapshot {
                position,
                voters: part.voters,
                data: Bytes::from(part.data),
            };
            self.on_install(from, snapshot, leader_time, out);
            return;
        }
        let offset = part.held();
        self.partial = Some(part);
        let body = Body::ChunkStored {
            term,
            position,
            offset,
            leader_time,
        };
        self.acknowledge(from, body, out);
    }

    /// Appends what a chunk adds. One that leaves a gap, or goes beyond the end, adds nothing.
    fn extend(&self, mut part: PartialSnapshot, chunk: &SnapshotChunk) -> PartialSnapshot {
        let end = chunk.offset.saturating_add(chunk.data.len() as u64);
        let held = part.held();
        if !self.is_enabled(RaftGuard::ChunkOrder) {
            part.data.extend_from_slice(&chunk.data);
        } else if chunk.offset <= held && held < end && end <= part.total {
            let known = usize::try_from(held - chunk.offset).unwrap_or(usize::MAX);
            part.data
                .extend_from_slice(chunk.data.get(known..).unwrap_or_default());
        }
        part
    }

    /// Tells the leader that this replica holds everything that is committed, once that is synced.
    pub(crate) fn confirm_committed(
        &mut self,
        to: ReplicaId,
        leader_time: Millis,
        out: &mut Vec<RaftOutput>,
    ) {
        let body = Body::Appended {
            term: self.term,
            accepted: true,
            matched: self.commit_index,
            leader_time,
        };
        self.send_after(self.last_write, to, body, out);
    }

    pub(crate) fn on_chunk_stored(
        &mut self,
        now: Millis,
        from: Voter,
        position: Position,
        offset: u64,
        leader_time: Millis,
        out: &mut Vec<RaftOutput>,
    ) {
        let Some(progress) = self.heard_from(now, from, leader_time) else {
            return;
        };
        if let FollowerState::Snapshot(transfer) = &mut progress.state
            && transfer.position() == position
            && transfer.stored(now, offset, leader_time)
        {
            progress.moved_at = now;
            progress.advanced_at = now;
        }
        self.send_entries(now, from.id, out);
    }

    /// The first entries that followers need which have answered of late, in ascending order.
    fn needed_entries(&self) -> Vec<Index> {
        if !self.is_leader() {
            return Vec::new();
        }
        let limit = Millis(self.timing.election.0 * 2);
        let mut needed = Vec::new();
        for (_, progress) in self.progress.iter() {
            let answers = progress
                .echoed_time
                .is_some_and(|at| self.last_heartbeat_at.since(at) <= limit);
            if answers && let Some(index) = progress.needs() {
                needed.push(index);
            }
        }
        needed.sort_unstable();
        needed
    }

    /// The first entry to keep for followers when a snapshot of `bytes` bytes replaces the log up to
    /// `index`. Entries larger than the snapshot are not kept: the snapshot is sent sooner.
    pub(crate) fn first_kept(&self, index: Index, bytes: usize) -> Index {
        let limit = bytes.max(MIN_KEPT_BYTES);
        let fits = |from: &Index| {
            let before = Index(from.0.saturating_sub(1));
            self.log.kept_term(before).is_some() && self.log.bytes_between(*from, index) <= limit
        };
        let needed = self.needed_entries();
        needed.into_iter().find(fits).unwrap_or(index.next())
    }

    /// Drops the entries before the snapshot that no follower needs any more.
    pub(crate) fn drop_unneeded_entries(&mut self) {
        let first = self.needed_entries().first().copied();
        self.log.keep_from(first.unwrap_or(Index(u64::MAX)));
    }
}
