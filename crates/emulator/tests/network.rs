//! The simulated network: delay, order, broken paths, power loss.

use cherrywood_emulator::network::{Delays, Group, PathFault, Role};
use cherrywood_emulator::{Clocks, Network, Process, Transport};
use cherrywood_net::Runtime;
use cherrywood_net::runtime::{Listener, Stream};
use cherrywood_scenario::PartitionMode;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep, timeout};

fn ip(n: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, n])
}

struct World {
    network: Arc<Network>,
    a: Arc<Process>,
    b: Arc<Process>,
}

fn world() -> World {
    let delays = Delays {
        same_zone_ms: 1.0,
        cross_zone_ms: 5.0,
        jitter: 0.0,
        loss: 0.0,
    };
    let network = Network::new(1, delays);
    network.add_host(ip(1), Role::Node, Some("x"));
    network.add_host(ip(2), Role::State, None);
    let proc = |n: u8| {
        let transport = Transport::Simulated(network.clone());
        Process::new("p", ip(n), transport, Clocks::default(), Instant::now(), 1)
    };
    let (a, b) = (proc(1), proc(2));
    World { network, a, b }
}

const PORT: u16 = 80;

fn at(n: u8) -> SocketAddr {
    SocketAddr::new(ip(n), PORT)
}

async fn pair(w: &World) -> (Stream, Stream, Listener) {
    let mut listener = w.b.host().bind(at(2)).await.unwrap();
    let client = w.a.host().connect(at(2)).await.unwrap();
    let (server, from) = listener.accept().await.unwrap();
    assert_eq!(from.ip(), ip(1));
    (client, server, listener)
}

/// Runs a test in virtual time.
fn run_virtual<F: Future<Output = ()>>(test: impl FnOnce(World) -> F) {
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    rt.block_on(async { test(world()).await });
}

async fn read(stream: &mut Stream, n: usize) -> Vec<u8> {
    let mut out = vec![0; n];
    stream.read_exact(&mut out).await.unwrap();
    out
}

const SOON: Duration = Duration::from_millis(500);

#[test]
fn bytes_arrive_in_order_after_the_delay_and_a_close_is_seen() {
    run_virtual(|w| async move {
        let start = Instant::now();
        let (mut c, mut s, _l) = pair(&w).await;
        assert_eq!(start.elapsed().as_millis(), 10, "one round trip");
        c.write_all(b"one ").await.unwrap();
        c.write_all(b"two").await.unwrap();
        let sent = Instant::now();
        assert_eq!(read(&mut s, 7).await, b"one two");
        assert_eq!(sent.elapsed().as_millis(), 5);
        drop(c);
        assert_eq!(s.read(&mut [0; 4]).await.unwrap(), 0);
        let refused = w.a.host().connect(SocketAddr::new(ip(2), 81)).await;
        assert!(refused.is_err(), "no listener on this port");
    });
}

#[test]
fn a_held_path_delivers_late_and_in_order_after_the_sender_gave_up() {
    run_virtual(|w| async move {
        let (mut c, mut s, mut l) = pair(&w).await;
        let cut = w.network.break_paths(
            Group::Role(Role::Node),
            Group::Role(Role::State),
            PathFault::Cut(PartitionMode::Hold),
        );
        c.write_all(b"late").await.unwrap();
        drop(c);
        assert!(timeout(SOON, s.read(&mut [0; 4])).await.is_err());
        // A connection attempt waits; an abandoned one never completes.
        let host = w.a.host();
        assert!(timeout(SOON, host.connect(at(2))).await.is_err());
        sleep(Duration::from_secs(20)).await;
        w.network.repair(cut);
        assert_eq!(read(&mut s, 4).await, b"late");
        assert_eq!(s.read(&mut [0; 4]).await.unwrap(), 0, "then the close");
        assert!(timeout(SOON, l.accept()).await.is_err());
    });
}

