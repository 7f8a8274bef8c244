//! Messages of the sessions between the system's processes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::call::{Call, CallReply};
use super::replicated_state::RunEnd;
use super::spec::{OperatorConfig, Resources, RunId, TaskId};
use crate::control::log::Term;
use crate::control::message::Message;
use crate::core::clock::Millis;

/// Who opened a session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Initiator {
    /// An entry's name, and the address at which it takes agents' sessions, as a
    /// replica's number.
    Entry(String, u64),
    /// An agent's name.
    Agent(String),
    /// A replica's number.
    Replica(u64),
}

/// From the process that opened the session to a control instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum InitiatorMessage {
    /// First on every session.
    Hello(Initiator),
    /// Heartbeat, with the sender's clock to be echoed.
    Heartbeat(Millis),
    /// A call under the entry's number for it.
    Call(u64, Call),
    /// From an agent.
    Report(AgentReport),
    /// Between replicas.
    Peer(Message),
}

/// From a control instance or an entry to the process that opened the session.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AcceptorMessage {
    /// Whether this instance leads, in which term, and all instances' addresses.
    Status {
        /// True while it leads.
        leads: bool,
        /// Its term.
        term: Term,
        /// All replicas of the group.
        members: Vec<u64>,
    },
    /// Entries that agents should open sessions to, by address.
    Entries(Vec<u64>),
    /// The data centres that are out, as of this entry of the log.
    Evacuated(u64, Vec<String>),
    /// The configuration in force, without its document.
    Config(Arc<OperatorConfig>),
    /// An entry introduces itself to an agent: the number of its life, and the runs
    /// that it believes the agent to hold for it.
    Welcome {
        /// Number of the entry's life.
        life: u64,
        /// The runs.
        runs: Vec<(TaskId, RunId)>,
    },
    /// Echo of a heartbeat. To an agent, while the instance holds its lease, it
    /// grants the right to act until so long after the time in it.
    HeartbeatAck {
        /// The time as the sender of the heartbeat gave it.
        at: Millis,
        /// Length of the grant.
        grant: Option<Millis>,
    },
    /// The answer to an entry's call, under its number.
    Reply(u64, CallReply),
    /// To an agent.
    Order(AgentOrder),
    /// Ends up to this number of the backend server's life are on record.
    Recorded {
        /// The backend server's life.
        life: u64,
        /// The highest number.
        upto: u64,
    },
}

/// What a leader tells an agent to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentOrder {
    /// Start a run.
    Start {
        /// The life of the backend server that is meant.
        life: u64,
        /// The task.
        task: TaskId,
        /// Its run.
        run: RunId,
        /// What it takes.
        need: Resources,
        /// Handed to the backend server.
        payload: String,
    },
    /// Make sure that a run which the agent does not hold never starts: its order or
    /// the answer to it was lost.
    Revoke {
        /// The task.
        task: TaskId,
        /// Its run.
        run: RunId,
    },
    /// Stop a run.
    Stop {
        /// The task.
        task: TaskId,
        /// Its run.
        run: RunId,
    },
}

/// A backend server with its worker, as its agent knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Number of its life, chosen by the agent; 0 is none.
    pub life: u64,
    /// Its own id.
    pub id: String,
    /// The service it belongs to.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// What its worker has.
    pub capacity: Resources,
    /// The worker's labels: its kind and its rack.
    pub labels: Vec<String>,
    /// True once it has said that it leaves.
    pub leaving: bool,
}

/// What an agent reports.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AgentReport {
    /// All that the agent holds for a dispatcher, named by its epoch; for the group's
    /// leader after a look at the backend server under its term. `server` is `None`
    /// while there is none to use.
    Inventory {
        /// The dispatcher's term or life.
        epoch: u64,
        /// The backend server.
        server: Option<Server>,
        /// Runs that have not ended.
        runs: Vec<(TaskId, RunId)>,
    },
    /// The backend server's state has changed.
    Server(Option<Server>),
    /// A start was answered with yes.
    Started(TaskId, RunId),
    /// The run never started and never will.
    NotStarted {
        /// The task.
        task: TaskId,
        /// Its run.
        run: RunId,
        /// Why.
        reason: Denial,
    },
    /// Ends, each with its number within the backend server's life.
    Ends {
        /// The backend server's life.
        life: u64,
        /// The ends.
        ends: Vec<(u64, RunEnd)>,
    },
    /// What other dispatchers' runs take of the worker.
    OtherUsage(Resources),
    /// Progress of runs, in percent.
    Progress(Vec<(TaskId, RunId, u32)>),
}

/// Why a run was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Denial {
    /// The worker has no room.
    Room,
    /// The backend server is unhealthy or did not answer.
    Unwell,
    /// The agent may not start now: leaving server, lapsed grant, another life.
    Closed,
    /// The backend server found the run or the order too old.
    Stale,
}
