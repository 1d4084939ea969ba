//! Why a connection to a worker could not be established, and how this is reported to the agent.

use super::super::connector::{ConnectFuture, Connector};
use super::super::feedback::Feedback;
use super::super::pool::{LeaseError, LeaseLimits, Pool};
use super::super::shared::Shared;
use super::super::shutdown::ShutdownHandle;
use super::harness::{run_in_paused_time, settings};
use googletest::prelude::*;
use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

const LIMITS: LeaseLimits = LeaseLimits { connections: 2, connect: Duration::from_millis(100) };
const ADDRESS: &str = "10.0.0.1:80";

/// Fails to connect with this error, or never completes.
#[derive(Debug)]
struct FailingConnector(Option<ErrorKind>);

impl Connector for FailingConnector {
    fn connect(&self, _address: SocketAddr) -> ConnectFuture {
        let kind = self.0;
        Box::pin(async move {
            match kind {
                Some(kind) => Err(Error::from(kind)),
                None => std::future::pending().await,
            }
        })
    }
}

#[gtest]
fn a_refused_connection_is_distinguished_from_an_unreachable_host() {
    let cases = [
        (Some(ErrorKind::ConnectionRefused), LeaseError::Refused),
        (Some(ErrorKind::HostUnreachable), LeaseError::ConnectFailed),
        (None, LeaseError::ConnectFailed),
    ];
    for (kind, expected) in cases {
        run_in_paused_time(async {
            let pool = Pool::with_connector(Rc::new(FailingConnector(kind)), 10);
            let leased = pool.lease("w", ADDRESS, LIMITS).await.err();
            expect_that!(leased, some(eq(expected)), "{kind:?}");
            expect_that!(pool.probe("w", ADDRESS, LIMITS).await, err(eq(expected)), "{kind:?}");
        });
    }
}

#[gtest]
fn an_unreachable_worker_is_reported_once_per_interval() {
    run_in_paused_time(async {
        let (feedback_sender, mut feedback) = mpsc::unbounded_channel();
        let shared = Shared::new(settings(), feedback_sender, ShutdownHandle::new());
        shared.report_unreachable("w1", LeaseError::Refused);
        shared.report_unreachable("w1", LeaseError::Refused);
        shared.report_unreachable("w2", LeaseError::ConnectFailed);
        shared.report_unreachable("w3", LeaseError::PoolExhausted);
        let mut reports = Vec::new();
        while let Ok(Feedback::Unreachable { worker, refused }) = feedback.try_recv() {
            reports.push((worker, refused));
        }
        expect_that!(reports, eq(&vec![("w1".to_owned(), true), ("w2".to_owned(), false)]));
    });
}
