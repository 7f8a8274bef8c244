//! A dispatcher for sub-second tasks that starts each task at most once.
//!
//! The items re-exported here are the public interface; the modules themselves are private.

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
    Accepted, ChangeRequest, ClaimAnswer, Command, CommandReply, JobOutcome, ProcessRole,
    Registration, Rejected, SettingChange, TimestampedCommand,
};
pub use crate::control::follower::Follower;
pub use crate::control::follower_watch::{FollowerReport, FollowerWatch};
pub use crate::control::founding::first_disk;
pub use crate::control::leader_watch::{LeaderWatch, MissingVote, VoteCount};
pub use crate::control::log::{
    DiskId, Index, LogEntry, Payload, Position, Record, ReplicaId, Snapshot, Term, Voter,
};
pub use crate::control::message::{Body, ElectionCause, Message, SnapshotChunk};
pub use crate::control::raft::{
    Durable, Raft, RaftGuard, RaftInput, RaftOutput, RaftRole, RaftTiming,
};
pub use crate::control::regroup::{Regrouping, regroup};
pub use crate::control::renewals::{Renewal, Renewals};
pub use crate::control::server::{
    Control, ControlAnswer, ControlError, ControlInput, ControlOutput, RequestId,
};
pub use crate::control::settings::{
    EffectiveValue, KEYS, KeySpec, Override, SettingsError, SettingsFile, SettingsTree, TEAM_KEYS,
    ValueKind, check_setting, is_name, key_spec,
};
pub use crate::control::state_machine::{AuditRow, Process, StateMachine};
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
pub use crate::dispatch::agent::{ServerAgent, ServerAgentInput, ServerAgentOutput};
pub use crate::dispatch::call::{Call, CallReply, ClientAction};
pub use crate::dispatch::call_router::{CallRouter, CallRouterInput, CallRouterOutput, LinkId};
pub use crate::dispatch::dispatcher_link::Owner;
pub use crate::dispatch::guard::JobGuard;
pub use crate::dispatch::late_calls::SentAfter;
pub use crate::dispatch::load::want::{Urgency, UrgencyClass, Want};
pub use crate::dispatch::replica::{
    Replica, ReplicaError, ReplicaInput, ReplicaOutput, ReplicaTimes,
};
pub use crate::dispatch::replicated_state::RunEnd;
pub use crate::dispatch::server_call::{
    CallId, HoldReply, ServerCall, ServerCallKind, ServerHeartbeat, ServerReply,
};
pub use crate::dispatch::spec::{
    JobId, JobSpec, JobStatus, OperatorConfig, Queue, QueueSettings, Resources, RunId, RunOutcome,
    Step, TaskId,
};
pub use crate::dispatch::times::{TimeLimits, Times};
pub use crate::dispatch::wire::{
    AcceptorMessage, AgentOrder, AgentReport, Denial, Evidence, Initiator, InitiatorMessage, Server,
};
pub use crate::dispatch::worker::SessionId;
pub use crate::events::{EVENTS, Event};
pub use crate::load::workload::{Fleet, GeneratedJob, GeneratedTask, JobDistribution};
pub use crate::node::address::{replica_address, replica_id};
pub use crate::node::agent::AgentNode;
pub use crate::node::control::{ControlNode, ControlNodeConfig, ControlStartError, stop_within};
pub use crate::node::entry::{CallAge, EntryNode, EntryNodeConfig};
pub use crate::node::fragments::{
    FragmentError, MessageDecoder, MessageEncoder, Priority, announce_fragments,
    announces_fragments,
};
pub use crate::node::listen::listen;
pub use crate::node::output::{end_on_panic, flush_output, start_output};
pub use crate::node::stop_times::StopTimes;
pub use crate::shell::clock::Clock;
pub use crate::shell::stand_in::StandInCounts;
pub use crate::store::founding::FounderMark;
pub use crate::store::frame::{FrameError, Frames, decode_records, encode_write};
pub use crate::store::log_directory::LogDirectory;
pub use crate::store::wal::{Storage, Wal, WalError};
pub use crate::store::writer::{Batch, start_writer};
