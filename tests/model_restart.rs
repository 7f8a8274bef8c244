//! Model check of elections after restarts: explores every schedule of restarts, lost disks, cuts
//! and late messages up to a depth, right after an election that divided the votes. See docs/spec.md.

#[path = "fakes/group.rs"]
mod group;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use fulmardrift::{
    Command, CommandReply, ControlAnswer, RaftGuard, Record, ReplicaId, RequestId, Revision,
};
use group::{Group, change_request};
use pathfinding::directed::bfs::bfs;

/// Rounds that run when only time passes; longer than the wait of a voter.
const WAIT_ROUNDS: u32 = 35;
/// Rounds that run after any other action: several actions fit into a lease.
const ACTION_ROUNDS: u32 = 3;

/// A step of a schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Action {
    Change,
    Wait,
    /// Nothing reaches this instance or leaves it; others that were cut off are reached again.
    Isolate(u64),
    Reconnect,
    /// Killed and started again at once.
    Restart(u64),
    RestartAll,
    LoseDisk(u64),
    /// What this instance sends to others is held back.
    Delay(u64),
    /// What was held back arrives, and nothing is held back any more.
    Deliver,
}

#[derive(Debug, Clone)]
struct SearchNode {
    digest: u64,
    group: Rc<Group>,
    trace: Vec<Action>,
    restarts: u32,
    lost_disks: u32,
    changes: u64,
    proposed: Vec<RequestId>,
    /// Revisions that were reported to operators as accepted.
    accepted: BTreeSet<u64>,
    violation: Option<String>,
}

impl PartialEq for SearchNode {
    fn eq(&self, other: &Self) -> bool {
        self.digest == other.digest
    }
}

impl Eq for SearchNode {}

impl Hash for SearchNode {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.digest.hash(state);
    }
}

/// What a search may do.
#[derive(Debug, Clone, Copy)]
struct Bounds {
    size: u64,
    depth: usize,
    restarts: u32,
    lost_disks: u32,
    changes: u64,
    has_late_messages: bool,
}

fn running(group: &Group) -> Vec<u64> {
    let up = group.instances.iter().filter(|(_, i)| i.control.is_some());
    up.map(|(id, _)| *id).collect()
}

fn restart(group: &mut Group, id: u64) {
    group.kill(id);
    group.start(id);
}

/// A group with a leader. Of five voters, two had voted for one of them in the leader's term, and
/// follow the leader since.
fn divided_group(size: u64, disabled_guards: &[RaftGuard]) -> Group {
    let mut group = Group::joinable(size, disabled_guards);
    if size < 5 {
        return group;
    }
    let first = group.leader().unwrap();
    let others: Vec<u64> = (1..=size).filter(|id| *id != first).collect();
    let (voter, candidate) = (others[2], others[3]);
    group.kill(voter);
    group.kill(candidate);
    restart(&mut group, first);
    group.run_until("a leader", |g| g.leader().is_some());
    let leader = group.leader().unwrap();
    let term = group.control(leader).raft().term();
    for id in [voter, candidate] {
        let records = &mut group.instances.get_mut(&id).unwrap().records;
        records.push(Record::Vote(term, Some(ReplicaId(candidate))));
        group.start(id);
    }
    group.run_until("followers", |g| {
        let last = g.control(leader).raft().committed();
        let follows = |id: &u64| g.control(*id).raft().committed() == last;
        g.leader() == Some(leader) && [voter, candidate].iter().all(follows)
    });
    assert_eq!(group.control(leader).raft().term(), term);
    group
}

impl SearchNode {
    fn start(size: u64, disabled_guards: &[RaftGuard]) -> Self {
        Self {
            digest: 0,
            group: Rc::new(divided_group(size, disabled_guards)),
            trace: Vec::new(),
            restarts: 0,
            lost_disks: 0,
            changes: 0,
            proposed: Vec::new(),
            accepted: BTreeSet::new(),
            violation: None,
        }
    }

    fn after(&self, action: Action) -> Self {
        let mut next = self.clone();
        let mut group = (*self.group).clone();
        next.trace.push(action);
        let mut rounds = ACTION_ROUNDS;
        match action {
            Action::Change => next.change(&mut group),
            Action::Wait => rounds = WAIT_ROUNDS,
            Action::Isolate(id) => group.isolated = vec![id],
            Action::Reconnect => group.isolated.clear(),
            Action::Restart(id) => {
                next.restarts += 1;
                restart(&mut group, id);
            }
            Action::RestartAll => {
                next.restarts += 1;
                for id in running(&group) {
                    restart(&mut group, id);
                }
            }
            Action::LoseDisk(id) => {
                next.lost_disks += 1;
                group.lose_disk(id);
            }
            Action::Delay(id) => group.delayed = vec![id],
            Action::Deliver => {
                group.delayed.clear();
                let late = std::mem::take(&mut group.late);
                group.net.extend(late);
            }
        }
        for _ in 0..rounds {
            group.run_round();
            next.check(&group);
        }
        let mut hasher = DefaultHasher::new();
        format!("{:?}", group.instances).hash(&mut hasher);
        (&group.isolated, &group.delayed, &group.late, &group.net).hash(&mut hasher);
        (next.restarts, next.lost_disks, next.changes, &next.accepted).hash(&mut hasher);
        next.digest = hasher.finish();
        next.group = Rc::new(group);
        next
    }

