//! Log lines, for changes of state only.

use logforth::append;
use logforth::layout::JsonLayout;
use logforth::record::{Level, LevelFilter};

use crate::settings::{LogFormat, LogSettings};

/// Sets up the log of the process: lines on standard error.
pub fn init(settings: LogSettings) {
    let append = match settings.format {
        LogFormat::Text => append::Stderr::default(),
        LogFormat::Json => append::Stderr::default().with_layout(JsonLayout::default()),
    };
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(LevelFilter::MoreSevereEqual(Level::Info)).append(append))
        .apply();
}
