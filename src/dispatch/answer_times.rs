//! How long an agent waits for an answer of its backend server.

use super::server_call::{CallId, ServerReply};
use crate::core::clock::Millis;
use crate::core::table::Table;

/// Shortest wait for an answer, in milliseconds. The backend server is on the same machine, and
/// answers within a few when it is not busy.
const MIN_WAIT: Millis = Millis(30);
/// Longest wait for an answer, in milliseconds. A lease ends soon after that.
const MAX_WAIT: Millis = Millis(240);
/// Part of a new answer's time in the mean.
const WEIGHT: f64 = 0.25;
/// The wait is this many times the mean time, and twice the last one.
const MEAN_FACTOR: f64 = 3.0;
const LAST_FACTOR: f64 = 2.0;

/// Times of the backend server's answers. One that gets slower is waited for longer: calls that are
/// given up are repeated, and would slow it down further.
#[derive(Debug)]
pub(crate) struct AnswerTimes {
    // Open calls, with the times at which they were or are to be answered if nothing is late.
    open: Table<CallId, Millis>,
    mean_ms: f64,
    wait: Millis,
    // When the wait last grew because a call got no answer.
    doubled_at: Millis,
}

impl AnswerTimes {
    pub(crate) fn new() -> Self {
        Self {
            open: Table::default(),
            mean_ms: 0.0,
            wait: MIN_WAIT,
            doubled_at: Millis(0),
        }
    }

    /// How much later than asked for an answer may come.
    pub(crate) fn wait(&self) -> Millis {
        self.wait
    }

    /// Notes a call that is answered at `due` at the earliest, unless a run ends before.
    pub(crate) fn sent(&mut self, due: Millis, id: CallId) {
        self.open.insert(id, due);
    }

    /// Notes the answer to a call, or the lack of one.
    pub(crate) fn ended(&mut self, now: Millis, id: CallId, reply: &ServerReply) {
        let Some(due) = self.open.remove(&id).filter(|due| now >= *due) else {
            return;
        };
        match reply {
            ServerReply::NoAnswer => {
                // Calls that were sent before the wait grew say nothing of the new one.
                if due >= self.doubled_at {
                    self.wait = Millis(self.wait.0 * 2).min(MAX_WAIT);
                    self.doubled_at = now;
                }
            }
            ServerReply::Unreachable | ServerReply::Disconnected => {}
            _ => {
                let took = now.since(due).as_f64();
                self.mean_ms += (took - self.mean_ms) * WEIGHT;
                let wait = (self.mean_ms * MEAN_FACTOR).max(took * LAST_FACTOR);
                self.wait = whole(wait).clamp(MIN_WAIT, MAX_WAIT);
            }
        }
    }
}

// Times of calls are positive and far below 2^53 ms.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(ms: f64) -> Millis {
    Millis(ms as u64)
}
