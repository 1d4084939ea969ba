//! HTTP endpoint for the platform's readiness checks.

use super::policy;
use super::response_body::ResponseBody;
use super::shared::Shared;
use super::shutdown::Phase;
use crate::system::connection_slots::{ConnectionSlot, ConnectionSlots};
use hyper::header::{HeaderValue, CONTENT_LENGTH};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

const READY_PATH: &str = "/api/ready";
/// Time after which a connection without a check is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before accepting again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves readiness checks for the lifetime of the process.
pub(crate) async fn serve_readiness_checks(shared: Rc<Shared>, listener: TcpListener) {
    let connections = ConnectionSlots::new(policy::MAX_READINESS_CONNECTIONS);
    loop {
        connections.room().await;
        match listener.accept().await {
            Ok((stream, _peer)) => {
                tokio::task::spawn_local(serve_connection(shared.clone(), stream, connections.open()));
            }
            Err(error) => {
                log::warn!("failed to accept a readiness connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(shared: Rc<Shared>, stream: TcpStream, slot: Rc<ConnectionSlot>) {
    let service = service_fn(|request: Request<_>| {
        let _answered_at_once = slot.busy();
        let response = readiness_response(&shared, request.uri().path());
        async move { Ok::<_, Infallible>(response) }
    });
    let mut settings = http1::Builder::new();
    settings
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(policy::MIN_HEAD_BUFFER_BYTES);
    tokio::select! {
        biased;
        served = settings.serve_connection(TokioIo::new(stream), service) => if let Err(error) = served {
            log::debug!("readiness connection failed: {error}");
        },
        () = slot.evicted() => log::debug!("readiness connection evicted"),
    }
}

fn readiness_response(shared: &Shared, path: &str) -> Response<ResponseBody> {
    let is_ready = shared.shutdown.phase() == Phase::Serving && shared.view().is_ready();
    let mut response = Response::new(ResponseBody::empty());
    *response.status_mut() = match (path, is_ready) {
        (READY_PATH, true) => StatusCode::OK,
        (READY_PATH, false) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    response.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(0));
    response
}
