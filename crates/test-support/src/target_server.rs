//! The HTTP side of the executors, and paths for experiments.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use domain::VmId;
use futures_util::{StreamExt, stream};
use http::{HeaderMap, HeaderValue, StatusCode};
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use rand::Rng;
use sync_wrapper::SyncStream;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use warp::reply::{Reply, Response};
use warp::{Buf, Filter, Stream};

use crate::targets::{Executor, Run, Shared, TargetFault, Targets};

/// How much longer a slow executor takes.
const SLOW_FACTOR: u32 = 10;

/// The pause between the two halves of a truncated answer, the second of which is the connection's end.
const TRUNCATE_PAUSE: Duration = Duration::from_millis(50);

/// How long an executor that hangs holds a request.
const HANG: Duration = Duration::from_secs(3_600);

pub(crate) fn start(executor: Arc<Executor>, shared: Arc<Shared>) -> io::Result<()> {
    let listener = listen(executor.addr)?;
    tokio::spawn(async move {
        let mut listener = Some(listener);
        loop {
            accept(listener.take(), &executor, &shared).await;
            let mut is_up = executor.is_up.subscribe();
            // The sender is part of the executor, so waiting can't fail.
            let _ = is_up.wait_for(|is_up| *is_up).await;
            listener = listen_again(executor.addr).await;
        }
    });
    Ok(())
}

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(addr)?;
    socket.listen(1024)
}

async fn listen_again(addr: SocketAddr) -> Option<TcpListener> {
    for _ in 0..100 {
        if let Ok(listener) = listen(addr) {
            return Some(listener);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    None
}

/// Accepts connections until the VM goes down.
async fn accept(listener: Option<TcpListener>, executor: &Arc<Executor>, shared: &Arc<Shared>) {
    let Some(listener) = listener else {
        return;
    };
    let mut is_up = executor.is_up.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = is_up.wait_for(|is_up| !is_up) => return,
        };
        if let Ok((stream, _)) = accepted {
            tokio::spawn(connection(stream, executor.clone(), shared.clone()));
        }
    }
}

async fn connection(stream: TcpStream, executor: Arc<Executor>, shared: Arc<Shared>) {
    let connections = {
        let mut state = executor.state.lock();
        state.connections += 1;
        state.connections
    };
    {
        let mut stats = shared.stats.lock();
        stats.most_connections = stats.most_connections.max(connections);
    }
    let mut is_up = executor.is_up.subscribe();
    let hang_up = Arc::new(Notify::new());
    let routes = routes(executor.clone(), shared, hang_up.clone());
    let service = TowerToHyperService::new(warp::service(routes));
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = served => {}
        () = hang_up.notified() => {}
        _ = is_up.wait_for(|is_up| !is_up) => {}
    }
    executor.state.lock().connections -= 1;
}

fn routes(
    executor: Arc<Executor>,
    shared: Arc<Shared>,
    hang_up: Arc<Notify>,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone {
    warp::header::headers_cloned()
        .and(warp::body::stream())
        .then(move |headers, body| {
            let (executor, shared) = (executor.clone(), shared.clone());
            serve(executor, shared, hang_up.clone(), headers, body)
        })
        .recover(async |_| Ok::<_, Infallible>(StatusCode::BAD_REQUEST.into_response()))
        .unify()
}

/// Counts a request in flight for as long as it lives.
struct InFlight(Arc<Executor>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.state.lock().in_flight -= 1;
    }
}

