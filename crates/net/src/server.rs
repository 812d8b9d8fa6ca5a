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

fn reason(status: u16) -> &'static str {
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
pub async fn serve<H, F>(host: Runtime, listener: Listener, max_connections: usize, handler: Arc<H>)
where
    H: Fn(Request, SocketAddr) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let limits = PoolLimits::uniform(max_connections);
    serve_classes(host, listener, limits, |_| ConnectionClass::User, handler).await;
}

/// Like [`serve`], for connections of several classes; `classify` returns each request's
/// class.
pub async fn serve_classes<H, F>(
    host: Runtime,
    listener: Listener,
    limits: PoolLimits,
    classify: fn(&Request) -> ConnectionClass,
    handler: Arc<H>,
) where
    H: Fn(Request, SocketAddr) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let pool = ConnectionPool::new(limits);
    serve_pool(host, listener, pool, classify, handler).await;
}

/// Like [`serve_classes`], with a pool that the caller provides and whose counts it can read.
pub async fn serve_pool<H, F>(
    host: Runtime,
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
            // Out of sockets: others must close first.
            host.sleep(limits::ACCEPT_RETRY_S).await;
            continue;
        };
        let Some(place) = pool.admit() else {
            drop(stream);
            continue;
        };
        let (own, handler) = (host.clone(), handler.clone());
        host.spawn(async move {
            let handler = |request| handler(request, from);
            connection(&own, stream, place, classify, handler).await;
        });
    }
}

/// The result of parsing the bytes received so far.
#[derive(Debug, PartialEq, Eq)]
enum Parsed {
    /// The head is not complete.
    Partial,
    /// Not HTTP, or a form this server does not take.
    Broken,
    TooLarge,
    Head {
        method: String,
        path: String,
        head: usize,
        body: usize,
        close: bool,
    },
}

fn parse(buf: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut req = httparse::Request::new(&mut headers);
    let head = match req.parse(buf) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buf.len() > limits::HEAD_BYTES_MAX => {
            return Parsed::Broken;
        }
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(_) => return Parsed::Broken,
    };
    let (mut body, mut seen, mut close) = (0usize, false, req.version == Some(0));
    for h in req.headers.iter() {
        let text = std::str::from_utf8(h.value).unwrap_or("").trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            match text.parse() {
                Ok(n) if !seen && text.bytes().all(|b| b.is_ascii_digit()) => body = n,
                _ => return Parsed::Broken,
            }
            seen = true;
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            return Parsed::Broken;
        } else if h.name.eq_ignore_ascii_case("connection") {
            close |= text.eq_ignore_ascii_case("close");
        }
    }
    if body > limits::BODY_BYTES_MAX {
        return Parsed::TooLarge;
    }
    let (Some(method), Some(path)) = (req.method, req.path) else {
        return Parsed::Broken;
    };
    Parsed::Head {
        method: method.into(),
        path: path.into(),
        head,
        body,
        close,
    }
}

async fn connection<H, F>(
    host: &Runtime,
    mut stream: Stream,
    mut place: PooledConnection,
    classify: fn(&Request) -> ConnectionClass,
    handler: H,
) where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let mut buf: Vec<u8> = Vec::with_capacity(1024);
    loop {
        let evicted = place.set_idle();
        let read = fill_unless_evicted(&mut stream, &mut buf, evicted);
        let read = host.timeout(limits::IDLE_CONNECTION_TIMEOUT_S, read).await;
        match read {
            Ok(true) => {}
            Ok(false) => return,
            Err(Elapsed) => {
                place.record_idle_timeout();
                return;
            }
        }
        place.set_active();
        let got = host
            .timeout(limits::REQUEST_TIMEOUT_S, request(&mut stream, &mut buf))
            .await;
        let (answer, close) = match got {
            Ok(Ok((req, close))) => {
                let answer = match place.begin_request(classify(&req)) {
                    true => handler(req).await,
                    false => Response::busy(),
                };
                let close = close || answer.close || !place.keep_alive();
                (answer, close)
            }
            Ok(Err(Some(status))) => (Response::empty(status), true),
            _ => return,
        };
        if write(host, &mut stream, &answer, close).await.is_err() || close {
            return;
        }
    }
}

/// Waits for the first bytes of a request; returns false if the connection ends or is evicted
/// without any. Bytes that have already arrived are read even if the connection is evicted.
async fn fill_unless_evicted(
    stream: &mut Stream,
    buf: &mut Vec<u8>,
    evicted: oneshot::Receiver<()>,
) -> bool {
    tokio::select! {
        biased;
        filled = fill(stream, buf) => filled,
        _ = evicted => false,
    }
}

/// Reads at least one byte unless some are there already.
async fn fill(stream: &mut Stream, buf: &mut Vec<u8>) -> bool {
    !buf.is_empty() || matches!(stream.read_buf(buf).await, Ok(n) if n > 0)
}

/// Reads one whole request, and whether the client closes the connection after it. The error
/// is the status to refuse it with; None if the connection ended.
async fn request(stream: &mut Stream, buf: &mut Vec<u8>) -> Result<(Request, bool), Option<u16>> {
    loop {
        match parse(buf) {
            Parsed::Broken => return Err(Some(400)),
            Parsed::TooLarge => return Err(Some(413)),
            Parsed::Partial => {}
            Parsed::Head {
                method,
                path,
                head,
                body,
                close,
            } => {
                if buf.len() >= head + body {
                    let rest = buf.split_off(head + body);
                    let body = buf.split_off(head);
                    *buf = rest;
                    return Ok((Request { method, path, body }, close));
                }
            }
        }
        match stream.read_buf(buf).await {
            Ok(n) if n > 0 => {}
            _ => return Err(None),
        }
    }
}

async fn write(
    host: &Runtime,
    stream: &mut Stream,
    answer: &Response,
    close: bool,
) -> std::io::Result<()> {
    let mut out = format!(
        "HTTP/1.1 {} {}\r\nContent-Length: {}\r\n",
        answer.status,
        reason(answer.status),
        answer.body.len()
    );
    if !answer.body.is_empty() {
        out.push_str("Content-Type: application/msgpack\r\n");
    }
    if let Some(s) = answer.retry_after_s {
        out.push_str(&format!("Retry-After: {s}\r\n"));
    }
    if close {
        out.push_str("Connection: close\r\n");
    }
    out.push_str("\r\n");
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(&answer.body);
    host.timeout(limits::REQUEST_TIMEOUT_S, stream.write_all(&bytes))
        .await
        .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn broken_and_oversized_requests_are_told_apart() {
        assert_eq!(parse(b"GET / HTTP/1.1\r\nHo"), Parsed::Partial);
        assert_eq!(parse(b"\x00\x01\x02 nonsense\r\n\r\n"), Parsed::Broken);
        let chunked = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        assert_eq!(parse(chunked), Parsed::Broken);
        assert_eq!(
            parse(b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
            Parsed::Broken
        );
        assert_eq!(
            parse(b"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"),
            Parsed::TooLarge
        );
        // A head that exceeds the limit is malformed, not partial.
        assert_eq!(
            parse(&vec![b'A'; limits::HEAD_BYTES_MAX + 1]),
            Parsed::Broken
        );
        let ok = parse(b"POST /x HTTP/1.1\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc");
        assert!(matches!(
            ok,
            Parsed::Head {
                body: 3,
                close: true,
                ..
            }
        ));
    }
}
