//! The platform's settings file (TOML).

use super::SettingsError;
use cherrywood_control::settings::Workers;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Lowest limit of changes in a transaction with which this service can run.
const TXN_OPS_MIN: usize = 3;

/// Another controller.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Member {
    /// Label of the controller.
    pub label: String,
    /// Address on which it listens for other controllers.
    pub endpoint: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Services {
    /// The cloud's API.
    pub cloud: SocketAddr,
    /// The state service, a key-value store.
    pub state: SocketAddr,
}

/// The platform's limits for a controller's process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Limits {
    /// Most open sockets.
    pub sockets: usize,
}

/// The deployment as all its controllers see it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Deployment {
    /// Number of controllers.
    pub nodes: usize,
    /// Limits of each controller's process.
    pub limits: Limits,
    /// Teams, workers, state service and cloud.
    #[serde(flatten)]
    pub cluster: cherrywood_control::Settings,
}

/// The platform's file; unknown fields are ignored.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Platform {
    /// This controller's label.
    pub label: String,
    /// Address on which it listens for users and workers.
    pub serve_on: SocketAddr,
    /// Address on which it listens for other controllers.
    pub internal_addr: SocketAddr,
    /// The other controllers.
    #[serde(default)]
    pub members: Vec<Member>,
    /// Addresses of the platform's services.
    pub services: Services,
    /// The deployment.
    pub deployment: Deployment,
}

impl Platform {
    /// Reads and checks the file from its text.
    pub(super) fn parse(text: &str) -> Result<Platform, SettingsError> {
        let platform: Platform = toml::from_str(text).map_err(|e| malformed(text, &e))?;
        platform.check()?;
        Ok(platform)
    }

    /// Refuses values with which this service can't run.
    pub fn check(&self) -> Result<(), SettingsError> {
        let cluster = &self.deployment.cluster;
        let (workers, state) = (&cluster.workers, &cluster.state);
        for (field, value) in [
            ("deployment.workers.report_s", workers.report_s),
            ("deployment.workers.lease_s", workers.lease_s),
            ("deployment.workers.cancel_s", workers.cancel_s),
            ("deployment.state.rps", state.rps),
            ("deployment.state.write_rps", state.write_rps),
            ("deployment.state.value_kb", state.value_kb),
            ("deployment.cloud.rps", cluster.cloud.rps),
        ] {
            check_positive(field, Some(value))?;
        }
        let next = state.next.unwrap_or_default();
        check_positive("deployment.state.next.rps", next.rps)?;
        check_positive("deployment.state.next.write_rps", next.write_rps)?;
        check_positive("deployment.state.next.value_kb", next.value_kb)?;
        check_changes("deployment.state.txn_ops", Some(state.txn_ops))?;
        check_changes("deployment.state.next.txn_ops", next.txn_ops)?;
        check_cancel_time(workers)
    }
}

/// The error for a malformed file, with the mistake's line and its description in one line.
fn malformed(text: &str, error: &toml::de::Error) -> SettingsError {
    let line_at = |start: usize| text[..start.min(text.len())].lines().count();
    SettingsError::Malformed {
        line: error.span().map_or(0, |span| line_at(span.start)),
        message: error.message().replace('\n', " "),
    }
}

fn check_positive(field: &'static str, value: Option<f64>) -> Result<(), SettingsError> {
    match value {
        Some(v) if !v.is_finite() || v <= 0.0 => Err(SettingsError::NotPositive { field }),
        _ => Ok(()),
    }
}

fn check_changes(field: &'static str, ops: Option<usize>) -> Result<(), SettingsError> {
    let least = TXN_OPS_MIN;
    match ops {
        Some(ops) if ops < least => Err(SettingsError::TooFewChanges { field, least }),
        _ => Ok(()),
    }
}

/// Checks that the leases that a cancellation waits out fit into `cancel_s`.
fn check_cancel_time(workers: &Workers) -> Result<(), SettingsError> {
    let least_s = cherrywood_limits::min_cancel_s(workers.lease_s);
    if workers.cancel_s < least_s {
        return Err(SettingsError::CancelTooShort {
            found_s: workers.cancel_s,
            least_s,
            lease_s: workers.lease_s,
        });
    }
    Ok(())
}
