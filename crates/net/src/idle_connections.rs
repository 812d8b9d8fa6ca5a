//! Idle connections that a client keeps for its next requests.
//!
//! The server may close an idle connection at any time. A connection that is found closed is
//! dropped before anything is sent on it, so that no request fails, or has an unknown outcome,
//! only because its connection had been closed before. A close that crosses the request can't
//! be distinguished from a failure after its execution: that request is not repeated here.

use crate::{Stream, lock};
use cherrywood_limits as limits;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Waker};
use tokio::io::{AsyncRead, ReadBuf};

/// Idle connections to one address; the most recently used one is taken first.
#[derive(Debug)]
pub(crate) struct IdleConnections {
    max_connections: usize,
    connections: Mutex<Vec<IdleConnection>>,
}

/// An idle connection, and since when it is idle (seconds on the steady clock).
#[derive(Debug)]
struct IdleConnection {
    stream: Stream,
    since: f64,
}

impl IdleConnections {
    /// Creates an empty set that keeps at most this number of connections.
    pub(crate) fn new(max_connections: usize) -> Self {
        IdleConnections {
            max_connections,
            connections: Mutex::default(),
        }
    }

    /// Takes a connection that was used within [`limits::KEEP_ALIVE_S`] and is not known to be
    /// closed.
    pub(crate) fn take(&self, now: f64) -> Option<Stream> {
        let mut connections = lock(&self.connections);
        while let Some(mut connection) = connections.pop() {
            let is_fresh = now - connection.since < limits::KEEP_ALIVE_S;
            if is_fresh && has_no_pending_input(&mut connection.stream) {
                return Some(connection.stream);
            }
        }
        None
    }

    /// Keeps a connection on which a response has been read completely.
    pub(crate) fn keep(&self, stream: Stream, now: f64) {
        let mut connections = lock(&self.connections);
        if connections.len() < self.max_connections {
            connections.push(IdleConnection { stream, since: now });
        }
    }

    /// Closes all connections: where one has failed, the others may have as well.
    pub(crate) fn close_all(&self) {
        lock(&self.connections).clear();
    }
}

/// Returns whether nothing has arrived on the connection: neither its end nor unrequested
/// bytes.
fn has_no_pending_input(stream: &mut Stream) -> bool {
    let mut byte = [0];
    let mut buffer = ReadBuf::new(&mut byte);
    // The next user of the connection registers its own waker.
    let mut context = Context::from_waker(Waker::noop());
    Pin::new(stream)
        .poll_read(&mut context, &mut buffer)
        .is_pending()
}
