//! Durable state under one data folder.

pub(crate) mod folder;
pub(crate) mod frame;
pub(crate) mod wal;
pub(crate) mod writer;
