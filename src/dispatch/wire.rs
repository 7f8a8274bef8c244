//! Messages of the sessions between processes: agents to entries, and agents, entries and replicas
//! to control instances.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::call::{Call, CallReply};
use super::load::want::Want;
use super::replicated_state::RunEnd;
use super::spec::{JobId, OperatorConfig, Resources, RunId, TaskId};
use crate::control::log::Term;
use crate::control::message::{Body, Message};
use crate::core::clock::Millis;

/// The process that opened a session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Initiator {
    /// Name of an entry, and the address at which it accepts agents' sessions, encoded like a
    /// replica's id.
    Entry(String, u64),
    /// Name of an agent.
    Agent(String),
    /// Id of a replica of the control group.
    Replica(u64),
}

/// A message from the process that opened the session.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum InitiatorMessage {
    /// The first message on every session.
    Hello(Initiator),
    /// Heartbeat with the sender's clock, in milliseconds, which the acceptor echoes.
    Heartbeat(Millis),
    /// A call from an entry, with the number that the entry gave it.
    Call(u64, Call),
    /// A report from an agent.
    Report(AgentReport),
    /// A message between replicas of the replicated log.
    Peer(Message),
}

/// A message from the control instance or entry that accepted the session.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AcceptorMessage {
    /// Whether this instance leads the control group, its term, and the group's members.
    Status {
        /// True while this instance leads.
        leads: bool,
        /// Current term of this instance.
        term: Term,
        /// Ids of all replicas of the group.
        members: Vec<u64>,
    },
    /// Addresses of the entries to which agents should open sessions.
    Entries(Vec<u64>),
    /// Index in the log, and the data centres that are evacuated as of that index.
    Evacuated(u64, Vec<String>),
    /// The configuration in force, without its document.
    Config(Arc<OperatorConfig>),
    /// Sent by an entry to an agent whose session opens.
    Welcome {
        /// The entry's incarnation number.
        life: u64,
        /// Runs that, as far as the entry knows, the agent holds for it.
        runs: Vec<(TaskId, RunId)>,
    },
    /// Echo of a heartbeat. For an agent it can also renew the grant, the right to act for the
    /// sender; a control instance renews it only while it holds its leader lease.
    HeartbeatAck {
        /// The clock value of the echoed heartbeat, in milliseconds.
        at: Millis,
        /// How long after `at` the agent may act, in milliseconds; `None` if the grant is not
        /// renewed.
        grant: Option<Millis>,
    },
    /// Reply to an entry's call, with the number that the entry gave the call.
    Reply(u64, CallReply),
    /// An order for an agent.
    Order(AgentOrder),
    /// The ends up to a number need no further reports: each is recorded, or needs no record.
    Recorded {
        /// Incarnation number of the backend server.
        life: u64,
        /// The highest number among them.
        upto: u64,
    },
}

/// A message that a session carries.
pub(crate) trait SessionMessage: Serialize {
    /// Returns true if the message may overtake others that wait to be sent. A message may only be
    /// urgent if its receiver relies on none of those that it overtakes; see
    /// `docs/design/links.md`.
    fn is_urgent(&self) -> bool;

    /// Returns true if the message makes earlier ones of its kind useless that still wait. Only one
    /// kind of a session's messages may do so.
    fn replaces_earlier(&self) -> bool;

    /// Name in log lines.
    fn kind(&self) -> &'static str;
}

impl SessionMessage for InitiatorMessage {
    fn is_urgent(&self) -> bool {
        match self {
            Self::Heartbeat(_) => true,
            Self::Peer(message) => !is_bulk(&message.body),
            Self::Hello(_) | Self::Call(..) | Self::Report(_) => false,
        }
    }

    fn replaces_earlier(&self) -> bool {
        false
    }

    fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "Hello",
            Self::Heartbeat(_) => "Heartbeat",
            Self::Call(..) => "Call",
            Self::Report(_) => "Report",
            Self::Peer(_) => "Peer",
        }
    }
}

impl SessionMessage for AcceptorMessage {
    fn is_urgent(&self) -> bool {
        match self {
            // A grant must not overtake orders of an earlier leadership, which would then be
            // executed under it.
            Self::HeartbeatAck { grant, .. } => grant.is_none(),
            Self::Status { .. }
            | Self::Entries(_)
            | Self::Evacuated(..)
            | Self::Config(_)
            | Self::Welcome { .. }
            | Self::Reply(..)
            | Self::Order(_)
            | Self::Recorded { .. } => false,
        }
    }

    fn replaces_earlier(&self) -> bool {
        matches!(self, Self::Config(_))
    }

    fn kind(&self) -> &'static str {
        match self {
            Self::Status { .. } => "Status",
            Self::Entries(_) => "Entries",
            Self::Evacuated(..) => "Evacuated",
            Self::Config(_) => "Config",
            Self::Welcome { .. } => "Welcome",
            Self::HeartbeatAck { .. } => "HeartbeatAck",
            Self::Reply(..) => "Reply",
            Self::Order(_) => "Order",
            Self::Recorded { .. } => "Recorded",
        }
    }
}

/// Returns true if the message carries entries of the log or a snapshot.
pub(crate) fn is_bulk(body: &Body) -> bool {
    match body {
        Body::Append { entries, .. } => !entries.is_empty(),
        Body::Install { .. } | Body::InstallChunk { .. } => true,
        Body::PreVote { .. }
        | Body::PreVoted { .. }
        | Body::Vote { .. }
        | Body::Voted { .. }
        | Body::Appended { .. }
        | Body::ChunkStored { .. }
        | Body::Handover { .. }
        | Body::Hello { .. }
        | Body::FoundGroup { .. } => false,
    }
}

