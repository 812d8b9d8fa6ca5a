//! An in-memory network on tokio's paused clock, which advances automatically.

use cherrywood_net::runtime::{
    BoxFuture, EmulatedListener, EmulatedRuntime, Listener, Runtime, Stream,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

/// Time that it takes to establish a connection.
pub const CONNECT: Duration = Duration::from_millis(1);
const STREAM_BYTES: usize = 4096;

type Incoming = (Stream, SocketAddr);

/// An in-memory network on tokio's clock.
struct Network {
    started: Instant,
    rng: Mutex<Pcg64>,
    listeners: Mutex<BTreeMap<SocketAddr, mpsc::UnboundedSender<Incoming>>>,
}

impl Network {
    fn runtime() -> Runtime {
        Runtime::emulated(Arc::new(Network {
            started: Instant::now(),
            rng: Mutex::new(Pcg64::seed_from_u64(43)),
            listeners: Mutex::default(),
        }))
    }
}

impl EmulatedRuntime for Network {
    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
    fn wall_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
    fn random(&self) -> u64 {
        self.rng.lock().unwrap().random()
    }
    fn sleep(&self, s: f64) -> BoxFuture<()> {
        Box::pin(sleep(Duration::from_secs_f64(s.max(0.0))))
    }
    fn spawn(&self, task: BoxFuture<()>) {
        tokio::spawn(task);
    }
    fn connect(&self, to: SocketAddr) -> BoxFuture<io::Result<Stream>> {
        let listener = self.listeners.lock().unwrap().get(&to).cloned();
        Box::pin(async move {
            sleep(CONNECT).await;
            let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
            let listener = listener.ok_or_else(refused)?;
            let (near, far) = tokio::io::duplex(STREAM_BYTES);
            let from = SocketAddr::from(([10, 0, 0, 1], 20_000));
            let incoming = (Stream::Emulated(Box::new(far)), from);
            listener.send(incoming).map_err(|_| refused())?;
            Ok(Stream::Emulated(Box::new(near)))
        })
    }
    fn bind(&self, at: SocketAddr) -> io::Result<Listener> {
        let (connected, incoming) = mpsc::unbounded_channel();
        self.listeners.lock().unwrap().insert(at, connected);
        Ok(Listener::Emulated(Box::new(Bound { at, incoming })))
    }
}

struct Bound {
    at: SocketAddr,
    incoming: mpsc::UnboundedReceiver<Incoming>,
}

impl EmulatedListener for Bound {
    fn poll_accept(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<Incoming>> {
        let closed = || io::ErrorKind::ConnectionAborted.into();
        self.incoming.poll_recv(cx).map(|c| c.ok_or_else(closed))
    }
    fn local_addr(&self) -> SocketAddr {
        self.at
    }
}

/// Runs a test in virtual time.
pub fn run<F: Future<Output = ()>>(test: impl FnOnce(Runtime) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async { test(Network::runtime()).await });
}
