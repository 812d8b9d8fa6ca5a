//! An HTTP/1.1 server with keep-alive connections, without pipelining, and with bounds on
//! heads, bodies and connections.

use crate::connection_pool::{ConnectionClass, ConnectionPool, PoolLimits, PooledConnection};
use crate::runtime::Elapsed;
use crate::{Listener, Runtime, Stream};
use cherrywood_limits as limits;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::oneshot;

/// A request as it was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// HTTP method.
    pub method: String,
    /// Path and query as sent, still percent-encoded.
    pub path: String,
    /// The body, at most [`limits::BODY_BYTES_MAX`].
    pub body: Vec<u8>,
}

/// The response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// The body, MessagePack if there is any.
    pub body: Vec<u8>,
    /// Seconds that the client is asked to wait before it repeats the request.
    pub retry_after_s: Option<u64>,
    /// Whether the connection is closed after this response.
    pub close: bool,
}

impl Response {
    /// Creates a response with a body, on a connection that stays open.
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Response {
            status,
            body,
            retry_after_s: None,
            close: false,
        }
    }

    /// Creates a response without a body.
    pub fn empty(status: u16) -> Self {
        Self::new(status, Vec::new())
    }

    /// Creates the response of a service that can't serve the request now: the client is asked
    /// to repeat it later.
    pub fn busy() -> Self {
        Response {
            retry_after_s: Some(limits::RETRY_AFTER_BUSY_S),
            ..Self::empty(503)
        }
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Other",
    }
}

/// Accepts connections indefinitely, at most `max_connections` at once. The handler gets each
/// request with the address that it comes from.
pub async fn serve<H, F>(
    runtime: Runtime,
    listener: Listener,
    max_connections: usize,
    handler: Arc<H>,
) where
    H: Fn(Request, SocketAddr) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let limits = PoolLimits::uniform(max_connections);
    serve_classes(
        runtime,
        listener,
        limits,
        |_| ConnectionClass::User,
        handler,
    )
    .await;
}

/// Like [`serve`], for connections of several classes; `classify` returns each request's
/// class.
pub async fn serve_classes<H, F>(
    runtime: Runtime,
    listener: Listener,
    limits: PoolLimits,
    classify: fn(&Request) -> ConnectionClass,
    handler: Arc<H>,
) where
    H: Fn(Request, SocketAddr) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let pool = ConnectionPool::new(limits);
    serve_pool(runtime, listener, pool, classify, handler).await;
}

/// Like [`serve_classes`], with a pool that the caller provides and whose counts it can read.
pub async fn serve_pool<H, F>(
    runtime: Runtime,
    mut listener: Listener,
    pool: Arc<ConnectionPool>,
    classify: fn(&Request) -> ConnectionClass,
    handler: Arc<H>,
) where
    H: Fn(Request, SocketAddr) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            // No sockets are left until other connections close.
            runtime.sleep(limits::ACCEPT_RETRY_S).await;
            continue;
        };
        let Some(connection) = pool.admit() else {
            drop(stream);
            continue;
        };
        let (connection_runtime, handler) = (runtime.clone(), handler.clone());
        runtime.spawn(async move {
            let handler = |request| handler(request, from);
            serve_connection(&connection_runtime, stream, connection, classify, handler).await;
        });
    }
}

/// The result of parsing the bytes received so far.
#[derive(Debug, PartialEq, Eq)]
enum Parsed {
    /// The head is not complete.
    Partial,
    /// Not HTTP, or a form of it that this server does not accept.
    Malformed,
    TooLarge,
    Head {
        method: String,
        path: String,
        /// Bytes of the head itself.
        head_bytes: usize,
        body_bytes: usize,
        close: bool,
    },
}

fn parse(buffer: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut req = httparse::Request::new(&mut headers);
    let head_bytes = match req.parse(buffer) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buffer.len() > limits::HEAD_BYTES_MAX => {
            return Parsed::Malformed;
        }
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(_) => return Parsed::Malformed,
    };
    let (mut body_bytes, mut has_length) = (0usize, false);
    let mut close = req.version == Some(0);
    for header in req.headers.iter() {
        let text = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            match text.parse() {
                Ok(n) if !has_length && text.bytes().all(|b| b.is_ascii_digit()) => body_bytes = n,
                _ => return Parsed::Malformed,
            }
            has_length = true;
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Parsed::Malformed;
        } else if header.name.eq_ignore_ascii_case("connection") {
            close |= text.eq_ignore_ascii_case("close");
        }
    }
    if body_bytes > limits::BODY_BYTES_MAX {
        return Parsed::TooLarge;
    }
    let (Some(method), Some(path)) = (req.method, req.path) else {
        return Parsed::Malformed;
    };
    Parsed::Head {
        method: method.into(),
        path: path.into(),
        head_bytes,
        body_bytes,
        close,
    }
}

