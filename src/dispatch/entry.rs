//! An entry's calls on their way to the leader and back.
//!
//! A call is sent again, under the same job id, when the leader changes before it
//! answered. It is given up at its deadline.

use super::call::{Call, Reply};
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::events;

/// A call is sent again so long after a leader said that it does not lead.
const RESEND_AFTER: Millis = Millis(40);

/// A link to a control instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LinkId(pub(crate) u64);

/// What reaches the desk.
#[derive(Debug)]
pub(crate) enum DeskInput {
    /// A new call, to be answered before its deadline.
    Call {
        token: u64,
        call: Call,
        deadline: Millis,
    },
    /// The link to the leader, if there is one.
    Leader(Option<LinkId>),
    Reply(u64, Reply),
    /// The caller has left.
    Left(u64),
    Tick,
}

/// What the desk does.
#[derive(Debug, PartialEq)]
pub(crate) enum DeskOutput {
    Send(LinkId, u64, Call),
    /// Nobody waits for this call's answer any more.
    Drop(LinkId, u64),
    Answer(u64, Reply),
}

#[derive(Debug)]
struct Open {
    call: Call,
    deadline: Millis,
    // The link it was last sent over.
    sent: Option<LinkId>,
    // Some instance may have taken it.
    risked: bool,
    again: Millis,
}

/// An entry's open calls.
#[derive(Debug, Default)]
pub(crate) struct Desk {
    open: Table<u64, Open>,
    leader: Option<LinkId>,
}

impl Desk {
    /// Takes one input at `now` and appends what is to be done to `out`.
    pub(crate) fn step(&mut self, now: Millis, input: DeskInput, out: &mut Vec<DeskOutput>) {
        match input {
            DeskInput::Call {
                token,
                call,
                deadline,
            } => {
                let open = Open {
                    call,
                    deadline,
                    sent: None,
                    risked: false,
                    again: now,
                };
                self.open.insert(token, open);
                self.send(now, out);
            }
            DeskInput::Leader(link) => {
                if self.leader != link {
                    self.leader = link;
                    for (_, open) in self.open.iter_mut() {
                        open.sent = None;
                    }
                    self.send(now, out);
                }
            }
            DeskInput::Reply(token, reply) => self.on_reply(now, token, reply, out),
            DeskInput::Left(token) => {
                if let Some(Open {
                    sent: Some(link), ..
                }) = self.open.remove(&token)
                {
                    out.push(DeskOutput::Drop(link, token));
                }
            }
            DeskInput::Tick => {
                self.expire(now, out);
                self.send(now, out);
            }
        }
    }

    fn send(&mut self, now: Millis, out: &mut Vec<DeskOutput>) {
        let Some(link) = self.leader else {
            return;
        };
        for (token, open) in self.open.iter_mut() {
            if open.sent.is_none() && now >= open.again {
                open.sent = Some(link);
                open.risked = true;
                out.push(DeskOutput::Send(link, *token, open.call.clone()));
            }
        }
    }

    fn on_reply(&mut self, now: Millis, token: u64, reply: Reply, out: &mut Vec<DeskOutput>) {
        match reply {
            Reply::NotLeader | Reply::Unknown => {
                if let Some(open) = self.open.get_mut(&token) {
                    open.sent = None;
                    open.again = now + RESEND_AFTER;
                }
            }
            other => {
                if self.open.remove(&token).is_some() {
                    out.push(DeskOutput::Answer(token, other));
                }
            }
        }
    }

    fn expire(&mut self, now: Millis, out: &mut Vec<DeskOutput>) {
        let due = self.open.iter().filter(|(_, open)| now >= open.deadline);
        let due: Vec<_> = due.map(|(token, open)| (*token, open.risked)).collect();
        for (token, risked) in due {
            if let Some(Open {
                sent: Some(link), ..
            }) = self.open.remove(&token)
            {
                out.push(DeskOutput::Drop(link, token));
            }
            events::CALL_EXPIRED.log(format_args!(
                "call={token} sent={risked} leader={:?}",
                self.leader
            ));
            let reply = if risked {
                Reply::Unknown
            } else {
                Reply::Refused(Millis(1_000))
            };
            out.push(DeskOutput::Answer(token, reply));
        }
    }

    /// Number of calls without an answer.
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }
}
