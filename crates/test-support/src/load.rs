//! Callers behind a balancer: they send requests at a steady rate, resend as they are told, and keep a ledger.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http::{Method, StatusCode};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reqwest::Client;
use serde::Deserialize;

use crate::targets::Run;

/// How often one request is sent at most.
const MAX_TRIES: usize = 8;

/// How often the balancer looks at the daemons.
const HEALTH_PERIOD: Duration = Duration::from_millis(100);

/// How long it waits for their answer.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a caller waits for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(8);

/// The pause before a request is sent again when the answer named none.
const RESEND_PAUSE: Duration = Duration::from_millis(50);

/// A steady load.
#[derive(Debug, Clone)]
pub struct Load {
    /// The daemons' addresses for callers.
    pub daemons: Vec<SocketAddr>,
    /// The services that are called, in turn.
    pub services: Vec<String>,
    /// Requests a second.
    pub rate_per_s: u32,
    /// How long.
    pub duration: Duration,
    /// Of a hundred requests, how many have an idempotency key.
    pub keyed_percent: u32,
    /// Of a hundred requests, how many are not idempotent and have no key.
    pub keyless_percent: u32,
    /// Decides the mix.
    pub seed: u64,
    /// Daemons that were killed; what breaks at them is counted apart.
    pub killed: Arc<Mutex<BTreeSet<SocketAddr>>>,
}

/// What a caller knows in the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Answered,
    NotRun,
    Unknown,
}

/// How the requests ended, as their callers see it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// With a whole answer.
    pub answered: u64,
    /// Refused, and not run.
    pub not_run: u64,
    /// Not known to have run.
    pub unknown: u64,
}

/// What came of a load.
#[derive(Debug)]
pub struct LoadReport {
    /// How the requests ended.
    pub outcomes: Outcomes,
    /// Error answers by kind, resends included.
    pub errors: BTreeMap<String, u64>,
    /// Answers that broke off at a daemon that was not killed.
    pub cut: u64,
    /// Connections that broke because a daemon was killed.
    pub broken_by_kill: u64,
    /// Answers that belonged to another request.
    pub foreign: u64,
    /// What the daemons added to the targets' own time, for requests answered at the first try, in microseconds.
    pub added_us: Histogram<u64>,
    /// From the first try to the whole answer, for all requests answered, in microseconds.
    pub total_us: Histogram<u64>,
    ledger: Vec<LedgerEntry>,
}

#[derive(Debug, Clone)]
struct LedgerEntry {
    op: String,
    is_idempotent: bool,
    end: End,
    /// Whether every try ended with the word that it was not run.
    is_surely_not_run: bool,
}

impl LoadReport {
    fn new() -> Self {
        Self {
            outcomes: Outcomes::default(),
            errors: BTreeMap::new(),
            cut: 0,
            broken_by_kill: 0,
            foreign: 0,
            added_us: latency_histogram(),
            total_us: latency_histogram(),
            ledger: Vec::new(),
        }
    }

    /// Requests that are not idempotent and ran more than once.
    #[must_use]
    pub fn doubled(&self, runs: &HashMap<String, Vec<Run>>) -> Vec<&str> {
        let ran = |entry: &LedgerEntry| runs.get(&entry.op).map_or(0, Vec::len);
        let doubled = self
            .ledger
            .iter()
            .filter(|entry| !entry.is_idempotent && ran(entry) > 1);
        doubled.map(|entry| entry.op.as_str()).collect()
    }

    /// Requests that were answered and did not run.
    #[must_use]
    pub fn lost(&self, runs: &HashMap<String, Vec<Run>>) -> Vec<&str> {
        let is_lost =
            |entry: &&LedgerEntry| entry.end == End::Answered && !runs.contains_key(&entry.op);
        let lost = self.ledger.iter().filter(is_lost);
        lost.map(|entry| entry.op.as_str()).collect()
    }

    /// Requests that were refused as not run, and ran.
    #[must_use]
    pub fn falsely_not_run(&self, runs: &HashMap<String, Vec<Run>>) -> Vec<&str> {
        let is_false =
            |entry: &&LedgerEntry| entry.is_surely_not_run && runs.contains_key(&entry.op);
        let falsely = self.ledger.iter().filter(is_false);
        falsely.map(|entry| entry.op.as_str()).collect()
    }

