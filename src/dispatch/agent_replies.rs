//! How an agent processes the answers of its backend server.

use super::agent::{PendingCall, ServerAgent, ServerAgentOutput};
use super::agent_calls::MAX_CALL_DELAY;
use super::agent_crashes::Loss;
use super::agent_run::{AgentRun, EndList, RetainedEnd, RunPhase};
use super::dispatcher_link::Owner;
use super::guard::JobGuard;
use super::replicated_state::RunEnd;
use super::server_call::{CallId, HoldReply, ServerReply};
use super::spec::{RunId, RunOutcome, TaskId};
use super::wire::{AgentReport, Denial};
use crate::control::log::Term;
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::events;

/// Pause between hold calls while ends wait to be recorded. The backend server lists them again in
/// each answer, without waiting for another end.
const HOLD_PAUSE: Millis = Millis(6);
/// Pause after a hold call that failed.
const HOLD_RETRY_PAUSE: Millis = Millis(40);

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
        self.answer_times.ended(now, id, &reply);
        self.settle_lease(id, &reply);
        if reply == ServerReply::Fenced {
            self.min_token = self.term.0.max(self.min_token) + 1;
            events::FENCED.log(format_args!(
                "term={} floor={}",
                self.term.0, self.min_token
            ));
        }
        self.watch_process(now, &reply, out);
        match pending {
            PendingCall::Start(task, run) => self.on_start_reply(now, (task, run), &reply, out),
            PendingCall::Stop(task, run) => {
                if let Some(agent_run) = self.runs.get_mut(&(task, run))
                    && reply == ServerReply::Stopped
                {
                    agent_run.enter(RunPhase::Stopped, now);
                    // If its start got no answer, the next hold call shows whether it ran.
                    if !agent_run.known_started {
                        self.send_hold(now, Millis(0), out);
                    }
                }
            }
            PendingCall::Hold {
                sent_at,
                life,
                term,
            } => {
                self.open_holds = self.open_holds.saturating_sub(1);
                if reply == ServerReply::OtherInstance && life == self.life() {
                    self.replace_server(now, out);
                } else if life == self.life() {
                    self.on_hold_reply(now, (id, sent_at), term, reply, out);
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
        let Some(agent_run) = self.runs.get_mut(&key) else {
            return;
        };
        let owner = agent_run.owner;
        match reply {
            ServerReply::Started { .. } => {
                agent_run.known_started = true;
                agent_run.answered_at = Some(now);
                if agent_run.phase == RunPhase::Starting {
                    agent_run.enter(RunPhase::Running, now);
                }
                self.report(owner, AgentReport::Started(key.0, key.1), out);
            }
            ServerReply::Denied(reason) => {
                self.drop_not_started(now, key, *reason, "server", out);
            }
            ServerReply::OtherInstance | ServerReply::Fenced | ServerReply::Unreachable => {
                self.drop_not_started(now, key, Denial::Closed, "server", out);
            }
            ServerReply::Disconnected
            | ServerReply::NoAnswer
            | ServerReply::Stopped
            | ServerReply::HoldReply(_) => {
                events::START_UNANSWERED.log(format_args!("task={} run={}", key.0, key.1.0));
                self.unanswered_starts.push((now, key.0, key.1));
                // A call whose connection has ended was executed by the process that accepted it, or
                // was not. One that was given up may still arrive.
                let is_settled = *reply == ServerReply::Disconnected;
                let delay = if is_settled {
                    Millis(0)
                } else {
                    MAX_CALL_DELAY
                };
                agent_run.may_begin_until = now + delay;
                if agent_run.phase == RunPhase::Starting {
                    agent_run.enter(RunPhase::Unanswered, now);
                }
                self.forget_old_starts(now);
                self.send_hold(now, Millis(0), out);
            }
        }
    }

    /// Drops a run that the backend server does not have and can no longer start, and reports that
    /// it did not start.
    pub(crate) fn drop_not_started(
        &mut self,
        now: Millis,
        key: (TaskId, RunId),
        reason: Denial,
        by: &str,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        let Some(agent_run) = self.runs.remove(&key) else {
            return;
        };
        self.usage_report_due = true;
        self.log_run_over(now, key, &agent_run, &reason);
        let (task, run) = key;
        events::START_DENIED.log(format_args!(
            "task={task} run={} owner={:?} by={by} reason={reason:?} phase={:?}",
            run.0, agent_run.owner, agent_run.phase
        ));
        self.report(
            agent_run.owner,
            AgentReport::NotStarted { task, run, reason },
            out,
        );
    }

    pub(crate) fn on_hold_reply(
        &mut self,
        now: Millis,
        (id, sent_at): (CallId, Millis),
        term: Term,
        reply: ServerReply,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        let ServerReply::HoldReply(listing) = reply else {
            self.next_hold_at = now + HOLD_RETRY_PAUSE;
            if self.may_have_just_ended(&reply) {
                self.send_hold(now, Millis(0), out);
            }
            return;
        };
        let life = self.life();
        if listing
            .started_at
            .is_some_and(|started_at| started_at != life && life > 1)
        {
            // Another incarnation of the backend server has answered.
            let running = listing.running.iter().map(|(task, run, _)| (*task, *run));
            let running: Vec<_> = running.collect();
            if self.revoke_unlisted_starts(now, &running, out) {
                self.stop_unanswered(now, out);
                self.replace_server(now, out);
            } else {
                self.next_hold_at = now + HOLD_PAUSE;
            }
            return;
        }
        if let Some((announced_at, other)) = self.next_server.take_if(|(at, _)| *at <= sent_at) {
            events::OTHER_SERVER.log(format_args!(
                "server={:?} life={life} answers, age_ms={} other={:?}",
                self.server.as_ref().map(|s| &s.id),
                now.since(announced_at).0,
                other.id
            ));
        }
        self.last_hold_answered_at = now;
        self.recover_process(out);
        self.server_clock = Some((listing.clock, now));
        let former_term = if let Some((_, term)) = self.listed_under {
            term
        } else {
            // An earlier incarnation of this agent may have given a full lease before its end.
            let until = self.unknown_runs_until.unwrap_or(now);
            self.lease_expires_at = self.lease_expires_at.max(until);
            Term(0)
        };
        let is_outdated = self.is_outdated(id, &listing);
        if self.listed_under.is_some() || !(listing.may_have_more_ends || is_outdated) {
            self.listed_under = Some((life, term.max(former_term)));
        }
        self.record_new_ends(now, &listing, out);
        // Answers may arrive out of order; an older one may list runs that have ended since.
        if sent_at >= self.listed_as_of && !is_outdated {
            self.listed_as_of = sent_at;
            self.update_end_list(&listing);
            self.update_running(now, sent_at, &listing, out);
        }
        self.assign_inherited();
        self.report_inventories(out);
        self.report_early_ends(out);
        if self.has_unconfirmed_ends() {
            self.next_hold_at = now + HOLD_PAUSE;
        } else if self.open_holds == 0 {
            self.send_hold(now, self.hold_wait(), out);
        }
    }

    /// True if a list may be from before the newest known end. The backend server may execute calls in
    /// another order than they were made, and its answers may overtake each other.
    fn is_outdated(&self, id: CallId, listing: &HoldReply) -> bool {
        let newest = listing.ended.last().map_or(0, |(number, ..)| *number);
        id <= self.end_call && newest < self.last_known_end
    }

    /// Stores whether the newest list of ends is whole, and logs when that changes.
    fn update_end_list(&mut self, listing: &HoldReply) {
        let list = if listing.may_have_more_ends {
            EndList::Cut
        } else {
            EndList::Complete
        };
        if list != self.end_list {
            let first = self.ends.iter().find(|end| !end.recorded);
            events::END_LIST.log(format_args!(
                "life={} list={list:?} runs={} unconfirmed={} first={:?} owner={:?}",
                self.life(),
                self.runs.len(),
                self.last_known_end.saturating_sub(self.acknowledged_end),
                first.map(|end| end.number),
                first.map(|end| end.owner)
            ));
        }
        self.end_list = list;
    }

    /// Another incarnation has answered in place of the present one, which has ended. The one that was
    /// announced takes its place.
    fn replace_server(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        self.discard_server(now, Loss::OtherLife, out);
        if let Some((_, heartbeat)) = self.next_server.take() {
            self.on_heartbeat(now, heartbeat, out);
        }
    }

    pub(crate) fn record_new_ends(
        &mut self,
        now: Millis,
        listing: &HoldReply,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        let life = self.life();
        let first_new = self.ends.len();
        for (number, task, run, outcome) in &listing.ended {
            if *number <= self.last_known_end {
                continue;
            }
            self.last_known_end = *number;
            let agent_run = self.runs.remove(&(*task, *run));
            if let Some(agent_run) = &agent_run {
                self.log_run_over(now, (*task, *run), agent_run, outcome);
                if *outcome == RunOutcome::Done {
                    self.learn_pace(now, agent_run);
                }
            }
            self.ends.push(RetainedEnd {
                number: *number,
                end: RunEnd {
                    task: *task,
                    run: *run,
                    outcome: *outcome,
                },
                owner: agent_run.map_or(Owner::of_inherited_run(*run), |agent_run| agent_run.owner),
                received_at: now,
                recorded: false,
            });
        }
        if first_new < self.ends.len() {
            self.usage_report_due = true;
            self.end_call = self.last_call;
        }
        let mut by_owner: Table<Owner, Vec<(u64, RunEnd)>> = Table::default();
        for end in &self.ends[first_new..] {
            let rows = by_owner.or_insert_with(end.owner, Vec::new);
            rows.push((end.number, end.end));
        }
        if first_new < self.ends.len() && !self.offers.is_idle() {
            // Whose runs ended must know first what is reserved for others, or it would order again.
            self.offers.set_due();
            self.settle_offers(now, out);
            for (owner, _) in by_owner.iter() {
                self.report_usage_to(*owner, out);
            }
        }
        for (owner, ends) in by_owner.iter() {
            let ends = ends.clone();
            self.report(*owner, AgentReport::Ends { life, ends }, out);
        }
    }

    pub(crate) fn update_running(
        &mut self,
        now: Millis,
        sent_at: Millis,
        listing: &HoldReply,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        let mut started = Vec::new();
        for (task, run, percent) in &listing.running {
            let key = (*task, *run);
            let agent_run = self
                .runs
                .or_insert_with(key, || AgentRun::inherited(*run, now));
            agent_run.percent = *percent;
            agent_run.listed_at = sent_at;
            agent_run.known_started = true;
            agent_run.listed = true;
            agent_run.listed_as_of = sent_at;
            if matches!(agent_run.phase, RunPhase::Starting | RunPhase::Unanswered) {
                agent_run.enter(RunPhase::Running, now);
                started.push((key, agent_run.owner));
            }
        }
        for ((task, run), owner) in started {
            self.report(owner, AgentReport::Started(task, run), out);
        }
        self.settle_unlisted_runs(now, sent_at, listing, out);
    }

    /// Decides about the runs that the answer to the hold call sent at `sent_at` did not list. A run
    /// whose start got no answer may still start, so it is stopped. A running or stopped run is
    /// dropped, unless its end may be one of those that the list does not hold yet. An open start or
    /// stop call is left to its answer or to a retry.
    pub(crate) fn settle_unlisted_runs(
        &mut self,
        now: Millis,
        sent_at: Millis,
        listing: &HoldReply,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        let mut running: Vec<_> = listing.running.iter().map(|(t, r, _)| (*t, *r)).collect();
        running.sort_unstable();
        let mut revoke = Vec::new();
        let mut gone = Vec::new();
        for (key, agent_run) in self.runs.iter() {
            if running.binary_search(key).is_ok() || agent_run.changed_at >= sent_at {
                continue;
            }
            match agent_run.phase {
                RunPhase::Unanswered if self.guards.on(JobGuard::Revoke) => revoke.push(*key),
                _ if listing.may_have_more_ends => {}
                RunPhase::Unanswered | RunPhase::Running | RunPhase::Stopped => gone.push(*key),
                RunPhase::Starting | RunPhase::Stopping => {}
            }
        }
        for key in revoke {
            // The start may still arrive; the backend server refuses it once the run is stopped.
            self.stop(now, key, out);
        }
        for key in gone {
            self.drop_not_started(now, key, Denial::Unwell, "agent", out);
        }
    }
}
