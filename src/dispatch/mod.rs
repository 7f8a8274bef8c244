//! Dispatching of jobs: where their tasks run, and how they end.
//!
//! A stored job is kept in the control group's replicated log, and the group's leader dispatches
//! its tasks to agents. A transient job is not stored; the entry that accepted it dispatches its
//! tasks. This module accesses no disk, socket or clock.

pub(crate) mod admitting;
pub(crate) mod agent;
pub(crate) mod agent_calls;
pub(crate) mod agent_crashes;
pub(crate) mod agent_echoes;
pub(crate) mod agent_links;
pub(crate) mod agent_offers;
pub(crate) mod agent_pace;
pub(crate) mod agent_replies;
pub(crate) mod agent_run;
pub(crate) mod agent_ticks;
pub(crate) mod answer_times;
pub(crate) mod asking;
pub(crate) mod broadcast;
pub(crate) mod bulkhead;
pub(crate) mod call;
pub(crate) mod call_expiry;
pub(crate) mod call_router;
pub(crate) mod crashes;
pub(crate) mod dispatcher;
pub(crate) mod dispatcher_link;
pub(crate) mod ejection;
pub(crate) mod guard;
pub(crate) mod late_calls;
pub(crate) mod live;
pub(crate) mod load;
pub(crate) mod pending_reply;
pub(crate) mod placing;
pub(crate) mod readiness;
pub(crate) mod replica;
pub(crate) mod replica_calls;
pub(crate) mod replicated_state;
pub(crate) mod reports;
pub(crate) mod room;
pub(crate) mod routes;
pub(crate) mod run_ends;
pub(crate) mod run_trace;
pub(crate) mod server_call;
pub(crate) mod slow;
pub(crate) mod slow_entry;
pub(crate) mod spec;
pub(crate) mod submitting;
pub(crate) mod suspects;
pub(crate) mod times;
pub(crate) mod wire;
pub(crate) mod worker;
