//! What a leader knows about a follower's log, and what it has sent to it.

use std::collections::VecDeque;

use super::log::{DiskId, Index, Snapshot};
use super::transfer::Transfer;
use crate::core::clock::Millis;

/// Most bytes of entries in one message; a larger entry goes alone.
pub(crate) const MAX_BATCH_BYTES: usize = 256 << 10;
/// Most bytes of entries in flight to a follower; a larger entry goes alone.
pub(crate) const MAX_IN_FLIGHT_BYTES: usize = 1 << 20;
/// Bytes per millisecond that a link and a follower's disk carry at least.
pub(crate) const LOWEST_RATE: usize = 2_000;
/// What is in flight counts as lost when nothing was acknowledged for this many heartbeat intervals,
/// and for the time that it takes at [`LOWEST_RATE`].
const RESEND_HEARTBEATS: u64 = 4;
/// A message of more bytes may be overtaken by one of fewer than [`MAX_URGENT_BYTES`].
const MIN_BULK_BYTES: usize = 16 << 10;
/// A message of fewer bytes may overtake a longer one.
const MAX_URGENT_BYTES: usize = 64 << 10;

/// How a leader sends to a follower.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum FollowerState {
    /// Whether the follower holds the entry before `from` is not known. One batch is tried, and
    /// after that heartbeats only, until it answers.
    Probe { from: Index, tried: bool },
    /// The follower takes entries in order; batches go out without waiting for each other.
    Replicate,
    /// The follower needs a snapshot, which is sent in chunks.
    Snapshot(Transfer),
}

/// Entries that were sent in one message and are not acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Batch {
    last: Index,
    bytes: usize,
}

/// What a leader knows about a peer's log.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Progress {
    pub(crate) disk: Option<DiskId>,
    // Index of the next entry to send.
    pub(crate) next: Index,
    // Index up to which the peer has durably stored the same log.
    pub(crate) matched: Index,
    // The latest of the leader's clock readings that the peer returned.
    pub(crate) echoed_time: Option<Millis>,
    pub(crate) state: FollowerState,
    // Since when the peer is in this state; refusals of earlier messages say nothing about it.
    entered_at: Millis,
    batches: VecDeque<Batch>,
    // Bytes of all batches.
    in_flight: usize,
    // When data was last acknowledged, or sent with nothing in flight.
    pub(crate) moved_at: Millis,
    // When the peer last stored anything, or lacked nothing.
    pub(crate) advanced_at: Millis,
}

impl Progress {
    pub(crate) fn new(next: Index, now: Millis) -> Self {
        Self {
            disk: None,
            next,
            matched: Index(0),
            echoed_time: None,
            state: FollowerState::Probe {
                from: next,
                tried: false,
            },
            entered_at: now,
            batches: VecDeque::new(),
            in_flight: 0,
            moved_at: now,
            advanced_at: now,
        }
    }

    /// The peer answers with another disk: what is known of the former one does not count.
    pub(crate) fn change_disk(&mut self, now: Millis, disk: DiskId, last: Index) {
        if self.disk.is_some() {
            self.matched = Index(0);
            self.probe(now, last.next(), false);
        }
        self.disk = Some(disk);
        self.echoed_time = None;
    }

    fn enter(&mut self, now: Millis, state: FollowerState) {
        self.state = state;
        self.entered_at = now;
    }

    fn clear_in_flight(&mut self) {
        self.batches.clear();
        self.in_flight = 0;
    }

    pub(crate) fn probe(&mut self, now: Millis, from: Index, tried: bool) {
        self.clear_in_flight();
        self.next = from;
        self.enter(now, FollowerState::Probe { from, tried });
    }

    /// Index of the entry that a heartbeat names, so that the peer accepts it whatever is in flight.
    pub(crate) fn heartbeat_index(&self) -> Index {
        match &self.state {
            FollowerState::Probe { from, .. } => Index(from.0.saturating_sub(1)),
            FollowerState::Replicate if self.batches.is_empty() => Index(self.next.0 - 1),
            FollowerState::Replicate => self.matched,
            FollowerState::Snapshot(_) => Index(0),
        }
    }

