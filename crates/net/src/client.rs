//! An HTTP/1.1 client for one address, with keep-alive connections and without pipelining.

use crate::idle_connections::IdleConnections;
use crate::{NetError, NotExecutedCause, Runtime, Stream};
use cherrywood_limits as limits;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Maximum number of headers in a response.
const HEADERS_MAX: usize = 32;

/// Initial capacity of the read buffer in bytes; most responses fit.
const READ_BUFFER_BYTES: usize = 2048;

/// An HTTP client for one address. Each request has a connection to itself: an idle one if
/// there is any, otherwise a new one.
#[derive(Debug)]
pub struct HttpClient {
    runtime: Runtime,
    address: SocketAddr,
    idle: IdleConnections,
}

/// The response to a request.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientResponse {
    /// HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// Seconds to wait before repeating the request, as the server asks (`Retry-After`).
    pub retry_after_s: Option<f64>,
    /// Whether the server closes the connection after this response.
    pub close: bool,
}

impl HttpClient {
    /// Creates a client without open connections.
    pub fn new(runtime: &Runtime, address: SocketAddr) -> Self {
        HttpClient {
            runtime: runtime.clone(),
            address,
            idle: IdleConnections::new(limits::KEEP_ALIVE_CONNECTIONS_MAX),
        }
    }

    /// Sends one request and waits at most `timeout_s` seconds for the response.
    ///
    /// # Errors
    ///
    /// [`NetError::NotExecuted`] if no connection was opened, [`NetError::OutcomeUnknown`] if
    /// no response came in time or the connection failed, [`NetError::InvalidResponse`] if
    /// the response isn't acceptable HTTP. A response of any status is not an error.
    ///
    /// # Cancel safety
    ///
    /// If the future is dropped, the request may have been sent and may be executed. Its
    /// connection is closed, so its response can't be taken for that of another request.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        timeout_s: f64,
    ) -> Result<ClientResponse, NetError> {
        let deadline = self.runtime.now() + timeout_s;
        let mut stream = match self.idle.take(self.runtime.now()) {
            Some(stream) => stream,
            None => self.connect(method, path, timeout_s).await?,
        };
        let response = exchange(&mut stream, self.address, method, path, body);
        let left_s = deadline - self.runtime.now();
        match self.runtime.timeout(left_s, response).await {
            Ok(Ok(response)) => {
                if !response.close {
                    self.idle.keep(stream, self.runtime.now());
                }
                Ok(response)
            }
            Ok(Err(e)) => {
                self.idle.close_all();
                Err(e)
            }
            Err(_) => {
                self.idle.close_all();
                let request = describe(method, path, self.address);
                Err(NetError::unknown(&request, "timed out"))
            }
        }
    }

    async fn connect(&self, method: &str, path: &str, timeout_s: f64) -> Result<Stream, NetError> {
        let connecting = self.runtime.connect(self.address);
        let cause = match self.runtime.timeout(timeout_s, connecting).await {
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(e)) => NotExecutedCause::Connect(e.to_string()),
            Err(_) => NotExecutedCause::ConnectTimeout,
        };
        let request = describe(method, path, self.address);
        Err(NetError::not_executed(&request, cause))
    }
}

/// Names a request in errors.
fn describe(method: &str, path: &str, address: SocketAddr) -> String {
    format!("{method} {path} at {address}")
}

/// Sends one request on an open connection and reads the response, without a timeout.
///
/// # Errors
///
/// [`NetError::OutcomeUnknown`] if the connection fails, [`NetError::InvalidResponse`] if the
/// response isn't acceptable HTTP. The connection must not be used again after either.
///
/// # Cancel safety
///
/// If the future is dropped, part of the request may have been sent or part of the response
/// read: the connection must not be used again.
pub async fn exchange(
    stream: &mut Stream,
    to: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&[u8]>,
) -> Result<ClientResponse, NetError> {
    let request = encode_request(to, method, path, body);
    let name = || describe(method, path, to);
    stream
        .write_all(&request)
        .await
        .map_err(|e| NetError::unknown(&name(), e))?;
    match read_response(stream).await {
        Ok(response) => Ok(response),
        Err(ReadError::Connection(cause)) => Err(NetError::unknown(&name(), cause)),
        Err(ReadError::Invalid(problem)) => Err(NetError::invalid(&name(), problem)),
    }
}

