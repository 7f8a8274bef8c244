//! Who is next: a weighted fair share between teams, and within a team the job
//! that can be done soonest, with ageing.

use super::job::Handle;
use super::table::Table;

/// A team's part of a service's queue.
#[derive(Debug, Clone, Default)]
struct Lane {
    // Work received over share: the team furthest behind goes first.
    time: f64,
    // Sorted by rank, then handle.
    jobs: Vec<(u64, Handle)>,
}

/// Jobs with waiting tasks of one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct Queue {
    lanes: Table<String, Lane>,
    // The virtual time of the last team served.
    time: f64,
}

/// A position in a queue while tasks are being placed.
#[derive(Debug)]
pub(crate) struct Cursor<'a> {
    lanes: Vec<Head<'a>>,
}

#[derive(Debug)]
struct Head<'a> {
    team: &'a str,
    time: f64,
    share: f64,
    // Tasks the team may still start; `None` without a cap.
    room: Option<u32>,
    jobs: &'a [(u64, Handle)],
    // How many tasks of the first job were passed.
    nth: usize,
}

/// A team's weight, and how many tasks it may start now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Allowance {
    pub(crate) share: f64,
    pub(crate) room: Option<u32>,
}

impl Queue {
    pub(crate) fn insert(&mut self, team: &str, rank: u64, handle: Handle) {
        let floor = self.time;
        let lane = self.lanes.or_insert_with(team.to_owned(), Lane::default);
        if lane.jobs.is_empty() {
            // An idle team saves nothing up.
            lane.time = lane.time.max(floor);
        }
        if let Err(i) = lane.jobs.binary_search(&(rank, handle)) {
            lane.jobs.insert(i, (rank, handle));
        }
    }

    pub(crate) fn remove(&mut self, team: &str, rank: u64, handle: Handle) {
        if let Some(lane) = self.lanes.get_mut(&team.to_owned())
            && let Ok(i) = lane.jobs.binary_search(&(rank, handle))
        {
            lane.jobs.remove(i);
        }
    }

    /// Books work given to a team.
    pub(crate) fn charge(&mut self, team: &str, cost: f64) {
        if let Some(lane) = self.lanes.get_mut(&team.to_owned()) {
            self.time = self.time.max(lane.time);
            lane.time += cost;
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.lanes.iter().all(|(_, lane)| lane.jobs.is_empty())
    }

    pub(crate) fn handles(&self) -> impl Iterator<Item = Handle> {
        let lanes = self.lanes.iter();
        lanes.flat_map(|(_, lane)| lane.jobs.iter().map(|(_, handle)| *handle))
    }

    pub(crate) fn cursor(&self, allow: impl Fn(&str) -> Allowance) -> Cursor<'_> {
        let busy = self.lanes.iter().filter(|(_, lane)| !lane.jobs.is_empty());
        let heads = busy.map(|(team, lane)| {
            let Allowance { share, room } = allow(team);
            Head {
                team,
                time: lane.time,
                share,
                room,
                jobs: &lane.jobs,
                nth: 0,
            }
        });
        Cursor {
            lanes: heads.collect(),
        }
    }
}

impl Cursor<'_> {
    /// The next task in order: its job, and how many of that job's went before.
    pub(crate) fn peek(&self) -> Option<(Handle, usize)> {
        let head = self.head()?;
        let (_, handle) = self.lanes[head].jobs[0];
        Some((handle, self.lanes[head].nth))
    }

    fn head(&self) -> Option<usize> {
        let open = |h: &Head<'_>| !h.jobs.is_empty() && h.room != Some(0);
        let heads = self.lanes.iter().enumerate().filter(|(_, h)| open(h));
        let least = heads
            .min_by(|(_, a), (_, b)| a.time.total_cmp(&b.time).then_with(|| a.team.cmp(b.team)));
        least.map(|(i, _)| i)
    }

    /// Passes the task that [`Cursor::peek`] shows, at a cost in milliseconds.
    pub(crate) fn pass(&mut self, cost: f64, last: bool) {
        let Some(i) = self.head() else {
            return;
        };
        let head = &mut self.lanes[i];
        head.time += cost / head.share;
        head.room = head.room.map(|n| n - 1);
        head.nth += 1;
        if last {
            head.jobs = &head.jobs[1..];
            head.nth = 0;
        }
    }
}
