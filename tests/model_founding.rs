//! Model check of the first moments of a group: explores every schedule of faults up to a depth while
//! the group is founded. See docs/spec.md.

#[path = "fakes/group.rs"]
mod group;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use fulmardrift::{
    Command, CommandReply, ControlAnswer, Index, LogEntry, RaftGuard, RequestId, Revision,
};
use group::{Group, change_request};
use pathfinding::directed::bfs::bfs;

const FOUNDERS: u64 = 3;
/// Rounds that run when only time passes; longer than an election takes, and than the silence after
/// which a voter is replaced.
const WAIT_ROUNDS: u32 = 125;
/// Rounds that run after any other action: less than an election.
const ACTION_ROUNDS: u32 = 4;

/// A step of a schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Action {
    Change,
    Wait,
    Kill(u64),
    Start(u64),
    /// The instance restarts with an empty disk.
    Wipe(u64),
    /// Nothing that this instance sends arrives.
    Mute(u64),
    /// Nothing that is sent to this instance arrives.
    Deafen(u64),
    Reconnect,
    Freeze(u64),
    Thaw(u64),
    /// The disk of this instance completes no sync.
    Stall(u64),
    Resume(u64),
}

/// What a search may do.
#[derive(Debug, Clone, Copy)]
struct Bounds {
    size: u64,
    depth: usize,
    lost_disks: u32,
    changes: u64,
    /// Whether instances are frozen and cut off one way.
    has_partial_faults: bool,
    /// Number of voters that the group must have had before it accepts a change. With it, the group
    /// must serve again, with every accepted change, after the lost disks of the schedule.
    needed_voters: usize,
}

/// Rounds after the last fault in which a group must serve again: 15 s.
const RECOVERY_ROUNDS: u32 = 750;

/// A rule that is off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    Guard(RaftGuard),
    /// An empty disk gets the identity of the first one again.
    ReusedIdentity,
}

#[derive(Debug, Clone)]
struct SearchNode {
    digest: u64,
    group: Rc<Group>,
    trace: Vec<Action>,
    lost_disks: u32,
    changes: u64,
    needed_voters: usize,
    proposed: Vec<RequestId>,
    /// Revisions that were reported to operators as accepted.
    accepted: BTreeSet<u64>,
    /// First entries that an instance took for committed.
    first_entries: BTreeSet<LogEntry>,
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

impl SearchNode {
    fn start(bounds: Bounds, mutant: Mutant) -> Self {
        let guards = match mutant {
            Mutant::Guard(guard) => vec![guard],
            Mutant::None | Mutant::ReusedIdentity => Vec::new(),
        };
        let mut group = Group::unfounded_by(FOUNDERS, bounds.size, &guards);
        group.reuses_identity = mutant == Mutant::ReusedIdentity;
        if bounds.needed_voters > 0 {
            group.run_until("a leader", |g| g.leader().is_some());
        }
        Self {
            digest: 0,
            group: Rc::new(group),
            trace: Vec::new(),
            lost_disks: 0,
            changes: 0,
            needed_voters: bounds.needed_voters,
            proposed: Vec::new(),
            accepted: BTreeSet::new(),
            first_entries: BTreeSet::new(),
            violation: None,
        }
    }

    fn after(&self, action: Action) -> Self {
        let mut next = self.clone();
        let mut group = (*self.group).clone();
        next.trace.push(action);
        let mut rounds = ACTION_ROUNDS;
        let others = |group: &Group, id: u64| {
            let ids = group.instances.keys().copied();
            ids.filter(|other| *other != id).collect::<Vec<_>>()
        };
        match action {
            Action::Change => next.change(&mut group),
            Action::Wait => rounds = WAIT_ROUNDS,
            Action::Kill(id) => group.kill(id),
            Action::Start(id) => group.start(id),
            Action::Wipe(id) => {
                next.lost_disks += 1;
                group.lose_disk(id);
            }
            Action::Mute(id) => group.cut = others(&group, id).iter().map(|o| (id, *o)).collect(),
            Action::Deafen(id) => group.cut = others(&group, id).iter().map(|o| (*o, id)).collect(),
            Action::Reconnect => group.cut.clear(),
            Action::Freeze(id) => group.instances.get_mut(&id).unwrap().suspended = true,
            Action::Thaw(id) => group.instances.get_mut(&id).unwrap().suspended = false,
            Action::Stall(id) => group.instances.get_mut(&id).unwrap().syncs_complete = false,
            Action::Resume(id) => group.instances.get_mut(&id).unwrap().syncs_complete = true,
        }
        for _ in 0..rounds {
            group.run_round();
            next.check(&group);
        }
        if matches!(action, Action::Wipe(_)) && self.needed_voters > 0 {
            next.check_recovery(&group);
        }
        let mut hasher = DefaultHasher::new();
        format!("{:?}", group.instances).hash(&mut hasher);
        (&group.cut, next.lost_disks, next.changes, &next.accepted).hash(&mut hasher);
        next.first_entries.hash(&mut hasher);
        next.digest = hasher.finish();
        next.group = Rc::new(group);
        next
    }

    /// Proposes a change to every running instance; only one that takes itself for the leader
    /// accepts it.
    fn change(&mut self, group: &mut Group) {
        self.changes += 1;
        for id in running(group) {
            let has_voters = group.control(id).raft().has_had_voters(self.needed_voters);
            if group.instances[&id].suspended || !has_voters {
                continue;
            }
            let name = format!("change-{}-{id}", self.changes);
            let value = (self.changes * 10 + id).to_string();
            let change = change_request(&name, "r1", "max_tasks", &value);
            self.proposed
                .push(group.propose(id, Command::Change(change)));
        }
    }

