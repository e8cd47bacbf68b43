//! The figures that a measurement reports.

use std::fmt;

use serde::Serialize;

/// One measured figure, with its target and baseline if it has any.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// What was measured, as printed.
    pub name: String,
    /// The measured value.
    pub value: f64,
    /// The unit of value, target and baseline.
    pub unit: &'static str,
    /// The largest value that meets the target. Targets are requirements of users, never measured
    /// values.
    pub target_max: Option<f64>,
    /// The value that a simple baseline reaches under the same load.
    pub baseline: Option<f64>,
}

/// All figures of one scenario and seed.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The name of the scenario.
    pub scenario: &'static str,
    /// The seed of loads and faults.
    pub seed: u64,
    /// The figures, in the order in which they were measured.
    pub figures: Vec<Figure>,
}

/// Building and checking a figure.
impl Figure {
    /// Creates a figure without a target or baseline.
    pub fn new(name: impl Into<String>, value: f64, unit: &'static str) -> Self {
        Self { name: name.into(), value, unit, target_max: None, baseline: None }
    }

    /// Sets the maximum that meets the target.
    pub fn at_most(mut self, target: f64) -> Self {
        self.target_max = Some(target);
        self
    }

    /// Sets the value that the baseline reaches.
    pub fn baseline(mut self, value: f64) -> Self {
        self.baseline = Some(value);
        self
    }

    /// Returns whether the target is met; true without a target.
    pub fn is_met(&self) -> bool {
        self.target_max.is_none_or(|target| self.value <= target)
    }
}

impl Report {
    /// Creates a report without figures.
    pub fn new(scenario: &'static str, seed: u64) -> Self {
        Self { scenario, seed, figures: Vec::new() }
    }

    /// Appends a figure.
    pub fn push(&mut self, figure: Figure) {
        self.figures.push(figure);
    }

    /// Returns whether every figure meets its target.
    pub fn is_met(&self) -> bool {
        self.figures.iter().all(Figure::is_met)
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<52} {:>12.4} {:<8}", self.name, self.value, self.unit)?;
        if let Some(target) = self.target_max {
            let verdict = if self.is_met() { "met" } else { "MISSED" };
            write!(f, " target {target} {verdict}")?;
        }
        if let Some(baseline) = self.baseline {
            write!(f, " (baseline {baseline:.4})")?;
        }
        Ok(())
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for figure in &self.figures {
            writeln!(f, "  {figure}")?;
        }
        let verdict = if self.is_met() { "all targets met" } else { "targets missed" };
        write!(f, "{} seed {}: {verdict}", self.scenario, self.seed)
    }
}
