//! The simulated network between emulated hosts: in-memory streams with delay, loss, and
//! broken paths. A path in hold mode queues what is sent and delivers it in order once the
//! path is repaired, even if the sender has given up meanwhile; a path in reset mode ends
//! its connections. A powered-off host is silent: nothing comes back from it.
//!
//! Virtual time advances in steps of a millisecond, as the runtime's timers do.

use cherrywood_net::runtime::{EmulatedListener, Listener, Stream};
use cherrywood_scenario::PartitionMode;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep, sleep, sleep_until};

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Bytes in flight in one direction before a writer must wait.
const WINDOW_BYTES: usize = 1 << 20;
/// Seconds after which a lost packet, or a connection attempt, is sent again.
const RETRANSMIT_S: f64 = 0.2;
const CONNECT_RETRY_S: f64 = 1.0;

/// Purpose of a host; paths are broken between roles, zones or single hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    Node,
    Worker,
    State,
    Cloud,
    Users,
}

#[derive(Debug, Clone)]
struct HostState {
    role: Role,
    /// `None` for a host of the region, outside all zones.
    zone: Option<String>,
    /// Powered off: the host sends nothing.
    powered_off: bool,
}

/// The hosts on one side of a broken path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Group {
    Hosts(Vec<IpAddr>),
    Role(Role),
    Zone(String),
    /// Every host outside this zone.
    Outside(String),
    Everyone,
}

/// The way in which a path is broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathFault {
    Cut(PartitionMode),
    /// A packet filter: new connections are refused, and existing ones reset.
    Refuse,
}

#[derive(Debug)]
struct BrokenPath {
    id: u64,
    a: Group,
    b: Group,
    fault: PathFault,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Path {
    Open,
    Held,
    Reset,
    Refused,
    /// One end is powered off.
    Silent,
}

/// Packet delay and loss.
#[derive(Debug, Clone, Copy)]
pub struct Delays {
    pub same_zone_ms: f64,
    pub cross_zone_ms: f64,
    pub jitter: f64,
    pub loss: f64,
}

#[derive(Debug)]
struct NetworkState {
    rng: Pcg64,
    delays: Delays,
    hosts: BTreeMap<IpAddr, HostState>,
    backlogs: BTreeMap<SocketAddr, Arc<Mutex<Backlog>>>,
    conns: BTreeMap<u64, Weak<Conn>>,
    broken_paths: Vec<BrokenPath>,
    next_id: u64,
    next_port: u16,
}

#[derive(Debug)]
pub struct Network {
    state: Mutex<NetworkState>,
    /// Notified when a path is broken or repaired, or a host is powered off.
    changed: Notify,
}

#[derive(Debug, Default)]
struct Backlog {
    waiting: VecDeque<(Endpoint, SocketAddr)>,
    waker: Option<Waker>,
}

#[derive(Debug)]
struct Segment {
    /// Arrival time; `None` while a broken path holds the segment.
    at: Option<Instant>,
    bytes: Vec<u8>,
    read: usize,
}

/// One direction of a connection.
#[derive(Debug, Default)]
struct Pipe {
    queue: VecDeque<Segment>,
    buffered: usize,
    /// The sender has closed its side: no segment follows those in the queue.
    closed: bool,
    /// The receiver has closed its side: incoming bytes are discarded.
    reader_closed: bool,
    last_arrival: Option<Instant>,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

#[derive(Debug, Default)]
struct Pipes {
    /// The direction from the connecting end, and the one to it.
    directions: [Pipe; 2],
    reset: bool,
    silent: bool,
}

#[derive(Debug)]
struct Conn {
    ends: [IpAddr; 2],
    pipes: Mutex<Pipes>,
}

impl Pipes {
    fn wake(&mut self) {
        for p in &mut self.directions {
            for w in [p.reader.take(), p.writer.take()].into_iter().flatten() {
                w.wake();
            }
        }
    }
}

impl NetworkState {
    fn contains(&self, group: &Group, ip: IpAddr) -> bool {
        let host = self.hosts.get(&ip);
        match group {
            Group::Hosts(ips) => ips.contains(&ip),
            Group::Role(role) => host.is_some_and(|p| p.role == *role),
            Group::Zone(zone) => host.is_some_and(|p| p.zone.as_ref() == Some(zone)),
            Group::Outside(zone) => host.is_none_or(|p| p.zone.as_ref() != Some(zone)),
            Group::Everyone => true,
        }
    }

