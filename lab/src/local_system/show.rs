//! The command `local-system`: all stories on one site, told as they happen.

use super::site::Site;
use super::stories::{self, Told, FIRST_REVISION};
use std::future::Future;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::signal::unix::{signal, SignalKind};

/// Longest time for all stories together: some three times what they take.
const ALL_WITHIN: Duration = Duration::from_secs(25);

/// Tells the stories, and how many there were.
struct Teller {
    began: Instant,
    stories: usize,
}

/// Plays all stories and prints what happens.
///
/// # Errors
/// The first thing that went otherwise, or all took too long. Settings, disks and logs are kept then.
pub async fn show(program: &Path) -> anyhow::Result<()> {
    let mut site = Site::start(program)?;
    println!(
        "3 control planes, 2 agents and 2 data planes started; settings, disks and logs: {}",
        site.folder().display()
    );
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let played = tokio::select! {
        played = tokio::time::timeout(ALL_WITHIN, play(&mut site)) => played,
        _ = terminate.recv() => anyhow::bail!("told to stop"),
        _ = interrupt.recv() => anyhow::bail!("told to stop"),
    };
    played.map_err(|_| anyhow::anyhow!("it took longer than {} s", ALL_WITHIN.as_secs()))??;
    site.clear_away()
}

async fn play(site: &mut Site) -> anyhow::Result<()> {
    let mut teller = Teller { began: Instant::now(), stories: 0 };
    let revision = |change: u64| FIRST_REVISION + change;
    teller.tell("The first configuration", stories::first_configuration(site)).await?;
    teller.tell("Requests", stories::clients_are_answered(site)).await?;
    teller.tell("A model on demand", stories::a_model_is_loaded_on_demand(site)).await?;
    teller.tell("A change", stories::a_change_is_in_force(site, revision(0), revision(1))).await?;
    teller
        .tell("A race of two changes", stories::one_of_two_changes_wins(site, revision(1), revision(2)))
        .await?;
    teller.tell("A lost answer", stories::a_lost_answer_is_repaired(site, revision(2), revision(3))).await?;
    teller.tell("A worker crashes in a stream", stories::a_stream_outlives_its_worker(site)).await?;
    teller.tell("SIGHUP", stories::sighup_ends_nothing(site)).await?;
    teller.tell("A disk is lost", stories::a_lost_disk_is_replaced(site, revision(3), revision(4))).await?;
    teller
        .tell("A control plane is lost", stories::a_core_machine_is_lost(site, revision(4), revision(5)))
        .await?;
    teller.tell("SIGTERM in a stream", stories::sigterm_finishes_a_stream(site)).await?;
    teller.tell("All are killed", stories::all_are_killed_and_return(site, revision(5))).await?;
    println!(
        "\nAll {} stories went as they should, in {:.1} s.",
        teller.stories,
        teller.began.elapsed().as_secs_f64()
    );
    Ok(())
}

impl Teller {
    async fn tell(&mut self, title: &str, story: impl Future<Output = Told>) -> anyhow::Result<()> {
        self.stories += 1;
        println!("\n{:5.1} s  {title}", self.began.elapsed().as_secs_f64());
        for line in story.await? {
            println!("         {line}");
        }
        Ok(())
    }
}
