//! Start of a controller.

mod common;

use cherrywood_net::Runtime;
use cherrywood_node::settings::{Operator, Settings};
use cherrywood_node::start;
use common::{EXAMPLE, run};

/// A controller is restarted while its killed predecessor still holds the address, which becomes
/// free a moment later.
#[test]
fn start_waits_for_an_address_that_the_previous_process_still_holds() {
    run(async {
        let predecessor = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = predecessor.local_addr().unwrap();
        let mut platform = Settings::parse_platform(EXAMPLE).unwrap();
        platform.serve_on = address;
        platform.internal_addr = ([127, 0, 0, 1], 0).into();
        tokio::spawn(async move {
            tokio::time::sleep(std::time::Duration::from_millis(300)).await;
            drop(predecessor);
        });
        let operator = Operator::default();
        let started = start(Runtime::native(), Settings { platform, operator }).await;
        assert!(started.is_ok(), "{:?}", started.err());
    });
}
