//! Unused connections that a client keeps for its next requests.
//!
//! The other end may close one at any time. One that is found closed is dropped before
//! anything is sent on it, so that no request fails, or has an unknown outcome, only because its
//! connection had ended before. A close that crosses the request can't be told apart from
//! a failure after its execution: that request is not repeated here.

use crate::{Stream, lock};
use cherrywood_limits as limits;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Waker};
use tokio::io::{AsyncRead, ReadBuf};

/// Unused connections to one address; the one used last is used first.
#[derive(Debug)]
pub(crate) struct IdleConnections {
    max_connections: usize,
    connections: Mutex<Vec<IdleConnection>>,
}

/// An unused connection, and since when it is unused (seconds on the steady clock).
#[derive(Debug)]
struct IdleConnection {
    stream: Stream,
    since: f64,
}

impl IdleConnections {
    /// None yet, and at most so many.
    pub(crate) fn new(max_connections: usize) -> Self {
        IdleConnections {
            max_connections,
            connections: Mutex::default(),
        }
    }

    /// A connection that is open as far as is known here, and was used lately.
    pub(crate) fn take(&self, now: f64) -> Option<Stream> {
        let mut connections = lock(&self.connections);
        while let Some(mut connection) = connections.pop() {
            let is_fresh = now - connection.since < limits::KEEP_ALIVE_S;
            if is_fresh && is_quiet(&mut connection.stream) {
                return Some(connection.stream);
            }
        }
        None
    }

    /// Keeps a connection on which a response has been read whole.
    pub(crate) fn keep(&self, stream: Stream, now: f64) {
        let mut connections = lock(&self.connections);
        if connections.len() < self.max_connections {
            connections.push(IdleConnection { stream, since: now });
        }
    }

    /// Closes all: where one connection is dead, the others may be as well.
    pub(crate) fn close_all(&self) {
        lock(&self.connections).clear();
    }
}

/// Nothing has arrived on the connection: neither its end, nor bytes that no request asked for.
fn is_quiet(stream: &mut Stream) -> bool {
    let mut byte = [0];
    let mut buffer = ReadBuf::new(&mut byte);
    // Whoever uses the connection registers a waker of its own.
    let mut context = Context::from_waker(Waker::noop());
    Pin::new(stream)
        .poll_read(&mut context, &mut buffer)
        .is_pending()
}
