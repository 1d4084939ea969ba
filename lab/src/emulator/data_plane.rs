//! A stand-in data plane: holds what the agent feeds, tells demand and asks for missing models.

use super::site;
use switchhill_distribution::{FeedState, MergedState};
use switchhill_protocol::{Downstream, Missing, ModelDemand, Summary, Upstream, UpstreamBody};

/// Time in milliseconds between two hellos.
const HELLO_EVERY: u64 = 400;

/// Time in milliseconds between two summaries.
const SUMMARY_EVERY: u64 = 500;

/// Time in milliseconds for which the same model is not asked for again.
const MISSING_EVERY: u64 = 600;

/// A data plane's process.
#[derive(Debug)]
pub struct DataPlane {
    name: String,
    feed: FeedState,
    next_hello: u64,
    next_summary: u64,
    next_missing: u64,
}

impl DataPlane {
    /// A data plane that knows nothing.
    pub fn new(name: String) -> DataPlane {
        DataPlane { feed: FeedState::new(&name, ""), name, next_hello: 0, next_summary: 0, next_missing: 0 }
    }

    /// What it holds.
    pub fn state(&self) -> &MergedState {
        self.feed.state()
    }

    /// The connection to the agent came up: the first message.
    pub fn connected(&mut self, now: u64) -> Upstream {
        self.next_hello = now + HELLO_EVERY;
        self.feed.hello()
    }

    /// Time has passed. `wanted` is the model that most requests ask for now.
    pub fn tick(&mut self, now: u64, wanted: usize) -> Vec<Upstream> {
        self.feed.tick(now);
        let mut messages = Vec::new();
        if now >= self.next_hello {
            self.next_hello = now + HELLO_EVERY;
            messages.push(self.feed.hello());
        }
        if now >= self.next_summary {
            self.next_summary = now + SUMMARY_EVERY;
            messages.push(Upstream { body: Some(UpstreamBody::Summary(summary(wanted))) });
        }
        let (model, _) = site::MODELS[wanted];
        if now >= self.next_missing && !self.stands_somewhere(model) {
            self.next_missing = now + MISSING_EVERY;
            messages.push(missing(model));
        }
        messages
    }

    fn stands_somewhere(&self, model: &str) -> bool {
        let mut residents = self.feed.state().residency().values().flat_map(|residency| &residency.models);
        residents.any(|resident| resident.name == model)
    }

    /// Takes in a message of the agent; what it asks for in return.
    pub fn receive(&mut self, now: u64, message: Downstream) -> Vec<Upstream> {
        self.feed.receive(now, message).answers
    }

    /// Replaces what is held by nothing, as no data plane may: to show that the checkers notice.
    pub fn forget(&mut self) {
        self.feed = FeedState::new(&self.name, "");
    }
}

fn missing(model: &str) -> Upstream {
    let missing = Missing {
        service: site::ENGINE_SERVICE.to_owned(),
        model: model.to_owned(),
        adapter: String::new(),
        waiting: 3,
        aim_ms: 400,
    };
    Upstream { body: Some(UpstreamBody::Missing(missing)) }
}

fn summary(wanted: usize) -> Summary {
    let demand = site::MODELS.iter().enumerate().map(|(index, (model, _))| ModelDemand {
        service: site::ENGINE_SERVICE.to_owned(),
        model: (*model).to_owned(),
        adapter: if index == wanted { "a1".to_owned() } else { String::new() },
        requests_per_s: if index == wanted { 20.0 } else { 1.0 },
        tokens_per_s: 1_000.0,
        aim_ms: 400,
        outstanding: if index == wanted { 40 } else { 0 },
    });
    Summary { demand: demand.collect(), ..Summary::default() }
}
