//! Frames between controllers: `bitcode` behind a length of 4 bytes. A
//! connection carries one request at a time; a request that times out takes
//! its connection with it, so no answer can meet the wrong request.

use crate::{NetError, secs};
use bitcode::{Decode, Encode};
use cherrywood_limits as limits;
use cherrywood_wire::peer::{Reply, Request};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

async fn send<T: Encode>(stream: &mut TcpStream, value: &T) -> std::io::Result<()> {
    let body = bitcode::encode(value);
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    stream.write_all(&bytes).await
}

async fn receive<T: for<'a> Decode<'a>>(stream: &mut TcpStream) -> std::io::Result<T> {
    let len = stream.read_u32().await? as usize;
    if len > limits::FRAME_MAX {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; len];
    stream.read_exact(&mut body).await?;
    bitcode::decode(&body).map_err(|_| std::io::ErrorKind::InvalidData.into())
}

#[derive(Debug)]
pub struct Peer {
    pub label: String,
    addr: SocketAddr,
    idle: Mutex<Vec<TcpStream>>,
}

impl Peer {
    pub fn new(label: &str, addr: SocketAddr) -> Self {
        Peer {
            label: label.to_string(),
            addr,
            idle: Mutex::new(Vec::new()),
        }
    }

    pub async fn ask(&self, request: &Request, wait_s: f64) -> Result<Reply, NetError> {
        let talk = async {
            let kept = self.idle.lock().expect("no panic while held").pop();
            let mut stream = match kept {
                Some(stream) => stream,
                None => {
                    let stream = TcpStream::connect(self.addr).await?;
                    let _ = stream.set_nodelay(true);
                    stream
                }
            };
            send(&mut stream, request).await?;
            let reply: Reply = receive(&mut stream).await?;
            let mut idle = self.idle.lock().expect("no panic while held");
            if idle.len() < limits::KEEP_PEER_MAX {
                idle.push(stream);
            }
            Ok::<_, std::io::Error>(reply)
        };
        let err = match timeout(secs(wait_s), talk).await {
            Ok(Ok(reply)) => return Ok(reply),
            Ok(Err(e)) => e.to_string(),
            Err(_) => "timed out".to_string(),
        };
        self.idle.lock().expect("no panic while held").clear();
        Err(NetError::Unknown(err))
    }
}

/// Answers peers for ever.
pub async fn serve<H, F>(listener: TcpListener, handler: Arc<H>)
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            tokio::time::sleep(secs(0.05)).await;
            continue;
        };
        let handler = handler.clone();
        tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            while let Ok(Ok(request)) =
                timeout(secs(limits::IDLE_WAIT_S), receive::<Request>(&mut stream)).await
            {
                let reply = handler(request).await;
                if send(&mut stream, &reply).await.is_err() {
                    return;
                }
            }
        });
    }
}
