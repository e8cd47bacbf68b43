//! How much of its load a service has to refuse, for the log and the metrics.

use std::time::Duration;

use super::admission::REFUSAL_LOAD;

/// Load per slot from which all classes may be refused.
const ALL_CLASSES_LOAD: f64 = 3.0;
/// Load below the one of a level at which the level ends.
const HYSTERESIS_LOAD: f64 = 0.3;
/// Time for which a level lasts at least before a lower one follows, so that the log has a line for a
/// change and not for each swing of the load.
const LEVEL_TIME_MIN: Duration = Duration::from_secs(1);

/// How much of its load a service has to refuse.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum ShortageLevel {
    /// Nothing.
    #[default]
    None,
    /// Some of the less urgent requests.
    LessUrgent,
    /// Requests of all classes.
    All,
}

impl ShortageLevel {
    /// Returns the level as the number that the log and the metric show.
    pub fn number(self) -> u32 {
        match self {
            Self::None => 0,
            Self::LessUrgent => 1,
            Self::All => 2,
        }
    }

    fn of_load(load: f64) -> Self {
        match load {
            _ if load >= ALL_CLASSES_LOAD => Self::All,
            _ if load >= REFUSAL_LOAD => Self::LessUrgent,
            _ => Self::None,
        }
    }
}

/// The level of a service, with hysteresis.
#[derive(Clone, Copy, Debug, Default)]
pub struct LevelState {
    level: ShortageLevel,
    changed_at: Duration,
}

impl LevelState {
    /// Returns the current level.
    pub fn level(&self) -> ShortageLevel {
        self.level
    }

    /// Updates the level from the load per slot; returns whether it changed.
    pub fn update(&mut self, load: f64, now: Duration) -> bool {
        let rising = ShortageLevel::of_load(load);
        let falling = ShortageLevel::of_load(load + HYSTERESIS_LOAD);
        let next = match self.level {
            level if rising > level => rising,
            level if falling < level && now >= self.changed_at + LEVEL_TIME_MIN => falling,
            level => level,
        };
        let changed = next != self.level;
        if changed {
            *self = Self { level: next, changed_at: now };
        }
        changed
    }
}
