//! Finding the queue of a call.

use super::spec::{JobId, OperatorConfig, Queue};

/// What a call's path names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Target<'a> {
    /// No queue.
    Unknown,
    /// The queue itself.
    Queue(&'a Queue),
    /// A job of the queue.
    Job(&'a Queue, JobId),
    /// A queue, followed by something that is not a job id.
    NotAJob(&'a Queue),
}

/// The queue with the longest prefix of `path` among those of `host`.
pub(crate) fn find<'a>(config: &'a OperatorConfig, host: &str, path: &str) -> Target<'a> {
    let matching = config
        .queues
        .iter()
        .filter(|q| q.host == host && path.starts_with(&q.prefix));
    let Some(queue) = matching.max_by_key(|q| q.prefix.len()) else {
        return Target::Unknown;
    };
    let rest = &path[queue.prefix.len()..];
    if rest.is_empty() {
        return Target::Queue(queue);
    }
    match JobId::parse(rest) {
        Some(id) => Target::Job(queue, id),
        None => Target::NotAJob(queue),
    }
}
