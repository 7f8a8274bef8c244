//! The processes that run stored jobs: control, agent and entry, with the
//! sessions between them.
//!
//! What callers, operators and backend servers speak is left to the program that
//! starts them.

pub(crate) mod address;
pub(crate) mod agent;
pub(crate) mod control;
pub(crate) mod entry;
pub(crate) mod entry_links;
pub(crate) mod frames;
pub(crate) mod link;
pub(crate) mod links;
pub(crate) mod output;
pub(crate) mod sessions;
