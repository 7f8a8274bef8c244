//! Who gets capacity that becomes free at an agent, and what is kept for a task that does not fit yet.

use super::want::{MAX_WANTS, Urgency, Want};
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::dispatch::dispatcher_link::Owner;
use crate::dispatch::spec::Resources;

/// How long capacity is reserved for a dispatcher, in milliseconds: one round trip and one turn of
/// an entry. The next dispatcher that asks is served then.
const OFFER_TIME: Millis = Millis(12);
/// A dispatcher that did not use an offer gets none for this long, in milliseconds. The time doubles
/// with each further one in a row, up to this many times.
const FIRST_PAUSE: Millis = Millis(20);
const MAX_DOUBLINGS: u32 = 5;
/// Added to the time for which capacity is kept for a task until runs end: runs end a little later
/// than expected.
const KEEP_MARGIN: Millis = Millis(10);

/// A task that waits, at the agent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OpenWant {
    pub(crate) owner: Owner,
    pub(crate) want: Want,
    /// When it was first asked for.
    pub(crate) asked_at: Millis,
    /// Capacity is of no use to it afterwards.
    until: Millis,
    kept: Option<Keeping>,
}

/// Capacity is kept for a task between these times. It is not kept again before as much time has
/// passed.
#[derive(Debug, Clone, Copy)]
struct Keeping {
    from: Millis,
    until: Millis,
    /// Another task was kept from the capacity, which has been logged.
    is_logged: bool,
}

impl OpenWant {
    fn rank(&self) -> (Urgency, Millis) {
        (self.want.urgency, self.asked_at)
    }
}

/// Capacity that is reserved for a dispatcher.
#[derive(Debug, Clone, Copy)]
struct Offer {
    want: OpenWant,
    until: Millis,
}

/// Offers that a dispatcher did not use, in a row.
#[derive(Debug, Clone, Copy)]
struct Lapses {
    count: u32,
    paused_until: Millis,
}

/// What dispatchers ask of an agent, and what it has reserved for them.
#[derive(Debug, Default)]
pub(crate) struct Offers {
    // Most urgent first, then longest waiting.
    wants: Vec<OpenWant>,
    reservations: Vec<Offer>,
    lapses: Table<Owner, Lapses>,
    // Free capacity that is kept for a task until it fits.
    kept: Resources,
    // Capacity, wants or offers have changed since the last allocation.
    due: bool,
}

/// A step in the allocation that an operator may want to see.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Decision {
    /// Capacity is reserved for the dispatcher that asked.
    Offered(OpenWant),
    /// The most urgent task does not fit, and capacity is kept for it until then.
    Kept(OpenWant, Millis),
}

impl Offers {
    /// True if nothing is asked for or reserved.
    pub(crate) fn is_idle(&self) -> bool {
        self.wants.is_empty() && self.reservations.is_empty()
    }

    /// Has the next allocation look at everything again.
    pub(crate) fn set_due(&mut self) {
        self.due = true;
    }

    /// Replaces what a dispatcher asks for. A want that it had before keeps its place.
    pub(crate) fn replace(&mut self, now: Millis, owner: Owner, wants: &[Want]) {
        self.due = true;
        let mut former = Vec::with_capacity(MAX_WANTS);
        self.wants.retain(|open| {
            if open.owner == owner {
                former.push(*open);
            }
            open.owner != owner
        });
        if wants.is_empty() {
            self.reservations.retain(|offer| offer.want.owner != owner);
            return;
        }
        for want in wants.iter().take(MAX_WANTS) {
            let same =
                |open: &OpenWant| (open.want.need, open.want.length) == (want.need, want.length);
            let known = former.iter().position(same);
            let known = known.map(|at| former.swap_remove(at));
            self.wants.push(OpenWant {
                owner,
                want: *want,
                asked_at: known.map_or(now, |open| open.asked_at),
                until: now + want.wait,
                kept: known.and_then(|open| open.kept),
            });
        }
        self.wants.sort_by_key(OpenWant::rank);
    }

    /// Forgets what a dispatcher had asked for and was offered.
    pub(crate) fn forget(&mut self, owner: Owner) {
        let before = self.wants.len() + self.reservations.len();
        self.wants.retain(|open| open.owner != owner);
        self.reservations.retain(|offer| offer.want.owner != owner);
        self.lapses.remove(&owner);
        self.due |= before != self.wants.len() + self.reservations.len();
    }

    /// The dispatchers that ask for something.
    pub(crate) fn owners(&self) -> Vec<Owner> {
        let mut owners: Vec<_> = self.wants.iter().map(|open| open.owner).collect();
        owners.sort_unstable();
        owners.dedup();
        owners
    }

    /// Notes that a run of a dispatcher starts, for which the capacity of one of its offers or wants
    /// was meant.
    pub(crate) fn use_offer(&mut self, owner: Owner, need: Resources) {
        self.due = true;
        let of_owner = |offer: &Offer| offer.want.owner == owner;
        let exact = |offer: &Offer| of_owner(offer) && offer.want.want.need == need;
        let covers = |offer: &Offer| of_owner(offer) && !need.exceeds(offer.want.want.need);
        let at = self.reservations.iter().position(exact);
        if let Some(at) = at.or_else(|| self.reservations.iter().position(covers)) {
            self.reservations.swap_remove(at);
            self.lapses.remove(&owner);
            return;
        }
        let same = |open: &OpenWant| open.owner == owner && open.want.need == need;
        if let Some(at) = self.wants.iter().position(same) {
            self.wants.remove(at);
        }
    }

