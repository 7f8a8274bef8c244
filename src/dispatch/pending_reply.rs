//! Calls that wait for an entry of the log, and the way back to their callers.

use super::call::CallReply;
use super::replica::ReplicaOutput;
use super::spec::JobId;
use super::wire::AcceptorMessage;
use super::worker::SessionId;

/// Where an answer goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// An entry's session, with its number for the call.
    Session(SessionId, u64),
    /// A call that this process received itself.
    Local(u64),
}

/// What awaits the commit of an entry.
#[derive(Debug)]
pub(crate) enum PendingReply {
    Nobody,
    Call(Origin),
    /// A configuration, whose fate is known once it is applied.
    Config(Origin, u64, Vec<u8>),
    Accept(JobId, Vec<Origin>),
}

/// Answers whoever waits for an entry.
pub(crate) fn settle(waiter: PendingReply, reply: &CallReply, out: &mut Vec<ReplicaOutput>) {
    match waiter {
        PendingReply::Nobody => {}
        PendingReply::Call(origin) | PendingReply::Config(origin, ..) => {
            out.push(answer(origin, reply.clone()))
        }
        PendingReply::Accept(_, origins) => {
            out.extend(
                origins
                    .into_iter()
                    .map(|origin| answer(origin, reply.clone())),
            );
        }
    }
}

/// An answer on its way to where the call came from.
pub(crate) fn answer(origin: Origin, reply: CallReply) -> ReplicaOutput {
    match origin {
        Origin::Session(session, number) => {
            ReplicaOutput::Message(session, AcceptorMessage::Reply(number, reply))
        }
        Origin::Local(token) => ReplicaOutput::Reply(token, reply),
    }
}
