//! The settings of one host.

mod checked;
mod raw;

pub(crate) use checked::{PlatformSettings, Settings};
pub(crate) use raw::RawSettings;
