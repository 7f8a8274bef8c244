//! The order in which waiting tasks are dispatched: weighted fair queueing between teams, and
//! within a team the job with the lowest rank. The rank is the arrival time plus a multiple of the
//! job's expected duration, so short jobs go first and long ones are not starved.

use super::job::JobHandle;
use super::table::Table;

/// One team's jobs in the queue of a service.
#[derive(Debug, Clone, Default)]
struct TeamQueue {
    // Run time of finished tasks divided by the team's share. The team with the least virtual time
    // goes first.
    virtual_time: f64,
    // Expected run time of dispatched tasks divided by the team's share.
    pending: f64,
    // Sorted by rank, then handle.
    jobs: Vec<(u64, JobHandle)>,
}

/// Jobs with waiting tasks of one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct FairQueue {
    teams: Table<String, TeamQueue>,
}

/// Iterates over the waiting tasks of a queue in dispatch order, without changing the queue.
#[derive(Debug)]
pub(crate) struct Cursor<'a> {
    teams: Vec<TeamCursor<'a>>,
}

#[derive(Debug)]
struct TeamCursor<'a> {
    team: &'a str,
    virtual_time: f64,
    share: f64,
    // Tasks that the team may still start; `None` if it has no cap.
    headroom: Option<u32>,
    jobs: &'a [(u64, JobHandle)],
    // Number of tasks of the first job that the cursor has passed.
    passed: usize,
}

/// A team's weight and the number of tasks that it may start now; `None` if it has no cap.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct TeamAllowance {
    pub(crate) share: f64,
    pub(crate) headroom: Option<u32>,
}

impl FairQueue {
    pub(crate) fn insert(&mut self, team: &str, rank: u64, handle: JobHandle) {
        let floor = self.min_virtual_time();
        let queue = self
            .teams
            .or_insert_with(team.to_owned(), TeamQueue::default);
        if queue.jobs.is_empty() && queue.pending <= 0.0 {
            // A team gains no advantage from having been idle.
            queue.virtual_time = queue.virtual_time.max(floor);
        }
        if let Err(i) = queue.jobs.binary_search(&(rank, handle)) {
            queue.jobs.insert(i, (rank, handle));
        }
    }

    pub(crate) fn remove(&mut self, team: &str, rank: u64, handle: JobHandle) {
        if let Some(queue) = self.teams.get_mut(&team.to_owned())
            && let Ok(i) = queue.jobs.binary_search(&(rank, handle))
        {
            queue.jobs.remove(i);
        }
    }

    /// The virtual time at which a team that was idle starts: the least of the busy teams.
    fn min_virtual_time(&self) -> f64 {
        let teams = self.teams.iter().map(|(_, queue)| queue);
        let busy = teams.filter(|queue| !queue.jobs.is_empty() || queue.pending > 0.0);
        busy.map(|queue| queue.virtual_time)
            .min_by(f64::total_cmp)
            .unwrap_or(0.0)
    }

    /// Charges a team for a dispatched task: its expected run time divided by the team's share.
    pub(crate) fn charge(&mut self, team: &str, cost: f64) {
        if let Some(queue) = self.teams.get_mut(&team.to_owned()) {
            queue.pending += cost;
        }
    }

    /// Replaces the expected cost of a dispatched task by what it took, both divided by the team's
    /// share.
    pub(crate) fn reconcile(&mut self, team: &str, cost: f64, took: f64) {
        if let Some(queue) = self.teams.get_mut(&team.to_owned()) {
            queue.pending = (queue.pending - cost).max(0.0);
            queue.virtual_time += took;
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.teams.iter().all(|(_, queue)| queue.jobs.is_empty())
    }

    pub(crate) fn handles(&self) -> impl Iterator<Item = JobHandle> {
        let teams = self.teams.iter();
        teams.flat_map(|(_, queue)| queue.jobs.iter().map(|(_, handle)| *handle))
    }

    pub(crate) fn cursor(&self, allow: impl Fn(&str) -> TeamAllowance) -> Cursor<'_> {
        let busy = self
            .teams
            .iter()
            .filter(|(_, queue)| !queue.jobs.is_empty());
        let cursors = busy.map(|(team, queue)| {
            let TeamAllowance { share, headroom } = allow(team);
            TeamCursor {
                team,
                virtual_time: queue.virtual_time + queue.pending,
                share,
                headroom,
                jobs: &queue.jobs,
                passed: 0,
            }
        });
        Cursor {
            teams: cursors.collect(),
        }
    }
}

impl Cursor<'_> {
    /// The next task: its job and the number of that job's waiting tasks that come before it.
    pub(crate) fn peek(&self) -> Option<(JobHandle, usize)> {
        let index = self.next_team()?;
        let (_, handle) = self.teams[index].jobs[0];
        Some((handle, self.teams[index].passed))
    }

    fn next_team(&self) -> Option<usize> {
        let open = |c: &TeamCursor<'_>| !c.jobs.is_empty() && c.headroom != Some(0);
        let cursors = self.teams.iter().enumerate().filter(|(_, c)| open(c));
        let least = cursors.min_by(|(_, a), (_, b)| {
            a.virtual_time
                .total_cmp(&b.virtual_time)
                .then_with(|| a.team.cmp(b.team))
        });
        least.map(|(i, _)| i)
    }

    /// Moves past the task that [`Cursor::peek`] returned. `cost` is its expected run time in
    /// milliseconds; `last` is true if its job has no further waiting task.
    pub(crate) fn advance(&mut self, cost: f64, last: bool) {
        let Some(i) = self.next_team() else {
            return;
        };
        let cursor = &mut self.teams[i];
        cursor.virtual_time += cost / cursor.share;
        cursor.headroom = cursor.headroom.map(|n| n - 1);
        cursor.passed += 1;
        if last {
            cursor.jobs = &cursor.jobs[1..];
            cursor.passed = 0;
        }
    }
}
