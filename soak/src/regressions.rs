//! Seeds that once failed.

/// A seed that once failed, and why.
#[derive(Debug, Clone, Copy)]
pub struct Regression {
    /// The seed.
    pub seed: u64,
    /// Length of the run, in seconds.
    pub seconds: u64,
    /// What had caused the finding, as far as it is known.
    pub cause: &'static str,
}

/// All seeds that once failed.
pub const REGRESSIONS: &[Regression] = &[
    Regression {
        seed: 1,
        seconds: 30,
        cause: "the leader sent all entries in one message, longer than the longest frame",
    },
    Regression {
        seed: 2,
        seconds: 30,
        cause: "the leader sent all entries in one message, longer than the longest frame",
    },
    Regression {
        seed: 115,
        seconds: 20,
        cause: "probably a stall of the whole machine of more than 12 s, by the times of its trace",
    },
    Regression {
        seed: 117,
        seconds: 20,
        cause: "probably a stall of the whole machine of 18 s, by the times of its trace",
    },
    Regression {
        seed: 130,
        seconds: 20,
        cause: "not known: the leader was silent for 1.75 s, and 4 s after its start a successor with \
                the whole log was no voter yet",
    },
];
