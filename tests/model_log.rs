//! Model check of the replicated log: explores every schedule of faults up to a depth. See
//! docs/spec.md.

#[path = "fakes/group.rs"]
mod group;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use fulmardrift::{Command, CommandReply, ControlAnswer, RaftGuard, RequestId, Revision};
use group::{Group, change_request};
use pathfinding::directed::bfs::bfs;

/// A step of a schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Action {
    Change,
    Wait,
    Isolate(u64),
    Reconnect,
    Kill(u64),
    Start(u64),
    LoseDisk(u64),
    /// An instance is lost for good.
    Remove(u64),
    /// A further instance joins with an empty disk.
    Add,
}

/// Ids that instances may have: three founders, and one that joins.
const IDS: std::ops::RangeInclusive<u64> = 1..=4;
const NEWCOMER: u64 = 4;

#[derive(Debug, Clone)]
struct SearchNode {
    digest: u64,
    group: Rc<Group>,
    trace: Vec<Action>,
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

fn running(group: &Group) -> Vec<u64> {
    let up = group.instances.iter().filter(|(_, i)| i.control.is_some());
    up.map(|(id, _)| *id).collect()
}

/// Rounds that run when only time passes; longer than an election takes, and than the silence after
/// which a voter is replaced.
const WAIT_ROUNDS: u32 = 150;
/// Rounds that run after any other action; enough for a change to be accepted where that is
/// possible.
const ACTION_ROUNDS: u32 = 4;

impl SearchNode {
    fn start(disabled_guards: &[RaftGuard]) -> Self {
        let group = Group::joinable(3, disabled_guards);
        Self {
            digest: 0,
            group: Rc::new(group),
            trace: Vec::new(),
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
            Action::Kill(id) => group.kill(id),
            Action::Start(id) => group.start(id),
            Action::LoseDisk(id) => {
                next.lost_disks += 1;
                group.lose_disk(id);
            }
            Action::Remove(id) => {
                next.lost_disks += 1;
                group.remove(id);
            }
            Action::Add => group.add(NEWCOMER),
        }
        for _ in 0..rounds {
            group.run_round();
            next.check(&group);
        }
        let mut hasher = DefaultHasher::new();
        format!("{:?}", group.instances).hash(&mut hasher);
        (
            &group.isolated,
            next.lost_disks,
            next.changes,
            &next.accepted,
        )
            .hash(&mut hasher);
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
        if !self.group.instances.contains_key(&NEWCOMER) {
            actions.push(Action::Add);
        }
        for id in IDS {
            let Some(instance) = self.group.instances.get(&id) else {
                continue;
            };
            let up = instance.control.is_some();
            if self.group.isolated.is_empty() {
                actions.push(Action::Isolate(id));
            }
            actions.push(if up {
                Action::Kill(id)
            } else {
                Action::Start(id)
            });
            if self.lost_disks < bounds.lost_disks {
                actions.push(Action::LoseDisk(id));
                actions.push(Action::Remove(id));
            }
        }
        actions
    }
}

#[derive(Debug, Clone, Copy)]
struct Bounds {
    depth: usize,
    changes: u64,
    lost_disks: u32,
}

fn explore(name: &str, disabled_guards: &[RaftGuard], bounds: Bounds) -> Result<usize, String> {
    let start = SearchNode::start(disabled_guards);
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
    println!("model log {name}: states={states} depth={}", bounds.depth);
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

#[test]
fn no_schedule_of_faults_loses_an_accepted_change() {
    let bounds = Bounds {
        depth: depth(4),
        changes: 2,
        lost_disks: 2,
    };
    explore("faults", &[], bounds).unwrap();
}

fn assert_rule_needed(guard: RaftGuard, depth: usize) {
    let bounds = Bounds {
        depth,
        changes: 1,
        lost_disks: 2,
    };
    match explore(&format!("without {guard:?}"), &[guard], bounds) {
        Ok(_) => panic!("no violation found without {guard:?}"),
        Err(trace) => println!("{trace}"),
    }
}

#[test]
fn the_quorum_rule_is_needed() {
    assert_rule_needed(RaftGuard::Quorum, 4);
}

#[test]
fn the_disk_identity_rule_is_needed() {
    assert_rule_needed(RaftGuard::DiskIdentity, 5);
}
