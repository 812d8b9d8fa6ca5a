//! Starts that were sent to a worker directly, for as long as the command could be executed again.
//!
//! A direct command is executed whenever it arrives, if the worker has seen no newer token and is
//! in the same incarnation. So a start may arrive late, or once more long after its response. It
//! has no effect while the worker knows the attempt. Before the worker is told to forget the
//! attempt it must therefore have seen a token newer than that of the start.

use super::Heartbeat;
use cherrywood_wire::agent::DirectCommands;
use std::collections::HashMap;

/// The direct start of one attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
struct DirectStart {
    /// Token of the command.
    token: u64,
    /// Incarnation to which the command was addressed.
    incarnation: u64,
    /// Whether the sender still waits for the response.
    awaits_response: bool,
}

/// The direct starts of one machine that could still be executed, by task id and attempt.
#[derive(Debug, Default)]
pub(super) struct DirectStarts(HashMap<(String, u64), DirectStart>);

impl DirectStarts {
    /// Records that a start of the attempt is sent under this token.
    pub(super) fn sent(&mut self, task: &str, attempt: u64, token: u64, incarnation: u64) {
        let start = DirectStart {
            token,
            incarnation,
            awaits_response: true,
        };
        self.0.insert((task.to_string(), attempt), start);
    }

    /// Records that the worker executed the start, or that there is no response.
    pub(super) fn settled(&mut self, task: &str, attempt: u64, commands: &DirectCommands) {
        let start = self.0.get_mut(&(task.to_string(), attempt));
        if let Some(start) = start.filter(|start| start.token == commands.fencing_token) {
            start.awaits_response = false;
        }
    }

    /// Records that the worker rejected the start, which it will do again.
    pub(super) fn rejected(&mut self, task: &str, attempt: u64, commands: &DirectCommands) {
        let key = (task.to_string(), attempt);
        let start = self.0.get(&key);
        if start.is_some_and(|start| start.token == commands.fencing_token) {
            self.0.remove(&key);
        }
    }

    /// Whether a start of the attempt could still be executed by a worker that has seen the token
    /// `seen`.
    pub(super) fn may_execute(&self, task: &str, attempt: u64, seen: u64) -> bool {
        let start = self.0.get(&(task.to_string(), attempt));
        start.is_some_and(|start| start.awaits_response || start.token >= seen)
    }

    /// Whether the start of the attempt has been answered, and no newer token than its own has
    /// been issued: `newest` is the newest one.
    pub(super) fn needs_newer_token(&self, task: &str, attempt: u64, newest: u64) -> bool {
        let start = self.0.get(&(task.to_string(), attempt));
        start.is_some_and(|start| !start.awaits_response && start.token >= newest)
    }

    /// Drops the starts that the worker would reject according to this heartbeat.
    pub(super) fn drop_fenced(&mut self, heartbeat: &Heartbeat) {
        self.0.retain(|_, start| {
            let is_fenced =
                start.token < heartbeat.fencing_token || start.incarnation < heartbeat.incarnation;
            start.awaits_response || !is_fenced
        });
    }
}
