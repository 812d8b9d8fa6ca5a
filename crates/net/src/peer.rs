//! Remote calls between controllers: `bitcode` frames, each preceded by its length in 4 bytes.
//!
//! A connection carries one request at a time; a request that times out closes its
//! connection, so no reply can be taken for that of another request.

use crate::idle_connections::IdleConnections;
use crate::{Listener, NetError, Runtime, Stream};
use bitcode::{Decode, Encode};
use cherrywood_limits as limits;
use cherrywood_wire::peer::{PeerReply, PeerRequest};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

async fn write_frame<T: Encode>(stream: &mut Stream, value: &T) -> io::Result<()> {
    let body = bitcode::encode(value);
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    stream.write_all(&bytes).await
}

async fn read_frame<T: for<'a> Decode<'a>>(stream: &mut Stream) -> io::Result<T> {
    let length = stream.read_u32().await? as usize;
    if length > limits::PEER_FRAME_BYTES_MAX {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    bitcode::decode(&body).map_err(|_| io::ErrorKind::InvalidData.into())
}

/// A client for remote calls to another controller, with keep-alive connections.
#[derive(Debug)]
pub struct PeerClient {
    /// Label of the other controller.
    pub label: String,
    runtime: Runtime,
    address: SocketAddr,
    idle: IdleConnections,
}

impl PeerClient {
    /// Creates a client without open connections.
    pub fn new(runtime: &Runtime, label: &str, address: SocketAddr) -> Self {
        PeerClient {
            label: label.to_string(),
            runtime: runtime.clone(),
            address,
            idle: IdleConnections::new(limits::KEEP_ALIVE_PEER_CONNECTIONS_MAX),
        }
    }

    /// Sends one request and waits at most `timeout_s` seconds for the reply.
    ///
    /// # Errors
    ///
    /// [`NetError::OutcomeUnknown`] for every failure: the other controller may have
    /// executed the request.
    ///
    /// # Cancel safety
    ///
    /// If the future is dropped, the request may have been sent and may be executed. Its
    /// connection is closed, so its reply can't be taken for that of another request.
    pub async fn send(&self, request: &PeerRequest, timeout_s: f64) -> Result<PeerReply, NetError> {
        let call = async {
            let mut stream = match self.idle.take(self.runtime.now()) {
                Some(stream) => stream,
                None => self.runtime.connect(self.address).await?,
            };
            write_frame(&mut stream, request).await?;
            let reply: PeerReply = read_frame(&mut stream).await?;
            self.idle.keep(stream, self.runtime.now());
            Ok::<_, io::Error>(reply)
        };
        let cause = match self.runtime.timeout(timeout_s, call).await {
            Ok(Ok(reply)) => return Ok(reply),
            Ok(Err(e)) => e.to_string(),
            Err(_) => "timed out".to_string(),
        };
        self.idle.close_all();
        let request = format!("request to {} at {}", self.label, self.address);
        Err(NetError::unknown(&request, cause))
    }
}

/// Serves other controllers' requests until its task is dropped, which ends neither the
/// connections nor their handlers: each has a task of its own.
pub async fn serve<H, F>(runtime: Runtime, mut listener: Listener, handler: Arc<H>)
where
    H: Fn(PeerRequest) -> F + Send + Sync + 'static,
    F: Future<Output = PeerReply> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // No sockets are left until other connections close.
            runtime.sleep(limits::ACCEPT_RETRY_S).await;
            continue;
        };
        let (connection_runtime, handler) = (runtime.clone(), handler.clone());
        runtime.spawn(serve_connection(connection_runtime, stream, handler));
    }
}

async fn serve_connection<H, F>(runtime: Runtime, mut stream: Stream, handler: Arc<H>)
where
    H: Fn(PeerRequest) -> F + Send + Sync + 'static,
    F: Future<Output = PeerReply> + Send + 'static,
{
    while let Ok(Ok(request)) = runtime
        .timeout(
            limits::IDLE_CONNECTION_TIMEOUT_S,
            read_frame::<PeerRequest>(&mut stream),
        )
        .await
    {
        let reply = handler(request).await;
        if write_frame(&mut stream, &reply).await.is_err() {
            return;
        }
    }
}
