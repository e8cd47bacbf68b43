//! The scripts of the second review. Usage: `review-2 CASE RECORD`, in the root of the repository.

mod handover;
mod harness;
mod instance;
mod json;
mod memory;
mod reading;
mod socket;
mod stopping;
mod tenants;

use std::path::Path;
use std::time::Duration;

use harness::{NOT_RUN, Recorder, limit_time};

/// How long a case may run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE RECORD");
        std::process::exit(NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let dir = std::env::temp_dir().join(format!("ebonytack-review-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the temporary folder can be created");
    limit_time(TIME_LIMIT);
    let recorder = Recorder::create(Path::new(record));
    recorder.line(format!("case {case}, with the disruption: {trouble}"));
    let status = match case.as_str() {
        "handover" => handover::run(&dir, &recorder, trouble),
        "memory" => memory::run(&dir, &recorder, trouble),
        "reading" => reading::run(&dir, &recorder, trouble),
        "stopping" => stopping::run(&dir, &recorder, trouble),
        "tenants" => tenants::run(&dir, &recorder, trouble),
        _ => NOT_RUN,
    };
    let _ = std::fs::remove_dir_all(&dir);
    recorder.line(format!("exit status {status}"));
    std::process::exit(status);
}
