use super::EssentialTasks;
use googletest::prelude::*;
use std::future::Future;
use std::time::Duration;

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), test)
}

/// Name of the task that has failed within a short time, if one has.
async fn failure(tasks: &mut EssentialTasks) -> Option<String> {
    let failed = tokio::time::timeout(Duration::from_millis(200), tasks.failed()).await;
    failed.ok().map(|failed| failed.to_string())
}

#[gtest]
fn a_panic_in_an_essential_task_or_thread_is_a_failure_with_its_name() {
    run(async {
        let mut tasks = EssentialTasks::default();
        tasks.spawn_local("waits", std::future::pending());
        tasks.spawn_local("feed", async { panic!("planted") });
        expect_that!(failure(&mut tasks).await, some(eq("the task `feed` has panicked")));
        tasks.spawn_thread("file", || panic!("planted"));
        expect_that!(failure(&mut tasks).await, some(eq("the task `file` has panicked")));
    });
}

#[gtest]
fn a_task_or_thread_that_returns_is_no_failure() {
    run(async {
        let mut tasks = EssentialTasks::default();
        tasks.spawn_local("returns", async {});
        tasks.spawn_thread("returns", || {});
        expect_that!(failure(&mut tasks).await, none());
    });
}