    /// Requests sent.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.ledger.len() as u64
    }

    /// Panics with the particulars when a promise to callers was broken.
    ///
    /// # Panics
    /// When a request was doubled, lost, cut, answered with another's answer, or falsely called not run.
    pub fn assert_promises(&self, runs: &HashMap<String, Vec<Run>>) {
        let (doubled, lost) = (self.doubled(runs), self.lost(runs));
        let falsely = self.falsely_not_run(runs);
        assert!(doubled.is_empty(), "ran more than once: {doubled:?}");
        assert!(lost.is_empty(), "answered without having run: {lost:?}");
        assert!(falsely.is_empty(), "called not run, but ran: {falsely:?}");
        assert_eq!(self.cut, 0, "answers that broke off");
        assert_eq!(self.foreign, 0, "answers to other requests");
    }
}

#[derive(Debug, Deserialize)]
struct Problem {
    #[serde(rename = "type")]
    kind: String,
    outcome: String,
}

/// How one try ended.
enum Try {
    Answered,
    Refused {
        outcome: End,
        pause: Option<Duration>,
    },
    /// No connection: the balancer goes on to the next daemon.
    NoConnection,
    /// The connection broke.
    Broken,
}

struct Request {
    op: String,
    service: String,
    method: Method,
    key: Option<String>,
}

impl Request {
    fn is_idempotent(&self) -> bool {
        self.method.is_idempotent()
    }

    fn may_resend(&self, after: End) -> bool {
        after == End::NotRun || self.is_idempotent() || self.key.is_some()
    }
}

struct Callers {
    load: Load,
    http: Client,
    ready: Mutex<Vec<SocketAddr>>,
    turn: Mutex<usize>,
    report: Mutex<LoadReport>,
}

impl Load {
    /// A load of 300 requests a second on one service for two seconds, a quarter of them with keys.
    #[must_use]
    pub fn new(daemons: Vec<SocketAddr>, service: &str) -> Self {
        Self {
            daemons,
            services: vec![service.into()],
            rate_per_s: 300,
            duration: Duration::from_secs(2),
            keyed_percent: 25,
            keyless_percent: 5,
            seed: 1,
            killed: Arc::default(),
        }
    }

    /// Sends the load and waits for the end of every request.
    ///
    /// # Panics
    /// When the HTTP library can't be set up.
    pub async fn run(self) -> LoadReport {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let http = Client::builder()
            .no_proxy()
            .timeout(CALLER_TIMEOUT)
            .tcp_nodelay(true)
            .build();
        let callers = Arc::new(Callers {
            http: http.expect("a client without TLS"),
            ready: Mutex::new(self.daemons.clone()),
            turn: Mutex::new(0),
            report: Mutex::new(LoadReport::new()),
            load: self,
        });
        let health = tokio::spawn(callers.clone().watch_health());
        let duration_ms = u64::try_from(callers.load.duration.as_millis()).unwrap_or(u64::MAX);
        let count = u64::from(callers.load.rate_per_s) * duration_ms / 1_000;
        let period = Duration::from_secs_f64(1.0 / f64::from(callers.load.rate_per_s));
        let mut due = Instant::now();
        let mut tasks = Vec::new();
        for number in 0..count {
            due += period;
            tokio::time::sleep_until(due.into()).await;
            let request = callers.request(number, &mut rng);
            tasks.push(tokio::spawn(callers.clone().send(request)));
        }
        for task in tasks {
            task.await.expect("callers do not panic");
        }
        health.abort();
        let mut report = callers.report.lock();
        std::mem::replace(&mut *report, LoadReport::new())
    }
}

impl Callers {
    fn request(&self, number: u64, rng: &mut ChaCha8Rng) -> Request {
        let load = &self.load;
        let services = &load.services;
        let index = usize::try_from(number).unwrap_or(0) % services.len();
        let op = format!("{}-{number}", load.seed);
        let draw = rng.random_range(0..100);
        let is_keyed = draw < load.keyed_percent;
        let is_post = draw < load.keyed_percent + load.keyless_percent;
        Request {
            key: is_keyed.then(|| format!("key-{op}")),
            op,
            service: services[index].clone(),
            method: if is_post { Method::POST } else { Method::GET },
        }
    }

    /// Keeps the list of daemons that say that they are ready.
    async fn watch_health(self: Arc<Self>) {
        loop {
            let mut ready = Vec::new();
            for addr in &self.load.daemons {
                let asked = self
                    .http
                    .get(format!("http://{addr}/readyz"))
                    .timeout(HEALTH_TIMEOUT);
                let answer = asked.send().await;
                if answer.is_ok_and(|answer| answer.status() == StatusCode::OK) {
                    ready.push(*addr);
                }
            }
            *self.ready.lock() = ready;
            tokio::time::sleep(HEALTH_PERIOD).await;
        }
    }

