//! Errors of the settings; each message is a single line.

use cherrywood_scenario::file::FileError;
use std::io;
use std::path::PathBuf;

/// Reason why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The platform's file can't be read.
    #[error("{}: {error}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The operating system's error.
        error: io::Error,
    },
    /// The platform's file is not TOML of the expected form.
    #[error("settings, line {line}: {message}")]
    Malformed {
        /// Line of the mistake, counted from 1; 0 if unknown.
        line: usize,
        /// Description of the mistake.
        message: String,
    },
    /// A number is not positive and finite.
    #[error("settings: {field} must be greater than 0")]
    NotPositive {
        /// The full name of the field.
        field: &'static str,
    },
    /// The limit of changes in a transaction is too low for this service to run.
    #[error("settings: {field} must be at least {least}")]
    TooFewChanges {
        /// The full name of the field.
        field: &'static str,
        /// Smallest number that is allowed.
        least: usize,
    },
    /// A cancelled task could outlive `cancel_s`, whatever the controllers do.
    #[error(
        "settings: deployment.workers.cancel_s: found {found_s}; allowed: at least {least_s:.2} \
         beside lease_s {lease_s}, or cancelled tasks may outlive it"
    )]
    CancelTooShort {
        /// `cancel_s` in the settings.
        found_s: f64,
        /// Shortest `cancel_s` that is allowed with this lease.
        least_s: f64,
        /// The workers' lease, `lease_s`.
        lease_s: f64,
    },
    /// The operators' file can't be read, or contains a value that is not allowed.
    #[error(transparent)]
    Operator(#[from] FileError),
}