#[test]
fn a_path_that_resets_or_refuses_ends_its_connections() {
    run_virtual(|w| async move {
        let (mut c, _s, mut l) = pair(&w).await;
        let refuse = w.network.break_paths(
            Group::Hosts(vec![ip(1)]),
            Group::Everyone,
            PathFault::Refuse,
        );
        assert!(w.a.host().connect(at(2)).await.is_err());
        assert!(c.write_all(b"x").await.is_err());
        w.network.repair(refuse);
        let mut c = w.a.host().connect(at(2)).await.unwrap();
        let (mut s, _) = l.accept().await.unwrap();
        c.write_all(b"x").await.unwrap();
        assert_eq!(read(&mut s, 1).await, b"x");
        let cut = w.network.break_paths(
            Group::Zone("x".into()),
            Group::Outside("x".into()),
            PathFault::Cut(PartitionMode::Reset),
        );
        assert!(c.write_all(b"x").await.is_err());
        assert!(s.read(&mut [0; 1]).await.is_err());
        let (host, network) = (w.a.host(), w.network.clone());
        let connect = tokio::spawn(async move { host.connect(at(2)).await.is_ok() });
        sleep(Duration::from_secs(3)).await;
        network.repair(cut);
        assert!(
            connect.await.unwrap(),
            "retried until the path was repaired"
        );
        assert!(l.accept().await.is_ok());
    });
}

#[test]
fn a_powered_off_host_is_silent_without_an_error() {
    run_virtual(|w| async move {
        let (mut c, _s, _l) = pair(&w).await;
        w.network.power_off(ip(2));
        c.write_all(b"anyone?").await.unwrap();
        assert!(timeout(SOON, c.read(&mut [0; 1])).await.is_err());
        assert!(timeout(SOON, w.a.host().connect(at(2))).await.is_err());
    });
}

/// Counts the seconds of the host's own clock.
fn count(host: &Runtime) -> Arc<Mutex<u32>> {
    let n = Arc::new(Mutex::new(0));
    let (host_, counter) = (host.clone(), n.clone());
    host.spawn(async move {
        loop {
            host_.sleep(1.0).await;
            *counter.lock().unwrap() += 1;
        }
    });
    n
}

#[test]
fn a_process_freezes_thaws_and_is_killed_and_its_clocks_drift() {
    run_virtual(|w| async move {
        let fast = Clocks {
            drift: 0.0005,
            offset_s: 77.0,
            wall_offset_ms: -250.0,
        };
        let transport = Transport::Simulated(w.network.clone());
        let p = Process::new("p", ip(1), transport, fast, Instant::now(), 1);
        let host = p.host();
        let n = count(&host);
        let seen = || *n.lock().unwrap();
        sleep(Duration::from_millis(4500)).await;
        assert_eq!(seen(), 4);
        p.freeze();
        sleep(Duration::from_secs(60)).await;
        assert_eq!(seen(), 4);
        p.thaw();
        sleep(Duration::from_millis(100)).await;
        assert_eq!(seen(), 5, "only one timer was due");
        let (now, wall) = (host.now(), host.wall_ms());
        sleep(Duration::from_secs(1000)).await;
        assert!((host.now() - now - 1000.5).abs() < 1e-3);
        assert_eq!(host.wall_ms() - wall, 1_000_000);
        p.kill();
        let last = seen();
        sleep(Duration::from_secs(10)).await;
        assert_eq!(seen(), last);
    });
}

#[test]
fn a_killed_process_frees_its_port_and_its_peers_see_a_close() {
    run_virtual(|w| async move {
        let host = w.b.host();
        let listener = host.bind(at(2)).await.unwrap();
        let own = host.clone();
        host.spawn(async move {
            let mut listener = listener;
            let mut kept = Vec::new();
            while let Ok(c) = listener.accept().await {
                kept.push(c);
                own.sleep(0.0).await;
            }
        });
        let mut c = w.a.host().connect(at(2)).await.unwrap();
        sleep(SOON).await;
        w.b.kill();
        assert_eq!(c.read(&mut [0; 1]).await.unwrap(), 0);
        assert!(w.a.host().connect(at(2)).await.is_err(), "refused");
        assert!(w.network.bind(at(2)).is_ok());
    });
}
