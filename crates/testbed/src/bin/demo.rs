//! Placeholder.
use std::process::ExitCode;
fn main() -> ExitCode {
    ebonytack_testbed::run_role().unwrap_or(ExitCode::SUCCESS)
}