    fn next_daemon(&self) -> SocketAddr {
        let ready = self.ready.lock();
        let daemons = if ready.is_empty() {
            &self.load.daemons
        } else {
            &*ready
        };
        let mut turn = self.turn.lock();
        *turn += 1;
        daemons[*turn % daemons.len()]
    }

    async fn send(self: Arc<Self>, request: Request) {
        let begun = Instant::now();
        let mut end = End::NotRun;
        let mut is_surely_not_run = true;
        for number in 0..MAX_TRIES {
            let daemon = self.next_daemon();
            match self.send_once(&request, daemon, number == 0).await {
                Try::Answered => {
                    end = End::Answered;
                    is_surely_not_run = false;
                    break;
                }
                Try::NoConnection => tokio::time::sleep(RESEND_PAUSE).await,
                Try::Refused { outcome, pause } => {
                    end = outcome;
                    is_surely_not_run &= outcome == End::NotRun;
                    let Some(pause) = pause.filter(|_| request.may_resend(outcome)) else {
                        break;
                    };
                    tokio::time::sleep(pause).await;
                }
                Try::Broken => {
                    end = End::Unknown;
                    is_surely_not_run = false;
                    if !request.may_resend(end) {
                        break;
                    }
                    tokio::time::sleep(RESEND_PAUSE).await;
                }
            }
        }
        let mut report = self.report.lock();
        match end {
            End::Answered => {
                report.outcomes.answered += 1;
                report.total_us.saturating_record(micros(begun.elapsed()));
            }
            End::NotRun => report.outcomes.not_run += 1,
            End::Unknown => report.outcomes.unknown += 1,
        }
        report.ledger.push(LedgerEntry {
            is_idempotent: request.is_idempotent(),
            op: request.op,
            end,
            is_surely_not_run,
        });
    }

    async fn send_once(&self, request: &Request, daemon: SocketAddr, is_first: bool) -> Try {
        let url = format!("http://{daemon}/v1/services/{}/work", request.service);
        let mut builder = self
            .http
            .request(request.method.clone(), url)
            .header("x-op", &request.op);
        if let Some(key) = &request.key {
            builder = builder.header("idempotency-key", key);
        }
        if request.method == Method::POST {
            builder = builder.body(format!("order {}", request.op));
        }
        let sent = Instant::now();
        let response = match builder.send().await {
            Ok(response) => response,
            Err(err) if err.is_connect() => return Try::NoConnection,
            Err(_) => return self.broken(daemon, false),
        };
        let status = response.status();
        let header = |name: &str| {
            response
                .headers()
                .get(name)?
                .to_str()
                .ok()?
                .parse::<u64>()
                .ok()
        };
        let served_us = header("x-served-us");
        let pause = header("retry-after").map(Duration::from_secs);
        let Ok(body) = response.text().await else {
            return self.broken(daemon, true);
        };
        if !status.is_success() {
            return self.refused(&body, pause);
        }
        if !body.starts_with(&format!("op={} ", request.op)) {
            self.report.lock().foreign += 1;
        }
        if let Some(served_us) = served_us.filter(|_| is_first) {
            let added_us = micros(sent.elapsed()).saturating_sub(served_us);
            self.report.lock().added_us.saturating_record(added_us);
        }
        Try::Answered
    }

    fn refused(&self, body: &str, pause: Option<Duration>) -> Try {
        let problem = serde_json::from_str::<Problem>(body);
        let kind = problem
            .as_ref()
            .map_or("target's own error", |problem| &problem.kind);
        *self
            .report
            .lock()
            .errors
            .entry(kind.to_owned())
            .or_default() += 1;
        let is_not_run = problem.is_ok_and(|problem| problem.outcome == "not-run");
        Try::Refused {
            outcome: if is_not_run {
                End::NotRun
            } else {
                End::Unknown
            },
            pause,
        }
    }

    /// A daemon that was killed breaks its connections; at another one only a begun answer must not break.
    fn broken(&self, daemon: SocketAddr, has_begun: bool) -> Try {
        let is_killed = self.load.killed.lock().contains(&daemon);
        let mut report = self.report.lock();
        if is_killed {
            report.broken_by_kill += 1;
        } else if has_begun {
            report.cut += 1;
        } else {
            *report.errors.entry("connection broken".into()).or_default() += 1;
        }
        Try::Broken
    }
}

/// A histogram of microseconds, up to a minute.
///
/// # Panics
/// Never: the bounds are in order.
#[must_use]
pub fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds in order")
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
