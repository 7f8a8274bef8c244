//! Notices that a process stood still, by the time between two turns of its main loop.

use crate::core::clock::Millis;
use crate::events;

/// Longest time between two turns of a loop that ticks every 20 ms. Longer ones are logged.
const MAX_TURN: Millis = Millis(200);

/// The times of an actor's turns.
#[derive(Debug)]
pub(crate) struct PauseWatch {
    // When the last turn had ended.
    ended_at: Millis,
}

impl PauseWatch {
    pub(crate) fn new(now: Millis) -> Self {
        Self { ended_at: now }
    }

    /// Notes a turn that took its input at `began_at` and ends now. If it was long, or came late,
    /// logs what is at stake, as of its beginning.
    pub(crate) fn end_turn(
        &mut self,
        began_at: Millis,
        now: Millis,
        stakes: impl Fn(Millis) -> String,
    ) {
        let waited = began_at.since(self.ended_at);
        let turn = now.since(began_at);
        self.ended_at = now;
        if waited > MAX_TURN || turn > MAX_TURN {
            events::PAUSED.log(format_args!(
                "waited_ms={} turn_ms={} {}",
                waited.0,
                turn.0,
                stakes(began_at)
            ));
        }
    }
}
