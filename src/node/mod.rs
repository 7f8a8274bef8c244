//! The processes that dispatch jobs: control instance, agent and entry, and the sessions between
//! them.
//!
//! The protocols of callers, operators and backend servers are left to the program that starts the
//! processes.

pub(crate) mod address;
pub(crate) mod agent;
pub(crate) mod control;
pub(crate) mod disk;
pub(crate) mod entry;
pub(crate) mod entry_links;
pub(crate) mod fragments;
pub(crate) mod frames;
pub(crate) mod link;
pub(crate) mod links;
pub(crate) mod listen;
pub(crate) mod outgoing;
pub(crate) mod output;
pub(crate) mod pauses;
pub(crate) mod sessions;
pub(crate) mod stop_times;
pub(crate) mod timer;
