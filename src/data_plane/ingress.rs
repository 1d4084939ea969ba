//! Client connections and the processing of a request before it is sent to a worker.

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
use crate::system::connection_slots::{ConnectionSlot, ConnectionSlots};
use crate::system::head_memory::{HeadMemory, HeadMemoryStream};
use crate::system::request_body::{self, ReadBodyError};
use crate::system::request_in_work::RequestInWork;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION, EXPECT};
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
use tokio::time::Instant;

/// Accepts client connections until shortly after the closing phase has begun.
pub(crate) async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    let connections = ConnectionSlots::new(shared.connection_limits.clients);
    let closing = shared.shutdown.clone();
    tokio::select! {
        () = accept_loop(&shared, &listener, &connections) => {}
        () = closing_grace_elapsed(&closing) => {}
    }
}

/// Waits for the closing phase and then for the grace period in which data that is already pending is read.
async fn closing_grace_elapsed(shutdown: &ShutdownHandle) {
    shutdown.reached(Phase::Closing).await;
    tokio::time::sleep(policy::CLOSING_GRACE).await;
}

async fn accept_loop(shared: &Rc<Shared>, listener: &TcpListener, connections: &ConnectionSlots) {
    loop {
        connections.room().await;
        match listener.accept().await {
            Ok((stream, _peer)) => {
                tokio::task::spawn_local(serve_connection(shared.clone(), stream, connections.open()));
            }
            Err(error) => {
                log::warn!("failed to accept a client connection: {error}");
                tokio::time::sleep(policy::CONNECTION_SETTLE_TIME).await;
            }
        }
    }
}

async fn serve_connection(shared: Rc<Shared>, stream: TcpStream, slot: Rc<ConnectionSlot>) {
    if let Err(error) = connector::set_socket_options(&stream, policy::CLIENT_TCP_USER_TIMEOUT) {
        log::debug!("failed to set the socket options of a client connection: {error}");
    }
    serve_stream(shared, stream, slot).await;
}

/// Serves the requests on one client connection until it is closed or gives way to another one.
pub(crate) async fn serve_stream(
    shared: Rc<Shared>,
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    slot: Rc<ConnectionSlot>,
) {
    let _open = CountGuard::new(&shared.client_connections);
    let limits = client_limits(&shared);
    let memory = HeadMemory::new(shared.head_memory.clone());
    let service = service_fn(|request| {
        let in_work = RequestInWork::begin(&slot, &memory);
        respond(shared.clone(), request, in_work)
    });
    let flush_state = Rc::new(FlushState::counted(shared.unwritten_connections.clone()));
    let stream = HeadMemoryStream::new(stream, memory.clone());
    let stream = TokioIo::new(FlushTrackingStream::new(stream, flush_state.clone()));
    let connection = connection_builder(&limits).serve_connection(stream, service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        // Polled first: a request that has come is taken before the connection may be closed.
        biased;
        result = connection.as_mut() => result,
        () = evicted(&slot, &flush_state) => return log::debug!("client connection evicted"),
        () = closing_grace_elapsed(&shared.shutdown) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("client connection failed: {error}");
    }
}

/// Completes once the connection has to give way to another one and its last response has been written.
async fn evicted(slot: &ConnectionSlot, flush_state: &FlushState) {
    loop {
        slot.evicted().await;
        flush_state.flushed().await;
        if slot.must_close() {
            return;
        }
    }
}

fn client_limits(shared: &Shared) -> ClientLimits {
    shared.document().map(|document| *document.limits()).unwrap_or_default()
}

