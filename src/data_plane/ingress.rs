//! Connections of clients, and what happens to a request before it is sent to a worker.

use super::connector;
use super::count_guard::CountGuard;
use super::delivery;
use super::exchange::{deadline, request_profile, select_service, AttemptHistory, Exchange, RouteRules};
use super::flush_tracking::{FlushState, FlushTrackingStream};
use super::forwarded_request::ForwardedRequest;
use super::policy;
use super::replies::LocalReply;
use super::request_head::RequestHead;
use super::request_log::Timeline;
use super::response_body::ResponseBody;
use super::shared::Shared;
use super::shutdown::{Phase, ShutdownHandle};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use switchhill_configuration::{ClientLimits, Route};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// Accepts clients until the phase in which no new connection is taken.
pub(crate) async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    let places = Arc::new(Semaphore::new(shared.connection_limits.clients));
    let closing = shared.shutdown.clone();
    tokio::select! {
        () = accept_all(&shared, &listener, &places) => {}
        () = closing_pause_over(&closing) => {}
    }
}

/// Waits until what had come when the last phase began has been read.
async fn closing_pause_over(shutdown: &ShutdownHandle) {
    shutdown.reached(Phase::Closing).await;
    tokio::time::sleep(policy::CLOSING_GRACE).await;
}

async fn accept_all(shared: &Rc<Shared>, listener: &TcpListener, places: &Arc<Semaphore>) {
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _peer)) => {
                tokio::task::spawn_local(serve_connection(shared.clone(), stream, place));
            }
            Err(error) => {
                log::warn!("accepting a client: {error}");
                tokio::time::sleep(policy::CONNECTION_SETTLE_TIME).await;
            }
        }
    }
}

async fn serve_connection(shared: Rc<Shared>, stream: TcpStream, _place: OwnedSemaphorePermit) {
    if let Err(error) = connector::set_socket_options(&stream, policy::CLIENT_TCP_USER_TIMEOUT) {
        log::debug!("socket options of a client: {error}");
    }
    serve_stream(shared, stream).await;
}

/// Serves the requests of one client until its connection ends.
pub(crate) async fn serve_stream(shared: Rc<Shared>, stream: impl AsyncRead + AsyncWrite + Unpin + 'static) {
    let _open = CountGuard::new(&shared.client_connections);
    let limits = client_limits(&shared);
    let service = service_fn(|request| respond(shared.clone(), request));
    let written = Rc::new(FlushState::counted(shared.unwritten_connections.clone()));
    let stream = TokioIo::new(FlushTrackingStream::new(stream, written));
    let connection = connection_settings(&limits).serve_connection(stream, service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closing_pause_over(&shared.shutdown) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("connection of a client: {error}");
    }
}

fn client_limits(shared: &Shared) -> ClientLimits {
    shared.document().map(|document| *document.limits()).unwrap_or_default()
}

fn connection_settings(limits: &ClientLimits) -> http1::Builder {
    // One timer bounds both the rest between two requests and the time a head takes.
    let idle = Duration::from_millis(limits.idle_timeout_ms) + policy::CLIENT_IDLE_GRACE;
    let head = Duration::from_millis(limits.header_timeout_ms);
    let head_buffer = usize::try_from(limits.max_header_bytes).unwrap_or(usize::MAX);
    let mut settings = http1::Builder::new();
    settings
        .timer(TokioTimer::new())
        .auto_date_header(false)
        .header_read_timeout(idle.max(head))
        .max_buf_size(head_buffer.max(policy::MIN_HEAD_BUFFER_BYTES));
    settings
}

