//! Delayed, reordered and duplicated messages to a data plane or an agent: the state never returns to an earlier
//! version, and after all messages it is the latest one.
#![allow(missing_docs)]

use bytes::Bytes;
use googletest::prelude::*;
use switchhill_configuration::{Delta, Document};
use switchhill_distribution::{FeedId, FeedState, Relay, RelayInput, RelayOutput};
use switchhill_protocol::{
    Configuration, Downstream, DownstreamBody, Fetch, Residency, Status, Upstream, UpstreamBody, Workers,
};
use switchhill_registration::{Worker, WorkerState};

fn document(revision: u64) -> Document {
    let routes: Vec<String> = (0..revision)
        .map(|number| {
            format!(
                "{{\"name\":\"r{number}\",\"host\":\"models.example\",\"pathPrefix\":\"/r{number}/\",\"routeKind\":\"safe\",\
                 \"timeoutMs\":20000,\"targetLatencyMs\":300,\"priority\":1,\"service\":\"large\"}}"
            )
        })
        .collect();
    let routes = routes.join(",");
    let text =
        format!("{{\"revision\":{revision},\"routes\":[{routes}],\"services\":[{{\"name\":\"large\"}}]}}");
    Document::parse(text.as_bytes()).expect("a configuration")
}

fn downstream(body: DownstreamBody) -> Downstream {
    Downstream { body: Some(body) }
}

fn full_configuration(revision: u64) -> Downstream {
    downstream(DownstreamBody::Configuration(Configuration {
        revision,
        document: Bytes::from(document(revision).to_json()),
        confirmed: true,
        ..Configuration::default()
    }))
}

fn delta(from_revision: u64, revision: u64) -> Downstream {
    let delta = Delta::between(&document(from_revision), &document(revision));
    downstream(DownstreamBody::Configuration(Configuration {
        revision,
        delta: Bytes::from(delta.encode()),
        from_revision,
        confirmed: true,
        ..Configuration::default()
    }))
}

fn worker(sequence: u64, state: WorkerState) -> Downstream {
    let worker = Worker {
        id: "w-1".into(),
        service: "large".into(),
        address: "10.1.0.9:80".into(),
        sequence,
        state,
        ..Worker::default()
    };
    downstream(DownstreamBody::Workers(Workers { entries: vec![worker.to_bytes()], whole: false }))
}

fn residency(epoch: u64, version: u64) -> Downstream {
    let worker = "w-1".to_owned();
    downstream(DownstreamBody::Residency(Residency { worker, epoch, version, models: Vec::new() }))
}

fn status(quorum: bool, revision: u64) -> Downstream {
    downstream(DownstreamBody::Status(Status { quorum, revision, ..Status::default() }))
}

/// Messages sent while the configuration changes, a worker terminates and the placer is replaced.
fn messages() -> Vec<Downstream> {
    vec![
        full_configuration(1),
        delta(1, 2),
        full_configuration(3),
        worker(5, WorkerState::Draining { remaining_ms: None }),
        worker(5, WorkerState::Gone),
        residency(2, 9),
        residency(3, 1),
    ]
}

/// Versions of the configuration, the worker and the residency. Each part must never decrease.
type Versions = (u64, (bool, u64), (u64, u64));

/// A receiver of messages.
trait Receiver: Default {
    fn receive(&mut self, message: Downstream);
    fn versions(&self) -> Versions;
}

struct DataPlane(FeedState);

impl Default for DataPlane {
    fn default() -> Self {
        DataPlane(FeedState::new("edge-1", "north"))
    }
}

impl Receiver for DataPlane {
    fn receive(&mut self, message: Downstream) {
        self.0.receive(1_000_000, message);
    }

    fn versions(&self) -> Versions {
        let state = self.0.state();
        let worker =
            state.workers().get("w-1").map_or((false, 0), |worker| (worker.is_gone(), worker.sequence));
        let residency = state.residency().get("w-1").map_or((0, 0), |held| (held.epoch, held.version));
        (state.revision(), worker, residency)
    }
}

/// Deliberately faulty receiver: the last message wins. Shows that the check detects a regression of the state.
#[derive(Default)]
struct LastMessageWins(Versions);

impl Receiver for LastMessageWins {
    fn receive(&mut self, message: Downstream) {
        match message.body {
            Some(DownstreamBody::Configuration(configuration)) => self.0 .0 = configuration.revision,
            Some(DownstreamBody::Workers(workers)) => {
                let worker = Worker::from_bytes(&workers.entries[0]).expect("an entry");
                self.0 .1 = (worker.is_gone(), worker.sequence);
            }
            Some(DownstreamBody::Residency(residency)) => self.0 .2 = (residency.epoch, residency.version),
            _ => {}
        }
    }

    fn versions(&self) -> Versions {
        self.0
    }
}

/// Delivers the messages in every order, each twice in a row, followed by all of them once more. Returns the number
/// of orders, or a description of the first violation.
fn check_every_order<R: Receiver>() -> std::result::Result<usize, String> {
    let messages = messages();
    let mut order: Vec<usize> = (0..messages.len()).collect();
    let mut orders = 0;
    loop {
        orders += 1;
        let mut receiver = R::default();
        let mut before = receiver.versions();
        let duplicated = order.iter().copied().flat_map(|index| [index, index]);
        for index in duplicated.chain(0..messages.len()) {
            receiver.receive(messages[index].clone());
            let after = receiver.versions();
            if after.0 < before.0 || after.1 < before.1 || after.2 < before.2 {
                return Err(format!("order {order:?}, message {index}: {before:?} became {after:?}"));
            }
            before = after;
        }
        if before != (3, (true, 5), (3, 1)) {
            return Err(format!("order {order:?} ends with {before:?}"));
        }
        if !next_permutation(&mut order) {
            return Ok(orders);
        }
    }
}

