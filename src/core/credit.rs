//! Slot credits: which entry may send how many dispatches to an agent.

use super::ids::Incarnation;
use super::table::Table;

/// What one entry holds of an agent's slots.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Share {
    // Credits given and not yet used.
    held: u32,
    // Dispatches queued or running.
    busy: u32,
    // Tasks the entry has waiting beyond its credits.
    want: u32,
    // Credits asked back and not yet returned.
    recalled: u32,
    // All held credits are used by dispatches still on their way.
    dry: bool,
}

/// A change the agent tells an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CreditChange {
    /// Use so many more.
    Give(u32),
    /// Give back so many, if still unused.
    Recall(u32),
}

/// All credits of one agent. Given and used ones together never exceed the
/// capacity, so the agent's queue is at most the prefetch depth.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Credits {
    capacity: u32,
    shares: Table<Incarnation, Share>,
}

impl Credits {
    /// Sets how many dispatches may be out at a time.
    ///
    /// ```
    /// use fulmardrift::{Credits, CreditChange, Incarnation};
    /// let mut credits = Credits::default();
    /// credits.resize(2);
    /// credits.join(Incarnation(1));
    /// assert_eq!(credits.distribute(), [(Incarnation(1), CreditChange::Give(2))]);
    /// ```
    pub fn resize(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// An entry (again) has a link; what it held on an earlier one is void.
    pub fn join(&mut self, entry: Incarnation) {
        let share = self.shares.or_insert_with(entry, Share::default);
        share.held = 0;
        share.recalled = 0;
        share.want = 0;
    }

    /// An entry's link is gone: its unused credits are free again.
    pub fn leave(&mut self, entry: Incarnation) {
        self.join(entry);
        self.shares.retain(|e, s| *e != entry || s.busy > 0);
    }

    /// Turns a credit into a dispatch; false when the entry holds none.
    ///
    /// ```
    /// use fulmardrift::{Credits, Incarnation};
    /// assert!(!Credits::default().take(Incarnation(1)));
    /// ```
    pub fn take(&mut self, entry: Incarnation) -> bool {
        match self.shares.get_mut(&entry) {
            Some(share) if share.held > 0 => {
                share.held -= 1;
                share.busy += 1;
                share.dry = false;
                true
            }
            _ => false,
        }
    }

    /// A dispatch of `entry` is over.
    pub fn release(&mut self, entry: Incarnation) {
        if let Some(share) = self.shares.get_mut(&entry) {
            share.busy = share.busy.saturating_sub(1);
        }
    }

    /// A dispatch of `former` is `heir`'s from now on.
    pub fn transfer(&mut self, former: Incarnation, heir: Incarnation) {
        if former == heir {
            return;
        }
        self.release(former);
        self.shares.or_insert_with(heir, Share::default).busy += 1;
    }

    /// The entry has so many tasks waiting.
    pub fn want(&mut self, entry: Incarnation, count: u32) {
        if let Some(share) = self.shares.get_mut(&entry) {
            share.want = count;
        }
    }

    /// The entry gives unused credits back.
    pub fn give_back(&mut self, entry: Incarnation, count: u32) {
        if let Some(share) = self.shares.get_mut(&entry) {
            share.held = share.held.saturating_sub(count);
            share.dry = count < share.recalled;
            share.recalled = 0;
        }
    }

    /// Dispatches queued or running.
    #[must_use]
    pub fn busy(&self) -> u32 {
        self.shares.iter().map(|(_, s)| s.busy).sum()
    }

    fn free(&self) -> u32 {
        let out: u32 = self.shares.iter().map(|(_, s)| s.held + s.busy).sum();
        self.capacity.saturating_sub(out)
    }

    /// Hands out what is free: to entries with tasks waiting first, then evenly
    /// so that each can dispatch at once; and asks idle entries for credits that
    /// others wait for.
    pub fn distribute(&mut self) -> Vec<(Incarnation, CreditChange)> {
        let mut given: Table<Incarnation, u32> = Table::default();
        for _ in 0..self.free() {
            let Some((entry, share)) = self
                .shares
                .iter_mut()
                .min_by_key(|(e, s)| (s.want == 0, s.held + s.busy, **e))
            else {
                break;
            };
            share.held += 1;
            share.dry = false;
            share.want = share.want.saturating_sub(1);
            *given.or_insert_with(*entry, || 0) += 1;
        }
        let mut grants: Vec<_> = given
            .iter()
            .map(|(e, n)| (*e, CreditChange::Give(*n)))
            .collect();
        self.recall(&mut grants);
        grants
    }

    fn recall(&mut self, grants: &mut Vec<(Incarnation, CreditChange)>) {
        let out: u32 = self.shares.iter().map(|(_, s)| s.held + s.busy).sum();
        let over = out.saturating_sub(self.capacity);
        let wanted: u32 = self.shares.iter().map(|(_, s)| s.want).sum::<u32>() + over;
        let coming: u32 = self.shares.iter().map(|(_, s)| s.recalled).sum();
        let mut missing = wanted.saturating_sub(coming);
        for (entry, share) in self.shares.iter_mut() {
            let idle = share.held.saturating_sub(share.recalled);
            if (share.want > 0 && over == 0)
                || idle == 0
                || missing == 0
                || share.recalled > 0
                || share.dry
            {
                continue;
            }
            let count = missing.min(idle);
            share.recalled += count;
            missing -= count;
            grants.push((*entry, CreditChange::Recall(count)));
        }
    }
}
