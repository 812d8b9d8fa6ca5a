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
    /// Permits the response to one request: no task done, one task running.
    pub asked: Arc<Notify>,
    pub answer: Arc<Notify>,
}

impl FakeLeader {
    /// Label of the fake leader in the members' settings.
    pub const LABEL: &str = "n9";

    pub async fn start() -> FakeLeader {
        let host = Runtime::native();
        let listener = host.bind(([127, 0, 0, 1], 0).into()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (asked, answer) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
        let (on_asked, may_answer) = (asked.clone(), answer.clone());
        let on_request = move |request| {
            let (on_asked, may_answer) = (on_asked.clone(), may_answer.clone());
            async move {
                let peer::PeerRequest::TaskCounts { jobs } = request else {
                    return peer::PeerReply::Declined;
                };
                on_asked.notify_one();
                may_answer.notified().await;
                let counts = vec![(0, 1); jobs.len()];
                peer::PeerReply::TaskCounts { counts }
            }
        };
        let on_request = Arc::new(on_request);
        tokio::spawn(cherrywood_net::peer::serve(host, listener, on_request));
        FakeLeader {
            addr,
            asked,
            answer,
        }
    }
}
