//! The whole system on loopback: real processes, stand-in workers, clients and operator. A test each for its stories.
#![allow(missing_docs)]

use googletest::prelude::*;
use std::future::Future;
use std::sync::{Mutex, PoisonError};
use switchhill_lab::local_system::stories::{self, FIRST_REVISION};
use switchhill_lab::local_system::{built_beside, Site};

/// One site at a time: each is seven processes.
static TURN: Mutex<()> = Mutex::new(());

/// Plays a story on a site whose edges are ready and whose clients are answered.
fn on_a_site<F>(story: impl FnOnce(Site) -> F)
where
    F: Future<Output = anyhow::Result<Site>>,
{
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let played = runtime.expect("a runtime").block_on(async {
        let mut site = Site::start(&built_beside()?)?;
        let folder = site.folder().to_owned();
        let played = async {
            stories::first_configuration(&mut site).await?;
            stories::clients_are_answered(&mut site).await?;
            story(site).await?.clear_away()
        };
        played.await.map_err(|error: anyhow::Error| error.context(format!("logs in {}", folder.display())))
    });
    if let Err(error) = played {
        panic!("{error:#}");
    }
}

#[gtest]
fn edges_become_ready_and_a_model_that_stands_nowhere_is_loaded() {
    on_a_site(|mut site| async {
        stories::a_model_is_loaded_on_demand(&mut site).await?;
        for worker in &site.workers {
            expect_true!(worker.fencing_tokens().is_sorted(), "fencing tokens fall at {}", worker.id());
        }
        Ok(site)
    });
}

/// Guards against bodies that together take a data plane over its memory, which ends its process and cuts its requests.
#[gtest]
fn a_data_plane_stays_within_its_memory_under_long_bodies() {
    on_a_site(|mut site| async {
        stories::long_bodies_leave_room(&mut site).await?;
        Ok(site)
    });
}

#[gtest]
fn changes_are_in_force_at_all_edges_race_and_are_acknowledged_again() {
    on_a_site(|mut site| async {
        stories::a_change_is_in_force(&mut site, FIRST_REVISION, FIRST_REVISION + 1).await?;
        stories::one_of_two_changes_wins(&mut site, FIRST_REVISION + 1, FIRST_REVISION + 2).await?;
        stories::a_lost_answer_is_repaired(&mut site, FIRST_REVISION + 2, FIRST_REVISION + 3).await?;
        Ok(site)
    });
}

#[gtest]
fn a_stream_goes_on_at_another_worker_and_a_leaving_worker_is_left_alone() {
    on_a_site(|mut site| async {
        stories::a_stream_outlives_its_worker(&mut site).await?;
        stories::a_draining_worker_is_left_alone(&mut site).await?;
        Ok(site)
    });
}

#[gtest]
fn sighup_ends_no_process_and_sigterm_finishes_what_runs() {
    on_a_site(|mut site| async {
        stories::sighup_ends_nothing(&mut site).await?;
        stories::sigterm_finishes_a_stream(&mut site).await?;
        Ok(site)
    });
}

#[gtest]
fn a_change_is_acknowledged_without_a_core_machine_and_outlives_a_kill_of_all() {
    on_a_site(|mut site| async {
        stories::a_core_machine_is_lost(&mut site, FIRST_REVISION, FIRST_REVISION + 1).await?;
        stories::all_are_killed_and_return(&mut site, FIRST_REVISION + 1).await?;
        Ok(site)
    });
}

#[gtest]
fn a_core_machine_that_lost_its_disk_votes_again() {
    on_a_site(|mut site| async {
        stories::a_lost_disk_is_replaced(&mut site, FIRST_REVISION, FIRST_REVISION + 1).await?;
        stories::a_core_machine_is_lost(&mut site, FIRST_REVISION + 1, FIRST_REVISION + 2).await?;
        stories::clients_are_answered(&mut site).await?;
        Ok(site)
    });
}
