//! A stand-in for the leading controller.

use cherrywood_net::Runtime;
use cherrywood_wire::peer;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::Notify;

/// A controller that responds to requests for task counts when the test permits it. The other
/// controllers take it for the leader.
pub struct FakeLeader {
    /// Address on which it listens for other controllers.
    pub addr: SocketAddr,
    /// Notified when a request for task counts has arrived.
    pub requested: Arc<Notify>,
    /// Permits the response to one request: no task done, one task running.
    pub may_respond: Arc<Notify>,
}

impl FakeLeader {
    /// Label of the fake leader in the members' settings.
    pub const LABEL: &str = "n9";

    pub async fn start() -> FakeLeader {
        let host = Runtime::native();
        let listener = host.bind(([127, 0, 0, 1], 0).into()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (requested, may_respond) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
        let notifies = (requested.clone(), may_respond.clone());
        let on_request = move |request| {
            let (requested, may_respond) = notifies.clone();
            async move {
                let peer::PeerRequest::TaskCounts { jobs } = request else {
                    return peer::PeerReply::Declined;
                };
                requested.notify_one();
                may_respond.notified().await;
                let counts = vec![(0, 1); jobs.len()];
                peer::PeerReply::TaskCounts { counts }
            }
        };
        let on_request = Arc::new(on_request);
        tokio::spawn(cherrywood_net::peer::serve(host, listener, on_request));
        FakeLeader {
            addr,
            requested,
            may_respond,
        }
    }
}