/// What a dispatcher orders an agent to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentOrder {
    /// Start a run.
    Start {
        /// Incarnation number of the backend server that shall run it.
        life: u64,
        /// The task to start.
        task: TaskId,
        /// Id of this run.
        run: RunId,
        /// Resources that the run takes.
        need: Resources,
        /// Passed unchanged to the backend server.
        payload: Arc<str>,
    },
    /// Make sure that a run unknown to the agent never starts. Sent when the order to start it, or
    /// the answer, was lost.
    Revoke {
        /// The task of the run.
        task: TaskId,
        /// The run to revoke.
        run: RunId,
    },
    /// Stop a run.
    Stop {
        /// The task of the run.
        task: TaskId,
        /// The run to stop.
        run: RunId,
    },
    /// Stop a run that makes no progress, and count that against its worker.
    StopStalled {
        /// The task of the run.
        task: TaskId,
        /// The run to stop.
        run: RunId,
    },
    /// Pass evidence against a queue on to all dispatchers.
    Blame(Evidence),
    /// Tasks that wait for capacity of the worker; replaces what the sender had asked before.
    Want(Vec<Want>),
    /// Expected length of a run on an average worker. Sent right before the order to start it; with
    /// a length of 0 after an inventory, to say that the dispatcher reads reports of the pace.
    Expect {
        /// The task of the run.
        task: TaskId,
        /// The run.
        run: RunId,
        /// Its expected length, in milliseconds.
        length: Millis,
    },
}

/// A backend server and its worker, as known to the agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Incarnation number of the backend server, chosen by the agent; 0 means none.
    pub life: u64,
    /// Id that the backend server gave itself.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Data centre that it runs in.
    pub data_centre: String,
    /// Resources of its worker.
    pub capacity: Resources,
    /// Labels of the worker: its kind and its rack.
    pub labels: Vec<String>,
    /// True once the backend server has announced that it is leaving.
    pub leaving: bool,
}

/// What an agent reports to a dispatcher.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AgentReport {
    /// All runs that the agent holds for a dispatcher. For the group's leader it is sent only after
    /// the backend server has listed its runs under the leader's term.
    Inventory {
        /// Term of the leader, or incarnation number of the entry, that the inventory is for.
        epoch: u64,
        /// The backend server; `None` while none can be used.
        server: Option<Server>,
        /// Runs that have not ended.
        runs: Vec<(TaskId, RunId)>,
    },
    /// The backend server changed, or can no longer be used (`None`).
    Server(Option<Server>),
    /// The backend server accepted the start of a run.
    Started(TaskId, RunId),
    /// The run never started and never will.
    NotStarted {
        /// The task of the run.
        task: TaskId,
        /// The run that did not start.
        run: RunId,
        /// Why it did not start.
        reason: Denial,
    },
    /// Ends of runs, each with its number; the numbers start anew with each incarnation of the
    /// backend server.
    Ends {
        /// Incarnation number of the backend server.
        life: u64,
        /// Number and end of each run.
        ends: Vec<(u64, RunEnd)>,
    },
    /// Resources of the worker that are used by runs of other dispatchers.
    OtherUsage(Resources),
    /// Progress of runs, in percent.
    Progress(Vec<(TaskId, RunId, u32)>),
    /// Whether the worker should get no new runs because runs stand still there.
    Ejected(bool),
    /// The backend server crashed.
    Crashed {
        /// Its incarnation number.
        life: u64,
        /// Runs of all dispatchers that were there, and have ended with it.
        runs: Vec<(TaskId, RunId)>,
        /// Runs that may have begun there. Their starts were not answered, and may still reach the
        /// next incarnation.
        unanswered: Vec<(TaskId, RunId)>,
    },
    /// A dispatcher has evidence against a queue.
    Blamed(Evidence),
    /// The backend server accepts no connections. It has probably crashed, but its runs may go on
    /// until its lease expires; a report of the crash follows then.
    Unreachable {
        /// Its incarnation number.
        life: u64,
        /// Runs of all dispatchers that have begun there.
        runs: Vec<(TaskId, RunId)>,
        /// Runs that may have begun there, as their starts were not answered.
        unanswered: Vec<(TaskId, RunId)>,
    },
    /// The worker's pace, in thousandths: the duration of runs there, relative to that on an average
    /// worker.
    Pace(u32),
    /// Sent to an entry that was late to answer a heartbeat.
    LateEntries {
        /// Number of entries that were late to answer one lately, the receiver included.
        late: u32,
        /// Number of entries that are connected to the agent.
        entries: u32,
    },
}

/// A job of a queue is likely to have crashed backend servers, or has ended without another crash.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The job.
    pub job: JobId,
    /// Service of its queue.
    pub service: String,
    /// Priority of its queue.
    pub priority: u32,
    /// Number of crashes of which the job was a part before the one that it is blamed for; 0 if it
    /// has completed, so that it is not to blame.
    pub crashes: u32,
}

/// Why a run was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Denial {
    /// The worker has too few free resources.
    Room,
    /// The backend server is unhealthy or did not answer.
    Unwell,
    /// The agent may not start runs at the moment: the backend server is leaving or is another
    /// incarnation, or the grant has lapsed.
    Closed,
    /// The backend server found the run id or the order out of date.
    Stale,
}
