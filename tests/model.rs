//! Every reachable state of the real decisions, within bounds: see docs/spec.md.

mod fakes;

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use fakes::{Wire, World, key, submission};
use fulmardrift::{Answer, Incarnation, StartGuard};
use pathfinding::directed::bfs::bfs;

/// What the adversary may still do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Budget {
    duplicate: u8,
    relink: u8,
    delay: u8,
    crash: u8,
    leave: u8,
    kill: u8,
    restart: u8,
    out: u8,
}

/// A state of the model; equal by the digest of everything in it.
#[derive(Debug, Clone)]
struct Node {
    digest: u64,
    world: Rc<World>,
    budget: Budget,
    /// The submission at the second entry is still to come.
    again: bool,
    /// The owner is down, and control has not noticed.
    down: Option<Incarnation>,
    action: &'static str,
    off: &'static [StartGuard],
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

impl Node {
    fn new(world: World, budget: Budget, again: bool, down: Option<Incarnation>) -> Self {
        let mut hasher = DefaultHasher::new();
        format!("{:?}{:?}{:?}", world.entries, world.agents, world.machine).hash(&mut hasher);
        // Messages and running tasks are sets: their order is the adversary's.
        let mut wires: Vec<String> = world.wires.iter().map(|w| format!("{w:?}")).collect();
        wires.sort_unstable();
        let mut running: Vec<String> = world.running.iter().map(|d| format!("{d:?}")).collect();
        running.sort_unstable();
        let rest = format!(
            "{:?}{:?}{:?}{:?}{:?}{}",
            world.starts, world.answers, world.frozen, world.reborn, world.out_at, world.late
        );
        (wires, running, rest, world.now, budget, again, down).hash(&mut hasher);
        let world = Rc::new(world);
        Self {
            digest: hasher.finish(),
            world,
            budget,
            again,
            down,
            action: "",
            off: &[],
        }
    }

    fn broken(&self) -> Option<String> {
        let world = &self.world;
        if world.most_starts() > 1 {
            return Some(format!("started twice: {:?}", world.starts));
        }
        if world.late > 0 {
            return Some("started after the data centre was out".to_owned());
        }
        for answer in world.answers.values() {
            let ran = !world.starts.is_empty();
            match answer {
                Answer::Refused(..) if ran => return Some("refused, and yet it ran".to_owned()),
                Answer::Complete(results) if results.len() > world.total_starts() as usize => {
                    return Some("complete with a task that never ran".to_owned());
                }
                _ => {}
            }
        }
        None
    }

    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        let mut push = |world: World, budget, again, down, action| {
            next.push(Self {
                action,
                off: self.off,
                ..Self::new(world, budget, again, down)
            });
        };
        let (b, again, down) = (self.budget, self.again, self.down);
        for at in 0..self.world.wires.len() {
            let mut world = (*self.world).clone();
            if world.deliver(at) {
                push(world, b, again, down, "deliver");
            }
            let is_dispatch = matches!(self.world.wires[at], Wire::Dispatch(_));
            if b.duplicate > 0 && is_dispatch {
                let mut world = (*self.world).clone();
                let copy = world.wires[at].clone();
                world.deliver(at);
                world.wires.push(copy);
                let budget = Budget {
                    duplicate: b.duplicate - 1,
                    ..b
                };
                push(world, budget, again, down, "deliver and keep a copy");
            }
        }
        for at in 0..self.world.running.len() {
            let mut world = (*self.world).clone();
            world.finish(at);
            push(world, b, again, down, "finish");
        }
        self.faults(&mut push);
        next
    }