async fn respond(
    shared: Rc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let mut answer = answer_request(&shared, request).await;
    if shared.shutdown.phase() != Phase::Serving {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}

async fn answer_request(shared: &Rc<Shared>, request: Request<Incoming>) -> Response<ResponseBody> {
    let arrived = Instant::now();
    let running = CountGuard::new(&shared.running);
    let (parts, body) = request.into_parts();
    let head = RequestHead::parse(&parts);
    let request_id = head.request_id.clone();
    let time = body_time(shared, &head);
    let read = tokio::time::timeout_at(arrived + time, read_body(shared, body)).await;
    let read = read.unwrap_or(Err(LocalReply::NotRun { retry_after_ms: policy::RETRY_AFTER_REFUSED_MS }));
    if read.is_ok() {
        shared.wait_for_configuration(arrived + policy::MAX_CONFIGURATION_WAIT.min(time / 4)).await;
    }
    let admitted = read.and_then(|body| {
        let route = find_route(shared, &head)?;
        admit(shared, &route, &head, ForwardedRequest::new(parts, body), arrived, running)
    });
    match admitted {
        Ok(exchange) => delivery::handle_request(exchange).await,
        Err(reply) => reply.response(request_id.as_ref()),
    }
}

/// The time that the body may take: that of the client or that of the route, whichever is shorter.
fn body_time(shared: &Shared, head: &RequestHead) -> Duration {
    let document = shared.document();
    let route = document.as_ref().and_then(|document| document.route(&head.host, &head.path));
    let timeout = route.map_or(policy::MAX_BODY_READ_TIME, |route| Duration::from_millis(route.timeout_ms));
    head.deadline.unwrap_or(timeout).min(timeout).min(policy::MAX_BODY_READ_TIME)
}

async fn read_body(shared: &Shared, body: Incoming) -> Result<Bytes, LocalReply> {
    let limit = usize::try_from(client_limits(shared).max_body_bytes).unwrap_or(usize::MAX);
    let collected = Limited::new(body, limit).collect().await;
    collected.map(|body| body.to_bytes()).map_err(|error| match error.is::<LengthLimitError>() {
        true => LocalReply::BodyTooLarge,
        false => LocalReply::BodyUnreadable,
    })
}

/// The route by the newest configuration.
fn find_route(shared: &Shared, head: &RequestHead) -> Result<Route, LocalReply> {
    let not_yet = LocalReply::NotRun { retry_after_ms: policy::RETRY_AFTER_NO_CONFIGURATION_MS };
    let view = shared.view();
    let document = view.document.as_ref().ok_or(not_yet)?;
    let route = document.route(&head.host, &head.path);
    // A configuration that nobody has confirmed may be too old to know the route.
    let unknown = if view.confirmed { LocalReply::NoRoute } else { not_yet };
    route.cloned().ok_or(unknown)
}

/// Admission: the one place where a request is refused for the sake of others.
fn admit(
    shared: &Rc<Shared>,
    route: &Route,
    head: &RequestHead,
    request: ForwardedRequest,
    arrived: Instant,
    running: CountGuard,
) -> Result<Exchange, LocalReply> {
    let profile = request_profile(route, head, select_service(route, head));
    let now = shared.now();
    let deadline = deadline(arrived, head, route);
    shared.retry_budget.borrow_mut().record_request(now, &profile.service);
    let running_demand = shared.statistics.borrow_mut().arrived(&route.name, &profile);
    let time_left = deadline.saturating_duration_since(Instant::now());
    let time_left_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
    let admitted = shared.admission.admit(now, &route.name, &profile, time_left_ms);
    let admitted = admitted.map_err(|retry_after_ms| {
        shared.statistics.borrow_mut().refusals.by_price += 1;
        LocalReply::NotRun { retry_after_ms }
    })?;
    shared.statistics.borrow_mut().admitted(&route.name);
    shared.record_time_limit(deadline.saturating_duration_since(arrived));
    let running_entry = shared.running_requests.add(&route.name, head.request_id.clone(), arrived);
    Ok(Exchange {
        shared: shared.clone(),
        rules: RouteRules::of(route),
        request,
        request_id: head.request_id.clone(),
        profile,
        last_event_id: head.last_event_id,
        arrived,
        deadline,
        admitted: Some(admitted),
        history: AttemptHistory::default(),
        running_entry,
        timeline: Timeline::new(route),
        _running: running,
        _running_demand: running_demand,
    })
}