fn connection_builder(limits: &ClientLimits) -> http1::Builder {
    // The HTTP library has a single timer for both the idle time between requests and the time to read a
    // head.
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
    in_work: Rc<RequestInWork>,
) -> Result<Response<ResponseBody>, Infallible> {
    let mut response = process_request(&shared, request, in_work).await;
    if shared.shutdown.phase() != Phase::Serving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

async fn process_request(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
    in_work: Rc<RequestInWork>,
) -> Response<ResponseBody> {
    let arrived = Instant::now();
    let running = CountGuard::new(&shared.running);
    let (parts, body) = request.into_parts();
    let head = RequestHead::parse(&parts);
    let request_id = head.request_id.clone();
    let timeout = body_read_timeout(shared, &head);
    let awaits_continue = parts.headers.contains_key(EXPECT);
    let body = read_body(shared, body, awaits_continue, arrived + timeout, &in_work).await;
    let body = body.and_then(|body| match shared.is_out_of_memory() {
        true => Err(refused_for_memory(shared)),
        false => Ok(body),
    });
    if body.is_ok() {
        shared.wait_for_configuration(arrived + policy::MAX_CONFIGURATION_WAIT.min(timeout / 4)).await;
    }
    let admitted = body.and_then(|body| {
        let route = find_route(shared, &head)?;
        admit(shared, &route, &head, ForwardedRequest::new(parts, body), arrived, running, in_work)
    });
    match admitted {
        Ok(exchange) => delivery::handle_request(exchange).await,
        Err(reply) => reply.response(request_id.as_ref()),
    }
}

/// Time limit for reading the body: the client's deadline, the route's timeout or the general maximum,
/// whichever is shortest.
fn body_read_timeout(shared: &Shared, head: &RequestHead) -> Duration {
    let document = shared.document();
    let route = document.as_ref().and_then(|document| document.route(&head.host, &head.path));
    let timeout = route.map_or(policy::MAX_BODY_READ_TIME, |route| Duration::from_millis(route.timeout_ms));
    head.deadline.unwrap_or(timeout).min(timeout).min(policy::MAX_BODY_READ_TIME)
}

/// Reads the body until the given time. If it is too long or its memory is not free, the request is refused at
/// once, while the client may still be sending.
async fn read_body(
    shared: &Shared,
    mut body: Incoming,
    awaits_continue: bool,
    until: Instant,
    in_work: &Rc<RequestInWork>,
) -> Result<Bytes, LocalReply> {
    let refused = LocalReply::NotRun { retry_after_ms: policy::RETRY_AFTER_REFUSED_MS };
    let max_bytes = usize::try_from(client_limits(shared).max_body_bytes).unwrap_or(usize::MAX);
    let read = request_body::read(&shared.body_memory, &mut body, max_bytes);
    let read = tokio::time::timeout_at(until, read).await;
    let error = match read {
        Ok(Ok(bytes)) => return Ok(bytes),
        Ok(Err(error)) => error,
        Err(_) => return Err(refused),
    };
    // A client that waits for the go-ahead sends no body after a refusal.
    if !awaits_continue {
        let time_left = until.saturating_duration_since(Instant::now());
        tokio::task::spawn_local(request_body::discard(body, time_left, in_work.clone()));
    }
    Err(match error {
        ReadBodyError::TooLong => LocalReply::BodyTooLarge,
        ReadBodyError::Unreadable => LocalReply::BodyUnreadable,
        ReadBodyError::OutOfMemory => refused_for_memory(shared),
    })
}

/// Refuses a request whose memory is not free.
fn refused_for_memory(shared: &Shared) -> LocalReply {
    shared.statistics.borrow_mut().refusals.memory += 1;
    LocalReply::NotRun { retry_after_ms: policy::RETRY_AFTER_REFUSED_MS }
}

/// Looks up the route in the newest configuration.
fn find_route(shared: &Shared, head: &RequestHead) -> Result<Arc<Route>, LocalReply> {
    let retry_later = LocalReply::NotRun { retry_after_ms: policy::RETRY_AFTER_NO_CONFIGURATION_MS };
    let view = shared.view();
    let document = view.document.as_ref().ok_or(retry_later)?;
    let route = document.route(&head.host, &head.path);
    // An unconfirmed configuration may be too old to contain the route.
    let no_route = if view.confirmed { LocalReply::NoRoute } else { retry_later };
    route.cloned().ok_or(no_route)
}

/// Admission control: the only place where a request is refused in favor of other requests.
fn admit(
    shared: &Rc<Shared>,
    route: &Route,
    head: &RequestHead,
    request: ForwardedRequest,
    arrived: Instant,
    running: CountGuard,
    in_work: Rc<RequestInWork>,
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
        _in_work: in_work,
        _running_demand: running_demand,
    })
}