    fn path(&self, from: IpAddr, to: IpAddr) -> Path {
        let powered_off = |ip: &IpAddr| self.hosts.get(ip).is_none_or(|p| p.powered_off);
        if powered_off(&from) || powered_off(&to) {
            return Path::Silent;
        }
        if from == to {
            return Path::Open;
        }
        let mut worst = Path::Open;
        for b in &self.broken_paths {
            let here = |a: &Group, b: &Group| self.contains(a, from) && self.contains(b, to);
            if !here(&b.a, &b.b) && !here(&b.b, &b.a) {
                continue;
            }
            match b.fault {
                PathFault::Cut(PartitionMode::Reset) => return Path::Reset,
                PathFault::Cut(PartitionMode::Hold) => worst = Path::Held,
                PathFault::Refuse if worst == Path::Open => worst = Path::Refused,
                PathFault::Refuse => {}
            }
        }
        worst
    }

    /// Draws a packet's delay, retransmissions included.
    fn delay(&mut self, from: IpAddr, to: IpAddr) -> Duration {
        let zone = |ip: &IpAddr| self.hosts.get(ip).and_then(|p| p.zone.as_ref());
        let d = self.delays;
        let base = if from == to {
            0.0
        } else if zone(&from).is_some() && zone(&from) == zone(&to) {
            d.same_zone_ms
        } else {
            d.cross_zone_ms
        };
        let mut ms = base * (1.0 + d.jitter * self.rng.random::<f64>());
        while d.loss > 0.0 && self.rng.random::<f64>() < d.loss {
            ms += RETRANSMIT_S * 1000.0;
        }
        Duration::from_secs_f64(ms / 1000.0)
    }
}

impl Network {
    pub fn new(seed: u64, delays: Delays) -> Arc<Network> {
        Arc::new(Network {
            state: Mutex::new(NetworkState {
                rng: Pcg64::seed_from_u64(seed),
                delays,
                hosts: BTreeMap::new(),
                backlogs: BTreeMap::new(),
                conns: BTreeMap::new(),
                broken_paths: Vec::new(),
                next_id: 1,
                next_port: 20_000,
            }),
            changed: Notify::new(),
        })
    }

    /// Adds a powered-on host; replaces one of the same address.
    pub fn add_host(&self, ip: IpAddr, role: Role, zone: Option<&str>) {
        let host = HostState {
            role,
            zone: zone.map(str::to_string),
            powered_off: false,
        };
        lock(&self.state).hosts.insert(ip, host);
    }

    /// Powers a host off: its connections become silent, without being closed.
    pub fn power_off(&self, ip: IpAddr) {
        let conns = {
            let mut net = lock(&self.state);
            if let Some(host) = net.hosts.get_mut(&ip) {
                host.powered_off = true;
            }
            net.backlogs.retain(|at, _| at.ip() != ip);
            self.live_connections(&mut net, |c| c.ends.contains(&ip))
        };
        for c in conns {
            let mut pipes = lock(&c.pipes);
            pipes.silent = true;
            pipes.wake();
        }
        self.changed.notify_waiters();
    }

    fn live_connections(
        &self,
        net: &mut NetworkState,
        which: impl Fn(&Conn) -> bool,
    ) -> Vec<Arc<Conn>> {
        net.conns.retain(|_, c| c.strong_count() > 0);
        let all = net.conns.values().filter_map(Weak::upgrade);
        all.filter(|c| which(c)).collect()
    }

    /// Breaks the paths between two groups until [`Network::repair`] is called with the
    /// returned id.
    pub fn break_paths(&self, a: Group, b: Group, fault: PathFault) -> u64 {
        let (id, reset) = {
            let mut net = lock(&self.state);
            let id = net.next_id;
            net.next_id += 1;
            net.broken_paths.push(BrokenPath { id, a, b, fault });
            let mut reset = Vec::new();
            if fault != PathFault::Cut(PartitionMode::Hold) {
                let all = self.live_connections(&mut net, |_| true);
                let ended = [Path::Reset, Path::Refused];
                let ends = |c: &Arc<Conn>| ended.contains(&net.path(c.ends[0], c.ends[1]));
                reset.extend(all.into_iter().filter(ends));
            }
            (id, reset)
        };
        for c in reset {
            let mut pipes = lock(&c.pipes);
            pipes.reset = true;
            pipes.wake();
        }
        self.changed.notify_waiters();
        id
    }

