//! Conversions between proto messages and the types of `core` and `control`.

use crate::control::command::{ClaimAnswer, JobOutcome, ProcessRole, Registration};
use crate::core::clock::Millis;
use crate::core::entry_io::ClaimResult;
use crate::core::ids::{DispatchNumber, Generation, Incarnation, JobKey};
use crate::core::job::JobState;
use crate::core::task::{Dispatch, NotRunReason, TaskStatus, Verdict};
use crate::proto;

pub(crate) fn job_to_proto(key: &JobKey) -> proto::JobKey {
    proto::JobKey {
        team: key.team.clone(),
        id: key.id.clone(),
    }
}

pub(crate) fn job_from_proto(key: Option<proto::JobKey>) -> JobKey {
    let key = key.unwrap_or_default();
    JobKey {
        team: key.team,
        id: key.id,
    }
}

pub(crate) fn dispatch_to_proto(d: &Dispatch) -> proto::Dispatch {
    proto::Dispatch {
        number: d.number.0,
        job: Some(job_to_proto(&d.job)),
        task: d.task,
        generation: d.generation.0,
        entry: d.entry.0,
        agent: d.agent.0,
        stamp: d.stamp.0,
        payload: d.payload.clone(),
    }
}

pub(crate) fn dispatch_from_proto(d: proto::Dispatch) -> Dispatch {
    Dispatch {
        number: DispatchNumber(d.number),
        job: job_from_proto(d.job),
        task: d.task,
        generation: Generation(d.generation),
        entry: Incarnation(d.entry),
        agent: Incarnation(d.agent),
        stamp: Millis(d.stamp),
        payload: d.payload,
    }
}

pub(crate) fn verdict_to_proto(v: Verdict) -> proto::Verdict {
    let mut message = proto::Verdict {
        number: v.number.0,
        job: Some(job_to_proto(&v.job)),
        task: v.task,
        generation: v.generation.0,
        agent: v.agent.0,
        ..proto::Verdict::default()
    };
    match v.status {
        TaskStatus::NotRun(reason) => {
            message.set_state(proto::TaskState::NotRun);
            not_run_to_proto(reason).clone_into(&mut message.reason);
        }
        TaskStatus::Queued => message.set_state(proto::TaskState::Queued),
        TaskStatus::Running => message.set_state(proto::TaskState::Running),
        TaskStatus::Done { body, run } => {
            message.set_state(proto::TaskState::Done);
            message.body = body;
            message.run_ms = run.0;
        }
        TaskStatus::Failed { reason, run } => {
            message.set_state(proto::TaskState::Failed);
            message.reason = reason;
            message.run_ms = run.0;
        }
    }
    message
}

pub(crate) fn verdict_from_proto(v: proto::Verdict) -> Verdict {
    let status = match v.state() {
        proto::TaskState::NotRun => TaskStatus::NotRun(not_run_from_proto(&v.reason)),
        proto::TaskState::Queued => TaskStatus::Queued,
        proto::TaskState::Running => TaskStatus::Running,
        proto::TaskState::Done => TaskStatus::Done {
            body: v.body,
            run: Millis(v.run_ms),
        },
        proto::TaskState::Failed => TaskStatus::Failed {
            reason: v.reason,
            run: Millis(v.run_ms),
        },
    };
    Verdict {
        number: DispatchNumber(v.number),
        job: job_from_proto(v.job),
        task: v.task,
        generation: Generation(v.generation),
        agent: Incarnation(v.agent),
        status,
    }
}

/// Names of the reasons on the wire.
const NOT_RUN_REASONS: [(NotRunReason, &str); 10] = [
    (NotRunReason::OtherAgent, "other-agent"),
    (NotRunReason::DeadEntry, "dead-entry"),
    (NotRunReason::OldGeneration, "old-generation"),
    (NotRunReason::WindowClosed, "window-closed"),
    (NotRunReason::NoLease, "no-lease"),
    (NotRunReason::Out, "out"),
    (NotRunReason::NoCredit, "no-credit"),
    (NotRunReason::Withdrawn, "withdrawn"),
    (NotRunReason::Leaving, "leaving"),
    (NotRunReason::Declined, "declined"),
];

