//! Messages to a data plane or an agent in every order of arrival, once and twice: nothing goes back, and whoever has heard
//! all holds the newest.
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

fn whole(revision: u64) -> Downstream {
    downstream(DownstreamBody::Configuration(Configuration {
        revision,
        document: Bytes::from(document(revision).to_json()),
        confirmed: true,
        ..Configuration::default()
    }))
}

fn change(from_revision: u64, revision: u64) -> Downstream {
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

/// What is told in the course of a change, a worker's end and a change of the placer.
fn messages() -> Vec<Downstream> {
    vec![
        whole(1),
        change(1, 2),
        whole(3),
        worker(5, WorkerState::Draining { remaining_ms: None }),
        worker(5, WorkerState::Gone),
        residency(2, 9),
        residency(3, 1),
    ]
}

/// What can be compared: later is greater or equal in each part.
type Held = (u64, (bool, u64), (u64, u64));

/// One that takes messages in.
trait Holder: Default {
    fn take(&mut self, message: Downstream);
    fn held(&self) -> Held;
}

struct DataPlane(FeedState);

impl Default for DataPlane {
    fn default() -> Self {
        DataPlane(FeedState::new("edge-1", "north"))
    }
}

impl Holder for DataPlane {
    fn take(&mut self, message: Downstream) {
        self.0.receive(1_000_000, message);
    }

    fn held(&self) -> Held {
        let state = self.0.state();
        let worker =
            state.workers().get("w-1").map_or((false, 0), |worker| (worker.is_gone(), worker.sequence));
        let residency = state.residency().get("w-1").map_or((0, 0), |held| (held.epoch, held.version));
        (state.revision(), worker, residency)
    }
}

/// The planted fault: what comes last counts.
#[derive(Default)]
struct LastCounts(Held);

impl Holder for LastCounts {
    fn take(&mut self, message: Downstream) {
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

    fn held(&self) -> Held {
        self.0
    }
}

/// Takes the messages in every order, each twice in a row, and all once more at the end; tells what went wrong first.
fn in_every_order<H: Holder>() -> std::result::Result<usize, String> {
    let messages = messages();
    let mut order: Vec<usize> = (0..messages.len()).collect();
    let mut orders = 0;
    loop {
        orders += 1;
        let mut holder = H::default();
        let mut before = holder.held();
        let late = order.iter().copied().flat_map(|index| [index, index]);
        for index in late.chain(0..messages.len()) {
            holder.take(messages[index].clone());
            let held = holder.held();
            if held.0 < before.0 || held.1 < before.1 || held.2 < before.2 {
                return Err(format!("order {order:?}, message {index}: {before:?} became {held:?}"));
            }
            before = held;
        }
        if before != (3, (true, 5), (3, 1)) {
            return Err(format!("order {order:?} ends with {before:?}"));
        }
        if !next_permutation(&mut order) {
            return Ok(orders);
        }
    }
}

/// The next order of the items in the order of the dictionary; false after the last one.
fn next_permutation(items: &mut [usize]) -> bool {
    let Some(pivot) = items.windows(2).rposition(|pair| pair[0] < pair[1]) else { return false };
    let greater = items.iter().rposition(|item| *item > items[pivot]).expect("the one behind it");
    items.swap(pivot, greater);
    items[pivot + 1..].reverse();
    true
}

#[gtest]
fn in_every_order_and_twice_nothing_goes_back_and_the_newest_is_held() {
    expect_that!(in_every_order::<DataPlane>(), ok(eq(&5_040)));
}

#[gtest]
fn planted_last_message_counts_is_noticed() {
    expect_that!(in_every_order::<LastCounts>(), err(contains_substring("became")));
}

fn hello_of(feed: &FeedState) -> Upstream {
    feed.hello()
}

/// Hands what an agent sends to one feed over to a data plane; the data plane's questions go back.
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

/// An agent that has heard these messages from a core node.
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
fn a_data_plane_that_reconnects_is_told_the_whole_state_anew() {
    let draining = worker(5, WorkerState::Draining { remaining_ms: None });
    let mut relay = agent(&[whole(1), worker(4, WorkerState::Ready)]);
    let mut feed = FeedState::new("edge-1", "north");
    let first = FeedId(1);
    let outputs = relay.handle(1_000_000, RelayInput::Feed(first, hello_of(&feed)));
    deliver(&mut relay, first, &mut feed, outputs);
    expect_that!(feed.state().revision(), eq(1));
    // What the agent tells while the connection is down is lost on the way.
    relay.handle(1_000_000, RelayInput::FeedGone(first));
    let mut newer =
        agent(&[whole(1), worker(4, WorkerState::Ready), change(1, 2), draining, residency(3, 1)]);
    let second = FeedId(2);
    let outputs = newer.handle(1_000_000, RelayInput::Feed(second, hello_of(&feed)));
    deliver(&mut newer, second, &mut feed, outputs);
    expect_that!(feed.state().revision(), eq(2));
    expect_that!(feed.state().workers().get("w-1").map(|worker| worker.sequence), some(eq(5)));
    expect_that!(feed.state().residency().get("w-1").map(|held| held.epoch), some(eq(3)));
}

#[gtest]
fn an_agent_that_started_again_and_knows_less_takes_nothing_back() {
    let gone = worker(5, WorkerState::Gone);
    let mut relay = agent(&[whole(3), gone.clone(), residency(3, 1), status(true, 3)]);
    let mut feed = FeedState::new("edge-1", "north");
    let outputs = relay.handle(1_000_000, RelayInput::Feed(FeedId(1), hello_of(&feed)));
    deliver(&mut relay, FeedId(1), &mut feed, outputs);
    let held = (feed.state().revision(), feed.state().confirmed());
    expect_that!(held, eq((3, true)));
    // Its first links are to core nodes that lag, and it fetches on demand.
    let mut older = agent(&[whole(1), worker(4, WorkerState::Ready), residency(2, 9), status(true, 1)]);
    for question in [
        hello_of(&feed),
        Upstream { body: Some(UpstreamBody::Fetch(Fetch { have_revision: 0, workers: false })) },
    ] {
        let outputs = older.handle(1_000_000, RelayInput::Feed(FeedId(1), question));
        deliver(&mut older, FeedId(1), &mut feed, outputs);
    }
    expect_that!((feed.state().revision(), feed.state().confirmed()), eq(held));
    expect_that!(feed.state().workers().get("w-1").map(Worker::is_gone), some(eq(true)));
    expect_that!(feed.state().residency().get("w-1").map(|held| held.epoch), some(eq(3)));
}

#[gtest]
fn a_change_that_builds_on_another_revision_is_asked_for_whole_and_changes_nothing() {
    let mut feed = FeedState::new("edge-1", "north");
    feed.receive(1_000_000, whole(1));
    let received = feed.receive(1_000_000, change(2, 3));
    expect_that!(feed.state().revision(), eq(1));
    let fetch = Upstream { body: Some(UpstreamBody::Fetch(Fetch { have_revision: 0, workers: false })) };
    expect_that!(received.answers, elements_are![eq(&fetch)]);
}
