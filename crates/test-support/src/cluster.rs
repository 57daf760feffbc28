//! Real daemons in processes of their own, between stand-ins in the test's process, with a fault proxy on every
//! link that a test asks for.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::{Duration, Instant};

use domain::{EntryVmId, VmId, ZoneId};
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use peer::{OperatorError, OperatorRpcClient};
use settings::EntryVm;
use tokio::net::TcpListener;

use crate::fault_proxy::{FaultProxy, ProxyFault};
use crate::fleet::{FleetSpec, entry_settings_yaml};
use crate::fleet_daemon::ClientLimits;
use crate::load::Load;
use crate::platform_stand_in::PlatformStandIn;
use crate::ports::free_addrs;
use crate::processes::Daemon;
use crate::targets::Targets;

/// How long a test waits for something that has to come.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// The pause between two looks.
const PERIOD: Duration = Duration::from_millis(50);

/// How long one call of an operator may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A zone of a test's deployment.
#[derive(Debug, Clone, Copy)]
pub struct ZoneShape {
    /// Its daemons.
    pub daemons: usize,
    /// Its VMs in the pool `parts`, each in a rack of its own.
    pub parts: usize,
    /// Its VMs in the pool `quotes`, each in a rack of its own.
    pub quotes: usize,
}

/// A test's deployment.
#[derive(Debug, Clone)]
pub struct Shape {
    /// The daemon's program.
    pub daemon: PathBuf,
    /// The zones.
    pub zones: Vec<ZoneShape>,
    /// How long a target works on a request, on average.
    pub service_time: Duration,
    /// Whether the links between daemons go through proxies.
    pub peer_proxies: bool,
    /// Requests that an executor runs at once.
    pub slots: u32,
    /// Connections that an executor takes.
    pub connections: u32,
    /// The limits of what a daemon holds for its clients, if they are not the default ones.
    pub client_limits: Option<ClientLimits>,
}

impl Shape {
    /// A deployment without proxies between daemons, whose targets take 10 ms.
    #[must_use]
    pub fn new(daemon: impl Into<PathBuf>, zones: &[ZoneShape]) -> Self {
        Self {
            daemon: daemon.into(),
            zones: zones.to_vec(),
            service_time: Duration::from_millis(10),
            peer_proxies: false,
            slots: 8,
            connections: 64,
            client_limits: None,
        }
    }

    /// The same deployment with other limits of what a daemon holds for its clients.
    #[must_use]
    pub fn with_client_limits(mut self, limits: ClientLimits) -> Self {
        self.client_limits = Some(limits);
        self
    }

    /// The same deployment with a proxy on every link between daemons.
    #[must_use]
    pub fn with_peer_proxies(mut self) -> Self {
        self.peer_proxies = true;
        self
    }

    /// The same deployment with other executors.
    #[must_use]
    pub fn with_executors(mut self, slots: u32, connections: u32) -> Self {
        self.slots = slots;
        self.connections = connections;
        self
    }

    /// The same deployment with another service time.
    #[must_use]
    pub fn with_service_time(mut self, service_time: Duration) -> Self {
        self.service_time = service_time;
        self
    }
}

/// A running deployment.
pub struct Cluster {
    /// The platform.
    pub platform: PlatformStandIn,
    /// The targets.
    pub targets: Targets,
    /// The document and the entry VMs' own addresses.
    pub spec: FleetSpec,
    /// The daemons; `None` while one is not running.
    pub daemons: Vec<Option<Daemon>>,
    /// Each daemon's link to the platform.
    pub platform_links: Vec<FaultProxy>,
    /// The links between daemons, from the first to the second, if the shape asks for proxies.
    pub peer_links: BTreeMap<(usize, usize), FaultProxy>,
    shape: Shape,
    http: reqwest::Client,
}

impl Cluster {
    /// Starts the stand-ins and all daemons, and puts the document in force.
    ///
    /// # Panics
    /// When a part does not start.
    pub async fn start(shape: Shape) -> Self {
        let mut cluster = Self::start_unconfigured(shape).await;
        cluster.apply().await;
        cluster
    }

