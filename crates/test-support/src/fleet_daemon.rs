//! A daemon on the users' platform, on free ports of this machine.

use std::net::SocketAddr;

use crate::ports::free_addrs;

/// What a daemon is told at its start. A restarted daemon keeps its addresses.
#[derive(Debug, Clone)]
pub struct FleetDaemonSpec {
    /// Its name.
    pub name: String,
    /// Where callers come.
    pub callers: SocketAddr,
    /// Where the balancer asks.
    pub ready: SocketAddr,
    /// Where peers call it.
    pub peers: SocketAddr,
    /// Where its metrics are.
    pub metrics: SocketAddr,
    store: SocketAddr,
    vms: SocketAddr,
    revoke_ms: Option<u64>,
    policy: Option<SocketAddr>,
    client_limits: Option<ClientLimits>,
}

/// The limits of what a daemon holds for its clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Connections of callers, and as many of peers.
    pub connections: u64,
}

impl ClientLimits {
    /// The limits as a line of a daemon's settings.
    pub(crate) fn yaml(self) -> String {
        let Self {
            memory_mb,
            connections,
        } = self;
        format!("clients: {{ memory_mb: {memory_mb}, connections: {connections} }}\n")
    }
}

impl FleetDaemonSpec {
    /// A daemon that reaches the platform at these addresses.
    ///
    /// # Panics
    /// When no ports are free.
    #[must_use]
    pub fn new(name: &str, store: SocketAddr, vms: SocketAddr) -> Self {
        let [callers, ready, peers, metrics] = free_addrs(4)[..] else {
            unreachable!("four addresses were asked for");
        };
        Self {
            name: name.into(),
            callers,
            ready,
            peers,
            metrics,
            store,
            vms,
            revoke_ms: None,
            policy: None,
            client_limits: None,
        }
    }

    /// Sets the limits of what it holds for its clients.
    #[must_use]
    pub fn with_client_limits(mut self, limits: ClientLimits) -> Self {
        self.client_limits = Some(limits);
        self
    }

    /// Sets where the policy service is.
    #[must_use]
    pub fn with_policy(mut self, addr: SocketAddr) -> Self {
        self.policy = Some(addr);
        self
    }

    /// Sets how long after its revocation a key may still be used, in ms. Revocations are then strict.
    #[must_use]
    pub fn with_strict_revocation(mut self, revoke_ms: u64) -> Self {
        self.revoke_ms = Some(revoke_ms);
        self
    }

    /// Its settings.
    #[must_use]
    pub fn yaml(&self) -> String {
        let Self {
            name,
            callers,
            ready,
            peers,
            metrics,
            store,
            vms,
            revoke_ms,
            policy,
            client_limits,
        } = self;
        let clients = client_limits.map_or_else(String::new, ClientLimits::yaml);
        let policy = policy.map_or_else(String::new, |addr| format!("advice_addr: {addr}\n"));
        let revocation = revoke_ms.map_or_else(String::new, |revoke_ms| {
            format!(", strict_revoke: true, revoke_ms: {revoke_ms}")
        });
        format!(
            "daemon: {name}\nip: {}\nzone: z\ncallers_addr: {callers}\nready_addr: {ready}\n\
             peer_port: {}\nmetrics_port: {}\nstore_addr: {store}\nvms_addr: {vms}\nnew_field: ignored\n\
             bounds: {{ grace_s: 6, longest_lease_ms: 10000, keep_ended_s: 120, steward_gap_ms: 3000, \
             maintenance_s: 0.4, stop_ms: 200{revocation} }}\n{policy}{clients}",
            peers.ip(),
            peers.port(),
            metrics.port(),
        )
    }

    /// Where peers call it.
    #[must_use]
    pub fn peers_url(&self) -> String {
        format!("http://{}", self.peers)
    }

    /// Where the balancer asks whether it takes callers.
    #[must_use]
    pub fn ready_url(&self) -> String {
        format!("http://{}/v1/ready", self.ready)
    }
}
