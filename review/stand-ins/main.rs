//! Stand-ins of the platform, of instances and of callers, and the cases that `run.sh` files start.
//! Uses the standard library only, so that it builds without a network: see `review/build.sh`.

mod balancer;
mod caller;
mod cases;
mod host;
mod http;
mod instance;
mod json;
mod record;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code of a case that could not run.
const EXIT_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: stand-ins CASE FOLDER");
        return ExitCode::from(EXIT_NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    match cases::run(&name, &folder, trouble) {
        Ok(broken) => ExitCode::from(u8::from(broken)),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(EXIT_NOT_RUN)
        }
    }
}
