//! What the system does, one story each. A story leaves the site as it found it but for what its text says, and
//! returns what happened, a line each; it fails where something else happened.

use super::client::Whole;
use super::configuration::{adding, first, MAX_BODY_BYTES, RARE_MODEL, USUAL_MODEL};
use super::machine::MEMORY_MB;
use super::site::Site;
use super::stand_in_worker::EVENTS;
use super::wait::until;
use super::{Client, Operator};
use anyhow::{ensure, Context};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// What happened in a story.
pub type Told = anyhow::Result<Vec<String>>;

/// Workers of a site.
const WORKERS: usize = 3;

/// Revision of the first configuration.
pub const FIRST_REVISION: u64 = 5;

/// Requests of each client in a round.
const REQUESTS: usize = 10;

/// Ends the line that a core machine logs when it makes all three core machines vote.
const ELECTORATE_LINE: &str = "electorate: 3 members wanted";

/// Uploads at one moment, each of the longest body: more than the memory of a process.
const UPLOADS: usize = 300;

/// Events after which a stream is disturbed.
const EVENTS_BEFORE: usize = 5;

/// The operator sends the first configuration, workers start, both edges become ready.
///
/// # Errors
/// Something else happens.
pub async fn first_configuration(site: &mut Site) -> Told {
    for edge in [0, 1] {
        site.until_readiness(edge, 503).await?;
    }
    let mut told =
        vec!["both edges answer readiness checks with 503: there is no configuration yet".to_owned()];
    let began = Instant::now();
    let answer = site.operator().replace(0, &first(FIRST_REVISION)).await?;
    ensure!(answer.status == 200, "the first configuration is answered {answer:?}");
    told.push(format!("configuration {FIRST_REVISION} acknowledged {}", after(began.elapsed())));
    for edge in [0, 1] {
        let took = site.until_readiness(edge, 200).await?;
        told.push(format!("edge-{} ready {} of waiting", edge + 1, after(took)));
    }
    while site.workers.len() < WORKERS {
        site.start_worker().await?;
    }
    told.push(format!("{WORKERS} workers started; each holds the model `{USUAL_MODEL}`"));
    Ok(told)
}

/// Clients ask both edges and are answered by workers.
///
/// # Errors
/// Something else happens.
pub async fn clients_are_answered(site: &mut Site) -> Told {
    let clients = site.clients();
    for client in &clients {
        until_served(client, "/embed/first", USUAL_MODEL).await?;
    }
    ask_all(&clients).await?;
    let unknown = clients[0].ask("/nowhere/1", USUAL_MODEL).await?;
    ensure!(
        unknown.status == 404 && unknown.stamp.is_empty(),
        "a path without a route is answered {unknown:?}"
    );
    let runs: Vec<String> =
        site.workers.iter().map(|worker| format!("{} {}", worker.id(), worker.runs())).collect();
    let told = format!("{REQUESTS} requests at each edge answered whole; runs so far: {}", runs.join(", "));
    Ok(vec![told, "a path without a route is answered 404".to_owned()])
}

/// More long bodies come in at once than the memory of a data plane holds: it stays within it, and serves on.
///
/// # Errors
/// Something else happens.
pub async fn long_bodies_leave_room(site: &mut Site) -> Told {
    let client = site.clients().swap_remove(0);
    let mut uploads = JoinSet::new();
    for _ in 0..UPLOADS {
        uploads.spawn(async move { client.upload_unfinished("/embed/long", MAX_BODY_BYTES).await });
    }
    let uploads: Vec<_> = uploads.join_all().await.into_iter().collect::<anyhow::Result<_>>()?;
    let answer = client.ask("/embed/short", USUAL_MODEL).await?;
    ensure!(answer.status == 200, "a short request beside them is answered {answer:?}");
    let peak = site.data_plane(0).peak_resident_bytes()?;
    ensure!(peak < MEMORY_MB << 20, "the data plane had {peak} bytes resident");
    let refused = uploads.iter().filter(|upload| upload.answered).count();
    ensure!((1..UPLOADS).contains(&refused), "{refused} of {UPLOADS} uploads are refused");
    let megabytes = peak >> 20;
    Ok(vec![format!(
        "{UPLOADS} bodies of {MAX_BODY_BYTES} bytes at once: {refused} refused at once, {megabytes} MB at the most, a short request served"
    )])
}

/// A request for a model that stands nowhere is held until a worker has loaded it.
///
/// # Errors
/// Something else happens.
pub async fn a_model_is_loaded_on_demand(site: &mut Site) -> Told {
    ensure!(site.workers.iter().all(|worker| !worker.holds(RARE_MODEL)), "the rare model stands already");
    let began = Instant::now();
    let client = site.clients()[0];
    let answer = until_served(&client, "/batch/1", RARE_MODEL).await?;
    let took = began.elapsed();
    let loaded = site
        .workers
        .iter()
        .find(|worker| worker.holds(RARE_MODEL))
        .context("no worker holds the rare model")?;
    let told = format!("the model `{RARE_MODEL}` stood nowhere; {} was ordered to load it", loaded.id());
    Ok(vec![told, format!("the request was answered {}: {}", after(took), answer.body)])
}

