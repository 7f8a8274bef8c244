//! The lease renewals that the leader has received.
//!
//! Held in memory only: a new leader waits for one whole lease before it declares any process dead.

use crate::core::clock::Millis;
use crate::core::ids::{Incarnation, Revision};
use crate::core::table::Table;

/// The last renewal of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Renewal {
    /// When the renewal reached the leader, by the leader's clock.
    pub renewed_at: Millis,
    /// Length of the lease given then, in milliseconds.
    pub lease: Millis,
    /// The revision the process has in force.
    pub revision: Revision,
}

/// The last renewals of all live processes.
#[derive(Debug, Clone, Default)]
pub struct Renewals {
    last_renewals: Table<Incarnation, Renewal>,
}

impl Renewals {
    /// Resets the renewals when this replica becomes the leader. Every live process counts as
    /// renewed at `now`, with `lease`, the longest that an earlier leader may have given.
    pub fn reset(&mut self, now: Millis, lease: Millis, live: &[Incarnation]) {
        self.last_renewals = Table::default();
        for incarnation in live {
            self.last_renewals.insert(
                *incarnation,
                Renewal {
                    renewed_at: now,
                    lease,
                    revision: Revision(0),
                },
            );
        }
    }

    /// Records that a process renewed its lease or joined.
    ///
    /// ```
    /// use fulmardrift::{Incarnation, Millis, Renewals, Revision};
    /// let mut renewals = Renewals::default();
    /// renewals.renew(Millis(10), Millis(40), Incarnation(1), Revision(0));
    /// assert!(renewals.lapsed(Millis(50), Millis(10)).is_empty());
    /// assert_eq!(renewals.lapsed(Millis(61), Millis(10)), [Incarnation(1)]);
    /// ```
    pub fn renew(
        &mut self,
        now: Millis,
        lease: Millis,
        incarnation: Incarnation,
        revision: Revision,
    ) {
        self.last_renewals.insert(
            incarnation,
            Renewal {
                renewed_at: now,
                lease,
                revision,
            },
        );
    }

    /// Forgets a process that is dead or has left.
    pub fn remove(&mut self, incarnation: Incarnation) {
        self.last_renewals.remove(&incarnation);
    }

    /// Processes whose leases ended more than `margin` before `now`.
    #[must_use]
    pub fn lapsed(&self, now: Millis, margin: Millis) -> Vec<Incarnation> {
        let expired = self
            .last_renewals
            .iter()
            .filter(|(_, r)| now > r.renewed_at + r.lease + margin);
        expired.map(|(incarnation, _)| *incarnation).collect()
    }

    /// Processes that hold a lease and do not have `revision` in force yet.
    #[must_use]
    pub fn lagging(&self, now: Millis, revision: Revision) -> Vec<Incarnation> {
        let lagging = self
            .last_renewals
            .iter()
            .filter(|(_, r)| r.revision < revision && now <= r.renewed_at + r.lease);
        lagging.map(|(incarnation, _)| *incarnation).collect()
    }
}
