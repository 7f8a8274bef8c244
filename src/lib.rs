//! A dispatcher for sub-second tasks that starts each task at most once.
//!
//! What is listed here is public; everything else is the crate's own.

mod cmd;
mod config;
mod control;
mod core;
mod dispatch;
mod events;
mod load;
mod node;
mod proto;
mod shell;
mod store;

pub use crate::cmd::{CmdError, Exit, daemon, metrics_text, start_metrics, tool};
pub use crate::config::{
    AgentConfig, Config, ConfigError, ControlConfig, EntryConfig, GroupMember, StandInConfig,
};
pub use crate::control::command::{
    Accepted, Change, ChangeRequest, ClaimAnswer, Command, Joining, Outcome, ProcessRole, Rejected,
    Reply, Stamped,
};
pub use crate::control::log::{
    DiskId, Index, LogEntry, Payload, Position, Record, ReplicaId, Snapshot, Term, Voter,
};
pub use crate::control::machine::{AuditRow, Machine, Process};
pub use crate::control::message::{Body, Message};
pub use crate::control::raft::{
    Durable, Raft, RaftGuard, RaftInput, RaftOutput, RaftRole, RaftTiming,
};
pub use crate::control::renewals::{Renewal, Renewals};
pub use crate::control::server::{
    Control, ControlAnswer, ControlError, ControlInput, ControlOutput, Token,
};
pub use crate::control::settings::{
    Effective, KEYS, KeySpec, Override, SettingsError, TEAM_KEYS, Tree, TreeFile, ValueKind,
    check_setting, is_name, key_spec,
};
pub use crate::core::agent::{
    Agent, AgentInput, AgentLimits, AgentOutput, ServerEvent, ServerState,
};
pub use crate::core::breaker::Breaker;
pub use crate::core::chart::{Chart, ChartError};
pub use crate::core::clock::Millis;
pub use crate::core::credit::{CreditChange, Credits};
pub use crate::core::entry::Entry;
pub use crate::core::entry_io::{
    ClaimResult, EntryCounts, EntryInput, EntryLimits, EntryOutput, TeamLimits, TraceLine,
};
pub use crate::core::estimate::Estimator;
pub use crate::core::ids::{DispatchNumber, Generation, Incarnation, JobKey, Revision};
pub use crate::core::job::{
    Answer, Failure, JobEvent, JobHandle, JobKind, JobState, Refusal, Submission, TaskSpec,
};
pub use crate::core::placement::Policy;
pub use crate::core::start_gate::{StartGate, StartGuard};
pub use crate::core::table::Table;
pub use crate::core::task::{
    Admission, Dispatch, Lease, NotRunReason, TaskEvent, TaskState, TaskStatus, Verdict,
};
pub use crate::dispatch::agent::{
    Agent as ServerAgent, AgentInput as ServerAgentInput, AgentOutput as ServerAgentOutput,
    AgentTimes,
};
pub use crate::dispatch::book::End;
pub use crate::dispatch::boss::Owner;
pub use crate::dispatch::call::{Call, Reply as CallReply, Want};
pub use crate::dispatch::desk::{Desk, DeskInput, DeskOutput, LinkId};
pub use crate::dispatch::guard::JobGuard;
pub use crate::dispatch::replica::{
    Replica, ReplicaError, ReplicaInput, ReplicaOutput, ReplicaTimes,
};
pub use crate::dispatch::server_call::{
    Beat, CallId, Lists, ServerCall, ServerCallKind, ServerReply,
};
pub use crate::dispatch::spec::{
    Ending, JobId, JobSpec, Queue, Resources, Run, Setup, State, Step, TaskId, Terms,
};
pub use crate::dispatch::wire::{Denial, Down, Order, Report, Server, Up, Who};
pub use crate::dispatch::worker::SessionId;
pub use crate::events::{EVENTS, Event};
pub use crate::load::shape::{Fleet, JobPlan, Shape, TaskPlan};
pub use crate::node::address::{replica_address, replica_id};
pub use crate::node::agent::AgentNode;
pub use crate::node::control::{ControlNode, ControlNodeConfig, ControlStartError, stop_within};
pub use crate::node::entry::{EntryNode, EntryNodeConfig};
pub use crate::node::output::start_output;
pub use crate::shell::stand_in::StandInCounts;
pub use crate::store::folder::Folder;
pub use crate::store::frame::{FrameError, Frames, decode_records, encode_record};
pub use crate::store::wal::{Medium, Wal, WalError};