/// A change is acknowledged and in force at both edges.
///
/// # Errors
/// Something else happens.
pub async fn a_change_is_in_force(site: &mut Site, base: u64, revision: u64) -> Told {
    change_and_wait(site, &site.operator(), base, revision).await
}

/// Two operators change the same version: one is taken.
///
/// # Errors
/// Something else happens.
pub async fn one_of_two_changes_wins(site: &mut Site, base: u64, revision: u64) -> Told {
    let operators = [site.operator(), site.operator().beginning_with(1)];
    let changes = [adding(revision, "east"), adding(revision, "west")];
    let (one, other) =
        tokio::join!(operators[0].update(base, &changes[0]), operators[1].update(base, &changes[1]));
    let (one, other) = (one?, other?);
    let mut statuses = [one.status, other.status];
    statuses.sort_unstable();
    ensure!(statuses == [200, 412], "the two changes are answered {one:?} and {other:?}");
    let winner = if one.status == 200 { "first" } else { "second" };
    let loser = if one.status == 200 { other } else { one };
    Ok(vec![format!(
        "two changes of version {base} raced: the {winner} was taken, the other got 412 {}",
        loser.body
    )])
}

/// The answer to a change is lost; sent again elsewhere, it is acknowledged and not taken twice.
///
/// # Errors
/// Something else happens.
pub async fn a_lost_answer_is_repaired(site: &mut Site, base: u64, revision: u64) -> Told {
    let change = adding(revision, "again");
    let _lost = site.operator().update(base, &change).await?;
    let answer = site.operator().beginning_with(1).update(base, &change).await?;
    ensure!(answer.status == 200, "the same change again is answered {answer:?}");
    ensure_revision(site, revision).await?;
    Ok(vec![format!(
        "change {revision} sent again after its answer was lost: acknowledged again, revision {revision}"
    )])
}

/// The worker of a stream crashes; the stream goes on at another one.
///
/// # Errors
/// Something else happens.
pub async fn a_stream_outlives_its_worker(site: &mut Site) -> Told {
    let mut stream = site.clients()[0].open("/chat/1", USUAL_MODEL).await?;
    stream.read_events(EVENTS_BEFORE).await?;
    let worker = site.take_worker(|worker| worker.running() > 0)?;
    let id = worker.id().to_owned();
    worker.crash().await;
    let ids = stream.read_to_end().await?;
    ensure!(ids.iter().copied().eq(1..=EVENTS), "the stream's events are {ids:?}");
    let resumed = site.workers.iter().find_map(|worker| Some((worker.id(), worker.resumed_after()?)));
    let (other, after) = resumed.context("no worker has taken the stream up")?;
    Ok(vec![
        format!("{id} crashed in the middle of a stream; {other} took it up after event {after}"),
        format!("the client got all {EVENTS} events, each once, in one answer"),
    ])
}

/// A data plane gets SIGTERM while it passes a stream on: the stream is finished, then the process ends.
///
/// # Errors
/// Something else happens.
pub async fn sigterm_finishes_a_stream(site: &mut Site) -> Told {
    let mut stream = site.clients()[1].open("/chat/2", USUAL_MODEL).await?;
    stream.read_events(EVENTS_BEFORE).await?;
    site.data_plane(1).terminate()?;
    site.until_readiness(1, 503).await?;
    let ids = stream.read_to_end().await?;
    ensure!(ids.iter().copied().eq(1..=EVENTS), "the stream's events are {ids:?}");
    let status = site.data_plane(1).wait().await?;
    ensure!(status.success(), "the data plane has ended with {status}");
    Ok(vec![format!(
        "SIGTERM at edge-2: not ready, all {EVENTS} events of its stream passed on, then ended with 0"
    )])
}

/// No process ends at SIGHUP, and clients are answered as before.
///
/// # Errors
/// Something else happens.
pub async fn sighup_ends_nothing(site: &mut Site) -> Told {
    let mut stream = site.clients()[0].open("/chat/3", USUAL_MODEL).await?;
    stream.read_events(EVENTS_BEFORE).await?;
    let mut count = 0;
    for process in site.processes() {
        process.hang_up()?;
        count += 1;
    }
    let ids = stream.read_to_end().await?;
    ensure!(ids.iter().copied().eq(1..=EVENTS), "the stream's events are {ids:?}");
    site.all_run()?;
    Ok(vec![format!("SIGHUP to {count} processes: all run, a stream under way was passed on whole")])
}

