//! Settings of a host in `run` mode.

mod checked;
mod raw;

pub(crate) use checked::{Fault, PlatformSettings, Settings, SettingsError};
pub(crate) use raw::RawSettings;
