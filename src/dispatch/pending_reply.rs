//! Calls that are answered once their log entry is committed, and where the answers go.

use super::call::CallReply;
use super::replica::ReplicaOutput;
use super::spec::JobId;
use super::wire::AcceptorMessage;
use super::worker::SessionId;

/// Where the reply to a call goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// To an entry's session, with the number that the entry gave the call.
    Session(SessionId, u64),
    /// To a call that this process received itself.
    Local(u64),
}

/// The replies to send when a proposed log entry is committed.
#[derive(Debug)]
pub(crate) enum PendingReply {
    None,
    Call(Origin),
    /// The reply to a new configuration depends on the configuration in force once the entry is
    /// applied.
    Config(Origin, u64, Vec<u8>),
    Accept(JobId, Vec<Origin>),
}

/// Sends `reply` to every call that waits for the log entry.
pub(crate) fn send_replies(pending: PendingReply, reply: &CallReply, out: &mut Vec<ReplicaOutput>) {
    match pending {
        PendingReply::None => {}
        PendingReply::Call(origin) | PendingReply::Config(origin, ..) => {
            out.push(reply_message(origin, reply.clone()));
        }
        PendingReply::Accept(_, origins) => {
            out.extend(
                origins
                    .into_iter()
                    .map(|origin| reply_message(origin, reply.clone())),
            );
        }
    }
}

/// Addresses a reply to where its call came from.
pub(crate) fn reply_message(origin: Origin, reply: CallReply) -> ReplicaOutput {
    match origin {
        Origin::Session(session, number) => {
            ReplicaOutput::Message(session, AcceptorMessage::Reply(number, reply))
        }
        Origin::Local(token) => ReplicaOutput::Reply(token, reply),
    }
}
