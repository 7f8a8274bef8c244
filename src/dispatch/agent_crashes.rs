//! Crashes of an agent's backend server: which runs had begun there, and which dispatchers know.

use super::agent::{ServerAgent, ServerAgentOutput, list_tasks};
use super::agent_run::AgentRun;
use super::dispatcher_link::Owner;
use super::server_call::ServerReply;
use super::spec::{RunId, TaskId};
use super::wire::{AgentReport, Denial, Evidence};
use crate::core::clock::Millis;
use crate::events;

/// A dispatcher that connects within this time learns of a crash that it missed: entries that
/// start, and a leader that is found after an outage.
const KEEP_CRASH: Millis = Millis(60_000);
/// Largest number of crashes kept, and of jobs with evidence against their queues.
const MAX_CRASHES: usize = 16;
/// Entries that connect within this time learn of evidence against a queue; longer than a queue is
/// isolated without another crash.
const KEEP_EVIDENCE: Millis = Millis(10_000);
/// Calls in a row without a connection, after which the process has probably ended.
const MAX_UNREACHABLE: u32 = 2;

type RunKeys = Vec<(TaskId, RunId)>;

/// Why an agent considers its backend server's incarnation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Loss {
    /// It said that it leaves.
    Left,
    /// Another incarnation has answered a call.
    OtherLife,
}

#[derive(Debug, Clone)]
struct Crash {
    at: Millis,
    life: u64,
    runs: RunKeys,
    unanswered: RunKeys,
}

impl Crash {
    fn report(&self) -> AgentReport {
        AgentReport::Crashed {
            life: self.life,
            runs: self.runs.clone(),
            unanswered: self.unanswered.clone(),
        }
    }
}

/// Recent crashes, and whether the process still runs.
#[derive(Debug, Default)]
pub(crate) struct CrashLog {
    recent: Vec<Crash>,
    evidence: Vec<(Millis, Evidence)>,
    // Calls in a row without a connection.
    unreachable: u32,
    // The last hold call's connection was closed before the answer.
    broken: bool,
    // The present incarnation accepts no connections.
    down: bool,
    // Its runs have been dropped, and reported with its crash.
    dropped: bool,
}

impl CrashLog {
    /// True while the present incarnation accepts no connections.
    pub(crate) fn is_down(&self) -> bool {
        self.down
    }

    /// Forgets old crashes and evidence.
    pub(crate) fn tick(&mut self, now: Millis) {
        self.recent.retain(|crash| now.since(crash.at) < KEEP_CRASH);
        self.evidence
            .retain(|(at, _)| now.since(*at) < KEEP_EVIDENCE);
    }

    /// Keeps the latest evidence of a job, unless it says that the job is not to blame.
    fn keep_evidence(&mut self, now: Millis, evidence: &Evidence) {
        self.evidence.retain(|(_, known)| known.job != evidence.job);
        if evidence.crashes > 0 {
            if self.evidence.len() == MAX_CRASHES {
                self.evidence.remove(0);
            }
            self.evidence.push((now, evidence.clone()));
        }
    }
}

impl ServerAgent {
    /// Reports the crash of the present incarnation of the backend server, which another one has
    /// replaced. One that had announced its end has not crashed.
    pub(crate) fn report_crash(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        self.crash_log.down = false;
        self.crash_log.unreachable = 0;
        let (runs, unanswered) = self.split_runs();
        self.crash_log.dropped = false;
        self.log_crash(now, runs, unanswered, out);
    }

    /// The runs that are known to have started, and those whose start was not answered. Without the
    /// runs that have been dropped, a start that was beside them would seem to have been alone.
    fn split_runs(&self) -> (RunKeys, RunKeys) {
        let mut runs = Vec::new();
        let mut unanswered = Vec::new();
        for (key, agent_run) in self.runs.iter() {
            if agent_run.known_started {
                runs.push(*key);
            } else if !self.crash_log.dropped {
                unanswered.push(*key);
            }
        }
        (runs, unanswered)
    }

    /// Learns from an answer, or the lack of one, whether the backend server can be used. A process
    /// that accepts no connections may still run, with a full backlog or behind a proxy. Its runs count
    /// until the lease has expired.
    pub(crate) fn watch_process(
        &mut self,
        now: Millis,
        reply: &ServerReply,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        match reply {
            ServerReply::Unreachable => self.crash_log.unreachable += 1,
            ServerReply::Disconnected | ServerReply::NoAnswer => {}
            _ => self.crash_log.unreachable = 0,
        }
        let is_leaving = self.server.as_ref().is_none_or(|s| s.leaving);
        if self.crash_log.unreachable < MAX_UNREACHABLE || self.crash_log.down || is_leaving {
            return;
        }
        self.crash_log.down = true;
        events::SERVER_UNREACHABLE.log(format_args!(
            "life={} runs={} lease_ms={} tasks={}",
            self.life(),
            self.runs.len(),
            self.lease_bound().since(now).0,
            list_tasks(self.held_runs())
        ));
        let (runs, unanswered) = self.split_runs();
        self.report_to_informed(&self.unreachable_report(runs, unanswered), out);
    }

