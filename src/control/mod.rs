//! The control group's decisions: replicated log, settings, directory, claims.
//!
//! Nothing here touches a disk, a socket or a clock.

pub(crate) mod accessors;
pub(crate) mod command;
pub(crate) mod elect;
pub(crate) mod join;
pub(crate) mod log;
pub(crate) mod message;
pub(crate) mod raft;
pub(crate) mod renewals;
pub(crate) mod repair;
pub(crate) mod replicate;
pub(crate) mod server;
pub(crate) mod settings;
pub(crate) mod state_machine;
