//! Checks a configuration before it is sent, without a call to any instance.

use std::path::Path;
use std::process::ExitCode;

use burdock_model::error::{Error, ErrorKind, Result};
use burdock_model::site::SiteConfig;
use burdock_model::site_check::{Change, Difference, Finding, Severity, check_config, differences};
use burdock_platform::decode::{decode_config, decode_config_with_errors};
use serde::Serialize;

use crate::cli::OutputFormat;

/// Exit code for findings that are only warnings.
const WARNINGS: u8 = 1;

/// Exit code for findings with an error.
const ERRORS: u8 = 2;

/// Result of a check.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Errors and warnings.
    pub findings: Vec<Finding>,
    /// What differs from the version in force; `None` without one, or for a configuration with errors that
    /// can't be compared.
    pub differences: Option<Vec<Difference>>,
}

impl Report {
    /// Checks the text of a platform's configuration.
    pub fn of(text: &[u8], in_force: Option<&SiteConfig>) -> Self {
        match decode_config_with_errors(text) {
            Ok(config) => Self {
                findings: check_config(&config, in_force),
                differences: in_force.map(|in_force| differences(&config, in_force)),
            },
            Err(findings) => Self { findings, differences: None },
        }
    }

    /// Returns the exit code: 0 without findings, 1 for warnings only, 2 with an error.
    pub fn exit_code(&self) -> u8 {
        match self.findings.iter().map(|f| f.severity).max() {
            None => 0,
            Some(Severity::Warning) => WARNINGS,
            Some(Severity::Error) => ERRORS,
        }
    }

    /// Returns the lines of the report as text.
    pub fn lines(&self) -> Vec<String> {
        let mut lines: Vec<String> = self.findings.iter().map(Finding::to_string).collect();
        for difference in self.differences.iter().flatten() {
            let place = &difference.place;
            lines.push(match difference.change {
                Change::Added => format!("added: {place}"),
                Change::Removed => format!("removed: {place}"),
                Change::Changed => format!("changed: {place}: {}", difference.fields.join(", ")),
            });
        }
        let count = |severity| self.findings.iter().filter(|f| f.severity == severity).count();
        lines.push(format!("{} errors, {} warnings", count(Severity::Error), count(Severity::Warning)));
        lines
    }
}

/// Checks a configuration, prints the report and returns the exit code.
///
/// # Errors
/// Fails if a file can't be read, or if the version in force is invalid.
pub fn run(config: &Path, in_force: Option<&Path>, output: OutputFormat) -> Result<ExitCode> {
    let in_force = in_force
        .map(|path| read(path).and_then(|text| decode_config(&text).map_err(|e| e.at(path.display()))))
        .transpose()?;
    let report = Report::of(&read(config)?, in_force.as_ref());
    match output {
        OutputFormat::Table => report.lines().iter().for_each(|line| println!("{line}")),
        OutputFormat::Json => {
            let json = serde_json::to_string(&report);
            println!("{}", json.map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?);
        }
    }
    Ok(ExitCode::from(report.exit_code()))
}

fn read(path: &Path) -> Result<Vec<u8>> {
    std::fs::read(path).map_err(|e| Error::new(ErrorKind::InvalidTree, e.to_string()).at(path.display()))
}

#[cfg(test)]
#[path = "../tests/unit/check.rs"]
mod tests;