fn encode_request(to: SocketAddr, method: &str, path: &str, body: Option<&[u8]>) -> Vec<u8> {
    let mut bytes = format!("{method} {path} HTTP/1.1\r\nHost: {to}\r\n").into_bytes();
    let Some(body) = body else {
        bytes.extend_from_slice(b"\r\n");
        return bytes;
    };
    let headers = format!(
        "Content-Type: application/msgpack\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    bytes.extend_from_slice(headers.as_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Why a response could not be read.
enum ReadError {
    /// The connection failed or was closed.
    Connection(String),
    /// The response is not HTTP, or uses a form of it that this client does not accept.
    Invalid(&'static str),
}

/// The parsed head of a response.
struct ResponseHead {
    /// Bytes of the head itself.
    head_bytes: usize,
    body_bytes: usize,
    status: u16,
    retry_after_s: Option<f64>,
    close: bool,
}

async fn read_response(stream: &mut Stream) -> Result<ClientResponse, ReadError> {
    let mut buffer = Vec::with_capacity(READ_BUFFER_BYTES);
    let head = loop {
        read_some(stream, &mut buffer).await?;
        if let Some(head) = parse_head(&buffer)? {
            break head;
        }
    };
    let end = head.head_bytes + head.body_bytes;
    while buffer.len() < end {
        read_some(stream, &mut buffer).await?;
    }
    Ok(ClientResponse {
        status: head.status,
        body: buffer[head.head_bytes..end].to_vec(),
        retry_after_s: head.retry_after_s,
        close: head.close,
    })
}

async fn read_some(stream: &mut Stream, buffer: &mut Vec<u8>) -> Result<(), ReadError> {
    match stream.read_buf(buffer).await {
        Ok(0) => Err(ReadError::Connection("connection closed".into())),
        Ok(_) => Ok(()),
        Err(e) => Err(ReadError::Connection(e.to_string())),
    }
}

/// Parses the head at the start of the bytes; None if it isn't complete.
fn parse_head(bytes: &[u8]) -> Result<Option<ResponseHead>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut response = httparse::Response::new(&mut headers);
    let head_bytes = match response.parse(bytes) {
        Ok(httparse::Status::Complete(head_bytes)) => head_bytes,
        Ok(httparse::Status::Partial) if bytes.len() <= limits::HEAD_BYTES_MAX => return Ok(None),
        _ => return Err(ReadError::Invalid("not HTTP")),
    };
    let mut head = ResponseHead {
        head_bytes,
        body_bytes: 0,
        status: response.code.unwrap_or(0),
        retry_after_s: None,
        close: false,
    };
    for header in response.headers.iter() {
        head.read_header(header)?;
    }
    if head.body_bytes > limits::RESPONSE_BYTES_MAX {
        return Err(ReadError::Invalid("response too large"));
    }
    Ok(Some(head))
}

impl ResponseHead {
    fn read_header(&mut self, header: &httparse::Header<'_>) -> Result<(), ReadError> {
        let text = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            let length = text.parse();
            self.body_bytes = length.map_err(|_| ReadError::Invalid("content-length"))?;
        } else if header.name.eq_ignore_ascii_case("retry-after") {
            self.retry_after_s = text.parse().ok();
        } else if header.name.eq_ignore_ascii_case("connection") {
            self.close |= text.eq_ignore_ascii_case("close");
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(ReadError::Invalid("chunked response"));
        }
        Ok(())
    }
}
