//! State machines whose transitions are read from the files in `charts/`.

use serde::Deserialize;
use snafu::{ResultExt, Snafu};

/// Errors of parsing a state chart and of looking up a transition.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ChartError {
    /// The file cannot be parsed.
    #[snafu(display("state chart: {source}"))]
    Parse {
        /// The error of the TOML parser.
        source: toml::de::Error,
    },
    /// Two transitions share their state and event.
    #[snafu(display("state chart: two transitions from {state} by {event}"))]
    Ambiguous {
        /// The state that both start from.
        state: String,
        /// The event of both.
        event: String,
    },
    /// The chart has no transition from this state for this event.
    #[snafu(display("no transition from {state} by {event}"))]
    Undefined {
        /// The current state, which stays unchanged.
        state: String,
        /// The event that occurred.
        event: String,
    },
}

/// The file format of a chart: `[[transitions]]` with `from`, `event` and `to`.
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

/// The allowed transitions between states `S` on events `E`.
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
    /// Parses a chart from TOML.
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
    /// Fails if the text is not valid TOML in the chart format, or if two transitions share their
    /// state and event.
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

    /// Returns the state that follows `state` on `event`.
    ///
    /// # Errors
    ///
    /// Fails if the chart has no such transition.
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
