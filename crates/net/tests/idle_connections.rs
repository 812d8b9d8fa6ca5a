//! Requests on keep-alive connections that the server closes.

mod common;

use cherrywood_net::NetError;
use cherrywood_net::client::HttpClient;
use cherrywood_net::peer::{self, PeerClient};
use cherrywood_net::runtime::{Runtime, Stream};
use cherrywood_wire::peer::{PeerReply, PeerRequest};
use common::{CONNECT, run};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;

const TIMEOUT_S: f64 = 1.0;

/// Seconds longer than any server keeps an idle connection.
const IDLE_FOR_S: usize = 90;

/// Time that a peer takes to reply, so that two concurrent requests need two connections.
const PEER_REPLY_TIME: Duration = Duration::from_millis(20);

fn server_address() -> SocketAddr {
    SocketAddr::from(([10, 3, 0, 2], 8443))
}

async fn read_request(stream: &mut Stream) -> bool {
    let mut request = [0; 1024];
    matches!(stream.read(&mut request).await, Ok(read) if read > 0)
}

/// Serves HTTP connections with `on_connection`; returns the counter of requests received.
fn serve_http<F>(
    runtime: &Runtime,
    on_connection: impl Fn(Stream, Arc<AtomicUsize>) -> F + Send + 'static,
) -> Arc<AtomicUsize>
where
    F: Future<Output = ()> + Send + 'static,
{
    let received = Arc::new(AtomicUsize::new(0));
    let (counted, runtime) = (received.clone(), runtime.clone());
    tokio::spawn(async move {
        let mut listener = runtime.bind(server_address()).await.unwrap();
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(on_connection(stream, counted.clone()));
        }
    });
    received
}

/// Responds to one request without `Connection: close`.
async fn respond_once(stream: &mut Stream, received: &AtomicUsize) {
    if read_request(stream).await {
        received.fetch_add(1, Ordering::Relaxed);
        let response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(response).await.unwrap();
    }
}

/// Responds to the first request of a connection, and closes it 0.1 s later.
async fn respond_once_and_close(mut stream: Stream, received: Arc<AtomicUsize>) {
    respond_once(&mut stream, &received).await;
    sleep(Duration::from_millis(100)).await;
}

/// Responds to the first request of a connection, and closes it when the second has arrived.
async fn respond_once_and_close_on_the_second(mut stream: Stream, received: Arc<AtomicUsize>) {
    respond_once(&mut stream, &received).await;
    if read_request(&mut stream).await {
        received.fetch_add(1, Ordering::Relaxed);
    }
}

/// Guards against requests that fail unsent because the server had closed the idle connection
/// taken for them.
#[test]
fn an_idle_connection_found_closed_is_replaced_before_anything_is_sent() {
    run(|runtime| async move {
        let received = serve_http(&runtime, respond_once_and_close);
        sleep(CONNECT).await;
        let client = HttpClient::new(&runtime, server_address());
        for sent in 1..=3 {
            let response = client.send("POST", "/txn", Some(b"x"), TIMEOUT_S).await;
            assert_eq!(response.map(|r| r.status), Ok(200), "request {sent}");
            assert_eq!(received.load(Ordering::Relaxed), sent);
            sleep(Duration::from_secs(1)).await;
        }
    });
}

/// The client itself never repeats a request that may have been executed.
#[test]
fn a_request_whose_connection_closes_after_it_was_sent_is_not_repeated() {
    run(|runtime| async move {
        let received = serve_http(&runtime, respond_once_and_close_on_the_second);
        sleep(CONNECT).await;
        let client = HttpClient::new(&runtime, server_address());
        let first = client.send("POST", "/txn", Some(b"x"), TIMEOUT_S).await;
        assert_eq!(first.map(|r| r.status), Ok(200));
        let second = client.send("POST", "/txn", Some(b"x"), TIMEOUT_S).await;
        assert!(
            matches!(second, Err(NetError::OutcomeUnknown { .. })),
            "{second:?}"
        );
        sleep(Duration::from_secs(5)).await;
        assert_eq!(received.load(Ordering::Relaxed), 2);
    });
}

fn counts_request() -> PeerRequest {
    PeerRequest::TaskCounts { jobs: Vec::new() }
}

async fn send_two_requests_at_once(peer: &PeerClient) {
    let request = counts_request();
    let (first, second) = tokio::join!(
        peer.send(&request, TIMEOUT_S),
        peer.send(&request, TIMEOUT_S)
    );
    assert!(first.is_ok(), "{first:?}");
    assert!(second.is_ok(), "{second:?}");
}

/// Guards against a burst of frames that fails on connections which were idle for so long that
/// the other controller has closed them.
#[test]
fn a_burst_to_a_peer_uses_no_connection_that_was_closed_for_being_idle() {
    run(|runtime| async move {
        let (server_runtime, client_runtime) = (runtime.clone(), runtime.clone());
        tokio::spawn(async move {
            let listener = server_runtime.bind(server_address()).await.unwrap();
            let handler = |_: PeerRequest| async {
                sleep(PEER_REPLY_TIME).await;
                PeerReply::TaskCounts { counts: Vec::new() }
            };
            peer::serve(server_runtime, listener, Arc::new(handler)).await;
        });
        sleep(CONNECT).await;
        let peer = PeerClient::new(&client_runtime, "stallion-1", server_address());
        send_two_requests_at_once(&peer).await;
        for _ in 0..IDLE_FOR_S {
            peer.send(&counts_request(), TIMEOUT_S).await.unwrap();
            sleep(Duration::from_secs(1)).await;
        }
        send_two_requests_at_once(&peer).await;
    });
}
