//! What the register's value costs by its size: bytes of a message and of a record, processor time of each step.
//!
//! `cargo run --release -p switchhill-control --example state_cost`. Times are the least of several runs, on one core of
//! the machine that runs it.

use std::hint::black_box;
use std::time::{Duration, Instant};

use switchhill_configuration::{ControlState, Decision, Order, OrderKind, TakenOrder};
use switchhill_distribution::ConfigurationDelta;
use switchhill_record_log::{Options, RecordLog};
use switchhill_register::{Accepted, Ballot, Body, Electorate, Member, Message, Record, ReplicaId, Value};

const RUNS: usize = 15;

fn document(revision: u64, routes: usize) -> String {
    let route = |number: usize| {
        format!(
            "{{\"name\":\"route-{number:04}\",\"host\":\"models{}.example\",\"pathPrefix\":\"/path{number:04}/\",\
             \"routeKind\":\"streaming\",\"timeoutMs\":20000,\"targetLatencyMs\":4000,\"priority\":{},\
             \"service\":\"service-{}\",\"retries\":1,\"sessionAffinity\":true,\"resumable\":false,\"gap_aim_ms\":250}}",
            number % 10,
            number % 4,
            number % 8
        )
    };
    let service = |number: usize| {
        format!(
            "{{\"name\":\"service-{number}\",\"healthCheck\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\",\
             \"tls\":false}}"
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    let services: Vec<String> = (0..8).map(service).collect();
    let (routes, services) = (routes.join(","), services.join(","));
    format!("{{\"revision\":{revision},\"routes\":[{routes}],\"services\":[{services}]}}")
}

fn change(base: u64) -> Order {
    let name = format!("route-{:04}", base % 400);
    let body = format!(
        "{{\"revision\":{},\"upsert\":{{\"routes\":[{{\"name\":\"{name}\",\"host\":\"models.example\",\
         \"pathPrefix\":\"/changed{base}/\",\"routeKind\":\"safe\",\"timeoutMs\":20000,\"service\":\"service-1\"}}]}}}}",
        base + 1
    );
    Order { kind: OrderKind::Update, base_version: base, body: body.into_bytes().into() }
}

fn state(routes: usize, digests: usize) -> ControlState {
    let order = Order {
        kind: OrderKind::Replace,
        base_version: 0,
        body: document(5_000, routes).into_bytes().into(),
    };
    let Decision::Take(state) = ControlState::default().decide(&order) else { panic!("a valid order") };
    let digest = |number: u64| u128::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
    let taken = (0..digests as u64).map(|number| TakenOrder { revision: number, digest: digest(number) });
    let mut state = *state;
    state.taken = taken.collect();
    state
}

fn accepted(data: Vec<u8>) -> Accepted {
    let member = |id: u64| Member { id: ReplicaId(id << 40), address: format!("10.1.0.{id}:7000") };
    let electorate = Electorate { epoch: 9, members: (1..=5).map(member).collect(), joint_with: Vec::new() };
    let ballot = |counter| Ballot { counter, proposer: ReplicaId(1 << 40) };
    let lineage = (1..=16).map(ballot).collect();
    Accepted { ballot: ballot(1 << 33), value: Value { electorate, data: data.into(), lineage } }
}

fn least<T>(mut step: impl FnMut() -> T) -> f64 {
    let once = |_| {
        let begun = Instant::now();
        black_box(step());
        begun.elapsed()
    };
    (0..RUNS).map(once).min().unwrap_or(Duration::ZERO).as_secs_f64() * 1000.0
}

fn main() {
    println!(
        "routes digests | state B message B record B | ms: decide encode | message-encode message-decode \
         record-encode append | state-decode beside-similar delta"
    );
    let sizes = [(40, 10), (400, 0), (400, 10), (400, 100), (400, 1_000), (400, 4_096), (60_000, 10)];
    for (routes, digests) in sizes {
        print_costs(routes, digests);
    }
}

fn print_costs(routes: usize, digests: usize) {
    let before = state(routes, digests);
    let order = change(5_000);
    let Decision::Take(after) = before.decide(&order) else { panic!("a valid change") };
    let data = after.encode();
    let accepted = accepted(data.clone());
    let body = Body::Accept { ballot: accepted.ballot, value: accepted.value.clone() };
    let message = Message { to: ReplicaId(1), body };
    let sent = message.encode();
    let record = Record::Accepted(accepted);
    let written = record.encode();
    let old = before.document.as_ref().expect("there is one");
    let new = after.document.as_ref().expect("there is one");
    let folder = std::env::temp_dir().join(format!("state-cost-{}", std::process::id()));
    let options = Options { rewrite_above_bytes: u64::MAX };
    let (mut log, _) = RecordLog::open(&folder, "cost", options).expect("the temporary folder takes files");
    println!(
        "{routes:6} {digests:7} | {:7} {:9} {:8} | {:10.3} {:6.3} | {:14.3} {:14.3} {:13.3} {:6.3} | {:12.3} {:14.3} {:5.3}",
        data.len(),
        sent.len(),
        written.len(),
        least(|| before.decide(&order)),
        least(|| after.encode()),
        least(|| message.encode()),
        least(|| Message::decode(&sent)),
        least(|| record.encode()),
        least(|| log.append(&written)),
        least(|| ControlState::decode(&data)),
        least(|| ControlState::decode_similar(&data, Some(old))),
        least(|| ConfigurationDelta::between(old, new)),
    );
    let _ = std::fs::remove_dir_all(&folder);
}
