//! Set-up of the process's log.

use logforth::append;
use logforth::layout::JsonLayout;
use logforth::record::{Level, LevelFilter};

use crate::observe::line_writer::LineWriter;
use crate::settings::{LogFormat, LogSettings};

/// Sets up the log of an instance on the platform: a JSON line for each decision, written to standard output
/// by a separate thread so that no request waits for it.
///
/// # Errors
/// When that thread can't be started.
pub fn init_lines() -> std::io::Result<()> {
    let append = LineWriter::start(JsonLayout::default())?;
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(LevelFilter::MoreSevereEqual(Level::Info)).append(append))
        .apply();
    Ok(())
}

/// Sets up the log of other commands: lines on standard error in the configured format.
pub fn init(settings: LogSettings) {
    let append = match settings.format {
        LogFormat::Text => append::Stderr::default(),
        LogFormat::Json => append::Stderr::default().with_layout(JsonLayout::default()),
    };
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(LevelFilter::MoreSevereEqual(Level::Info)).append(append))
        .apply();
}