    /// Repairs the paths broken under this id; held segments arrive one delay later.
    pub fn repair(&self, id: u64) {
        {
            let mut net = lock(&self.state);
            net.broken_paths.retain(|b| b.id != id);
            let all = self.live_connections(&mut net, |_| true);
            for c in all {
                for direction in 0..2 {
                    let (from, to) = (c.ends[direction], c.ends[1 - direction]);
                    let held = lock(&c.pipes).directions[direction]
                        .queue
                        .iter()
                        .any(|s| s.at.is_none());
                    if !held || net.path(from, to) != Path::Open {
                        continue;
                    }
                    let at = Instant::now() + net.delay(from, to);
                    let mut pipes = lock(&c.pipes);
                    let pipe = &mut pipes.directions[direction];
                    for s in pipe.queue.iter_mut().filter(|s| s.at.is_none()) {
                        s.at = Some(at);
                    }
                    pipe.last_arrival = Some(at);
                    if let Some(w) = pipe.reader.take() {
                        w.wake();
                    }
                }
            }
        }
        self.changed.notify_waiters();
    }

    /// Resets all connections between two hosts, as the load balancer does with users'
    /// connections.
    pub fn reset_between(&self, a: IpAddr, b: IpAddr) {
        let conns = self.live_connections(&mut lock(&self.state), |c| {
            c.ends.contains(&a) && c.ends.contains(&b)
        });
        for c in conns {
            let mut pipes = lock(&c.pipes);
            pipes.reset = true;
            pipes.wake();
        }
    }

    pub fn bind(self: &Arc<Self>, at: SocketAddr) -> io::Result<Listener> {
        let mut net = lock(&self.state);
        if net.backlogs.contains_key(&at) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let backlog = Arc::new(Mutex::new(Backlog::default()));
        net.backlogs.insert(at, backlog.clone());
        Ok(Listener::Emulated(Box::new(NetworkListener {
            network: self.clone(),
            at,
            backlog,
        })))
    }

    /// Connects; waits while the path is held, reset or silent, and fails if it refuses.
    pub async fn connect(self: Arc<Self>, from: IpAddr, to: SocketAddr) -> io::Result<Stream> {
        loop {
            let changed = self.changed.notified();
            let path = lock(&self.state).path(from, to.ip());
            match path {
                Path::Open => {}
                Path::Refused => return self.refuse_connection(from, to).await,
                Path::Held | Path::Reset | Path::Silent => {
                    // The connection packet is retransmitted from time to time; an abandoned
                    // attempt does not connect later.
                    changed.await;
                    sleep(Duration::from_secs_f64(CONNECT_RETRY_S)).await;
                    continue;
                }
            }
            let there = lock(&self.state).delay(from, to.ip());
            sleep(there).await;
            let end = match self.establish(from, to) {
                Ok(Some(end)) => end,
                Ok(None) => continue,
                Err(()) => return self.refuse_connection(from, to).await,
            };
            let back = lock(&self.state).delay(to.ip(), from);
            sleep(back).await;
            return Ok(Stream::Emulated(Box::new(end)));
        }
    }

    /// Returns the caller's end of a new connection, whose other end waits to be accepted.
    /// `None` if the path broke meanwhile, an error if nobody listens.
    fn establish(self: &Arc<Self>, from: IpAddr, to: SocketAddr) -> Result<Option<Endpoint>, ()> {
        let mut net = lock(&self.state);
        if net.path(from, to.ip()) != Path::Open {
            return Ok(None);
        }
        let backlog = net.backlogs.get(&to).cloned().ok_or(())?;
        let conn = Arc::new(Conn {
            ends: [from, to.ip()],
            pipes: Mutex::default(),
        });
        let id = net.next_id;
        net.next_id += 1;
        net.next_port = net.next_port.checked_add(1).unwrap_or(20_000);
        let source = SocketAddr::new(from, net.next_port);
        net.conns.insert(id, Arc::downgrade(&conn));
        if id.is_multiple_of(1024) {
            net.conns.retain(|_, c| c.strong_count() > 0);
        }
        let end = |side| Endpoint {
            network: self.clone(),
            conn: conn.clone(),
            side,
            timer: None,
        };
        let mut backlog = lock(&backlog);
        backlog.waiting.push_back((end(1), source));
        if let Some(w) = backlog.waker.take() {
            w.wake();
        }
        Ok(Some(end(0)))
    }

