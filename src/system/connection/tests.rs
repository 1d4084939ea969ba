//! Writers to a side that reads late, over in-memory streams in paused time.

use super::*;
use crate::system::outgoing::{self, LONGEST_WAIT};
use switchhill_protocol::{Configuration, Downstream, DownstreamBody};
use tokio::io::DuplexStream;

const MESSAGES: u64 = 10;

fn configuration(revision: u64) -> Downstream {
    let document = vec![0; 60_000].into();
    let configuration = Configuration { revision, document, ..Configuration::default() };
    Downstream { body: Some(DownstreamBody::Configuration(configuration)) }
}

/// Reads messages from a connection that holds 4 KiB, beginning after a time; returns those that came and why the writer
/// ended, if it did.
async fn read_after(pause: Duration) -> (Vec<Downstream>, Option<String>) {
    let (ours, mut theirs): (DuplexStream, DuplexStream) = tokio::io::duplex(4096);
    let (queue, waiting) = outgoing::queue();
    (1..=MESSAGES).for_each(|revision| queue.send(configuration(revision)));
    let reading = async {
        tokio::time::sleep(pause).await;
        let mut came = Vec::new();
        while came.len() < MESSAGES as usize {
            match read_frame(&mut theirs).await {
                Ok(message) => came.push(message),
                Err(_) => break,
            }
        }
        came
    };
    tokio::pin!(reading);
    tokio::select! {
        came = &mut reading => (came, None),
        end = send(ours, &waiting) => (reading.await, Some(end.to_string())),
    }
}

#[tokio::test(start_paused = true)]
async fn a_side_that_reads_late_but_in_time_gets_all_that_waited() {
    let (came, end) = read_after(LONGEST_WAIT - Duration::from_millis(1)).await;
    let sent: Vec<Downstream> = (1..=MESSAGES).map(configuration).collect();
    assert!(came == sent, "{} of {MESSAGES} came", came.len());
    assert_eq!(end, None);
}

#[tokio::test(start_paused = true)]
async fn a_side_that_reads_too_late_gets_none_of_it() {
    let (came, end) = read_after(LONGEST_WAIT + Duration::from_millis(1)).await;
    assert!(came.is_empty(), "{} came", came.len());
    assert_eq!(end, Some(Closed::TooOld.to_string()));
}