    /// Starts the stand-ins and all daemons.
    ///
    /// # Panics
    /// When a part does not start.
    pub async fn start_unconfigured(shape: Shape) -> Self {
        let spec = FleetSpec::new(&deployment_yaml(&shape), &entry_yaml(&shape.zones));
        let targets = Targets::start(spec.executors(), shape.service_time);
        let listener = TcpListener::bind(spec.platform)
            .await
            .expect("a free address");
        let rebooted = targets.clone();
        let hook = move |vm: &VmId, is_up| rebooted.set_vm_up(vm, is_up);
        let platform = PlatformStandIn::start(listener, hook);
        let count = spec.entry_vms.len();
        let mut links = free_addrs(count * (count + 1)).into_iter();
        let mut platform_links = Vec::new();
        for addr in links.by_ref().take(count) {
            platform_links.push(FaultProxy::start(addr, spec.platform).await);
        }
        let mut peer_links = BTreeMap::new();
        if shape.peer_proxies {
            for (from, to) in pairs(count) {
                let addr = links.next().expect("enough addresses");
                let proxy = FaultProxy::start(addr, spec.entry_vms[to].peers).await;
                peer_links.insert((from, to), proxy);
            }
        }
        let mut cluster = Self {
            platform,
            targets,
            daemons: (0..count).map(|_| None).collect(),
            platform_links,
            peer_links,
            spec,
            shape,
            http: reqwest::Client::builder()
                .no_proxy()
                .build()
                .expect("a client"),
        };
        for index in 0..count {
            cluster.start_daemon(index).await;
        }
        cluster
    }

    /// Puts the document in force and waits until all daemons are ready.
    ///
    /// # Panics
    /// When that fails.
    pub async fn apply(&mut self) {
        let text = self.spec.deployment_yaml();
        self.operator(0)
            .config_apply(text, None)
            .await
            .expect("the document");
        for index in 0..self.daemons.len() {
            self.wait_ready(index).await;
        }
    }

    /// Starts a daemon and waits until it answers.
    ///
    /// # Panics
    /// When it does not answer.
    pub async fn start_daemon(&mut self, index: usize) {
        let own = self.spec.entry_vms[index].id.clone();
        let mut yaml = entry_settings_yaml(
            &own,
            &self.entry_vms_as_seen_by(index),
            self.platform_links[index].addr,
        );
        if let Some(limits) = self.shape.client_limits {
            yaml.push_str(&limits.yaml());
        }
        let log =
            std::env::var_os("TREFOILPASS_TEST_LOG").map_or(Stdio::null(), |_| Stdio::inherit());
        self.daemons[index] = Some(Daemon::start(&self.shape.daemon, &yaml, log));
        let url = self.url(index, "/healthz");
        self.wait(&format!("{own} answers"), async || {
            self.http.get(&url).send().await.is_ok()
        })
        .await;
    }

    /// Ends a daemon at once.
    pub fn kill(&mut self, index: usize) {
        self.daemons[index] = None;
    }

    /// Pauses a daemon.
    ///
    /// # Panics
    /// When it does not run.
    pub fn pause(&self, index: usize) {
        self.daemons[index]
            .as_ref()
            .expect("a daemon that runs")
            .pause();
    }

    /// Lets a paused daemon run again.
    ///
    /// # Panics
    /// When it does not run.
    pub fn resume(&self, index: usize) {
        self.daemons[index]
            .as_ref()
            .expect("a daemon that runs")
            .resume();
    }

    fn entry_vms_as_seen_by(&self, index: usize) -> Vec<EntryVm> {
        let mut entry_vms = self.spec.entry_vms.clone();
        for (&(from, to), proxy) in &self.peer_links {
            if from == index {
                entry_vms[to].peers = proxy.addr;
            }
        }
        entry_vms
    }

    /// Sets a fault on every link of a zone's daemons to the platform and to other zones' daemons.
    pub fn set_zone_links(&self, zone: &ZoneId, fault: ProxyFault) {
        let is_in = |index: usize| self.spec.entry_vms[index].zone == *zone;
        for (index, link) in self.platform_links.iter().enumerate() {
            if is_in(index) {
                link.set(fault);
            }
        }
        for (&(from, to), link) in &self.peer_links {
            if is_in(from) != is_in(to) {
                link.set(fault);
            }
        }
    }

    /// The zone of that number, from 1.
    ///
    /// # Panics
    /// Never: the name is an id.
    #[must_use]
    pub fn zone(number: usize) -> ZoneId {
        ZoneId::new(&format!("z{number}")).expect("an id")
    }

    /// An operator's connection to a daemon.
    ///
    /// # Panics
    /// When the client can't be set up.
    #[must_use]
    pub fn operator(&self, index: usize) -> HttpClient {
        let builder = HttpClientBuilder::default().request_timeout(CALL_TIMEOUT);
        let url = format!("http://{}", self.spec.entry_vms[index].peers);
        builder.build(url).expect("a client")
    }

    /// A daemon's id.
    #[must_use]
    pub fn entry_vm(&self, index: usize) -> &EntryVmId {
        &self.spec.entry_vms[index].id
    }

    /// A URL at a daemon's address for callers.
    #[must_use]
    pub fn url(&self, index: usize, path: &str) -> String {
        format!("http://{}{path}", self.spec.entry_vms[index].callers)
    }

    /// The client of this cluster's callers.
    #[must_use]
    pub fn http(&self) -> &reqwest::Client {
        &self.http
    }

