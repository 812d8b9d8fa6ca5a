//! The runtime environment of a process: a steady clock, the time of day, random numbers,
//! tasks and sockets.
//!
//! All code in cherrywood that waits, draws random numbers or opens connections does so
//! through its [`Runtime`], so that the same program runs on a machine and in a simulation,
//! where all of this is emulated. On a machine every call goes straight to tokio, without
//! boxing or accounting.

use std::fmt;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// A boxed future, as taken and returned by emulated runtimes.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// An emulated runtime environment; see the methods of [`Runtime`].
pub trait EmulatedRuntime: Send + Sync {
    /// Returns the seconds on its steady clock, which may drift.
    fn now(&self) -> f64;
    /// Returns the time of day in milliseconds, which may be wrong.
    fn wall_ms(&self) -> u64;
    /// Returns a random number; the sequence is determined by the seed of the run.
    fn random(&self) -> u64;
    /// Waits `s` seconds of its steady clock.
    fn sleep(&self, s: f64) -> BoxFuture<()>;
    /// Spawns a task that is paused and ended together with the emulated process.
    fn spawn(&self, task: BoxFuture<()>);
    /// Opens a connection.
    fn connect(&self, to: SocketAddr) -> BoxFuture<io::Result<Stream>>;
    /// Listens at an address.
    fn bind(&self, at: SocketAddr) -> io::Result<Listener>;
}

#[derive(Clone)]
enum Backend {
    /// The machine; its steady clock counts from this instant.
    Native(Instant),
    Emulated(Arc<dyn EmulatedRuntime>),
}

/// The runtime environment of a process. Clones refer to the same environment.
#[derive(Clone)]
pub struct Runtime(Backend);

impl fmt::Debug for Runtime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.0 {
            Backend::Native(_) => "Runtime(native)",
            Backend::Emulated(_) => "Runtime(emulated)",
        })
    }
}

/// The timeout elapsed before the work was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

/// Number of random bits that an `f64` in [0, 1) holds.
const UNIT_BITS: u32 = 53;

impl Runtime {
    /// Creates the environment of the machine that this process runs on. Its asynchronous
    /// methods need a tokio runtime.
    pub fn native() -> Runtime {
        Runtime(Backend::Native(Instant::now()))
    }

    /// Creates an emulated environment.
    pub fn emulated(emulated: Arc<dyn EmulatedRuntime>) -> Runtime {
        Runtime(Backend::Emulated(emulated))
    }

    /// Returns the seconds on the steady clock, from some point in the past.
    pub fn now(&self) -> f64 {
        match &self.0 {
            Backend::Native(start) => start.elapsed().as_secs_f64(),
            Backend::Emulated(e) => e.now(),
        }
    }

    /// Returns the time of day in milliseconds, within the platform's bound of the true time.
    pub fn wall_ms(&self) -> u64 {
        match &self.0 {
            Backend::Native(_) => SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_millis() as u64),
            Backend::Emulated(e) => e.wall_ms(),
        }
    }

    /// Returns a random number.
    pub fn random(&self) -> u64 {
        match &self.0 {
            Backend::Native(_) => rand::random(),
            Backend::Emulated(e) => e.random(),
        }
    }

    /// Returns a random number, uniformly distributed over `min..max`.
    pub fn random_between(&self, min: f64, max: f64) -> f64 {
        let unit = (self.random() >> (u64::BITS - UNIT_BITS)) as f64 / (1u64 << UNIT_BITS) as f64;
        min + unit * (max - min)
    }

    /// Waits `s` seconds of the steady clock. Cancel safe.
    pub async fn sleep(&self, s: f64) {
        match &self.0 {
            Backend::Native(_) => tokio::time::sleep(duration(s)).await,
            Backend::Emulated(e) => e.sleep(s).await,
        }
    }

    /// Returns the output of `work`, unless it takes longer than `s` seconds; then `work` is
    /// dropped. As cancel safe as `work`.
    ///
    /// # Errors
    ///
    /// [`Elapsed`] on timeout.
    pub async fn timeout<F: Future>(&self, s: f64, work: F) -> Result<F::Output, Elapsed> {
        let mut work = pin!(work);
        let mut deadline = pin!(self.sleep(s));
        poll_fn(|cx| {
            if let Poll::Ready(output) = work.as_mut().poll(cx) {
                return Poll::Ready(Ok(output));
            }
            deadline.as_mut().poll(cx).map(|()| Err(Elapsed))
        })
        .await
    }

    /// Spawns a background task.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        match &self.0 {
            Backend::Native(_) => {
                tokio::spawn(task);
            }
            Backend::Emulated(e) => e.spawn(Box::pin(task)),
        }
    }

    /// Opens a connection. Cancel safe: an unfinished attempt is abandoned.
    ///
    /// # Errors
    ///
    /// Those of the connection attempt.
    pub async fn connect(&self, to: SocketAddr) -> io::Result<Stream> {
        match &self.0 {
            Backend::Native(_) => {
                let stream = TcpStream::connect(to).await?;
                let _ = stream.set_nodelay(true);
                Ok(Stream::Tcp(stream))
            }
            Backend::Emulated(e) => e.connect(to).await,
        }
    }

    /// Listens at an address.
    ///
    /// # Errors
    ///
    /// Those of the operating system, such as an address that is in use.
    pub async fn bind(&self, at: SocketAddr) -> io::Result<Listener> {
        match &self.0 {
            Backend::Native(_) => TcpListener::bind(at).await.map(Listener::Tcp),
            Backend::Emulated(e) => e.bind(at),
        }
    }
}