    /// Proposes a change to every running instance; only one that takes itself for the leader
    /// accepts it.
    fn change(&mut self, group: &mut Group) {
        self.changes += 1;
        for id in running(group) {
            let name = format!("change-{}-{id}", self.changes);
            let value = (self.changes * 10 + id).to_string();
            let change = change_request(&name, "r1", "max_tasks", &value);
            self.proposed
                .push(group.propose(id, Command::Change(change)));
        }
    }

    fn check(&mut self, group: &Group) {
        for request_id in &self.proposed {
            if let Some(ControlAnswer::Reply(CommandReply::Change(Ok(accepted)))) =
                group.answers.get(request_id)
            {
                self.accepted.insert(accepted.revision.0);
            }
        }
        let holds = |id: &u64| group.control(*id).raft().holds_lease(group.now);
        let leaders: Vec<u64> = running(group).into_iter().filter(holds).collect();
        if leaders.len() > 1 {
            self.violation = Some(format!("{leaders:?} may grant leases at the same time"));
        }
        let last = Revision(self.accepted.last().copied().unwrap_or(0));
        for id in leaders {
            if group.state_machine(id).revision() < last {
                self.violation = Some(format!("leader {id} lacks {last:?}"));
            }
        }
    }

    fn next_actions(&self, bounds: Bounds) -> Vec<Action> {
        if self.trace.len() >= bounds.depth {
            return Vec::new();
        }
        let mut actions = vec![Action::Wait];
        if self.changes < bounds.changes {
            actions.push(Action::Change);
        }
        if !self.group.isolated.is_empty() {
            actions.push(Action::Reconnect);
        }
        if !self.group.delayed.is_empty() {
            actions.push(Action::Deliver);
        }
        if self.restarts < bounds.restarts {
            actions.push(Action::RestartAll);
        }
        for id in 1..=bounds.size {
            if self.group.isolated != [id] {
                actions.push(Action::Isolate(id));
            }
            if self.restarts < bounds.restarts {
                actions.push(Action::Restart(id));
            }
            if self.lost_disks < bounds.lost_disks {
                actions.push(Action::LoseDisk(id));
            }
            if bounds.has_late_messages && self.group.delayed.is_empty() {
                actions.push(Action::Delay(id));
            }
        }
        actions
    }
}

fn explore(name: &str, disabled_guards: &[RaftGuard], bounds: Bounds) -> Result<usize, String> {
    let start = SearchNode::start(bounds.size, disabled_guards);
    let expanded = RefCell::new(0);
    let expand = |node: &SearchNode| {
        *expanded.borrow_mut() += 1;
        let actions = node.next_actions(bounds);
        actions
            .into_iter()
            .map(|action| node.after(action))
            .collect::<Vec<_>>()
    };
    let path = bfs(&start, expand, |node| node.violation.is_some());
    let states = *expanded.borrow();
    println!(
        "model restart {name}: states={states} depth={}",
        bounds.depth
    );
    match path.as_ref().and_then(|path| path.last()) {
        None => Ok(states),
        Some(last) => Err(format!("{:?} after {:?}", last.violation, last.trace)),
    }
}

/// Depth of the search: `default` in CI; docs/spec.md describes a deeper run by hand.
fn depth(default: usize) -> usize {
    let given = std::env::var("FULMARDRIFT_MODEL_DEPTH").ok();
    given.and_then(|d| d.parse().ok()).unwrap_or(default)
}

/// Guards against two leases at a time, and against a change that is lost, when voters that have
/// restarted do not wait.
#[test]
fn no_schedule_of_restarts_gives_two_leases_among_three() {
    let bounds = Bounds {
        size: 3,
        depth: depth(4),
        restarts: 3,
        lost_disks: 1,
        changes: 1,
        has_late_messages: true,
    };
    explore("three hosts", &[], bounds).unwrap();
}

/// Guards against the same where voters had voted for another candidate of the leader's term.
#[test]
fn no_schedule_of_restarts_gives_two_leases_among_five() {
    let bounds = Bounds {
        size: 5,
        depth: depth(3),
        restarts: 3,
        lost_disks: 1,
        changes: 1,
        has_late_messages: true,
    };
    explore("five hosts", &[], bounds).unwrap();
}

/// Restarts and cuts alone reach deeper.
const RESTARTS: Bounds = Bounds {
    size: 5,
    depth: 4,
    restarts: 3,
    lost_disks: 0,
    changes: 0,
    has_late_messages: false,
};

#[test]
fn no_schedule_of_restarts_and_cuts_gives_two_leases() {
    explore("restarts", &[], RESTARTS).unwrap();
}

fn assert_rule_needed(guard: RaftGuard) {
    match explore(&format!("without {guard:?}"), &[guard], RESTARTS) {
        Ok(_) => panic!("no violation found without {guard:?}"),
        Err(trace) => println!("{trace}"),
    }
}

/// Mutant: a voter that does not record whom it follows.
#[test]
fn the_record_of_the_followed_leader_is_needed() {
    assert_rule_needed(RaftGuard::FollowerVote);
}

/// Mutant: a voter that has restarted waits for nobody's lease.
#[test]
fn the_wait_for_other_leaders_is_needed() {
    assert_rule_needed(RaftGuard::NamedCandidate);
}