    async fn refuse_connection(&self, from: IpAddr, to: SocketAddr) -> io::Result<Stream> {
        let back = lock(&self.state).delay(to.ip(), from);
        sleep(back).await;
        Err(io::ErrorKind::ConnectionRefused.into())
    }
}

struct NetworkListener {
    network: Arc<Network>,
    at: SocketAddr,
    backlog: Arc<Mutex<Backlog>>,
}

impl EmulatedListener for NetworkListener {
    fn poll_accept(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<(Stream, SocketAddr)>> {
        let mut backlog = lock(&self.backlog);
        match backlog.waiting.pop_front() {
            Some((end, from)) => Poll::Ready(Ok((Stream::Emulated(Box::new(end)), from))),
            None => {
                backlog.waker = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    fn local_addr(&self) -> SocketAddr {
        self.at
    }
}

impl Drop for NetworkListener {
    fn drop(&mut self) {
        let mut net = lock(&self.network.state);
        let ours = net.backlogs.get(&self.at);
        if ours.is_some_and(|b| Arc::ptr_eq(b, &self.backlog)) {
            net.backlogs.remove(&self.at);
        }
        drop(net);
        // Connections that wait to be accepted are closed outside any lock.
        let waiting = std::mem::take(&mut lock(&self.backlog).waiting);
        drop(waiting);
    }
}

/// One end of a connection.
#[derive(Debug)]
struct Endpoint {
    network: Arc<Network>,
    conn: Arc<Conn>,
    side: usize,
    timer: Option<Pin<Box<Sleep>>>,
}

impl AsyncRead for Endpoint {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let me = self.get_mut();
        let mut pipes = lock(&me.conn.pipes);
        if pipes.reset {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let silent = pipes.silent;
        let pipe = &mut pipes.directions[1 - me.side];
        pipe.reader = Some(cx.waker().clone());
        if silent {
            return Poll::Pending;
        }
        let now = Instant::now();
        let mut got = false;
        while buf.remaining() > 0
            && let Some(first) = pipe.queue.front_mut()
            && first.at.is_some_and(|at| at <= now)
        {
            let n = buf.remaining().min(first.bytes.len() - first.read);
            buf.put_slice(&first.bytes[first.read..first.read + n]);
            first.read += n;
            pipe.buffered -= n;
            got = true;
            if first.read == first.bytes.len() {
                pipe.queue.pop_front();
            }
        }
        if got {
            if let Some(w) = pipe.writer.take() {
                w.wake();
            }
            return Poll::Ready(Ok(()));
        }
        match pipe.queue.front().map(|s| s.at) {
            Some(Some(at)) => {
                let timer = me.timer.get_or_insert_with(|| Box::pin(sleep_until(at)));
                timer.as_mut().reset(at);
                drop(pipes);
                // Polling registers this task with the timer, which may be due at once.
                if timer.as_mut().poll(cx).is_ready() {
                    cx.waker().wake_by_ref();
                }
                Poll::Pending
            }
            Some(None) => Poll::Pending,
            None if pipe.closed => Poll::Ready(Ok(())),
            None => Poll::Pending,
        }
    }
}

impl Endpoint {
    fn send(&self, bytes: Vec<u8>, last: bool) {
        let (from, to) = (self.conn.ends[self.side], self.conn.ends[1 - self.side]);
        let at = {
            let mut net = lock(&self.network.state);
            match net.path(from, to) {
                Path::Silent => return,
                Path::Held | Path::Reset => None,
                Path::Open | Path::Refused => Some(Instant::now() + net.delay(from, to)),
            }
        };
        let mut pipes = lock(&self.conn.pipes);
        let pipe = &mut pipes.directions[self.side];
        // Packets arrive in order: a held packet holds all packets behind it.
        let held = pipe.queue.back().is_some_and(|s| s.at.is_none());
        let at = at
            .filter(|_| !held)
            .map(|at| pipe.last_arrival.map_or(at, |l| l.max(at)));
        if at.is_some() {
            pipe.last_arrival = at;
        }
        pipe.buffered += bytes.len();
        if !pipe.reader_closed {
            let segment = Segment { at, bytes, read: 0 };
            pipe.queue.push_back(segment);
        }
        pipe.closed |= last;
        if let Some(w) = pipe.reader.take() {
            w.wake();
        }
    }
}

impl AsyncWrite for Endpoint {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let me = self.get_mut();
        {
            let mut pipes = lock(&me.conn.pipes);
            if pipes.reset {
                return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
            }
            let pipe = &mut pipes.directions[me.side];
            if pipe.closed {
                return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
            }
            if pipe.reader_closed {
                return Poll::Ready(Ok(buf.len()));
            }
            if pipe.buffered >= WINDOW_BYTES {
                pipe.writer = Some(cx.waker().clone());
                return Poll::Pending;
            }
        }
        me.send(buf.to_vec(), false);
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let me = self.get_mut();
        let open = !lock(&me.conn.pipes).directions[me.side].closed;
        if open {
            me.send(Vec::new(), true);
        }
        Poll::Ready(Ok(()))
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        let (open, silent) = {
            let mut pipes = lock(&self.conn.pipes);
            let incoming = &mut pipes.directions[1 - self.side];
            incoming.reader_closed = true;
            incoming.queue.clear();
            if let Some(w) = incoming.writer.take() {
                w.wake();
            }
            (!pipes.directions[self.side].closed, pipes.silent)
        };
        if open && !silent {
            self.send(Vec::new(), true);
        }
    }
}
