//! Slot credits, which limit how many dispatches each entry may send to an agent.

use super::ids::Incarnation;
use super::table::Table;

/// One entry's use of an agent's slots.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct EntryCredits {
    // Credits given and not yet used.
    held: u32,
    // Dispatches queued or running.
    busy: u32,
    // Tasks that the entry has waiting beyond its credits.
    wanted: u32,
    // Credits that were recalled and not yet returned.
    recalled: u32,
    // True if the entry returned fewer credits than were recalled: those it still holds belong to
    // dispatches that have not arrived yet, so no more are recalled.
    exhausted: bool,
}

/// A change of an entry's credits, sent to it by the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CreditChange {
    /// The entry may use this many more.
    Give(u32),
    /// The entry shall return this many, as far as they are unused.
    Recall(u32),
}

/// All credits of one agent. New credits are given only while unused credits and unfinished
/// dispatches together stay within the capacity, which therefore bounds the agent's queue.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Credits {
    capacity: u32,
    entries: Table<Incarnation, EntryCredits>,
}

impl Credits {
    /// Sets the capacity, the maximum number of unused credits and unfinished dispatches together.
    /// [`Credits::distribute`] recalls what exceeds it.
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

    /// Adds an entry whose link was opened. Credits it held on an earlier link are void.
    pub fn join(&mut self, entry: Incarnation) {
        let credits = self.entries.or_insert_with(entry, EntryCredits::default);
        credits.held = 0;
        credits.recalled = 0;
        credits.wanted = 0;
    }

    /// Removes an entry whose link was closed, and frees its unused credits. Its unfinished
    /// dispatches still count.
    pub fn leave(&mut self, entry: Incarnation) {
        self.join(entry);
        self.entries.retain(|e, s| *e != entry || s.busy > 0);
    }

    /// Uses one of the entry's credits for a dispatch. Returns false if it holds none.
    ///
    /// ```
    /// use fulmardrift::{Credits, Incarnation};
    /// assert!(!Credits::default().take(Incarnation(1)));
    /// ```
    pub fn take(&mut self, entry: Incarnation) -> bool {
        match self.entries.get_mut(&entry) {
            Some(credits) if credits.held > 0 => {
                credits.held -= 1;
                credits.busy += 1;
                credits.exhausted = false;
                true
            }
            _ => false,
        }
    }

    /// Ends a dispatch of `entry`, which frees its slot.
    pub fn release(&mut self, entry: Incarnation) {
        if let Some(credits) = self.entries.get_mut(&entry) {
            credits.busy = credits.busy.saturating_sub(1);
        }
    }

    /// Moves a dispatch from the entry `former` to `successor`.
    pub fn transfer(&mut self, former: Incarnation, successor: Incarnation) {
        if former == successor {
            return;
        }
        self.release(former);
        self.entries
            .or_insert_with(successor, EntryCredits::default)
            .busy += 1;
    }

    /// Sets how many tasks the entry has waiting beyond its credits.
    pub fn set_wanted(&mut self, entry: Incarnation, count: u32) {
        if let Some(credits) = self.entries.get_mut(&entry) {
            credits.wanted = count;
        }
    }

    /// Takes back unused credits that the entry returned.
    pub fn give_back(&mut self, entry: Incarnation, count: u32) {
        if let Some(credits) = self.entries.get_mut(&entry) {
            credits.held = credits.held.saturating_sub(count);
            credits.exhausted = count < credits.recalled;
            credits.recalled = 0;
        }
    }

    /// Number of dispatches queued or running, over all entries.
    #[must_use]
    pub fn busy(&self) -> u32 {
        self.entries.iter().map(|(_, s)| s.busy).sum()
    }

    fn free(&self) -> u32 {
        let allocated: u32 = self.entries.iter().map(|(_, s)| s.held + s.busy).sum();
        self.capacity.saturating_sub(allocated)
    }

    /// Gives out free credits: first to entries with waiting tasks, then evenly, so that each entry
    /// can dispatch without asking. Recalls credits from entries without waiting tasks if others
    /// need them, and from all entries if the capacity is exceeded. The caller must send each
    /// change to its entry.
    pub fn distribute(&mut self) -> Vec<(Incarnation, CreditChange)> {
        let mut given: Table<Incarnation, u32> = Table::default();
        for _ in 0..self.free() {
            let Some((entry, credits)) = self
                .entries
                .iter_mut()
                .min_by_key(|(e, s)| (s.wanted == 0, s.held + s.busy, **e))
            else {
                break;
            };
            credits.held += 1;
            credits.exhausted = false;
            credits.wanted = credits.wanted.saturating_sub(1);
            *given.or_insert_with(*entry, || 0) += 1;
        }
        let mut changes: Vec<_> = given
            .iter()
            .map(|(e, n)| (*e, CreditChange::Give(*n)))
            .collect();
        self.recall(&mut changes);
        changes
    }

    fn recall(&mut self, changes: &mut Vec<(Incarnation, CreditChange)>) {
        let allocated: u32 = self.entries.iter().map(|(_, s)| s.held + s.busy).sum();
        let excess = allocated.saturating_sub(self.capacity);
        let needed: u32 = self.entries.iter().map(|(_, s)| s.wanted).sum::<u32>() + excess;
        let pending: u32 = self.entries.iter().map(|(_, s)| s.recalled).sum();
        let mut to_recall = needed.saturating_sub(pending);
        for (entry, credits) in self.entries.iter_mut() {
            let unused = credits.held.saturating_sub(credits.recalled);
            if (credits.wanted > 0 && excess == 0)
                || unused == 0
                || to_recall == 0
                || credits.recalled > 0
                || credits.exhausted
            {
                continue;
            }
            let count = to_recall.min(unused);
            credits.recalled += count;
            to_recall -= count;
            changes.push((*entry, CreditChange::Recall(count)));
        }
    }
}
