//! Settings of a controller: the platform's TOML file and the operators' own YAML file. Both are
//! read once, when the process starts.

mod error;
mod operator;
mod platform;

pub use error::SettingsError;
pub use operator::{Admission, Aging, LogLevel, Operator, Scheduler, Shed};
pub use platform::{Deployment, Limits, Member, Platform, Services};

use cherrywood_scenario::file;
use std::path::Path;

/// All settings of a controller.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Settings from the platform's file.
    pub platform: Platform,
    /// Settings from the operators' file.
    pub operator: Operator,
}

impl Settings {
    /// Reads and checks both files. Without an operators' file its defaults apply.
    pub fn load(platform: &Path, operator: Option<&Path>) -> Result<Settings, SettingsError> {
        let text =
            std::fs::read_to_string(platform).map_err(|error| SettingsError::Unreadable {
                path: platform.to_path_buf(),
                error,
            })?;
        let platform = Self::parse_platform(&text)?;
        let operator = match operator {
            Some(path) => Self::parse_operator(&path.display().to_string(), &file::read(path)?)?,
            None => Operator::default(),
        };
        Ok(Settings { platform, operator })
    }

    /// Reads and checks the platform's file from its text.
    pub fn parse_platform(text: &str) -> Result<Platform, SettingsError> {
        Platform::parse(text)
    }

    /// Reads and checks the operators' file, called `name` in messages, from its text.
    pub fn parse_operator(name: &str, text: &str) -> Result<Operator, SettingsError> {
        if text.trim().is_empty() {
            return Ok(Operator::default());
        }
        Ok(file::parse(name, text)?)
    }
}
