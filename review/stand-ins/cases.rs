//! The cases. Each returns whether the rule was broken.

mod fleet;
mod late;
mod memory;
mod slow;
mod stop;

use std::io::{Error, Result};
use std::path::Path;

pub fn run(name: &str, folder: &Path, trouble: bool) -> Result<bool> {
    match name {
        "late" => late::run(folder, trouble),
        "slow" => slow::run(folder, trouble),
        "stop" => stop::run(folder, trouble),
        "endless" => memory::run(folder, memory::Trouble::EndlessAnswers, trouble),
        "uploads" => memory::run(folder, memory::Trouble::LargeBodies, trouble),
        _ => Err(Error::other(format!("there is no case {name:?}"))),
    }
}