    /// Returns true if the backend server should be called again at once, to learn whether its
    /// process has ended. One that keeps closing connections is called at the usual pace.
    pub(crate) fn may_have_just_ended(&mut self, reply: &ServerReply) -> bool {
        let was_broken = std::mem::replace(
            &mut self.crash_log.broken,
            *reply == ServerReply::Disconnected,
        );
        match reply {
            ServerReply::Disconnected => !was_broken,
            ServerReply::Unreachable => !self.crash_log.down,
            _ => false,
        }
    }

    /// Drops the runs of a process that accepts no connections, now that its lease has expired: it
    /// has crashed, or has ended them. A start without an answer may still reach the next incarnation, so
    /// it is kept until that one refuses it, or until it can't arrive any more: the process may never
    /// be replaced.
    pub(crate) fn drop_crashed_runs(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        let is_over = |agent_run: &AgentRun| agent_run.is_over_with_process(now);
        let over = self.runs.iter().filter(|(_, run)| is_over(run)).count();
        let void_ends = self.ends.iter().filter(|end| end.limits_lease()).count();
        if over + void_ends == 0 {
            return;
        }
        let (runs, unanswered) = self.split_runs();
        events::LEASE_LAPSED.log(format_args!(
            "life={} runs={over} ends={void_ends}",
            self.life()
        ));
        self.void_ends();
        for key in &runs {
            if let Some(agent_run) = self.runs.remove(key) {
                self.log_run_over(now, *key, &agent_run, &"LeaseLapsed");
            }
        }
        self.usage_report_due = true;
        // The report names the starts without an answer only once, so that none seems to have been
        // alone there.
        if !self.crash_log.dropped || !runs.is_empty() {
            self.log_crash(now, runs, unanswered, out);
        }
        self.crash_log.dropped = true;
        let rest = self.runs.iter().filter(|(_, run)| is_over(run));
        let rest: Vec<_> = rest.map(|(key, _)| *key).collect();
        for key in rest {
            self.drop_not_started(now, key, Denial::Closed, "lapse", out);
        }
    }

    /// The process answers after all: dispatchers may use the backend server again.
    pub(crate) fn recover_process(&mut self, out: &mut Vec<ServerAgentOutput>) {
        self.crash_log.broken = false;
        self.crash_log.dropped = false;
        if std::mem::take(&mut self.crash_log.down) {
            self.report_to_informed(&AgentReport::Server(self.server.clone()), out);
        }
    }

    fn log_crash(
        &mut self,
        now: Millis,
        runs: RunKeys,
        unanswered: RunKeys,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        let Some(server) = self.server.as_ref().filter(|s| !s.leaving) else {
            return;
        };
        let crash = Crash {
            at: now,
            life: server.life,
            runs,
            unanswered,
        };
        self.report_to_informed(&crash.report(), out);
        if crash.runs.is_empty() && crash.unanswered.is_empty() {
            return;
        }
        if self.crash_log.recent.len() == MAX_CRASHES {
            self.crash_log.recent.remove(0);
        }
        self.crash_log.recent.push(crash);
    }

    /// The runs that the backend server has started, or may have.
    pub(crate) fn held_runs(&self) -> impl Iterator<Item = (TaskId, RunId)> {
        self.runs.iter().map(|(key, _)| *key)
    }

    /// Tells a dispatcher that has just got the inventory that the backend server in it cannot be
    /// reached.
    pub(crate) fn report_if_down(&self, owner: Owner, out: &mut Vec<ServerAgentOutput>) {
        if self.crash_log.is_down() {
            let (runs, unanswered) = self.split_runs();
            let report = self.unreachable_report(runs, unanswered);
            out.push(ServerAgentOutput::Report(owner, report));
        }
    }

    fn unreachable_report(&self, runs: RunKeys, unanswered: RunKeys) -> AgentReport {
        AgentReport::Unreachable {
            life: self.life(),
            runs,
            unanswered,
        }
    }

    /// Passes evidence against a queue on to all dispatchers, also to those that connect later.
    pub(crate) fn pass_evidence(
        &mut self,
        now: Millis,
        evidence: Evidence,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        self.crash_log.keep_evidence(now, &evidence);
        self.report_to_informed(&AgentReport::Blamed(evidence), out);
    }

    /// Tells a dispatcher of the recent crashes, before its inventory shows runs to be missing, and of
    /// the evidence that came with them.
    pub(crate) fn report_recent_crashes(&self, owner: Owner, out: &mut Vec<ServerAgentOutput>) {
        let crashes = self.crash_log.recent.iter().map(Crash::report);
        let evidence = self.crash_log.evidence.iter();
        let evidence = evidence.map(|(_, known)| AgentReport::Blamed(known.clone()));
        for report in crashes.chain(evidence) {
            out.push(ServerAgentOutput::Report(owner, report));
        }
    }
}
