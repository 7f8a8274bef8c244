//! Who is next: a weighted fair share between teams, and within a team the job
//! that can be done soonest, with ageing.

use super::job::JobHandle;
use super::table::Table;

/// A team's part of a service's queue.
#[derive(Debug, Clone, Default)]
struct Lane {
    // Work done over share: the team furthest behind goes first.
    time: f64,
    // Expected work out, over share.
    pending: f64,
    // Sorted by rank, then handle.
    jobs: Vec<(u64, JobHandle)>,
}

/// Jobs with waiting tasks of one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct FairQueue {
    lanes: Table<String, Lane>,
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
    jobs: &'a [(u64, JobHandle)],
    // How many tasks of the first job were passed.
    nth: usize,
}

/// A team's weight, and how many tasks it may start now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Allowance {
    pub(crate) share: f64,
    pub(crate) room: Option<u32>,
}

impl FairQueue {
    pub(crate) fn insert(&mut self, team: &str, rank: u64, handle: JobHandle) {
        let floor = self.floor();
        let lane = self.lanes.or_insert_with(team.to_owned(), Lane::default);
        if lane.jobs.is_empty() && lane.pending <= 0.0 {
            // An idle team saves nothing up.
            lane.time = lane.time.max(floor);
        }
        if let Err(i) = lane.jobs.binary_search(&(rank, handle)) {
            lane.jobs.insert(i, (rank, handle));
        }
    }

    pub(crate) fn remove(&mut self, team: &str, rank: u64, handle: JobHandle) {
        if let Some(lane) = self.lanes.get_mut(&team.to_owned())
            && let Ok(i) = lane.jobs.binary_search(&(rank, handle))
        {
            lane.jobs.remove(i);
        }
    }

    /// Where a team starts that has been idle: beside the one furthest behind.
    fn floor(&self) -> f64 {
        let lanes = self.lanes.iter().map(|(_, lane)| lane);
        let busy = lanes.filter(|lane| !lane.jobs.is_empty() || lane.pending > 0.0);
        busy.map(|lane| lane.time)
            .min_by(f64::total_cmp)
            .unwrap_or(0.0)
    }

    /// Books work sent out for a team, at its expected cost over its share.
    pub(crate) fn charge(&mut self, team: &str, cost: f64) {
        if let Some(lane) = self.lanes.get_mut(&team.to_owned()) {
            lane.pending += cost;
        }
    }

    /// Books what became of work sent out: what it was expected to cost, and what
    /// it took.
    pub(crate) fn correct(&mut self, team: &str, cost: f64, took: f64) {
        if let Some(lane) = self.lanes.get_mut(&team.to_owned()) {
            lane.pending = (lane.pending - cost).max(0.0);
            lane.time += took;
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.lanes.iter().all(|(_, lane)| lane.jobs.is_empty())
    }

    pub(crate) fn handles(&self) -> impl Iterator<Item = JobHandle> {
        let lanes = self.lanes.iter();
        lanes.flat_map(|(_, lane)| lane.jobs.iter().map(|(_, handle)| *handle))
    }

    pub(crate) fn cursor(&self, allow: impl Fn(&str) -> Allowance) -> Cursor<'_> {
        let busy = self.lanes.iter().filter(|(_, lane)| !lane.jobs.is_empty());
        let heads = busy.map(|(team, lane)| {
            let Allowance { share, room } = allow(team);
            Head {
                team,
                time: lane.time + lane.pending,
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
    pub(crate) fn peek(&self) -> Option<(JobHandle, usize)> {
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