    /// Bytes that the next batch may have; `None` when none may be sent now.
    pub(crate) fn batch_limit(&self) -> Option<usize> {
        let room = MAX_IN_FLIGHT_BYTES.saturating_sub(self.in_flight);
        match self.state {
            FollowerState::Probe { tried: false, .. } => Some(MAX_BATCH_BYTES),
            FollowerState::Replicate if room > 0 => Some(room.min(MAX_BATCH_BYTES)),
            _ => None,
        }
    }

    /// True if a batch of this size may follow what is in flight: it stays within the limit, and
    /// overtakes nothing.
    pub(crate) fn admits(&self, bytes: usize) -> bool {
        if self.batches.is_empty() {
            return true;
        }
        let overtakes = bytes < MAX_URGENT_BYTES
            && self
                .batches
                .iter()
                .any(|batch| batch.bytes > MIN_BULK_BYTES);
        self.in_flight + bytes <= MAX_IN_FLIGHT_BYTES && !overtakes
    }

    /// A batch that ends with `last` was sent.
    pub(crate) fn sent(&mut self, now: Millis, last: Index, bytes: usize) {
        if self.batches.is_empty() {
            self.moved_at = now;
        }
        if let FollowerState::Probe { tried, .. } = &mut self.state {
            *tried = true;
        }
        self.batches.push_back(Batch { last, bytes });
        self.in_flight += bytes;
        self.next = last.next();
    }

    /// Begins to send a snapshot.
    pub(crate) fn send_snapshot(&mut self, now: Millis, snapshot: Snapshot) {
        self.clear_in_flight();
        self.moved_at = now;
        self.next = snapshot.position.index.next();
        self.enter(now, FollowerState::Snapshot(Transfer::new(snapshot)));
    }

    /// The first entry that the peer needs next; `None` if nothing is known of it.
    pub(crate) fn needs(&self) -> Option<Index> {
        match &self.state {
            FollowerState::Snapshot(transfer) => Some(transfer.position().index.next()),
            _ if self.matched > Index(0) => Some(self.matched.next()),
            _ => None,
        }
    }

    /// The peer accepted a message and holds the log up to `matched`.
    pub(crate) fn accepted(&mut self, now: Millis, matched: Index) {
        if matched > self.matched {
            self.matched = matched;
            self.moved_at = now;
            self.advanced_at = now;
        }
        while let Some(batch) = self.batches.front()
            && batch.last <= self.matched
        {
            self.in_flight -= batch.bytes;
            self.batches.pop_front();
        }
        self.next = self.next.max(self.matched.next());
        let is_done = match &mut self.state {
            FollowerState::Probe { from, tried } => {
                // The peer answers, so that one more batch may be tried.
                *tried &= !self.batches.is_empty();
                self.matched.next() >= *from
            }
            FollowerState::Replicate => false,
            FollowerState::Snapshot(transfer) => {
                transfer.resume();
                self.matched >= transfer.position().index
            }
        };
        if is_done {
            self.enter(now, FollowerState::Replicate);
        }
    }

    /// The peer refused a message that was sent at `leader_time`, and can go on from `hint`.
    pub(crate) fn refused(&mut self, now: Millis, hint: Index, leader_time: Millis) {
        let is_old = hint <= self.matched || leader_time < self.entered_at;
        match &mut self.state {
            FollowerState::Snapshot(transfer) if hint <= transfer.position().index => {
                transfer.resume();
            }
            _ if is_old => {}
            _ => self.probe(now, hint, false),
        }
    }

    /// Gives up what is in flight if it counts as lost: the peer gets it again once it answers a
    /// heartbeat.
    pub(crate) fn expire(&mut self, now: Millis, heartbeat: Millis) {
        let in_flight = match &self.state {
            FollowerState::Snapshot(transfer) => transfer.in_flight(),
            _ => self.in_flight,
        };
        let transfer_time = (in_flight / LOWEST_RATE) as u64;
        let limit = Millis(heartbeat.0 * RESEND_HEARTBEATS + transfer_time);
        if in_flight == 0 || now.since(self.moved_at) < limit {
            return;
        }
        match &mut self.state {
            FollowerState::Probe { from, .. } => {
                let from = *from;
                self.probe(now, from, true);
            }
            FollowerState::Replicate => self.probe(now, self.matched.next(), true),
            FollowerState::Snapshot(transfer) => transfer.expire(),
        }
    }
}
