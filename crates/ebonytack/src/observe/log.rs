//! Logging setup. The log goes to standard output because hosts have no disks.

use eyre::Result;
use log4rs::append::console::ConsoleAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;

use crate::settings::Settings;

const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";

/// Installs the global logger with the level and format of the settings.
pub(crate) fn start_log(settings: &Settings) -> Result<()> {
    let encoder: Box<dyn Encode> = match settings.log_json {
        true => Box::new(JsonEncoder::new()),
        false => Box::new(PatternEncoder::new(PATTERN)),
    };
    let console = ConsoleAppender::builder().encoder(encoder).build();
    let root = Root::builder().appender("stdout").build(settings.log_level);
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(console)))
        .build(root)?;
    log4rs::init_config(config)?;
    Ok(())
}
