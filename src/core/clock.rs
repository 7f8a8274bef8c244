//! The time type of the crate.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point in time or a length of time, in whole milliseconds.
///
/// A point in time counts from the start of its own process, unless the field that holds it is
/// documented as wall-clock time since the Unix epoch.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// The time from `earlier` to `self`, or zero if `earlier` is later.
    ///
    /// ```
    /// use fulmardrift::Millis;
    /// assert_eq!(Millis(30).since(Millis(10)), Millis(20));
    /// assert_eq!(Millis(10).since(Millis(30)), Millis(0));
    /// ```
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// The time in milliseconds as a floating-point number.
    ///
    /// ```
    /// assert!((fulmardrift::Millis(3).as_f64() - 3.0).abs() < f64::EPSILON);
    /// ```
    #[must_use]
    pub fn as_f64(self) -> f64 {
        // Millisecond counts stay far below 2^53.
        #[allow(clippy::cast_precision_loss)]
        let ms = self.0 as f64;
        ms
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        self.since(rhs)
    }
}
