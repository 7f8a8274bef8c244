//! The replicated log under every schedule of faults up to a depth: see
//! docs/spec.md.

#[path = "fakes/group.rs"]
mod group;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use fulmardrift::{Command, CommandReply, ControlAnswer, RaftGuard, RequestId, Revision};
use group::{Group, set};
use pathfinding::directed::bfs::bfs;

/// What happens next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Action {
    Change,
    Rest,
    Cut(u64),
    Heal,
    Kill(u64),
    Start(u64),
    LoseDisk(u64),
}

#[derive(Debug, Clone)]
struct Node {
    digest: u64,
    group: Rc<Group>,
    trace: Vec<Action>,
    disks: u32,
    changes: u64,
    proposed: Vec<RequestId>,
    /// Revisions that operators were told are accepted.
    accepted: BTreeSet<u64>,
    broken: Option<String>,
}

impl PartialEq for Node {
    fn eq(&self, other: &Self) -> bool {
        self.digest == other.digest
    }
}

impl Eq for Node {}

impl Hash for Node {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.digest.hash(state);
    }
}

/// Rounds in which nothing but the protocol happens: longer than an election.
const REST: u32 = 90;
/// Rounds after a change: long enough for it to be accepted where it can be.
const SHORT: u32 = 4;

impl Node {
    fn start(off: &[RaftGuard]) -> Self {
        let mut group = Group::without(3, off);
        group.until("a leader", |g| g.leader().is_some());
        Self {
            digest: 0,
            group: Rc::new(group),
            trace: Vec::new(),
            disks: 0,
            changes: 0,
            proposed: Vec::new(),
            accepted: BTreeSet::new(),
            broken: None,
        }
    }

    fn act(&self, action: Action) -> Self {
        let mut next = self.clone();
        let mut group = (*self.group).clone();
        next.trace.push(action);
        let mut rounds = SHORT;
        match action {
            Action::Change => next.change(&mut group),
            Action::Rest => rounds = REST,
            Action::Cut(id) => group.cut = vec![id],
            Action::Heal => group.cut.clear(),
            Action::Kill(id) => group.kill(id),
            Action::Start(id) => group.start(id),
            Action::LoseDisk(id) => {
                next.disks += 1;
                group.lose_disk(id);
            }
        }
        for _ in 0..rounds {
            group.round();
            next.check(&group);
        }
        let mut hasher = DefaultHasher::new();
        format!("{:?}", group.instances).hash(&mut hasher);
        (&group.cut, next.disks, next.changes, &next.accepted).hash(&mut hasher);
        next.digest = hasher.finish();
        next.group = Rc::new(group);
        next
    }

    /// Everyone who believes to lead is asked for a change.
    fn change(&mut self, group: &mut Group) {
        self.changes += 1;
        for id in 1..=3 {
            if group.instances[&id].control.is_some() {
                let name = format!("change-{}-{id}", self.changes);
                let value = (self.changes * 10 + id).to_string();
                let change = set(&name, "r1", "max_tasks", &value);
                self.proposed
                    .push(group.propose(id, Command::Change(change)));
            }
        }
    }

    fn check(&mut self, group: &Group) {
        for token in &self.proposed {
            if let Some(ControlAnswer::Reply(CommandReply::Change(Ok(accepted)))) =
                group.answers.get(token)
            {
                self.accepted.insert(accepted.revision.0);
            }
        }
        let holds = |id: &u64| {
            let control = group.instances[id].control.as_ref();
            control.is_some_and(|c| c.raft().holds_lease(group.now))
        };
        let leaders: Vec<u64> = (1..=3).filter(holds).collect();
        if leaders.len() > 1 {
            self.broken = Some(format!("{leaders:?} give leases at a time"));
        }
        let last = Revision(self.accepted.last().copied().unwrap_or(0));
        for id in leaders {
            if group.state_machine(id).revision() < last {
                self.broken = Some(format!("{id} leads without {last:?}"));
            }
        }
    }

    fn actions(&self, bounds: Bounds) -> Vec<Action> {
        if self.trace.len() >= bounds.depth {
            return Vec::new();
        }
        let mut actions = vec![Action::Rest];
        if self.changes < bounds.changes {
            actions.push(Action::Change);
        }
        if !self.group.cut.is_empty() {
            actions.push(Action::Heal);
        }
        for id in 1..=3 {
            let up = self.group.instances[&id].control.is_some();
            if self.group.cut.is_empty() {
                actions.push(Action::Cut(id));
            }
            actions.push(if up {
                Action::Kill(id)
            } else {
                Action::Start(id)
            });
            if self.disks < bounds.disks {
                actions.push(Action::LoseDisk(id));
            }
        }
        actions
    }
}

#[derive(Debug, Clone, Copy)]
struct Bounds {
    depth: usize,
    changes: u64,
    disks: u32,
}

fn explore(name: &str, off: &[RaftGuard], bounds: Bounds) -> Result<usize, String> {
    let start = Node::start(off);
    let seen = RefCell::new(0);
    let expand = |node: &Node| {
        *seen.borrow_mut() += 1;
        let actions = node.actions(bounds);
        actions
            .into_iter()
            .map(|action| node.act(action))
            .collect::<Vec<_>>()
    };
    let path = bfs(&start, expand, |node| node.broken.is_some());
    let states = *seen.borrow();
    println!("model log {name}: states={states} depth={}", bounds.depth);
    match path.as_ref().and_then(|path| path.last()) {
        None => Ok(states),
        Some(last) => Err(format!("{:?} after {:?}", last.broken, last.trace)),
    }
}

/// Depth in CI; a deeper run by hand is in docs/spec.md.
fn depth(default: usize) -> usize {
    let given = std::env::var("FULMARDRIFT_MODEL_DEPTH").ok();
    given.and_then(|d| d.parse().ok()).unwrap_or(default)
}

#[test]
fn no_schedule_of_faults_loses_an_accepted_change() {
    let bounds = Bounds {
        depth: depth(4),
        changes: 2,
        disks: 2,
    };
    explore("faults", &[], bounds).unwrap();
}

fn bites(guard: RaftGuard, depth: usize) {
    let bounds = Bounds {
        depth,
        changes: 1,
        disks: 2,
    };
    match explore(&format!("without {guard:?}"), &[guard], bounds) {
        Ok(_) => panic!("{guard:?} could be left out"),
        Err(trace) => println!("{trace}"),
    }
}

#[test]
fn it_needs_a_quorum() {
    bites(RaftGuard::Quorum, 4);
}

#[test]
fn it_needs_the_disks_identity() {
    bites(RaftGuard::DiskIdentity, 5);
}
