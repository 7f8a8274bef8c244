//! Calls that a control instance answers while it leads: operators' and callers'.

use super::call::{Call, CallReply, ClientAction};
use super::pending_reply::{Origin, PendingReply, reply_message};
use super::replica::{Replica, ReplicaOutput};
use super::replicated_state::{Job, StateCommand};
use super::routes::{self, Target};
use super::spec::{JobId, JobStatus, OperatorConfig, Queue};
use crate::core::clock::Millis;
use crate::events;

/// Retry delay given to callers whose call was not accepted, in milliseconds.
pub(crate) const RETRY_AFTER: Millis = Millis(1_000);

/// How long a change is held back that comes before the group has had its voters: within the time
/// that operators wait for an answer, and longer than a group needs for its first voters.
const HOLD_TIME: Millis = Millis(1_500);
/// Most changes that are held back, as each may be large.
const MAX_HELD: usize = 4;

impl Replica {
    pub(crate) fn on_call(
        &mut self,
        now: Millis,
        origin: Origin,
        call: Call,
        out: &mut Vec<ReplicaOutput>,
    ) {
        if self.dispatcher.is_none() || !self.raft.holds_lease(now) {
            out.push(reply_message(origin, CallReply::NotLeader));
            return;
        }
        if self.is_too_early(&call) {
            self.hold(now, origin, call, out);
            return;
        }
        let reply = match call {
            Call::Client { host, path, action } => {
                self.on_client_call(origin, &host, &path, action)
            }
            Call::PutConfig(None) => {
                Some(CallReply::Invalid("not a valid configuration".to_owned()))
            }
            Call::PutConfig(Some(config)) => self.put_config(origin, config),
            Call::GetConfig => Some(match &self.state.config {
                Some(config) => CallReply::Document(config.document.clone()),
                None => CallReply::NoConfig,
            }),
            Call::Evacuate(data_centre, evacuated) => {
                events::EVACUATE.log(format_args!("data_centre={data_centre} out={evacuated}"));
                self.batch.push((
                    StateCommand::Evacuate(data_centre, evacuated),
                    PendingReply::Call(origin),
                ));
                None
            }
        };
        if let Some(reply) = reply {
            out.push(reply_message(origin, reply));
        }
    }

    /// True once the group has had the voters that the tolerated losses need. It stays true when
    /// the voters become fewer, as when one that is gone makes place for a newcomer: a machine that
    /// never comes back must not block changes.
    fn has_enough_voters(&self) -> bool {
        self.state.most_voters >= self.needed_voters || self.raft.has_had_voters(self.needed_voters)
    }

    /// True for an operator's change that is not in force yet, before the group has had the voters
    /// that it needs.
    fn is_too_early(&self, call: &Call) -> bool {
        let is_new = match call {
            Call::PutConfig(Some(config)) => {
                let current = self.state.config.as_ref();
                current.is_none_or(|current| current.version < config.version)
            }
            Call::Evacuate(data_centre, evacuated) => {
                self.state.evacuated.contains(data_centre) != *evacuated
            }
            Call::PutConfig(None) | Call::GetConfig | Call::Client { .. } => false,
        };
        is_new && !self.has_enough_voters()
    }

    /// Holds a change back until the group has had its voters, or refuses it if too many are held.
    fn hold(&mut self, now: Millis, origin: Origin, call: Call, out: &mut Vec<ReplicaOutput>) {
        if self.held.len() >= MAX_HELD {
            out.push(reply_message(origin, self.refuse_early()));
            return;
        }
        self.held.push_back((now + HOLD_TIME, origin, call));
    }

    /// Goes on with the changes that are held back, or answers them.
    pub(crate) fn release_held(&mut self, now: Millis, out: &mut Vec<ReplicaOutput>) {
        let leads = self.dispatcher.is_some() && self.raft.holds_lease(now);
        for (until, origin, call) in std::mem::take(&mut self.held) {
            if !leads || self.has_enough_voters() {
                self.on_call(now, origin, call, out);
            } else if now >= until {
                out.push(reply_message(origin, self.refuse_early()));
            } else {
                self.held.push_back((until, origin, call));
            }
        }
    }

    /// Answers a change that comes too early: nothing of it is stored, and it is to be sent again.
    fn refuse_early(&self) -> CallReply {
        events::REFUSED.log(format_args!(
            "way=voters voters={} needed={}",
            self.raft.voters().len(),
            self.needed_voters
        ));
        CallReply::Refused(RETRY_AFTER)
    }

