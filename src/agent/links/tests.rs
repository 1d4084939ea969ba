//! What is kept of links.

use super::*;

#[test]
fn links_that_ended_are_not_kept() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (inputs, mut received) = mpsc::unbounded_channel();
        let mut links = Links::new(crate::system::incoming::incoming_memory(64), inputs);
        // No address: each attempt fails at once, as it does while a core node is down.
        for number in 0..100 {
            links.connect(LinkId(number), "nowhere".to_owned());
            let lost = received.recv().await;
            assert!(matches!(lost, Some(RelayInput::LinkLost(LinkId(id))) if id == number), "{lost:?}");
            tokio::task::yield_now().await;
        }
        assert!(links.open.len() <= 2, "{} links are kept", links.open.len());
    });
}
