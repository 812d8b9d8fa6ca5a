//! Interpretation of the cloud's responses.

mod common;

use cherrywood_net::NetError;
use cherrywood_net::cloud::CloudClient;
use cherrywood_net::runtime::Runtime;
use common::{CONNECT, run};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;

const REQUESTS_PER_S: f64 = 10.0;

fn cloud_address() -> SocketAddr {
    SocketAddr::from(([10, 2, 0, 2], 8443))
}

/// Starts a cloud that sends these bytes as its response to one request; returns a client of
/// it.
fn cloud_responding(runtime: &Runtime, response: &'static [u8]) -> CloudClient {
    let server_runtime = runtime.clone();
    tokio::spawn(async move {
        let mut listener = server_runtime.bind(cloud_address()).await.unwrap();
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        let read = stream.read(&mut request).await.unwrap();
        assert!(read > 0);
        stream.write_all(response).await.unwrap();
    });
    CloudClient::new(runtime, cloud_address(), REQUESTS_PER_S)
}

/// Returns the result of a deletion to which the cloud responds with these bytes.
fn deletion_result(response: &'static [u8]) -> Result<(), NetError> {
    let (sender, receiver) = std::sync::mpsc::channel();
    run(|runtime| async move {
        let cloud = cloud_responding(&runtime, response);
        sleep(CONNECT).await;
        let result = cloud.delete_machines(&["vm-000001".to_owned()]).await;
        sender.send(result).unwrap();
    });
    receiver.recv().unwrap()
}

#[test]
fn a_deletion_is_proven_by_status_200_whatever_its_body() {
    let result = deletion_result(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n\xc1\xc1\xc1");
    assert!(result.is_ok(), "{result:?}");
}

#[test]
fn a_response_that_is_not_acceptable_http_proves_no_deletion() {
    for response in [
        &b"no HTTP at all\r\n\r\n"[..],
        &b"HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"[..],
        &b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n"[..],
    ] {
        let result = deletion_result(response);
        let text = String::from_utf8_lossy(response);
        assert!(result.is_err(), "{text:?} was taken for a deletion");
    }
}
