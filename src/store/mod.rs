//! Durable state under one data folder.

pub(crate) mod frame;
pub(crate) mod log_directory;
pub(crate) mod wal;
pub(crate) mod writer;
