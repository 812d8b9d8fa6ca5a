//! An emulated process: its own clocks and random stream, tasks that can be suspended and
//! killed, and access to the network, which is simulated or, in a simulation with real
//! processes, loopback.

use crate::network::{Network, lock};
use cherrywood_net::runtime::{BoxFuture, EmulatedRuntime, Listener, Runtime, Stream};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::{Arc, Mutex, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{Instant, Sleep, sleep};

thread_local! {
    static CURRENT: RefCell<Option<Arc<str>>> = const { RefCell::new(None) };
}

/// Returns the name of the process whose task runs on this thread now; for logs.
pub fn current() -> Option<Arc<str>> {
    CURRENT.with_borrow(Clone::clone)
}

/// Deviations of a process's clocks.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clocks {
    /// Fraction by which the monotonic clock runs fast.
    pub drift: f64,
    /// Reading of the monotonic clock when the process starts, s.
    pub offset_s: f64,
    /// Error of the wall clock, ms.
    pub wall_offset_ms: f64,
}

#[derive(Debug, Clone)]
pub enum Transport {
    Simulated(Arc<Network>),
    Loopback,
}

#[derive(Debug, Default)]
struct Tasks {
    frozen: bool,
    dead: bool,
    /// Delay of every step of the process's tasks, ms.
    lag_ms: f64,
    waiting: Vec<Waker>,
    handles: BTreeMap<u64, AbortHandle>,
    next: u64,
}

/// Unix time at which every emulated scenario begins: 2026-01-01.
const EPOCH_MS: u64 = 1_767_225_600_000;

pub struct Process {
    pub name: Arc<str>,
    pub ip: IpAddr,
    transport: Transport,
    clocks: Clocks,
    start: Instant,
    scenario: Instant,
    rng: Mutex<Pcg64>,
    tasks: Mutex<Tasks>,
    me: Weak<Process>,
}

impl std::fmt::Debug for Process {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Process({})", self.name)
    }
}

impl Process {
    /// `scenario` is the instant at which the scenario began.
    pub fn new(
        name: &str,
        ip: IpAddr,
        transport: Transport,
        clocks: Clocks,
        scenario: Instant,
        seed: u64,
    ) -> Arc<Process> {
        Arc::new_cyclic(|me| Process {
            name: name.into(),
            ip,
            transport,
            clocks,
            start: Instant::now(),
            scenario,
            rng: Mutex::new(Pcg64::seed_from_u64(seed)),
            tasks: Mutex::default(),
            me: me.clone(),
        })
    }

    pub fn host(&self) -> Runtime {
        let me = self.me.upgrade();
        Runtime::emulated(me.expect("host() is called through an Arc<Process> that is still alive"))
    }

    /// Suspends all tasks of the process; its clocks run on.
    pub fn freeze(&self) {
        lock(&self.tasks).frozen = true;
    }

    pub fn thaw(&self) {
        let waiting = {
            let mut tasks = lock(&self.tasks);
            tasks.frozen = false;
            std::mem::take(&mut tasks.waiting)
        };
        for w in waiting {
            w.wake();
        }
    }

    /// Slows the process down: every step of its tasks is delayed by `ms`, plus or minus
    /// half.
    pub fn set_lag(&self, ms: f64) {
        lock(&self.tasks).lag_ms = ms;
    }

    pub fn is_frozen(&self) -> bool {
        lock(&self.tasks).frozen
    }

    pub fn is_dead(&self) -> bool {
        lock(&self.tasks).dead
    }

    /// Ends all tasks of the process and drops what they hold.
    pub fn kill(&self) {
        let handles = {
            let mut tasks = lock(&self.tasks);
            tasks.dead = true;
            tasks.frozen = false;
            tasks.waiting.clear();
            std::mem::take(&mut tasks.handles)
        };
        for h in handles.into_values() {
            h.abort();
        }
    }

    /// Converts seconds of this process's clock to true seconds.
    fn true_duration(&self, s: f64) -> Duration {
        // The limit of about a year acts as no timer at all, and can be added to any time.
        Duration::from_secs_f64((s / (1.0 + self.clocks.drift)).clamp(0.0, 3.0e7))
    }
}

impl EmulatedRuntime for Process {
    fn now(&self) -> f64 {
        let s = self.start.elapsed().as_secs_f64();
        self.clocks.offset_s + s * (1.0 + self.clocks.drift)
    }

    fn wall_ms(&self) -> u64 {
        let since = self.scenario.elapsed().as_millis() as u64;
        EPOCH_MS + (since as f64 + self.clocks.wall_offset_ms).max(0.0) as u64
    }

    fn random(&self) -> u64 {
        lock(&self.rng).random()
    }

    fn sleep(&self, s: f64) -> BoxFuture<()> {
        Box::pin(sleep(self.true_duration(s)))
    }

    fn spawn(&self, task: BoxFuture<()>) {
        let Some(proc) = self.me.upgrade() else {
            return;
        };
        let mut tasks = lock(&self.tasks);
        if tasks.dead {
            return;
        }
        let id = tasks.next;
        tasks.next += 1;
        let gated = ProcessTask {
            proc,
            id,
            task,
            late: None,
        };
        let handle = tokio::spawn(gated).abort_handle();
        tasks.handles.insert(id, handle);
    }

    fn connect(&self, to: SocketAddr) -> BoxFuture<io::Result<Stream>> {
        match &self.transport {
            Transport::Simulated(network) => Box::pin(network.clone().connect(self.ip, to)),
            Transport::Loopback => Box::pin(async move {
                let stream = TcpStream::connect(to).await?;
                let _ = stream.set_nodelay(true);
                Ok(Stream::Tcp(stream))
            }),
        }
    }

    fn bind(&self, at: SocketAddr) -> io::Result<Listener> {
        match &self.transport {
            Transport::Simulated(network) => network.bind(at),
            Transport::Loopback => {
                let listener = std::net::TcpListener::bind(at)?;
                listener.set_nonblocking(true)?;
                TcpListener::from_std(listener).map(Listener::Tcp)
            }
        }
    }
}

/// A task of a process: not polled while the process is suspended, and delayed while the
/// process is slow.
struct ProcessTask {
    proc: Arc<Process>,
    id: u64,
    task: BoxFuture<()>,
    late: Option<Pin<Box<Sleep>>>,
}

impl Future for ProcessTask {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let me = self.get_mut();
        let lag_ms = {
            let mut tasks = lock(&me.proc.tasks);
            if tasks.dead {
                return Poll::Ready(());
            }
            if tasks.frozen {
                tasks.waiting.push(cx.waker().clone());
                return Poll::Pending;
            }
            tasks.lag_ms
        };
        if lag_ms > 0.0 || me.late.is_some() {
            let late = me.late.get_or_insert_with(|| {
                let ms = lag_ms * (0.5 + lock(&me.proc.rng).random::<f64>());
                Box::pin(sleep(Duration::from_secs_f64(ms / 1000.0)))
            });
            if late.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            me.late = None;
        }
        let before = CURRENT.replace(Some(me.proc.name.clone()));
        let out = me.task.as_mut().poll(cx);
        CURRENT.set(before);
        if out.is_ready() {
            lock(&me.proc.tasks).handles.remove(&me.id);
        }
        out
    }
}
