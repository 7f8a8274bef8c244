//! State charts, read from the files in `charts/`.

use serde::Deserialize;
use snafu::{ResultExt, Snafu};

/// What can be wrong with a chart or a transition.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ChartError {
    /// The chart's file does not parse.
    #[snafu(display("state chart: {source}"))]
    Parse {
        /// What the TOML reader found.
        source: toml::de::Error,
    },
    /// Two transitions leave the same state by the same event.
    #[snafu(display("state chart: two transitions from {state} by {event}"))]
    Ambiguous {
        /// The state they leave.
        state: String,
        /// The event they share.
        event: String,
    },
    /// The chart has no transition from this state by this event.
    #[snafu(display("no transition from {state} by {event}"))]
    Undefined {
        /// The state that was left unchanged.
        state: String,
        /// The event that came.
        event: String,
    },
}

/// A chart as its file has it: `[[transitions]]` of `from`, `event`, `to`.
#[derive(Debug, Deserialize)]
struct ChartFile<S, E> {
    transitions: Vec<Transition<S, E>>,
}

#[derive(Debug, Clone, Deserialize)]
struct Transition<S, E> {
    from: S,
    event: E,
    to: S,
}

/// The allowed transitions between the states `S` by the events `E`.
#[derive(Debug, Clone)]
pub struct Chart<S, E> {
    // Sorted by state, then event.
    transitions: Vec<Transition<S, E>>,
}

impl<S, E> Chart<S, E>
where
    S: Copy + Ord + std::fmt::Debug + for<'a> Deserialize<'a>,
    E: Copy + Ord + std::fmt::Debug + for<'a> Deserialize<'a>,
{
    /// Reads a chart.
    ///
    /// ```
    /// use fulmardrift::{Chart, JobEvent, JobState};
    /// let chart = Chart::<JobState, JobEvent>::parse(
    ///     "[[transitions]]\nfrom = 'claiming'\nevent = 'granted'\nto = 'running'",
    /// )
    /// .unwrap();
    /// assert_eq!(chart.next(JobState::Claiming, JobEvent::Granted).unwrap(), JobState::Running);
    /// assert!(chart.next(JobState::Running, JobEvent::Granted).is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// The text is not TOML of the right shape, or two transitions clash.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file: ChartFile<S, E> = toml::from_str(text).context(ParseSnafu)?;
        let mut transitions = file.transitions;
        transitions.sort_by_key(|t| (t.from, t.event));
        for pair in transitions.windows(2) {
            if (pair[0].from, pair[0].event) == (pair[1].from, pair[1].event) {
                return AmbiguousSnafu {
                    state: format!("{:?}", pair[0].from),
                    event: format!("{:?}", pair[0].event),
                }
                .fail();
            }
        }
        Ok(Self { transitions })
    }

    /// The state that `event` leads to from `state`.
    ///
    /// # Errors
    ///
    /// The chart has no such transition.
    pub fn next(&self, state: S, event: E) -> Result<S, ChartError> {
        match self
            .transitions
            .binary_search_by_key(&(state, event), |t| (t.from, t.event))
        {
            Ok(i) => Ok(self.transitions[i].to),
            Err(_) => UndefinedSnafu {
                state: format!("{state:?}"),
                event: format!("{event:?}"),
            }
            .fail(),
        }
    }
}
