//! The schedule of faults of a deployment. It follows from the seed alone.

use std::time::Duration;

use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::fleet::server::Mode;
use crate::layout::{Class, Host, Sizes};
use crate::proxy::Path;

/// Time before the first fault, in ms.
const FIRST_FAULT: u64 = 2_000;
/// Shortest and longest time from one fault to the next, in ms.
const GAP: (u64, u64) = (50, 1_800);
/// Pauses on both sides of each lease, grant and session timeout, in ms.
const PAUSES: [u64; 10] = [150, 280, 340, 720, 870, 1_000, 1_250, 1_400, 1_600, 2_500];
/// Longest addition to a pause, in ms.
const JITTER: u64 = 80;
/// Time that a process is away after it was killed, in ms.
const AWAY: (u64, u64) = (50, 1_500);
/// Time that a process may take for a planned stop, in ms.
const STOPPING: u64 = 6_500;
/// Largest number of agents or backend servers that are hit at once, besides bursts.
const MANY: usize = 6;

/// One step of the schedule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Step {
    /// SIGKILL.
    Kill(Host),
    /// A start with `bootstrap = true`.
    Found(Host),
    Start(Host),
    /// SIGTERM, and a start once it has ended.
    Restart(Host),
    /// SIGSTOP.
    Freeze(Host),
    /// SIGCONT.
    Thaw(Host),
    /// The disk of a killed process is lost.
    Wipe(Host),
    Backend(u8, Mode),
    /// Sets the paths from some hosts to others.
    Cut(Vec<Host>, Vec<Host>, Path),
}

/// Likelihood of a cut, if there are any.
const CUTS: u32 = 14;
/// Longest addition to the pause of a cut, in ms: sessions are closed after less.
const CUT_MORE: u64 = 2_000;

/// Pairs of classes between which connections are cut.
const LINKS: [(Class, Class); 6] = [
    (Class::Caller, Class::Entry),
    (Class::Entry, Class::Agent),
    (Class::Control, Class::Entry),
    (Class::Control, Class::Agent),
    (Class::Control, Class::Control),
    (Class::Agent, Class::Backend),
];

/// Likelihood of each fault.
const FAULTS: [(Fault, u32); 11] = [
    (Fault::Killed(Class::Control), 3),
    (Fault::Killed(Class::Entry), 4),
    (Fault::Killed(Class::Agent), 6),
    (Fault::Stopped, 4),
    (Fault::Frozen(Class::Control), 3),
    (Fault::Frozen(Class::Entry), 5),
    (Fault::Frozen(Class::Agent), 6),
    (Fault::DiskLost, 2),
    (Fault::PowerLost, 1),
    (Fault::Backends, 8),
    (Fault::Cut, CUTS),
];

#[derive(Debug, Clone, Copy)]
enum Fault {
    Killed(Class),
    /// Processes of any class are stopped as planned.
    Stopped,
    Frozen(Class),
    DiskLost,
    /// All control instances, or all processes, are killed.
    PowerLost,
    Backends,
    Cut,
}

/// A schedule under construction.
#[derive(Debug)]
struct Plan {
    rng: Pcg64,
    sizes: Sizes,
    steps: Vec<(u64, Step)>,
    /// Time from which a host is undisturbed, sorted by host.
    free_at: Vec<(Host, u64)>,
    catch_up: u64,
    cuts: bool,
}