async fn serve_connection<H, F>(
    runtime: &Runtime,
    mut stream: Stream,
    mut connection: PooledConnection,
    classify: fn(&Request) -> ConnectionClass,
    handler: H,
) where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let mut buffer: Vec<u8> = Vec::with_capacity(1024);
    loop {
        let evicted = connection.set_idle();
        let read = fill_unless_evicted(&mut stream, &mut buffer, evicted);
        let read = runtime
            .timeout(limits::IDLE_CONNECTION_TIMEOUT_S, read)
            .await;
        match read {
            Ok(true) => {}
            Ok(false) => return,
            Err(Elapsed) => {
                connection.record_idle_timeout();
                return;
            }
        }
        connection.set_active();
        let received = runtime
            .timeout(
                limits::REQUEST_TIMEOUT_S,
                read_request(&mut stream, &mut buffer),
            )
            .await;
        let (response, close) = match received {
            Ok(Ok((request, close))) => {
                let response = match connection.begin_request(classify(&request)) {
                    true => handler(request).await,
                    false => Response::busy(),
                };
                let close = close || response.close || !connection.keep_alive();
                (response, close)
            }
            Ok(Err(Some(status))) => (Response::empty(status), true),
            _ => return,
        };
        let written = write_response(runtime, &mut stream, &response, close).await;
        if written.is_err() || close {
            return;
        }
    }
}

/// Waits for the first bytes of a request; returns false if the connection ends or is evicted
/// without any. Bytes that have already arrived are read even if the connection is evicted.
async fn fill_unless_evicted(
    stream: &mut Stream,
    buffer: &mut Vec<u8>,
    evicted: oneshot::Receiver<()>,
) -> bool {
    tokio::select! {
        biased;
        filled = fill(stream, buffer) => filled,
        _ = evicted => false,
    }
}

/// Reads at least one byte unless the buffer already holds some; returns false if the
/// connection ends.
async fn fill(stream: &mut Stream, buffer: &mut Vec<u8>) -> bool {
    !buffer.is_empty() || matches!(stream.read_buf(buffer).await, Ok(n) if n > 0)
}

/// Reads one complete request, and whether the client closes the connection after it. The
/// error is the status to refuse the request with; None if the connection ended.
async fn read_request(
    stream: &mut Stream,
    buffer: &mut Vec<u8>,
) -> Result<(Request, bool), Option<u16>> {
    loop {
        match parse(buffer) {
            Parsed::Malformed => return Err(Some(400)),
            Parsed::TooLarge => return Err(Some(413)),
            Parsed::Partial => {}
            Parsed::Head {
                method,
                path,
                head_bytes,
                body_bytes,
                close,
            } => {
                if buffer.len() >= head_bytes + body_bytes {
                    let rest = buffer.split_off(head_bytes + body_bytes);
                    let body = buffer.split_off(head_bytes);
                    *buffer = rest;
                    return Ok((Request { method, path, body }, close));
                }
            }
        }
        match stream.read_buf(buffer).await {
            Ok(n) if n > 0 => {}
            _ => return Err(None),
        }
    }
}

async fn write_response(
    runtime: &Runtime,
    stream: &mut Stream,
    response: &Response,
    close: bool,
) -> std::io::Result<()> {
    let mut head = format!(
        "HTTP/1.1 {} {}\r\nContent-Length: {}\r\n",
        response.status,
        reason_phrase(response.status),
        response.body.len()
    );
    if !response.body.is_empty() {
        head.push_str("Content-Type: application/msgpack\r\n");
    }
    if let Some(s) = response.retry_after_s {
        head.push_str(&format!("Retry-After: {s}\r\n"));
    }
    if close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&response.body);
    runtime
        .timeout(limits::REQUEST_TIMEOUT_S, stream.write_all(&bytes))
        .await
        .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn malformed_and_oversized_requests_are_distinguished() {
        assert_eq!(parse(b"GET / HTTP/1.1\r\nHo"), Parsed::Partial);
        assert_eq!(parse(b"\x00\x01\x02 nonsense\r\n\r\n"), Parsed::Malformed);
        let chunked = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        assert_eq!(parse(chunked), Parsed::Malformed);
        assert_eq!(
            parse(b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
            Parsed::Malformed
        );
        assert_eq!(
            parse(b"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"),
            Parsed::TooLarge
        );
        // A head that exceeds the limit is malformed, not partial.
        assert_eq!(
            parse(&vec![b'A'; limits::HEAD_BYTES_MAX + 1]),
            Parsed::Malformed
        );
        let ok = parse(b"POST /x HTTP/1.1\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc");
        assert!(matches!(
            ok,
            Parsed::Head {
                body_bytes: 3,
                close: true,
                ..
            }
        ));
    }
}
