//! The roles of a process and their I/O: actors around the state machines of `core` and `control`,
//! gRPC and HTTP servers and clients, clocks.

pub(crate) mod admin;
pub(crate) mod agent;
pub(crate) mod agent_rpc;
pub(crate) mod announce;
pub(crate) mod backend;
pub(crate) mod clock;
pub(crate) mod control;
pub(crate) mod control_client;
pub(crate) mod control_rpc;
pub(crate) mod convert;
pub(crate) mod entry;
pub(crate) mod entry_output;
pub(crate) mod entry_peers;
pub(crate) mod http;
pub(crate) mod jobs_http;
pub(crate) mod links;
pub(crate) mod member;
pub(crate) mod peers;
pub(crate) mod relay;
pub(crate) mod requests_http;
pub(crate) mod stand_in;
pub(crate) mod stop;
pub(crate) mod trace;