/// Advances the items to the next permutation in lexicographic order; returns false after the last one.
fn next_permutation(items: &mut [usize]) -> bool {
    let Some(pivot) = items.windows(2).rposition(|pair| pair[0] < pair[1]) else { return false };
    let greater =
        items.iter().rposition(|item| *item > items[pivot]).expect("an item greater than the pivot");
    items.swap(pivot, greater);
    items[pivot + 1..].reverse();
    true
}

#[gtest]
fn reordered_and_duplicated_messages_never_regress_the_state() {
    expect_that!(check_every_order::<DataPlane>(), ok(eq(&5_040)));
}

#[gtest]
fn a_receiver_that_regresses_is_detected() {
    expect_that!(check_every_order::<LastMessageWins>(), err(contains_substring("became")));
}

fn hello_of(feed: &FeedState) -> Upstream {
    feed.hello()
}

/// Delivers the output of an agent for one feed to a data plane, and its replies back to the agent.
fn deliver(relay: &mut Relay, id: FeedId, feed: &mut FeedState, outputs: Vec<RelayOutput>) {
    let mut outputs = std::collections::VecDeque::from(outputs);
    while let Some(output) = outputs.pop_front() {
        let RelayOutput::ToFeed(to, message) = output else { continue };
        if to == id {
            for answer in feed.receive(1_000_000, message).answers {
                outputs.extend(relay.handle(1_000_000, RelayInput::Feed(id, answer)));
            }
        }
    }
}

/// Creates an agent that has received these messages from a core node.
fn agent(messages: &[Downstream]) -> Relay {
    let seeds = vec!["10.0.0.1:7660".to_owned()];
    let mut relay = Relay::new("edge-1", "north", seeds, Default::default());
    let outputs = relay.handle(1_000_000, RelayInput::Tick);
    let link = outputs.iter().find_map(|output| match output {
        RelayOutput::Connect(link, _) => Some(*link),
        _ => None,
    });
    let link = link.expect("it connects to its seed");
    relay.handle(1_000_000, RelayInput::LinkUp(link));
    for message in messages {
        relay.handle(1_000_000, RelayInput::Link(link, message.clone()));
    }
    relay
}

#[gtest]
fn a_data_plane_that_reconnects_receives_the_full_state_again() {
    let draining = worker(5, WorkerState::Draining { remaining_ms: None });
    let mut relay = agent(&[full_configuration(1), worker(4, WorkerState::Ready)]);
    let mut feed = FeedState::new("edge-1", "north");
    let first = FeedId(1);
    let outputs = relay.handle(1_000_000, RelayInput::Feed(first, hello_of(&feed)));
    deliver(&mut relay, first, &mut feed, outputs);
    expect_that!(feed.state().revision(), eq(1));
    // Messages that the agent sends while the connection is down are lost.
    relay.handle(1_000_000, RelayInput::FeedGone(first));
    let mut newer = agent(&[
        full_configuration(1),
        worker(4, WorkerState::Ready),
        delta(1, 2),
        draining,
        residency(3, 1),
    ]);
    let second = FeedId(2);
    let outputs = newer.handle(1_000_000, RelayInput::Feed(second, hello_of(&feed)));
    deliver(&mut newer, second, &mut feed, outputs);
    expect_that!(feed.state().revision(), eq(2));
    expect_that!(feed.state().workers().get("w-1").map(|worker| worker.sequence), some(eq(5)));
    expect_that!(feed.state().residency().get("w-1").map(|held| held.epoch), some(eq(3)));
}

#[gtest]
fn a_restarted_agent_with_older_state_does_not_regress_the_data_plane() {
    let gone = worker(5, WorkerState::Gone);
    let mut relay = agent(&[full_configuration(3), gone.clone(), residency(3, 1), status(true, 3)]);
    let mut feed = FeedState::new("edge-1", "north");
    let outputs = relay.handle(1_000_000, RelayInput::Feed(FeedId(1), hello_of(&feed)));
    deliver(&mut relay, FeedId(1), &mut feed, outputs);
    let held = (feed.state().revision(), feed.state().confirmed());
    expect_that!(held, eq((3, true)));
    // The restarted agent is connected to lagging core nodes. The data plane greets it and fetches the configuration.
    let mut older =
        agent(&[full_configuration(1), worker(4, WorkerState::Ready), residency(2, 9), status(true, 1)]);
    for message in [
        hello_of(&feed),
        Upstream { body: Some(UpstreamBody::Fetch(Fetch { have_revision: 0, workers: false })) },
    ] {
        let outputs = older.handle(1_000_000, RelayInput::Feed(FeedId(1), message));
        deliver(&mut older, FeedId(1), &mut feed, outputs);
    }
    expect_that!((feed.state().revision(), feed.state().confirmed()), eq(held));
    expect_that!(feed.state().workers().get("w-1").map(Worker::is_gone), some(eq(true)));
    expect_that!(feed.state().residency().get("w-1").map(|held| held.epoch), some(eq(3)));
}

#[gtest]
fn a_delta_for_another_revision_is_rejected_and_the_full_configuration_is_fetched() {
    let mut feed = FeedState::new("edge-1", "north");
    feed.receive(1_000_000, full_configuration(1));
    let received = feed.receive(1_000_000, delta(2, 3));
    expect_that!(feed.state().revision(), eq(1));
    let fetch = Upstream { body: Some(UpstreamBody::Fetch(Fetch { have_revision: 0, workers: false })) };
    expect_that!(received.answers, elements_are![eq(&fetch)]);
}
