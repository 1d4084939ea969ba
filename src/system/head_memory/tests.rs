use super::{HeadMemory, HeadMemoryStream};
use crate::system::memory_budget::MemoryBudget;
use crate::system::short_read::READ_BYTES;
use googletest::prelude::*;
use std::future::Future;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const MEMORY_MB: u64 = 1;

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    runtime.expect("a runtime").block_on(test)
}

/// Writes so many bytes and reads them through the counted stream; returns how many came before it failed.
async fn read_through(memory: &std::rc::Rc<HeadMemory>, bytes: usize) -> (usize, bool) {
    let (mut client, server) = tokio::io::duplex(1 << 20);
    let mut stream = HeadMemoryStream::new(server, memory.clone());
    client.write_all(&vec![b'h'; bytes]).await.expect("written");
    let mut buffer = vec![0; 64 * 1024];
    let mut came = 0;
    while came < bytes {
        match stream.read(&mut buffer).await {
            Ok(count) => {
                expect_that!(count, le(READ_BYTES));
                came += count;
            }
            Err(_) => return (came, false),
        }
    }
    (came, true)
}

#[gtest]
fn short_heads_need_no_reservation_and_long_ones_hold_theirs_as_long_as_the_request() {
    run(async {
        let budget = MemoryBudget::new("heads", MEMORY_MB, 0.5);
        let all = budget.free_bytes();
        let memory = HeadMemory::new(budget.clone());
        expect_that!(read_through(&memory, 8000).await, eq((8000, true)));
        expect_that!(budget.free_bytes(), eq(all));
        drop(memory.head_complete());
        expect_that!(read_through(&memory, 30_000).await, eq((30_000, true)));
        expect_that!(budget.free_bytes(), le(all - 60_000), "the buffer may be twice as long");
        let request = memory.head_complete();
        expect_that!(
            read_through(&memory, 200_000).await,
            eq((200_000, true)),
            "a body has a budget of its own"
        );
        expect_that!(budget.free_bytes(), all!(le(all - 60_000), ge(all - 70_000)));
        drop(request);
        expect_that!(budget.free_bytes(), eq(all));
    });
}

#[gtest]
fn a_head_that_finds_no_memory_ends_its_connection_and_returns_what_it_had() {
    run(async {
        let budget = MemoryBudget::new("heads", MEMORY_MB, 0.5);
        let all = budget.free_bytes();
        let held: Vec<_> = (0..).map(|_| HeadMemory::new(budget.clone())).take(20).collect();
        let mut read_whole = 0;
        for memory in &held {
            read_whole += usize::from(read_through(memory, 40_000).await.1);
        }
        expect_that!(read_whole, all!(ge(4), le(all / 80_000)));
        drop(held);
        expect_that!(budget.free_bytes(), eq(all));
    });
}
