//! The command line: the daemon, validation of settings, simulations and a minimal client.

use anyhow::{Context as _, bail};
use cherrywood_net::Runtime;
use cherrywood_net::client::HttpClient;
use cherrywood_simulation::command::{ExperimentArgs, Schema, SimulateArgs};
use cherrywood_wire::ErrorResponse;
use cherrywood_wire::user::{JobStatus, Submission};
use clap::{Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A cluster scheduler that learns how long tasks run.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Args {
    /// The platform's settings (TOML); runs a controller.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// The operators' own settings (YAML).
    #[arg(long, value_name = "FILE")]
    pub operator: Option<PathBuf>,
    /// Check the settings and exit.
    #[arg(long, requires = "config")]
    pub check: bool,
    /// Exit when standard input is closed, that is when the parent process has ended.
    #[arg(long, requires = "config", hide = true)]
    pub until_stdin_ends: bool,
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    #[command(alias = "rehearse")]
    Simulate(SimulateArgs),
    Experiment(ExperimentArgs),
    /// Print the JSON Schema of a file.
    Schema {
        of: Schema,
    },
    #[command(flatten)]
    Client(Request),
}

/// Requests of a user to a running service.
#[derive(Debug, Subcommand)]
pub enum Request {
    /// Submit the job described in a TOML file.
    Submit { node: SocketAddr, file: PathBuf },
    /// Show a job's state.
    Status { node: SocketAddr, id: String },
    /// Cancel a job.
    Cancel { node: SocketAddr, id: String },
}

/// Runs a client command and prints the job's state.
pub async fn client(command: Request) -> anyhow::Result<()> {
    let (node, method, path, body) = match command {
        Request::Submit { node, file } => {
            let text =
                std::fs::read_to_string(&file).with_context(|| format!("{}", file.display()))?;
            let job: Submission = toml::from_str(&text).context("job file")?;
            (
                node,
                "POST",
                "/submissions".to_string(),
                Some(cherrywood_wire::encode(&job)),
            )
        }
        Request::Status { node, id } => (node, "GET", format!("/submissions/{id}"), None),
        Request::Cancel { node, id } => (
            node,
            "POST",
            format!("/submissions/{id}/cancel"),
            Some(Vec::new()),
        ),
    };
    let response = HttpClient::new(&Runtime::native(), node)
        .send(
            method,
            &path,
            body.as_deref(),
            cherrywood_limits::CLI_TIMEOUT_S,
        )
        .await?;
    if !matches!(response.status, 200 | 201) {
        let error = cherrywood_wire::decode::<ErrorResponse>(&response.body);
        let reason = error.map_or(String::new(), |e| format!(": {}", e.error));
        bail!("status {}{reason}", response.status);
    }
    let job: JobStatus = cherrywood_wire::decode(&response.body)?;
    let state = match job.state {
        cherrywood_wire::user::JobState::Queued => "queued",
        cherrywood_wire::user::JobState::Running => "running",
        cherrywood_wire::user::JobState::Done => "done",
        cherrywood_wire::user::JobState::Cancelled => "cancelled",
    };
    print!("{} {state}", job.id);
    if let (Some(done), Some(running)) = (job.done, job.running) {
        print!(", {done} done, {running} running");
    }
    println!();
    Ok(())
}