async fn serve(
    executor: Arc<Executor>,
    shared: Arc<Shared>,
    hang_up: Arc<Notify>,
    headers: HeaderMap,
    body: impl Stream<Item = Result<impl Buf, warp::Error>> + Unpin,
) -> Response {
    let arrived = Instant::now();
    let fault = {
        let mut state = executor.state.lock();
        state.in_flight += 1;
        state.last_request_ms =
            u64::try_from(shared.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        state.fault
    };
    let in_flight = InFlight(executor.clone());
    let Ok(body_bytes) = read(body).await else {
        shared.stats.lock().broken_bodies += 1;
        return StatusCode::BAD_REQUEST.into_response();
    };
    if fault == TargetFault::NotRun {
        return with_header(
            StatusCode::SERVICE_UNAVAILABLE.into_response(),
            "x-outcome",
            "not-run",
        );
    }
    // Closing the semaphore is never done.
    let _slot = executor.slots.acquire().await;
    note_run(&executor, &shared, &headers);
    let work_time = work_time(&shared, &headers, fault);
    if work_time > Duration::ZERO {
        tokio::time::sleep(work_time).await;
    }
    let answer = answer(&executor, &headers, body_bytes, fault, arrived, in_flight);
    match fault {
        TargetFault::Drop => {
            hang_up.notify_one();
            tokio::time::sleep(HANG).await;
            answer
        }
        TargetFault::Hang => {
            tokio::time::sleep(HANG).await;
            answer
        }
        TargetFault::Fail => with_status(answer, StatusCode::INTERNAL_SERVER_ERROR),
        TargetFault::WrongId => with_header(answer, "x-request-id", "another"),
        _ => answer,
    }
}

async fn read(
    mut body: impl Stream<Item = Result<impl Buf, warp::Error>> + Unpin,
) -> Result<usize, warp::Error> {
    let mut bytes = 0;
    while let Some(part) = body.next().await {
        bytes += part?.remaining();
    }
    Ok(bytes)
}

fn note_run(executor: &Executor, shared: &Shared, headers: &HeaderMap) {
    shared.stats.lock().runs += 1;
    let op = text(headers, "x-op").unwrap_or("none").to_owned();
    let run = Run {
        addr: executor.addr,
        vm: executor.vm.clone(),
    };
    shared.runs.lock().entry(op).or_default().push(run);
}

/// Between half and one and a half times the average, or what the request asks for.
fn work_time(shared: &Shared, headers: &HeaderMap, fault: TargetFault) -> Duration {
    let asked = text(headers, "x-work-ms").and_then(|ms| ms.parse().ok());
    let spread = rand::rng().random_range(0.5..1.5);
    let average = asked.map_or(shared.service_time, Duration::from_millis);
    let factor = if fault == TargetFault::Slow {
        SLOW_FACTOR
    } else {
        1
    };
    average.mul_f64(spread) * factor
}

/// The operation's name, filled up to the size that the request asks for.
fn answer(
    executor: &Executor,
    headers: &HeaderMap,
    body_bytes: usize,
    fault: TargetFault,
    arrived: Instant,
    in_flight: InFlight,
) -> Response {
    let op = text(headers, "x-op").unwrap_or("none");
    let mut body = format!("op={op} vm={} body={body_bytes} ", executor.vm).into_bytes();
    let asked = text(headers, "x-answer-bytes").and_then(|bytes| bytes.parse().ok());
    body.resize(body.len().max(asked.unwrap_or(0)), b'.');
    let length = body.len();
    let body = Bytes::from(body);
    let is_truncated = fault == TargetFault::Truncate;
    let first = if is_truncated {
        body.slice(..length / 2)
    } else {
        body
    };
    let broken = stream::iter(is_truncated.then_some(())).then(async |()| {
        // The first half is on its way before the connection breaks.
        tokio::time::sleep(TRUNCATE_PAUSE).await;
        Err(io::Error::other("truncated"))
    });
    // The request is in flight until its answer was taken off the stream.
    let parts = stream::iter([Ok(first)]).chain(broken).inspect(move |_| {
        let _in_flight = &in_flight;
    });
    let mut response = warp::reply::stream(SyncStream::new(parts)).into_response();
    if !headers.contains_key("x-answer-chunked") {
        response
            .headers_mut()
            .insert("content-length", HeaderValue::from(length));
    }
    if let Some(id) = headers.get("x-request-id") {
        response.headers_mut().insert("x-request-id", id.clone());
    }
    let served_us = u64::try_from(arrived.elapsed().as_micros()).unwrap_or(u64::MAX);
    response
        .headers_mut()
        .insert("x-served-us", HeaderValue::from(served_us));
    response
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn with_header(mut response: Response, name: &'static str, value: &'static str) -> Response {
    response
        .headers_mut()
        .insert(name, HeaderValue::from_static(value));
    response
}

fn with_status(mut response: Response, status: StatusCode) -> Response {
    *response.status_mut() = status;
    response
}

/// Serves paths for experiments: the ledger, the figures, and switches for VMs and faults.
pub async fn serve_targets_admin(listener: TcpListener, targets: Targets) {
    let own = targets.clone();
    let runs = warp::path!("runs").map(move || warp::reply::json(&own.runs()).into_response());
    let own = targets.clone();
    let stats = warp::path!("stats").map(move || warp::reply::json(&own.stats()).into_response());
    let own = targets.clone();
    let vm = warp::path!("vms" / String / String).map(move |vm: String, state: String| {
        let Ok(vm) = VmId::new(&vm) else {
            return StatusCode::BAD_REQUEST.into_response();
        };
        own.set_vm_up(&vm, state == "up");
        StatusCode::OK.into_response()
    });
    let fault = warp::path!("faults" / SocketAddr)
        .and(warp::body::json())
        .map(move |addr, fault| {
            targets.set_fault(addr, fault);
            StatusCode::OK.into_response()
        });
    let routes = runs.or(stats).unify().or(vm).unify().or(fault).unify();
    warp::serve(routes).incoming(listener).run().await;
}
