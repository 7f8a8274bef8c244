//! What the backend server's answers tell its agent.

use super::agent::{Agent, AgentOutput, Pending};
use super::boss::Owner;
use super::guard::JobGuard;
use super::held::{Held, HeldEnd, Phase};
use super::replicated_state::RunEnd;
use super::server_call::{CallId, Lists, ServerReply};
use super::spec::{RunId, TaskId};
use super::wire::{AgentReport, Denial};
use crate::control::log::Term;
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::events;

/// Pause between looks while ends wait to be recorded: they are listed again at
/// once in each answer.
const HOLD_PAUSE: Millis = Millis(6);
/// Pause after a look that failed.
const HOLD_RETRY: Millis = Millis(40);

impl Agent {
    pub(crate) fn on_reply(
        &mut self,
        now: Millis,
        id: CallId,
        reply: ServerReply,
        out: &mut Vec<AgentOutput>,
    ) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        if reply == ServerReply::Fenced {
            self.floor = self.term.0.max(self.floor) + 1;
            events::FENCED.log(format_args!("term={} floor={}", self.term.0, self.floor));
        }
        match pending {
            Pending::Start(task, run) => self.on_start_reply(now, (task, run), &reply, out),
            Pending::Stop(task, run) => {
                if let Some(held) = self.runs.get_mut(&(task, run))
                    && reply == ServerReply::Stopped
                {
                    held.enter(Phase::Stopped, now);
                    // A start without an answer is settled by the next look.
                    if !held.answered {
                        self.look(now, Millis(0), out);
                    }
                }
            }
            Pending::Hold { sent, life, term } => {
                self.holding = self.holding.saturating_sub(1);
                if life == self.life() {
                    self.on_held(now, sent, term, reply, out);
                }
            }
        }
    }

    pub(crate) fn on_start_reply(
        &mut self,
        now: Millis,
        key: (TaskId, RunId),
        reply: &ServerReply,
        out: &mut Vec<AgentOutput>,
    ) {
        let Some(held) = self.runs.get_mut(&key) else {
            return;
        };
        let owner = held.owner;
        match reply {
            ServerReply::Started { .. } => {
                held.answered = true;
                if held.phase == Phase::Starting {
                    held.enter(Phase::Running, now);
                }
                self.report(owner, AgentReport::Started(key.0, key.1), out);
            }
            ServerReply::Denied(reason) => self.not_started(key, *reason, "server", out),
            ServerReply::OtherLife | ServerReply::Fenced => {
                self.not_started(key, Denial::Closed, "server", out);
            }
            ServerReply::Silent | ServerReply::Stopped | ServerReply::Held(_) => {
                events::START_UNANSWERED.log(format_args!("task={} run={}", key.0, key.1.0));
                self.unanswered.push((now, key.0, key.1));
                if held.phase == Phase::Starting {
                    held.enter(Phase::Doubt, now);
                }
                self.look(now, Millis(0), out);
            }
        }
    }

    /// A run is not here and never will be.
    pub(crate) fn not_started(
        &mut self,
        key: (TaskId, RunId),
        reason: Denial,
        by: &str,
        out: &mut Vec<AgentOutput>,
    ) {
        let Some(held) = self.runs.remove(&key) else {
            return;
        };
        self.others_due = true;
        let (task, run) = key;
        events::START_DENIED.log(format_args!(
            "task={task} run={} owner={:?} by={by} reason={reason:?} phase={:?}",
            run.0, held.owner, held.phase
        ));
        self.report(
            held.owner,
            AgentReport::NotStarted { task, run, reason },
            out,
        );
    }

    pub(crate) fn on_held(
        &mut self,
        now: Millis,
        sent: Millis,
        term: Term,
        reply: ServerReply,
        out: &mut Vec<AgentOutput>,
    ) {
        let ServerReply::Held(lists) = reply else {
            self.next_hold = now + HOLD_RETRY;
            return;
        };
        let life = self.life();
        if lists.born.is_some_and(|born| born != life && life > 1) {
            let running = lists.running.iter().map(|(task, run, _)| (*task, *run));
            let running: Vec<_> = running.collect();
            if self.has_revoked(now, &running, out) {
                self.stop_unanswered(now, out);
                self.lose_server("another life answered", out);
                if let Some(beat) = self.next_life.take() {
                    self.on_beat(now, beat, out);
                }
            } else {
                self.next_hold = now + HOLD_PAUSE;
            }
            return;
        }
        self.answered = now;
        self.clock = Some((lists.clock, now));
        let before = if let Some((_, term)) = self.looked {
            term
        } else {
            // What an earlier life of this agent started may have a whole lease.
            self.note_lease(now, self.times.hold);
            Term(0)
        };
        self.looked = Some((life, term.max(before)));
        self.take_ends(now, &lists, out);
        // Answers may overtake each other; an older one lists runs that are over.
        if sent >= self.listed {
            self.listed = sent;
            self.take_running(now, sent, &lists, out);
        }
        self.settle_claims();
        self.tell_all(out);
        if !self.ends.is_empty() {
            self.next_hold = now + HOLD_PAUSE;
        } else if self.holding == 0 {
            self.look(now, self.hold_wait(), out);
        }
    }

    pub(crate) fn take_ends(&mut self, now: Millis, lists: &Lists, out: &mut Vec<AgentOutput>) {
        let life = self.life();
        let first = self.ends.len();
        for (number, task, run, how) in &lists.ended {
            if *number <= self.known_end {
                continue;
            }
            self.known_end = *number;
            let held = self.runs.remove(&(*task, *run));
            self.ends.push(HeldEnd {
                number: *number,
                end: RunEnd {
                    task: *task,
                    run: *run,
                    outcome: *how,
                },
                owner: held.map_or(Owner::of_unknown(*run), |held| held.owner),
                at: now,
                recorded: false,
            });
        }
        self.others_due |= first < self.ends.len();
        let mut by_owner: Table<Owner, Vec<(u64, RunEnd)>> = Table::default();
        for end in &self.ends[first..] {
            let rows = by_owner.or_insert_with(end.owner, Vec::new);
            rows.push((end.number, end.end));
        }
        for (owner, ends) in by_owner.iter() {
            let ends = ends.clone();
            self.report(*owner, AgentReport::Ends { life, ends }, out);
        }
    }

    pub(crate) fn take_running(
        &mut self,
        now: Millis,
        sent: Millis,
        lists: &Lists,
        out: &mut Vec<AgentOutput>,
    ) {
        let mut started = Vec::new();
        for (task, run, percent) in &lists.running {
            let key = (*task, *run);
            let held = self.runs.or_insert_with(key, || Held::found(*run, now));
            held.percent = *percent;
            held.answered = true;
            held.listed = true;
            if matches!(held.phase, Phase::Starting | Phase::Doubt) {
                held.enter(Phase::Running, now);
                started.push((key, held.owner));
            }
        }
        for ((task, run), owner) in started {
            self.report(owner, AgentReport::Started(task, run), out);
        }
        self.take_missing(now, sent, lists, out);
    }

    /// Settles the runs that a look, begun at `sent`, did not list.
    pub(crate) fn take_missing(
        &mut self,
        now: Millis,
        sent: Millis,
        lists: &Lists,
        out: &mut Vec<AgentOutput>,
    ) {
        let mut revoke = Vec::new();
        let mut never = Vec::new();
        for (key, held) in self.runs.iter() {
            let listed = lists
                .running
                .iter()
                .any(|(task, run, _)| (*task, *run) == *key);
            if listed || held.at >= sent {
                continue;
            }
            match held.phase {
                Phase::Doubt if self.guards.on(JobGuard::Revoke) => revoke.push(*key),
                Phase::Doubt | Phase::Running | Phase::Stopped => never.push(*key),
                Phase::Starting | Phase::Stopping => {}
            }
        }
        for key in revoke {
            // It may still arrive; a stopped run is refused when it does.
            self.stop(now, key, out);
        }
        for key in never {
            self.not_started(key, Denial::Unwell, "agent", out);
        }
    }
}