fn duration(s: f64) -> Duration {
    Duration::from_secs_f64(s.max(0.0))
}

/// Both directions of an emulated connection.
pub trait EmulatedConnection: AsyncRead + AsyncWrite + Send + Unpin {}
impl<T: AsyncRead + AsyncWrite + Send + Unpin> EmulatedConnection for T {}

/// A connection.
pub enum Stream {
    /// A TCP connection of the machine.
    Tcp(TcpStream),
    /// An emulated connection of a simulation.
    Emulated(Box<dyn EmulatedConnection>),
}

impl fmt::Debug for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Stream::Tcp(s) => s.fmt(f),
            Stream::Emulated(_) => f.write_str("Stream(emulated)"),
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Tcp(s) => Pin::new(s).poll_read(cx, buf),
            Stream::Emulated(s) => Pin::new(s).poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Stream::Tcp(s) => Pin::new(s).poll_write(cx, buf),
            Stream::Emulated(s) => Pin::new(s).poll_write(cx, buf),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Tcp(s) => Pin::new(s).poll_flush(cx),
            Stream::Emulated(s) => Pin::new(s).poll_flush(cx),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Tcp(s) => Pin::new(s).poll_shutdown(cx),
            Stream::Emulated(s) => Pin::new(s).poll_shutdown(cx),
        }
    }
}

/// Accepts emulated connections.
pub trait EmulatedListener: Send {
    /// Polls for the next connection, with the address it comes from.
    fn poll_accept(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<(Stream, SocketAddr)>>;
    /// Returns the address that it listens at.
    fn local_addr(&self) -> SocketAddr;
}

/// Accepts connections.
pub enum Listener {
    /// A TCP listener of the machine.
    Tcp(TcpListener),
    /// An emulated listener of a simulation.
    Emulated(Box<dyn EmulatedListener>),
}

impl fmt::Debug for Listener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Listener::Tcp(l) => l.fmt(f),
            Listener::Emulated(_) => f.write_str("Listener(emulated)"),
        }
    }
}

impl Listener {
    /// Accepts the next connection and returns it with the address it comes from. Cancel safe:
    /// no connection is lost.
    ///
    /// # Errors
    ///
    /// Those of the operating system, such as running out of sockets; it may be called again.
    pub async fn accept(&mut self) -> io::Result<(Stream, SocketAddr)> {
        match self {
            Listener::Tcp(l) => {
                let (stream, from) = l.accept().await?;
                let _ = stream.set_nodelay(true);
                Ok((Stream::Tcp(stream), from))
            }
            Listener::Emulated(l) => poll_fn(|cx| l.poll_accept(cx)).await,
        }
    }

    /// Returns the address that it listens at.
    ///
    /// # Errors
    ///
    /// Those of the operating system.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        match self {
            Listener::Tcp(l) => l.local_addr(),
            Listener::Emulated(l) => Ok(l.local_addr()),
        }
    }
}
