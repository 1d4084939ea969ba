use super::listen;
use googletest::prelude::*;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

#[gtest]
fn an_address_that_is_in_use_for_a_while_is_listened_on_afterwards() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let held = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let address = held.local_addr().expect("its address");
        let release = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            drop(held);
        };
        let (listening, ()) = tokio::join!(listen(address), release);
        expect_that!(listening.expect("listening").local_addr().expect("an address"), eq(address));
    });
}

#[gtest]
fn an_address_that_stays_taken_is_given_up_and_named() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(async {
        let held = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let in_use = held.local_addr().expect("its address");
        let not_of_this_machine = SocketAddr::from(([192, 0, 2, 1], 80));
        for address in [in_use, not_of_this_machine] {
            let error = listen(address).await.expect_err("it cannot be listened on");
            expect_that!(format!("{error:#}"), starts_with(format!("failed to listen on {address}: ")));
        }
    });
}