/// A worker that says it leaves gets no request after the acknowledgement.
///
/// # Errors
/// Something else happens.
pub async fn a_draining_worker_is_left_alone(site: &mut Site) -> Told {
    let worker = site.take_worker(|_| true)?;
    worker.say_draining().await?;
    let clients = site.clients();
    until("no request goes to a worker that drains", || async {
        let before = worker.runs();
        ask_all(&clients).await.ok()?;
        (worker.runs() == before).then_some(())
    })
    .await?;
    let before = worker.runs();
    ask_all(&clients).await?;
    ensure!(worker.runs() == before, "{} ran {} requests more", worker.id(), worker.runs() - before);
    Ok(vec![format!("{} said that it drains, was acknowledged, and gets no request any more", worker.id())])
}

/// A control plane is killed; the next change is acknowledged by the others and in force.
///
/// # Errors
/// Something else happens.
pub async fn a_core_machine_is_lost(site: &mut Site, base: u64, revision: u64) -> Told {
    site.kill_core(0)?;
    // Sent to the lost machine first, as an operator does who has not heard of it.
    let mut told = vec!["core-1 killed with SIGKILL".to_owned()];
    told.extend(change_and_wait(site, &site.operator(), base, revision).await?);
    Ok(told)
}

/// A core machine loses its disk and returns as a new replica, which is made to vote. From then on another core machine
/// may be lost.
///
/// # Errors
/// Something else happens.
pub async fn a_lost_disk_is_replaced(site: &mut Site, base: u64, revision: u64) -> Told {
    let before = site.logged_by_cores(ELECTORATE_LINE);
    site.restart_core_with_empty_disk(1)?;
    let (proposer, took) = until("the new replica is made to vote", || async {
        let now = site.logged_by_cores(ELECTORATE_LINE);
        now.iter().zip(&before).position(|(now, before)| now > before)
    })
    .await?;
    let mut told = vec![format!(
        "core-2 returned with an empty disk; core-{} made it vote {}",
        proposer + 1,
        after(took)
    )];
    // It works on the register one thing after the other: this change comes after that of the electorate.
    told.extend(change_and_wait(site, &site.operator().beginning_with(proposer), base, revision).await?);
    Ok(told)
}

/// Every process is killed at once and started again: the configuration is still there, clients are answered.
///
/// # Errors
/// Something else happens.
pub async fn all_are_killed_and_return(site: &mut Site, revision: u64) -> Told {
    site.kill_all()?;
    site.start_all_again()?;
    let began = Instant::now();
    ensure_revision(site, revision).await?;
    let mut told = vec![
        "all processes killed with SIGKILL and started again".to_owned(),
        format!("configuration {revision} read back {}", after(began.elapsed())),
    ];
    for (edge, client) in site.clients().iter().enumerate() {
        site.until_readiness(edge, 200).await?;
        until_served(client, "/embed/return", USUAL_MODEL).await?;
        told.push(format!("edge-{} answers clients {}", edge + 1, after(began.elapsed())));
    }
    Ok(told)
}

async fn change_and_wait(site: &Site, operator: &Operator, base: u64, revision: u64) -> Told {
    let name = format!("route-{revision}");
    let began = Instant::now();
    let answer = operator.update(base, &adding(revision, &name)).await?;
    ensure!(answer.status == 200, "change {revision} is answered {answer:?}");
    let mut told = vec![format!("change {revision} acknowledged {}", after(began.elapsed()))];
    for (edge, client) in site.clients().iter().enumerate() {
        let path = format!("/{name}/1");
        let (_, took) = until("a change is in force", || async {
            client.ask(&path, USUAL_MODEL).await.ok().filter(|answer| answer.status == 200)
        })
        .await?;
        told.push(format!("in force at edge-{} {} of waiting", edge + 1, after(took)));
    }
    Ok(told)
}

/// Sends [`REQUESTS`] requests of each client, all of which have to be answered by workers.
async fn ask_all(clients: &[Client]) -> anyhow::Result<()> {
    for request in 0..REQUESTS {
        for client in clients {
            let answer = client.ask(&format!("/embed/{request}"), USUAL_MODEL).await?;
            ensure!(answer.status == 200 && !answer.stamp.is_empty(), "answered {answer:?}");
        }
    }
    Ok(())
}

/// Asks until a worker answers: refusals say when to come back, and clients do.
async fn until_served(client: &Client, path: &str, model: &str) -> anyhow::Result<Whole> {
    let (answer, _) = until("a client is answered by a worker", || async {
        client.ask(path, model).await.ok().filter(|answer| answer.status == 200)
    })
    .await?;
    Ok(answer)
}

async fn ensure_revision(site: &Site, revision: u64) -> anyhow::Result<()> {
    let read = site.operator().read().await?;
    ensure!(read["revision"] == revision, "revision {} is read back, not {revision}", read["revision"]);
    Ok(())
}

fn after(time: Duration) -> String {
    format!("after {} ms", time.as_millis())
}
