//! The paths of the callers' address.

use std::convert::Infallible;
use std::sync::Arc;

use http::{HeaderMap, Method, StatusCode};
use platform::Platform;
use warp::Filter;
use warp::path::FullPath;
use warp::reply::{Reply, Response};
use xtra::Address;

use crate::control::ClaimActor;
use crate::front::exchange;
use crate::front::request::RawRequest;
use crate::shared::Shared;

/// What the request path needs.
#[derive(Debug)]
pub(crate) struct Front<P: Platform> {
    pub(crate) shared: Arc<Shared<P>>,
    pub(crate) http: reqwest::Client,
    pub(crate) claims: Address<ClaimActor<P>>,
}

/// All paths of the callers' address.
pub(crate) fn filter<P: Platform>(
    front: Arc<Front<P>>,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone {
    let health = warp::path!("healthz").map(|| StatusCode::OK.into_response());
    let shared = front.shared.clone();
    let ready = warp::path!("readyz").map(move || readiness(&shared).into_response());
    let shared = front.shared.clone();
    let metrics = warp::path!("metrics").map(move || metrics_text(&shared).into_response());
    let services = warp::method()
        .and(warp::path::full())
        .and(raw_query())
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .and(warp::ext::get())
        .then(move |method, path, query, headers, body, connection| {
            let front = front.clone();
            let raw = raw_request(method, &path, query, headers);
            async move { exchange::serve(&front, raw, body, connection).await }
        });
    health
        .or(ready)
        .unify()
        .or(metrics)
        .unify()
        .or(services)
        .unify()
        .recover(no_route)
        .unify()
}

fn raw_query() -> impl Filter<Extract = (Option<String>,), Error = Infallible> + Copy {
    warp::query::raw()
        .map(Some)
        .or(warp::any().map(|| None))
        .unify()
}

fn raw_request(
    method: Method,
    path: &FullPath,
    query: Option<String>,
    headers: HeaderMap,
) -> RawRequest {
    let path_and_query = match query {
        Some(query) => format!("{}?{query}", path.as_str()),
        None => path.as_str().to_owned(),
    };
    RawRequest {
        method,
        path_and_query,
        headers,
    }
}

fn readiness<P>(shared: &Shared<P>) -> StatusCode {
    if shared.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

fn metrics_text<P>(shared: &Shared<P>) -> String {
    let waiting = shared.traffic.with(|router, _, _| router.waiting());
    shared
        .metrics
        .waiting
        .set(i64::try_from(waiting).unwrap_or(i64::MAX));
    shared.metrics.text()
}

async fn no_route(_: warp::Rejection) -> Result<Response, Infallible> {
    Ok(StatusCode::NOT_FOUND.into_response())
}
