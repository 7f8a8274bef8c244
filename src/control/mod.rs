//! The logic of the control group: replicated log, settings, directory and claims.
//!
//! Nothing in this module does disk or network I/O or reads a clock.

pub(crate) mod accessors;
pub(crate) mod command;
pub(crate) mod compact;
pub(crate) mod elect;
pub(crate) mod follower;
pub(crate) mod follower_metrics;
pub(crate) mod follower_watch;
pub(crate) mod founding;
pub(crate) mod join;
pub(crate) mod leader_watch;
pub(crate) mod log;
pub(crate) mod message;
pub(crate) mod progress;
pub(crate) mod quorum;
pub(crate) mod raft;
pub(crate) mod regroup;
pub(crate) mod renewals;
pub(crate) mod repair;
pub(crate) mod replicate;
pub(crate) mod server;
pub(crate) mod settings;
pub(crate) mod state_machine;
pub(crate) mod transfer;
