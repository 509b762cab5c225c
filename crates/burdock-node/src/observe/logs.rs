//! Log lines.

use logforth::append;
use logforth::layout::JsonLayout;
use logforth::record::{Level, LevelFilter};

use crate::observe::line_writer::LineWriter;
use crate::settings::{LogFormat, LogSettings};

/// Sets up the log of an instance on the platform: a line of JSON for each decision, on standard output, which no
/// request waits for.
///
/// # Errors
/// When no thread can be had.
pub fn init_lines() -> std::io::Result<()> {
    let append = LineWriter::start(JsonLayout::default())?;
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(LevelFilter::MoreSevereEqual(Level::Info)).append(append))
        .apply();
    Ok(())
}

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