    /// Ends what is over. Returns the dispatchers whose offers have lapsed; what they had asked for
    /// waits again, behind others for a while.
    pub(crate) fn expire(&mut self, now: Millis) -> Vec<Owner> {
        let before = self.wants.len();
        self.wants.retain(|open| now < open.until);
        self.due |= before != self.wants.len();
        let mut lapsed = Vec::new();
        for offer in self.reservations.extract_if(.., |offer| now >= offer.until) {
            let owner = offer.want.owner;
            let first = Lapses {
                count: 0,
                paused_until: now,
            };
            let record = self.lapses.or_insert_with(owner, || first);
            if !lapsed.contains(&owner) {
                lapsed.push(owner);
                record.paused_until =
                    now + Millis(FIRST_PAUSE.0 << record.count.min(MAX_DOUBLINGS));
                record.count += 1;
            }
            if now < offer.want.until {
                self.wants.push(offer.want);
            }
        }
        if !lapsed.is_empty() {
            self.due = true;
            self.wants.sort_by_key(OpenWant::rank);
        }
        lapsed
    }

    /// What is reserved for others than this dispatcher, and kept for a task that does not fit yet.
    pub(crate) fn reserved(&self, except: Option<Owner>) -> Resources {
        let mut reserved = Resources::default();
        if !self.wants.is_empty() {
            reserved = self.kept;
        }
        let others = self
            .reservations
            .iter()
            .filter(|o| Some(o.want.owner) != except);
        for offer in others {
            reserved.add(offer.want.want.need);
        }
        reserved
    }

    /// Gives free capacity to the most urgent tasks that fit. If the most urgent one does not, the
    /// others get what they leave by the time it will fit, or do not need beside it. `used` is what
    /// runs use, `ends` when each of them is expected to end and what it uses, and `may_order` tells
    /// who may order runs now.
    pub(crate) fn allocate(
        &mut self,
        now: Millis,
        capacity: Resources,
        used: Resources,
        ends: impl Fn() -> Vec<(Millis, Resources)>,
        may_order: impl Fn(Owner) -> bool,
    ) -> Vec<Decision> {
        if !std::mem::take(&mut self.due) {
            return Vec::new();
        }
        self.kept = Resources::default();
        let mut taken = used;
        taken.add(self.reserved(None));
        // When the first task that does not fit will do so, and what is free beside it then.
        let mut blocked: Option<(Millis, Resources)> = None;
        let mut blocked_at = 0;
        let mut holds_back = false;
        let mut decisions = Vec::new();
        let mut at = 0;
        while at < self.wants.len() {
            let open = self.wants[at];
            let is_paused = |lapses: &Lapses| now < lapses.paused_until;
            if self.lapses.get(&open.owner).is_some_and(is_paused) || !may_order(open.owner) {
                at += 1;
                continue;
            }
            let need = open.want.need;
            let fits = capacity.fits(taken, need);
            let may_start = match &mut blocked {
                None => fits,
                Some((fits_at, _)) if fits && now + open.want.length <= *fits_at => true,
                Some((_, beside)) if fits && !need.exceeds(*beside) => {
                    beside.remove(need);
                    true
                }
                Some(_) => {
                    holds_back |= fits;
                    false
                }
            };
            if may_start {
                taken.add(need);
                let until = now + OFFER_TIME;
                self.reservations.push(Offer { want: open, until });
                // The task that capacity is kept for comes before all that follow it.
                self.wants.remove(at);
                decisions.push(Decision::Offered(open));
                continue;
            }
            if blocked.is_none()
                && let Some((fits_at, beside)) = self.time_to_fit(capacity, need, taken, &ends)
                && fits_at < open.until
                && self.wants[at].may_keep(now, fits_at)
            {
                blocked = Some((fits_at, beside));
                blocked_at = at;
            }
            at += 1;
        }
        if let Some((fits_at, beside)) = blocked {
            let open = &mut self.wants[blocked_at];
            if let Some(kept) = open
                .kept
                .as_mut()
                .filter(|kept| holds_back && !kept.is_logged)
            {
                kept.is_logged = true;
                decisions.push(Decision::Kept(*open, fits_at));
            }
            // What is free now and will not be needed then may be used by anyone.
            let mut free = capacity;
            free.remove(taken);
            free.remove(beside);
            self.kept = free;
        }
        decisions
    }

    /// When `need` will fit by the expected ends of runs, and what is free beside it then. Offers are
    /// taken for runs that end as expected of their tasks.
    fn time_to_fit(
        &self,
        capacity: Resources,
        need: Resources,
        mut taken: Resources,
        ends: &impl Fn() -> Vec<(Millis, Resources)>,
    ) -> Option<(Millis, Resources)> {
        if !capacity.fits(Resources::default(), need) {
            return None;
        }
        let mut ends = ends();
        let offered = self.reservations.iter();
        ends.extend(offered.map(|o| (o.until + o.want.want.length, o.want.want.need)));
        ends.sort_unstable_by_key(|(at, _)| *at);
        for (at, freed) in ends {
            taken.remove(freed);
            if capacity.fits(taken, need) {
                let mut beside = capacity;
                beside.remove(taken);
                beside.remove(need);
                return Some((at, beside));
            }
        }
        None
    }
}

impl OpenWant {
    /// True if capacity may be kept for the task until it fits. That time may come closer, but not
    /// recede: a run that goes on far beyond its expected end would keep capacity unused for as long.
    fn may_keep(&mut self, now: Millis, fits_at: Millis) -> bool {
        let longest = fits_at.since(now) + Millis(fits_at.since(now).0 / 2) + KEEP_MARGIN;
        let first = Keeping {
            from: now,
            until: now + longest,
            is_logged: false,
        };
        let kept = *self.kept.get_or_insert(first);
        if now < kept.until {
            return true;
        }
        if now < kept.until + kept.until.since(kept.from) {
            return false;
        }
        self.kept = Some(first);
        true
    }
}
