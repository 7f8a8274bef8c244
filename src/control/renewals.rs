//! Which processes renewed their leases when, as the leader knows it.
//!
//! Held in memory only: a new leader gives everyone a whole lease before it
//! declares anyone dead.

use crate::core::clock::Millis;
use crate::core::ids::{Incarnation, Revision};
use crate::core::table::Table;

/// A process's last renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Renewal {
    /// When it reached the leader, by the leader's clock.
    pub at: Millis,
    /// Length of the lease given then.
    pub lease: Millis,
    /// The revision the process has in force.
    pub revision: Revision,
}

/// The renewals of all live processes.
#[derive(Debug, Clone, Default)]
pub struct Renewals {
    last: Table<Incarnation, Renewal>,
}

impl Renewals {
    /// Starts anew with a reign: everyone counts as renewed at `now`, for the
    /// longest lease that an earlier leader may have given.
    pub fn reset(&mut self, now: Millis, lease: Millis, live: &[Incarnation]) {
        self.last = Table::default();
        for incarnation in live {
            self.last.insert(
                *incarnation,
                Renewal {
                    at: now,
                    lease,
                    revision: Revision(0),
                },
            );
        }
    }

    /// A process renewed or joined.
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
        self.last.insert(
            incarnation,
            Renewal {
                at: now,
                lease,
                revision,
            },
        );
    }

    /// A process is dead or gone.
    pub fn remove(&mut self, incarnation: Incarnation) {
        self.last.remove(&incarnation);
    }

    /// Processes whose leases ended more than a margin ago.
    #[must_use]
    pub fn lapsed(&self, now: Millis, margin: Millis) -> Vec<Incarnation> {
        let late = self
            .last
            .iter()
            .filter(|(_, r)| now > r.at + r.lease + margin);
        late.map(|(incarnation, _)| *incarnation).collect()
    }

    /// Processes that neither have `revision` in force nor lost their lease.
    #[must_use]
    pub fn lagging(&self, now: Millis, revision: Revision) -> Vec<Incarnation> {
        let behind = self
            .last
            .iter()
            .filter(|(_, r)| r.revision < revision && now <= r.at + r.lease);
        behind.map(|(incarnation, _)| *incarnation).collect()
    }
}