/// Steps in order, with their times after the start in ms. A disk is lost only when all control
/// instances have been undisturbed for `catch_up`; other faults overlap.
pub(crate) fn plan(
    seed: u64,
    length: Duration,
    sizes: Sizes,
    catch_up: Duration,
    cuts: bool,
) -> Vec<(u64, Step)> {
    let hosts = sizes.all();
    let mut plan = Plan {
        rng: Pcg64::seed_from_u64(seed),
        sizes,
        steps: Vec::new(),
        free_at: hosts.map(|host| (host, 0)).collect(),
        catch_up: millis(catch_up),
        cuts,
    };
    let mut now = FIRST_FAULT;
    while now < millis(length) {
        plan.add(now);
        now += plan.rng.random_range(GAP.0..GAP.1);
    }
    plan.steps.sort_by_key(|(at, _)| *at);
    plan.steps
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl Plan {
    fn add(&mut self, now: u64) {
        let weight = |(fault, weight): &(Fault, u32)| match fault {
            Fault::Cut if !self.cuts => 0,
            _ => *weight,
        };
        let weighted = FAULTS.choose_weighted(&mut self.rng, weight);
        let Ok((fault, _)) = weighted.copied() else {
            return;
        };
        match fault {
            Fault::Killed(class) => {
                let hosts = self.draw(class, now);
                let away = self.rng.random_range(AWAY.0..AWAY.1);
                self.pairs(now, away, &hosts, Step::Kill, Step::Start);
            }
            Fault::Stopped => {
                let classes = [Class::Control, Class::Entry, Class::Agent];
                let class = *classes.choose(&mut self.rng).unwrap_or(&Class::Agent);
                for host in self.draw(class, now) {
                    self.steps.push((now, Step::Restart(host)));
                    self.occupy(host, now + STOPPING);
                }
            }
            Fault::Frozen(class) => {
                let hosts = self.draw(class, now);
                let pause = self.pause();
                self.pairs(now, pause, &hosts, Step::Freeze, Step::Thaw);
            }
            Fault::DiskLost => self.lose_disk(now),
            Fault::PowerLost => {
                let all = self.rng.random_range(0..4) == 0;
                let hosts: Vec<Host> = if all {
                    self.sizes.processes().collect()
                } else {
                    self.sizes.hosts(Class::Control).collect()
                };
                let hosts: Vec<Host> = hosts.into_iter().filter(|h| self.free(*h, now)).collect();
                let away = self.rng.random_range(AWAY.0..AWAY.1);
                self.pairs(now, away, &hosts, Step::Kill, Step::Start);
            }
            Fault::Backends => {
                let hosts = self.draw(Class::Backend, now);
                let modes = [Mode::Down, Mode::Frozen, Mode::Mute, Mode::Refusing];
                let mode = *modes.choose(&mut self.rng).unwrap_or(&Mode::Down);
                let pause = self.pause();
                let hit = |host: Host| Step::Backend(host.number, mode);
                let heal = |host: Host| Step::Backend(host.number, Mode::Up);
                self.pairs(now, pause, &hosts, hit, heal);
            }
            Fault::Cut => self.cut(now),
        }
    }

    /// Cuts some hosts of a class off from one or from all of another class.
    fn cut(&mut self, now: u64) {
        let link = *LINKS.choose(&mut self.rng).unwrap_or(&LINKS[0]);
        let (near, far) = match link {
            (Class::Caller, class) => (self.draw(Class::Caller, now), self.draw(class, now)),
            (Class::Agent, Class::Backend) => {
                let agents = self.draw(Class::Agent, now);
                let beside = agents.iter().map(|a| Host::new(Class::Backend, a.number));
                let backends = beside.collect();
                (agents, backends)
            }
            (first, second) => {
                let near = self.draw(first, now);
                let mut far: Vec<Host> = self.sizes.hosts(second).collect();
                far.retain(|host| !near.contains(host));
                if self.rng.random() {
                    let count = self.rng.random_range(1..=far.len().max(1));
                    far = far.into_iter().sample(&mut self.rng, count);
                }
                (near, far)
            }
        };
        let pause = self.pause() + self.rng.random_range(0..CUT_MORE);
        let path = if self.rng.random_range(0..4) == 0 {
            Path::Reset
        } else {
            Path::Silent
        };
        // Both ways, or one of them.
        let ways = self.rng.random_range(0..4);
        for (from, to, skipped) in [(&near, &far, 1), (&far, &near, 2)] {
            if ways != skipped {
                let cut = Step::Cut(from.clone(), to.clone(), path);
                let heal = Step::Cut(from.clone(), to.clone(), Path::Open);
                self.steps.push((now, cut));
                self.steps.push((now + pause, heal));
            }
        }
    }

    fn pause(&mut self) -> u64 {
        let pause = *PAUSES.choose(&mut self.rng).unwrap_or(&PAUSES[0]);
        pause + self.rng.random_range(0..JITTER)
    }

    /// Undisturbed hosts of a class to hit at once.
    fn draw(&mut self, class: Class, now: u64) -> Vec<Host> {
        let all: Vec<Host> = self.sizes.hosts(class).collect();
        let most = match class {
            Class::Agent if self.rng.random_range(0..4) == 0 => all.len().div_ceil(3),
            Class::Agent | Class::Backend => MANY.min(all.len() / 2),
            Class::Entry => all.len().div_ceil(4),
            Class::Control | Class::Caller => 1,
        };
        let count = self.rng.random_range(1..=most.max(1));
        let free = all
            .into_iter()
            .filter(|host| is_free(&self.free_at, *host, now));
        free.sample(&mut self.rng, count)
    }

    fn lose_disk(&mut self, now: u64) {
        let calm = |host: Host| self.free(host, now.saturating_sub(self.catch_up));
        if !self.sizes.hosts(Class::Control).all(calm) {
            return;
        }
        for host in self.draw(Class::Control, now) {
            self.steps.push((now, Step::Kill(host)));
            self.steps.push((now, Step::Wipe(host)));
            let away = self.rng.random_range(AWAY.0..AWAY.1);
            self.steps.push((now + away, Step::Start(host)));
            self.occupy(host, now + away + self.catch_up);
        }
    }

    fn pairs(
        &mut self,
        now: u64,
        pause: u64,
        hosts: &[Host],
        first: impl Fn(Host) -> Step,
        second: impl Fn(Host) -> Step,
    ) {
        for host in hosts {
            self.steps.push((now, first(*host)));
            self.steps.push((now + pause, second(*host)));
            self.occupy(*host, now + pause + 1);
        }
    }

    fn free(&self, host: Host, now: u64) -> bool {
        is_free(&self.free_at, host, now)
    }

    fn occupy(&mut self, host: Host, until: u64) {
        if let Ok(at) = self.free_at.binary_search_by_key(&host, |(h, _)| *h) {
            self.free_at[at].1 = until;
        }
    }
}

fn is_free(free_at: &[(Host, u64)], host: Host, now: u64) -> bool {
    let found = free_at.binary_search_by_key(&host, |(h, _)| *h);
    found.is_ok_and(|at| free_at[at].1 <= now)
}
