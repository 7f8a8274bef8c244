//! What the backend server's answers tell its agent.

use super::agent::{PendingCall, ServerAgent, ServerAgentOutput};
use super::agent_run::{AgentRun, RetainedEnd, RunPhase};
use super::dispatcher_link::Owner;
use super::guard::JobGuard;
use super::replicated_state::RunEnd;
use super::server_call::{CallId, HoldReply, ServerReply};
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

impl ServerAgent {
    pub(crate) fn on_reply(
        &mut self,
        now: Millis,
        id: CallId,
        reply: ServerReply,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        if reply == ServerReply::Fenced {
            self.min_token = self.term.0.max(self.min_token) + 1;
            events::FENCED.log(format_args!(
                "term={} floor={}",
                self.term.0, self.min_token
            ));
        }
        match pending {
            PendingCall::Start(task, run) => self.on_start_reply(now, (task, run), &reply, out),
            PendingCall::Stop(task, run) => {
                if let Some(held) = self.runs.get_mut(&(task, run))
                    && reply == ServerReply::Stopped
                {
                    held.enter(RunPhase::Stopped, now);
                    // A start without an answer is settled by the next look.
                    if !held.known_started {
                        self.send_hold(now, Millis(0), out);
                    }
                }
            }
            PendingCall::Hold { sent, life, term } => {
                self.open_holds = self.open_holds.saturating_sub(1);
                if life == self.life() {
                    self.on_hold_reply(now, sent, term, reply, out);
                }
            }
        }
    }

    pub(crate) fn on_start_reply(
        &mut self,
        now: Millis,
        key: (TaskId, RunId),
        reply: &ServerReply,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        let Some(held) = self.runs.get_mut(&key) else {
            return;
        };
        let owner = held.owner;
        match reply {
            ServerReply::Started { .. } => {
                held.known_started = true;
                if held.phase == RunPhase::Starting {
                    held.enter(RunPhase::Running, now);
                }
                self.report(owner, AgentReport::Started(key.0, key.1), out);
            }
            ServerReply::Denied(reason) => self.drop_not_started(key, *reason, "server", out),
            ServerReply::OtherInstance | ServerReply::Fenced => {
                self.drop_not_started(key, Denial::Closed, "server", out);
            }
            ServerReply::NoAnswer | ServerReply::Stopped | ServerReply::HoldReply(_) => {
                events::START_UNANSWERED.log(format_args!("task={} run={}", key.0, key.1.0));
                self.unanswered_starts.push((now, key.0, key.1));
                if held.phase == RunPhase::Starting {
                    held.enter(RunPhase::Unanswered, now);
                }
                self.send_hold(now, Millis(0), out);
            }
        }
    }

    /// A run is not here and never will be.
    pub(crate) fn drop_not_started(
        &mut self,
        key: (TaskId, RunId),
        reason: Denial,
        by: &str,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        let Some(held) = self.runs.remove(&key) else {
            return;
        };
        self.usage_report_due = true;
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

    pub(crate) fn on_hold_reply(
        &mut self,
        now: Millis,
        sent: Millis,
        term: Term,
        reply: ServerReply,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        let ServerReply::HoldReply(lists) = reply else {
            self.next_hold_at = now + HOLD_RETRY;
            return;
        };
        let life = self.life();
        if lists
            .started_at
            .is_some_and(|born| born != life && life > 1)
        {
            let running = lists.running.iter().map(|(task, run, _)| (*task, *run));
            let running: Vec<_> = running.collect();
            if self.has_revoked(now, &running, out) {
                self.stop_unanswered(now, out);
                self.lose_server("another life answered", out);
                if let Some(beat) = self.next_server.take() {
                    self.on_heartbeat(now, beat, out);
                }
            } else {
                self.next_hold_at = now + HOLD_PAUSE;
            }
            return;
        }
        self.last_hold_answered_at = now;
        self.server_clock = Some((lists.clock, now));
        let before = if let Some((_, term)) = self.listed_under {
            term
        } else {
            // What an earlier life of this agent started may have a whole lease.
            self.raise_lease_bound(now, self.times.max_lease);
            Term(0)
        };
        self.listed_under = Some((life, term.max(before)));
        self.record_new_ends(now, &lists, out);
        // Answers may overtake each other; an older one lists runs that are over.
        if sent >= self.listed_as_of {
            self.listed_as_of = sent;
            self.update_running(now, sent, &lists, out);
        }
        self.assign_unclaimed();
        self.report_inventories(out);
        if !self.ends.is_empty() {
            self.next_hold_at = now + HOLD_PAUSE;
        } else if self.open_holds == 0 {
            self.send_hold(now, self.hold_wait(), out);
        }
    }

    pub(crate) fn record_new_ends(
        &mut self,
        now: Millis,
        lists: &HoldReply,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        let life = self.life();
        let first = self.ends.len();
        for (number, task, run, how) in &lists.ended {
            if *number <= self.last_known_end {
                continue;
            }
            self.last_known_end = *number;
            let held = self.runs.remove(&(*task, *run));
            self.ends.push(RetainedEnd {
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
        self.usage_report_due |= first < self.ends.len();
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

    pub(crate) fn update_running(
        &mut self,
        now: Millis,
        sent: Millis,
        lists: &HoldReply,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        let mut started = Vec::new();
        for (task, run, percent) in &lists.running {
            let key = (*task, *run);
            let held = self.runs.or_insert_with(key, || AgentRun::found(*run, now));
            held.percent = *percent;
            held.known_started = true;
            held.listed = true;
            if matches!(held.phase, RunPhase::Starting | RunPhase::Unanswered) {
                held.enter(RunPhase::Running, now);
                started.push((key, held.owner));
            }
        }
        for ((task, run), owner) in started {
            self.report(owner, AgentReport::Started(task, run), out);
        }
        self.settle_unlisted_runs(now, sent, lists, out);
    }

    /// Settles the runs that a look, begun at `sent`, did not list.
    pub(crate) fn settle_unlisted_runs(
        &mut self,
        now: Millis,
        sent: Millis,
        lists: &HoldReply,
        out: &mut Vec<ServerAgentOutput>,
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
                RunPhase::Unanswered if self.guards.on(JobGuard::Revoke) => revoke.push(*key),
                RunPhase::Unanswered | RunPhase::Running | RunPhase::Stopped => never.push(*key),
                RunPhase::Starting | RunPhase::Stopping => {}
            }
        }
        for key in revoke {
            // It may still arrive; a stopped run is refused when it does.
            self.stop(now, key, out);
        }
        for key in never {
            self.drop_not_started(key, Denial::Unwell, "agent", out);
        }
    }
}