    /// The VMs of a pool, in the order of the document.
    #[must_use]
    pub fn vms(&self, pool: &str) -> Vec<VmId> {
        let vms = self
            .spec
            .deployment
            .vms
            .iter()
            .filter(|vm| vm.pool.as_str() == pool);
        vms.map(|vm| vm.id.clone()).collect()
    }

    /// The executor of a VM.
    ///
    /// # Panics
    /// When there is no such VM.
    #[must_use]
    pub fn executor(&self, vm: &VmId) -> SocketAddr {
        self.spec
            .deployment
            .vm(vm)
            .expect("a VM of the document")
            .executors[0]
            .addr
    }

    /// A load on a service, at all daemons.
    #[must_use]
    pub fn load(&self, service: &str) -> Load {
        Load::new(self.spec.callers(), service)
    }

    /// Waits until a daemon says that it is ready.
    ///
    /// # Panics
    /// When it does not in time.
    pub async fn wait_ready(&self, index: usize) {
        let url = self.url(index, "/readyz");
        self.wait(&format!("{} is ready", self.entry_vm(index)), async || {
            let answer = self.http.get(&url).send().await;
            answer.is_ok_and(|answer| answer.status().is_success())
        })
        .await;
    }

    /// Waits until `look` is true.
    ///
    /// # Panics
    /// When it is not in time.
    pub async fn wait(&self, what: &str, look: impl AsyncFn() -> bool) {
        let until = Instant::now() + PATIENCE;
        while !look().await {
            assert!(Instant::now() < until, "in vain waited for: {what}");
            tokio::time::sleep(PERIOD).await;
        }
    }
}

/// The listed error by which a daemon refused an operator.
///
/// # Panics
/// When the call failed in another way.
#[must_use]
pub fn refused(err: &ClientError) -> OperatorError {
    let ClientError::Call(object) = err else {
        panic!("not an answer: {err}");
    };
    OperatorError::from_code(object.code(), object.message()).expect("a listed error")
}

fn pairs(count: usize) -> impl Iterator<Item = (usize, usize)> {
    let from = 0..count;
    from.flat_map(move |from| (0..count).map(move |to| (from, to)))
        .filter(|(from, to)| from != to)
}

fn deployment_yaml(shape: &Shape) -> String {
    let Shape {
        zones,
        slots,
        connections,
        ..
    } = shape;
    let names: Vec<_> = (1..=zones.len())
        .map(|number| format!("z{number}"))
        .collect();
    let mut yaml = format!(
        "deployment: test\nzones: [{}]\n\
         weights: {{buffer_cost: 1, rollout_time: 1, vm_moves: 1}}\n\
         first_preset: ordinary\n\
         presets:\n\
         \x20 - {{id: ordinary, max_out_percent: 50, queue_limit_requests: 100, retry_percent: 20}}\n\
         \x20 - {{id: peak, max_out_percent: 0, queue_limit_requests: 200, retry_percent: 5}}\n\
         services:\n\
         \x20 - {{id: parts, pool: parts, deadline_ms: 2000, max_body_bytes: 1000000}}\n\
         \x20 - {{id: quotes, pool: quotes, deadline_ms: 8000, max_body_bytes: 1000000}}\n\
         pools:\n\
         \x20 - {{id: parts, min_serving_vms: 0, job_cpu_milli: 4000, job_memory_mb: 8000}}\n\
         \x20 - {{id: quotes, min_serving_vms: 0}}\n\
         teams:\n\
         \x20 - {{id: a, quota_cpu_milli: 1000000}}\n\
         \x20 - {{id: b, quota_cpu_milli: 1000000}}\n\
         vms:\n",
        names.join(", ")
    );
    let mut port = 1;
    for (zone, name) in zones.iter().zip(&names) {
        for (pool, count) in [("parts", zone.parts), ("quotes", zone.quotes)] {
            for number in 1..=count {
                let id = format!("{name}-{pool}-{number}");
                writeln!(
                    yaml,
                    "  - {{id: {id}, zone: {name}, rack: {id}, pool: {pool}, \
                     executors: [{{addr: \"127.0.0.1:{port}\", slots: {slots}, connections: {connections}}}]}}"
                )
                .expect("writing to a string can't fail");
                port += 1;
            }
        }
    }
    yaml
}

fn entry_yaml(zones: &[ZoneShape]) -> String {
    let mut yaml = String::from("entry_vm: e1\nplatform: {addr: \"127.0.0.1:9\"}\nentry_vms:\n");
    let mut number = 0;
    for (index, zone) in zones.iter().enumerate() {
        for _ in 0..zone.daemons {
            number += 1;
            let (callers, peers) = (2 * number, 2 * number + 1);
            writeln!(
                yaml,
                "  - {{id: e{number}, zone: z{}, callers: \"127.0.0.1:{callers}\", peers: \"127.0.0.1:{peers}\"}}",
                index + 1
            )
            .expect("writing to a string can't fail");
        }
    }
    yaml
}
