//! Writers to a side that reads late, over in-memory streams in paused time.

use super::*;
use crate::system::outgoing::{self, LONGEST_STALL};
use switchhill_protocol::{read_frame, Configuration, Downstream, DownstreamBody};
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
    let (queue, waiting) = outgoing::queue::<Downstream>();
    (1..=MESSAGES).for_each(|revision| queue.send(&configuration(revision)));
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
    let (came, end) = read_after(LONGEST_STALL - Duration::from_millis(1)).await;
    let sent: Vec<Downstream> = (1..=MESSAGES).map(configuration).collect();
    assert!(came == sent, "{} of {MESSAGES} came", came.len());
    assert_eq!(end, None);
}

#[tokio::test(start_paused = true)]
async fn a_side_that_reads_too_late_gets_none_of_it() {
    let (came, end) = read_after(LONGEST_STALL + Duration::from_millis(1)).await;
    assert!(came.is_empty(), "{} came", came.len());
    assert_eq!(end, Some(Closed::Stalled.to_string()));
}

#[tokio::test(start_paused = true)]
async fn a_side_that_takes_little_at_a_time_gets_all_of_it_however_long_it_takes() {
    let (ours, mut theirs): (DuplexStream, DuplexStream) = tokio::io::duplex(16);
    let (queue, waiting) = outgoing::queue::<Downstream>();
    let sent = configuration(1);
    queue.send(&sent);
    let began = tokio::time::Instant::now();
    let reading = async {
        let mut frame = Vec::new();
        while frame.len() < sent.encoded_len() {
            tokio::time::sleep(LONGEST_STALL - Duration::from_millis(1)).await;
            let mut part = [0; 16];
            let read = theirs.read(&mut part).await.expect("the connection goes on");
            frame.extend_from_slice(&part[..read]);
            assert!(read > 0, "ended after {} bytes", frame.len());
        }
        frame
    };
    tokio::select! {
        frame = reading => assert!(frame.len() >= sent.encoded_len()),
        end = send(ours, &waiting) => panic!("given up after {:?}: {end}", began.elapsed()),
    }
    assert!(began.elapsed() > 100 * LONGEST_STALL);
}
