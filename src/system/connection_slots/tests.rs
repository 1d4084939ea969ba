use super::{most_connections, ConnectionSlot, ConnectionSlots, LISTENER_MEMORY_SHARE};
use googletest::prelude::*;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(test)
}

async fn has_room(slots: &ConnectionSlots) -> bool {
    tokio::time::timeout(Duration::from_millis(1), slots.room()).await.is_ok()
}

async fn is_evicted(slot: &Rc<ConnectionSlot>) -> bool {
    tokio::time::timeout(Duration::from_millis(1), slot.evicted()).await.is_ok()
}

#[gtest]
fn at_the_limit_the_connection_that_has_waited_longest_gives_way() {
    run(async {
        let slots = ConnectionSlots::new(3);
        let open = [slots.open(), slots.open(), slots.open()];
        // The first has had a request since the second was opened.
        drop(open[0].busy());
        expect_that!(has_room(&slots).await, eq(false), "the evicted one is still open");
        let [first, second, third] = open;
        let evicted = [is_evicted(&first).await, is_evicted(&second).await, is_evicted(&third).await];
        expect_that!(evicted, eq([false, true, false]));
        drop(second);
        expect_that!(has_room(&slots).await, eq(true));
    });
}

#[gtest]
fn a_connection_with_a_request_in_work_does_not_give_way() {
    run(async {
        let slots = ConnectionSlots::new(1);
        let slot = slots.open();
        let busy = slot.busy();
        expect_that!(has_room(&slots).await, eq(false));
        expect_that!(is_evicted(&slot).await, eq(false));
        let (room, evicted) = tokio::join!(has_room(&slots), async {
            drop(busy);
            let evicted = is_evicted(&slot).await;
            drop(slot);
            evicted
        });
        expect_that!((room, evicted), eq((true, true)), "it gives way once its request is answered");
    });
}

#[gtest]
fn a_request_that_came_with_the_eviction_is_answered_first() {
    run(async {
        let slots = ConnectionSlots::new(1);
        let slot = slots.open();
        expect_that!(has_room(&slots).await, eq(false));
        let busy = slot.busy();
        expect_that!(is_evicted(&slot).await, eq(false));
        drop(busy);
        expect_that!(is_evicted(&slot).await, eq(true));
    });
}

#[gtest]
fn one_connection_gives_way_for_each_new_one() {
    run(async {
        let slots = ConnectionSlots::new(3);
        let open = [slots.open(), slots.open(), slots.open()];
        for _ in 0..3 {
            drop(open[2].busy());
            expect_that!(has_room(&slots).await, eq(false));
        }
        let evicted = [is_evicted(&open[0]).await, is_evicted(&open[1]).await, is_evicted(&open[2]).await];
        expect_that!(evicted, eq([true, false, false]));
    });
}

#[gtest]
fn connections_take_a_fifth_of_the_memory_at_the_most() {
    expect_that!(most_connections(256, LISTENER_MEMORY_SHARE), eq(2621));
    expect_that!(most_connections(0, LISTENER_MEMORY_SHARE), eq(1));
}