    pub(crate) fn put_config(
        &mut self,
        origin: Origin,
        config: OperatorConfig,
    ) -> Option<CallReply> {
        let current = self.state.config.as_ref();
        if current.is_some_and(|current| current.version > config.version) {
            return Some(CallReply::Done);
        }
        let pending = PendingReply::Config(origin, config.version, config.document.clone());
        self.batch.push((StateCommand::Config(config), pending));
        None
    }

    pub(crate) fn on_client_call(
        &mut self,
        origin: Origin,
        host: &str,
        path: &str,
        action: ClientAction,
    ) -> Option<CallReply> {
        let Some(config) = &self.state.config else {
            return Some(CallReply::NoConfig);
        };
        match (routes::find(config, host, path), action) {
            (Target::Unknown, _) => Some(CallReply::NoQueue),
            (Target::Queue(queue), ClientAction::Query) => {
                Some(CallReply::Pending(self.count_pending(queue)))
            }
            (Target::Job(_, id), ClientAction::Query) => Some(self.job_status(id)),
            (Target::Job(_, id), ClientAction::Cancel) => self.cancel(origin, id),
            (Target::Job(queue, id), ClientAction::Submit(Some(spec))) => {
                if self.state.jobs.get(&id).is_some() {
                    return Some(CallReply::Done);
                }
                if let Some(feature) = &spec.unsupported {
                    events::REFUSED.log(format_args!("job={id} unsupported={feature}"));
                    return Some(CallReply::Refused(RETRY_AFTER));
                }
                if spec.transient {
                    // The entry did not have a configuration yet, so it forwarded a transient job.
                    return Some(CallReply::NotLeader);
                }
                if !self.has_enough_voters() {
                    return Some(self.refuse_early());
                }
                let command =
                    StateCommand::AcceptFor(queue.place(), id, queue.settings.clone(), spec);
                self.accept(origin, id, command);
                None
            }
            (_, ClientAction::Submit(_)) => Some(CallReply::Invalid("not a job".to_owned())),
            (Target::NotAJob(_), _) | (Target::Queue(_), ClientAction::Cancel) => {
                Some(CallReply::NoJob)
            }
        }
    }

    /// Proposes to accept a job. A further submission before the commit waits for the same log
    /// entry.
    pub(crate) fn accept(&mut self, origin: Origin, id: JobId, command: StateCommand) {
        let proposed = self.pending.iter_mut().map(|(_, pending)| pending);
        let batched = self.batch.iter_mut().map(|(_, pending)| pending);
        for pending in proposed.chain(batched) {
            if let PendingReply::Accept(known, origins) = pending
                && *known == id
            {
                origins.push(origin);
                return;
            }
        }
        self.batch
            .push((command, PendingReply::Accept(id, vec![origin])));
    }

    pub(crate) fn cancel(&mut self, origin: Origin, id: JobId) -> Option<CallReply> {
        match self.state.jobs.get(&id) {
            None if !self.is_accepting(id) => Some(CallReply::NoJob),
            Some(Job::Ended(_)) => Some(CallReply::Done),
            None | Some(Job::Open(_)) => {
                events::CANCELLED.log(format_args!("job={id}"));
                self.batch
                    .push((StateCommand::Cancel(id), PendingReply::Call(origin)));
                None
            }
        }
    }

    /// True while the acceptance of a job waits to be proposed or committed. What is proposed from now
    /// on comes after it in the log.
    fn is_accepting(&self, id: JobId) -> bool {
        let proposed = self.pending.iter().map(|(_, pending)| pending);
        let mut all = proposed.chain(self.batch.iter().map(|(_, pending)| pending));
        all.any(|pending| matches!(pending, PendingReply::Accept(known, _) if *known == id))
    }

    pub(crate) fn job_status(&self, id: JobId) -> CallReply {
        match self.state.jobs.get(&id) {
            None => CallReply::NoJob,
            Some(Job::Ended(status)) => CallReply::State(*status),
            Some(Job::Open(_)) => {
                let started = self.dispatcher.as_ref().is_some_and(|l| l.has_started(id));
                CallReply::State(if started {
                    JobStatus::Running
                } else {
                    JobStatus::Queued
                })
            }
        }
    }

    /// Number of stored jobs of a queue of which no task has started.
    pub(crate) fn count_pending(&self, queue: &Queue) -> u64 {
        let Some(dispatcher) = &self.dispatcher else {
            return 0;
        };
        dispatcher.count_pending(&self.state, queue)
    }
}