fn not_run_to_proto(reason: NotRunReason) -> &'static str {
    let row = NOT_RUN_REASONS.iter().find(|(r, _)| *r == reason);
    row.map_or("withdrawn", |(_, name)| name)
}

/// The reason of a name; an unknown name counts as withdrawn.
fn not_run_from_proto(name: &str) -> NotRunReason {
    let row = NOT_RUN_REASONS.iter().find(|(_, n)| *n == name);
    row.map_or(NotRunReason::Withdrawn, |(r, _)| *r)
}

pub(crate) fn registration_from_proto(request: &proto::JoinRequest) -> Registration {
    let role = match request.role() {
        proto::Role::Entry => ProcessRole::Entry,
        proto::Role::Agent => ProcessRole::Agent,
    };
    Registration {
        role,
        name: request.name.clone(),
        place: request.data_centre.clone(),
        address: request.address.clone(),
        service: request.service.clone(),
    }
}

pub(crate) fn registration_to_proto(
    registration: &Registration,
    request: String,
) -> proto::JoinRequest {
    let role = role_to_proto(registration.role);
    proto::JoinRequest {
        role: role.into(),
        name: registration.name.clone(),
        data_centre: registration.place.clone(),
        address: registration.address.clone(),
        service: registration.service.clone(),
        request,
    }
}

pub(crate) fn role_to_proto(role: ProcessRole) -> proto::Role {
    match role {
        ProcessRole::Entry => proto::Role::Entry,
        ProcessRole::Agent => proto::Role::Agent,
    }
}

pub(crate) fn claim_to_proto(answer: ClaimAnswer) -> proto::ClaimReply {
    let mut reply = proto::ClaimReply::default();
    match answer {
        ClaimAnswer::Granted(generation) => {
            reply.set_state(proto::ClaimState::Granted);
            reply.generation = generation.0;
        }
        ClaimAnswer::Attached { owner, generation } => {
            reply.set_state(proto::ClaimState::Attached);
            reply.owner = owner.0;
            reply.generation = generation.0;
        }
        ClaimAnswer::Conflict => reply.set_state(proto::ClaimState::Conflict),
        ClaimAnswer::DeadOwner => reply.set_state(proto::ClaimState::DeadOwner),
        ClaimAnswer::TakenOver {
            generation,
            agents,
            lost,
            settled,
            age,
        } => {
            reply.set_state(proto::ClaimState::TakenOver);
            reply.generation = generation.0;
            reply.agents = agents.iter().map(|a| a.0).collect();
            reply.lost = lost;
            reply.complete = settled;
            reply.age_ms = age.0;
        }
    }
    reply
}

/// `None` when the entry that claims must join again first, as its incarnation is dead.
pub(crate) fn claim_from_proto(reply: &proto::ClaimReply) -> Option<ClaimResult> {
    let generation = Generation(reply.generation);
    match reply.state() {
        proto::ClaimState::Granted => Some(ClaimResult::Granted(generation)),
        proto::ClaimState::Attached => Some(ClaimResult::Attached),
        proto::ClaimState::Conflict => Some(ClaimResult::Conflict),
        proto::ClaimState::TakenOver => Some(ClaimResult::TakenOver {
            generation,
            agents: reply.agents.iter().map(|a| Incarnation(*a)).collect(),
            lost: reply.lost,
            settled: reply.complete,
            age: Millis(reply.age_ms),
        }),
        proto::ClaimState::DeadOwner | proto::ClaimState::Absent => None,
    }
}

pub(crate) fn outcome_to_proto(state: JobState) -> proto::Outcome {
    match state {
        JobState::Complete => proto::Outcome::Complete,
        JobState::Refused => proto::Outcome::Refused,
        _ => proto::Outcome::Failed,
    }
}

pub(crate) fn outcome_from_proto(outcome: proto::Outcome) -> JobOutcome {
    match outcome {
        proto::Outcome::Complete => JobOutcome::Complete,
        proto::Outcome::Failed => JobOutcome::Failed,
        proto::Outcome::Refused => JobOutcome::Refused,
    }
}