    /// Once all instances are up, the group must have a leader again, with every accepted change.
    fn check_recovery(&mut self, group: &Group) {
        let Some(last) = self.accepted.last().copied() else {
            return;
        };
        let mut group = group.clone();
        let down = group.instances.iter().filter(|(_, i)| i.control.is_none());
        let down: Vec<u64> = down.map(|(id, _)| *id).collect();
        for id in down {
            group.start(id);
        }
        for _ in 0..RECOVERY_ROUNDS {
            if group.leader().is_some() {
                break;
            }
            group.run_round();
        }
        let revision = group.leader().map(|id| group.state_machine(id).revision());
        if revision < Some(Revision(last)) {
            self.violation = Some(format!("accepted {last}, later {revision:?}"));
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
        for id in running(group) {
            let raft = group.control(id).raft();
            if raft.committed() >= Index(1) {
                self.first_entries.extend(raft.entry(Index(1)).cloned());
            }
        }
        if self.first_entries.len() > 1 {
            self.violation = Some(format!("two groups: {:?}", self.first_entries));
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
        if !self.group.cut.is_empty() {
            actions.push(Action::Reconnect);
        }
        for (id, instance) in &self.group.instances {
            let is_founder = *id <= FOUNDERS;
            let up = instance.control.is_some();
            actions.push(if up {
                Action::Kill(*id)
            } else {
                Action::Start(*id)
            });
            if self.lost_disks < bounds.lost_disks && is_founder {
                actions.push(Action::Wipe(*id));
            }
            if !bounds.has_partial_faults || !is_founder {
                continue;
            }
            if self.group.cut.is_empty() {
                actions.push(Action::Mute(*id));
                actions.push(Action::Deafen(*id));
            }
            actions.push(if instance.suspended {
                Action::Thaw(*id)
            } else {
                Action::Freeze(*id)
            });
            actions.push(if instance.syncs_complete {
                Action::Stall(*id)
            } else {
                Action::Resume(*id)
            });
        }
        actions
    }
}

fn explore(name: &str, mutant: Mutant, bounds: Bounds) -> Result<usize, String> {
    let start = SearchNode::start(bounds, mutant);
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
        "model founding {name}: states={states} depth={}",
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

/// Guards against two groups, and against a change that is lost, in the first moments.
#[test]
fn no_schedule_of_faults_founds_two_groups_of_three_hosts() {
    let bounds = Bounds {
        size: 3,
        depth: depth(4),
        lost_disks: 1,
        changes: 1,
        has_partial_faults: true,
        needed_voters: 0,
    };
    explore("three hosts", Mutant::None, bounds).unwrap();
}

/// Guards against the same where not all hosts are founders.
#[test]
fn no_schedule_of_faults_founds_two_groups_of_five_hosts() {
    let bounds = Bounds {
        size: 5,
        depth: depth(3),
        lost_disks: 2,
        changes: 1,
        has_partial_faults: true,
        needed_voters: 0,
    };
    explore("five hosts", Mutant::None, bounds).unwrap();
}

/// Kills and lost disks alone reach deeper.
const CRASHES: Bounds = Bounds {
    size: 3,
    depth: 6,
    lost_disks: 1,
    changes: 0,
    has_partial_faults: false,
    needed_voters: 0,
};

/// Guards against two groups after more crashes.
#[test]
fn no_schedule_of_crashes_founds_two_groups() {
    explore("crashes", Mutant::None, CRASHES).unwrap();
}

/// From the first leader on, the disks of two founders are lost, right after the first change that is accepted or later.
const FIRST_CHANGE: Bounds = Bounds {
    size: 5,
    depth: 4,
    lost_disks: 2,
    changes: 2,
    has_partial_faults: false,
    needed_voters: 5,
};

/// Guards against an accepted change that is lost, with the group, with as many disks as may be lost,
/// because the group did not have all its voters yet.
#[test]
fn no_accepted_change_is_lost_with_two_of_five_disks() {
    explore("first change", Mutant::None, FIRST_CHANGE).unwrap();
}

/// Mutant: a change is accepted by a group that has not had its voters yet.
#[test]
fn the_wait_for_all_voters_is_needed() {
    let mutant = Mutant::Guard(RaftGuard::EnoughVoters);
    match explore("with early changes", mutant, FIRST_CHANGE) {
        Ok(_) => panic!("no violation found with {mutant:?}"),
        Err(trace) => println!("{trace}"),
    }
}

fn assert_rule_needed(mutant: Mutant) {
    match explore(&format!("with {mutant:?}"), mutant, CRASHES) {
        Ok(_) => panic!("no violation found with {mutant:?}"),
        Err(trace) => println!("{trace}"),
    }
}

#[test]
fn an_identity_that_is_used_once_is_needed() {
    assert_rule_needed(Mutant::ReusedIdentity);
}

#[test]
fn the_disk_identity_rule_is_needed() {
    assert_rule_needed(Mutant::Guard(RaftGuard::DiskIdentity));
}

#[test]
fn the_quorum_rule_is_needed() {
    assert_rule_needed(Mutant::Guard(RaftGuard::Quorum));
}