    /// The connection to each agent is replaced: what was on the old one is lost,
    /// or still comes after what the new one brings.
    fn relinks(
        &self,
        entry: Incarnation,
        push: &mut impl FnMut(World, Budget, bool, Option<Incarnation>, &'static str),
    ) {
        let budget = Budget {
            relink: self.budget.relink - 1,
            ..self.budget
        };
        for agent in self.world.agents.keys().copied() {
            for lose in [false, true] {
                let mut world = (*self.world).clone();
                world.wires.retain(|w| match w {
                    Wire::Dispatch(d) => !lose || d.entry != entry || d.agent != agent,
                    Wire::Verdict(to, v) => !lose || *to != entry || v.agent != agent,
                    _ => true,
                });
                world.link(entry, agent);
                push(world, budget, self.again, self.down, "relink");
            }
        }
    }

    fn delays(
        &self,
        entries: &[Incarnation],
        push: &mut impl FnMut(World, Budget, bool, Option<Incarnation>, &'static str),
    ) {
        let (b, again, down) = (self.budget, self.again, self.down);
        // Long enough for every start window, lease and retained result; the
        // first agent is cut off from control and does not renew.
        let mut world = (*self.world).clone();
        world.now = world.now + fakes::TERM + fakes::TERM;
        let agents: Vec<Incarnation> = world.agents.keys().copied().collect();
        for (i, agent) in agents.into_iter().enumerate() {
            if b.out == 0 || i > 0 {
                world.lease_agent(agent);
                world.agent(agent, fulmardrift::AgentInput::Tick);
            }
        }
        for entry in entries.iter().copied() {
            world.lease_entry(entry);
            world.hear(entry);
        }
        push(
            world,
            Budget {
                delay: b.delay - 1,
                ..b
            },
            again,
            down,
            "delay",
        );
    }

    fn faults(
        &self,
        push: &mut impl FnMut(World, Budget, bool, Option<Incarnation>, &'static str),
    ) {
        let (b, again, down) = (self.budget, self.again, self.down);
        let entries: Vec<Incarnation> = self.world.entries.keys().copied().collect();
        if again && !entries.is_empty() {
            let mut world = (*self.world).clone();
            world.submit(*entries.last().unwrap(), submission(&key("a"), true, 1));
            push(world, b, false, down, "submit again elsewhere");
        }
        if b.relink > 0 {
            self.relinks(entries[0], push);
        }
        if b.delay > 0 {
            self.delays(&entries, push);
        }
        if b.out > 0 && self.world.out_at.is_none() {
            let mut world = (*self.world).clone();
            world.take_out();
            push(world, b, again, down, "take out");
        }
        if b.leave > 0 {
            let mut world = (*self.world).clone();
            world.leave(entries[0]);
            push(
                world,
                Budget {
                    leave: b.leave - 1,
                    ..b
                },
                again,
                down,
                "leave",
            );
        }
        if b.restart > 0 {
            let agent = *self.world.agents.keys().next().unwrap();
            let mut world = (*self.world).clone();
            world.restart_agent(agent, self.off);
            push(
                world,
                Budget {
                    restart: b.restart - 1,
                    ..b
                },
                again,
                down,
                "restart agent",
            );
        }
        if b.crash > 0 && down.is_none() {
            let mut world = (*self.world).clone();
            world.frozen.push(entries[0]);
            push(
                world,
                Budget {
                    crash: b.crash - 1,
                    ..b
                },
                again,
                Some(entries[0]),
                "freeze",
            );
        }
        if let Some(owner) = down {
            let alive = self
                .world
                .machine
                .processes()
                .get(&owner)
                .is_some_and(|p| p.alive);
            if alive {
                let mut world = (*self.world).clone();
                world.declare_dead(owner);
                push(world, b, again, down, "declare dead");
            } else if !self.world.frozen.is_empty() {
                let mut world = (*self.world).clone();
                world.frozen.clear();
                push(world, b, again, down, "thaw");
            }
        }
        if b.kill > 0 {
            let agent = *self.world.agents.keys().next().unwrap();
            let mut world = (*self.world).clone();
            world.kill_agent(agent);
            push(
                world,
                Budget {
                    kill: b.kill - 1,
                    ..b
                },
                again,
                down,
                "kill agent",
            );
        }
    }
}

/// Explores everything; a counterexample comes back as its actions.
fn explore(
    name: &str,
    off: &'static [StartGuard],
    budget: Budget,
    most: usize,
) -> Result<usize, String> {
    let mut world = World::new(2, 2, 1, off);
    let owner = *world.entries.keys().next().unwrap();
    world.submit(owner, submission(&key("a"), true, 1));
    let start = Node {
        off,
        ..Node::new(world, budget, true, None)
    };
    let seen = std::cell::RefCell::new(BTreeSet::new());
    let expand = |node: &Node| {
        let mut seen = seen.borrow_mut();
        seen.insert(node.digest);
        if seen.len() > most {
            Vec::new()
        } else {
            node.successors()
        }
    };
    let path = bfs(&start, expand, |node| node.broken().is_some());
    let states = seen.borrow().len();
    println!(
        "model {name}: states={states} counterexample={}",
        path.is_some()
    );
    match path {
        None => Ok(states),
        Some(path) => {
            let actions: Vec<&str> = path.iter().map(|n| n.action).collect();
            let broken = path.last().and_then(Node::broken).unwrap_or_default();
            Err(format!("{broken} after {}", actions.join(", ")))
        }
    }
}

/// Most states of a run in CI; a run that reaches it says so by failing.
const MOST: usize = 400_000;

fn all_states(name: &str, budget: Budget) {
    let states = explore(name, &[], budget, MOST).unwrap();
    assert!(states < MOST, "{name}: not all states were seen");
}

const NONE: Budget = Budget {
    duplicate: 0,
    relink: 0,
    delay: 0,
    crash: 0,
    leave: 0,
    kill: 0,
    restart: 0,
    out: 0,
};

#[test]
fn copies_and_lost_connections() {
    all_states(
        "copies",
        Budget {
            duplicate: 1,
            relink: 1,
            ..NONE
        },
    );
}

#[test]
fn copies_and_delays() {
    all_states(
        "delays",
        Budget {
            duplicate: 1,
            delay: 1,
            ..NONE
        },
    );
}

#[test]
fn an_owner_frozen_declared_dead_and_woken() {
    all_states("takeover", Budget { crash: 1, ..NONE });
}

#[test]
fn an_owner_that_leaves_with_messages_under_way() {
    all_states(
        "leaving owner",
        Budget {
            leave: 1,
            duplicate: 1,
            ..NONE
        },
    );
}

#[test]
fn an_owner_and_an_agent_lost() {
    all_states(
        "two lost",
        Budget {
            crash: 1,
            kill: 1,
            ..NONE
        },
    );
}

#[test]
fn an_agent_restarted_with_messages_under_way() {
    all_states(
        "restarted agent",
        Budget {
            restart: 1,
            duplicate: 1,
            ..NONE
        },
    );
}

#[test]
fn a_data_centre_out_with_an_agent_cut_off() {
    all_states(
        "out",
        Budget {
            out: 1,
            delay: 1,
            ..NONE
        },
    );
}

/// Without this guard some run breaks a promise.
fn bites(guard: &'static [StartGuard], budget: Budget) {
    let found = explore(&format!("without {guard:?}"), guard, budget, MOST);
    match found {
        Ok(_) => panic!("{guard:?} could be left out"),
        Err(trace) => println!("{trace}"),
    }
}

#[test]
fn it_needs_the_memory_of_refusals() {
    // Credits keep the entry of this model from ever using the gap, so the gate is
    // shown it alone: refused for want of a credit, then delivered once more.
    for (off, starts) in [(None, false), (Some(StartGuard::Refusals), true)] {
        let mut gate = fulmardrift::StartGate::new(Incarnation(1)).unwrap();
        if let Some(guard) = off {
            gate.disable(guard);
        }
        let lease = fulmardrift::Lease {
            expires_at: fakes::TERM,
            allowed: true,
            window: fakes::WINDOW,
            ..fulmardrift::Lease::default()
        };
        gate.renew(lease);
        let dispatch = fulmardrift::Dispatch {
            number: fulmardrift::DispatchNumber(1),
            job: key("a"),
            task: 0,
            generation: fulmardrift::Generation(1),
            entry: Incarnation(2),
            agent: Incarnation(1),
            stamp: fulmardrift::Millis(1),
            payload: bytes::Bytes::new(),
        };
        let now = fulmardrift::Millis(1);
        gate.offer(now, &dispatch, false).unwrap();
        gate.offer(now, &dispatch, true).unwrap();
        assert_eq!(gate.start(now, &dispatch).unwrap(), starts);
    }
}

#[test]
fn it_needs_to_know_how_far_its_memory_reaches() {
    bites(
        &[StartGuard::Memory],
        Budget {
            duplicate: 1,
            delay: 1,
            ..NONE
        },
    );
}

#[test]
fn it_needs_generations() {
    bites(&[StartGuard::Generation], Budget { leave: 1, ..NONE });
}

#[test]
fn it_needs_the_start_window() {
    // The limit of the memory would also refuse what comes that late.
    bites(
        &[StartGuard::Window, StartGuard::Memory],
        Budget {
            duplicate: 1,
            delay: 1,
            ..NONE
        },
    );
}

#[test]
fn it_needs_the_lease() {
    bites(
        &[StartGuard::Lease],
        Budget {
            out: 1,
            delay: 1,
            ..NONE
        },
    );
}

#[test]
fn it_needs_incarnations() {
    bites(
        &[StartGuard::Incarnation],
        Budget {
            restart: 1,
            duplicate: 1,
            ..NONE
        },
    );
}
