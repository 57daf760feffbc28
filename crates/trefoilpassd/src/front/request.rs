//! A caller's request: reading its head.

use domain::ErrorKind;
use http::{HeaderMap, HeaderName, Method, header};
use platform::Platform;
use routing::ServiceKey;
use smol_str::SmolStr;

use crate::shared::Shared;

/// The result of reading a request's head.
pub(crate) type Result<T> = std::result::Result<T, ErrorKind>;

/// The header with the milliseconds that the caller gives the request.
pub(crate) const DEADLINE_HEADER: &str = "x-deadline-ms";

/// The header with the request's id.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// The header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// The path of all services.
const SERVICES_PATH: &str = "/v1/services/";

/// The longest headers taken, all together.
const MAX_HEADERS_BYTES: usize = 16 * 1024;

/// The longest idempotency key or request id.
const MAX_TOKEN_BYTES: usize = 128;

/// Headers that concern one connection and are not passed on.
const HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// A request as the library hands it over.
#[derive(Debug)]
pub(crate) struct RawRequest {
    pub(crate) method: Method,
    pub(crate) path_and_query: String,
    pub(crate) headers: HeaderMap,
}

impl RawRequest {
    /// The caller's request id, if it sent a usable one.
    pub(crate) fn request_id(&self) -> Option<SmolStr> {
        token(&self.headers, REQUEST_ID_HEADER).ok().flatten()
    }
}

/// A request's head, checked.
#[derive(Debug)]
pub(crate) struct Head {
    pub(crate) method: Method,
    pub(crate) path_and_query: String,
    /// The headers that are passed on.
    pub(crate) headers: HeaderMap,
    pub(crate) service: ServiceKey,
    pub(crate) service_id: domain::ServiceId,
    pub(crate) request_id: SmolStr,
    pub(crate) key: Option<SmolStr>,
    pub(crate) deadline_us: u64,
    pub(crate) max_body_bytes: u64,
    /// The announced length of the body.
    pub(crate) body_bytes: Option<u64>,
}

impl Head {
    /// Checks a request's head.
    pub(crate) fn read<P: Platform>(
        shared: &Shared<P>,
        raw: RawRequest,
        request_id: SmolStr,
        now_us: u64,
    ) -> Result<Self> {
        let header_bytes: usize = raw
            .headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        if header_bytes > MAX_HEADERS_BYTES {
            return Err(ErrorKind::HeadersTooLarge);
        }
        if shared.in_force().config.is_none() {
            return Err(ErrorKind::NoConfiguration);
        }
        let service = service_of(&raw.path_and_query).ok_or(ErrorKind::UnknownService)?;
        let planned = shared.traffic.with(|router, _, _| {
            let found = router.service(service);
            found.map(|(key, service)| {
                (
                    key,
                    service.id.clone(),
                    service.deadline_us,
                    service.max_body_bytes,
                )
            })
        });
        let (service, service_id, longest_us, max_body_bytes) =
            planned.ok_or(ErrorKind::UnknownService)?;
        token(&raw.headers, REQUEST_ID_HEADER)?;
        let key = token(&raw.headers, KEY_HEADER)?;
        let asked_us = deadline_ms(&raw.headers)?.map(|ms| ms.saturating_mul(1_000));
        let deadline_us = now_us + asked_us.unwrap_or(longest_us).min(longest_us);
        if deadline_us <= now_us {
            return Err(ErrorKind::DeadlinePast);
        }
        let body_bytes = announced_length(&raw.headers);
        if body_bytes.is_some_and(|bytes| bytes > max_body_bytes) {
            return Err(ErrorKind::BodyTooLarge);
        }
        Ok(Self {
            method: raw.method,
            path_and_query: raw.path_and_query,
            headers: passed_on(raw.headers),
            service,
            service_id,
            request_id,
            key,
            deadline_us,
            max_body_bytes,
            body_bytes,
        })
    }

    /// Whether running the request twice is the same as running it once.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.method.is_idempotent()
    }

    /// Whether the request has to run at most once under its key.
    pub(crate) fn needs_claim(&self) -> bool {
        self.key.is_some() && !self.method.is_safe()
    }
}

fn service_of(path_and_query: &str) -> Option<&str> {
    let rest = path_and_query.strip_prefix(SERVICES_PATH)?;
    rest.split(['/', '?']).next()
}

fn token(headers: &HeaderMap, name: &str) -> Result<Option<SmolStr>> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| ErrorKind::MalformedRequest)?;
    let is_fit =
        (1..=MAX_TOKEN_BYTES).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic());
    if !is_fit || values.next().is_some() {
        return Err(ErrorKind::MalformedRequest);
    }
    Ok(Some(text.into()))
}

fn deadline_ms(headers: &HeaderMap) -> Result<Option<u64>> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| ErrorKind::MalformedRequest)?;
    // A negative number is a deadline that has passed.
    let ms: i64 = text
        .trim()
        .parse()
        .map_err(|_| ErrorKind::MalformedRequest)?;
    Ok(Some(u64::try_from(ms).unwrap_or(0)))
}

fn announced_length(headers: &HeaderMap) -> Option<u64> {
    headers
        .get(header::CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// The headers without those that concern the caller's connection.
pub(crate) fn passed_on(mut headers: HeaderMap) -> HeaderMap {
    let named = headers.get_all(header::CONNECTION).iter();
    let named = named
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    let named: Vec<_> = named
        .filter_map(|name| name.trim().parse::<HeaderName>().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove(header::HOST);
    headers.remove(header::CONTENT_LENGTH);
    headers
}
