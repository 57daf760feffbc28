//! The limits of what a process holds for its clients, as settings have them.

use serde::Deserialize;
use snafu::Snafu;

/// The memory that an open connection is counted with, in bytes: the buffers of the kernel and of the HTTP library, and the start of
/// a body.
pub const CONNECTION_BYTES: u64 = 80 * 1024;

/// The start of a body that is counted with its connection, in bytes.
pub const INCLUDED_BODY_BYTES: u64 = 8 * 1024;

/// The maximum number of connections to the readiness probe, and as many to the metrics.
pub const MAX_PROBE_CONNECTIONS: u64 = 16;

/// What must remain for bodies, in bytes.
const MIN_BODIES_BYTES: u64 = 4 * 1024 * 1024;

const BYTES_PER_MB: u64 = 1024 * 1024;

/// Result of checking limits.
pub type Result<T> = std::result::Result<T, Error>;

/// Why limits can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// There are no connections, or no time for a request.
    #[snafu(display("0 is too small"))]
    Zero {
        /// The path of the field in the settings.
        field: &'static str,
    },
    /// The memory does not suffice for the connections and for a body.
    #[snafu(display(
        "{memory_mb} is too small for {connections} connections, which need {min_memory_mb}"
    ))]
    TooLittleMemory {
        /// The memory, in MB.
        memory_mb: u64,
        /// The maximum number of connections.
        connections: u64,
        /// The least memory for this number of connections, in MB.
        min_memory_mb: u64,
    },
}

impl Error {
    /// The path of the field in the settings.
    #[must_use]
    pub fn field(&self) -> &'static str {
        match self {
            Self::Zero { field } => field,
            Self::TooLittleMemory { .. } => "clients.memory_mb",
        }
    }
}

/// A listener of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Listener {
    /// Requests of callers.
    Callers,
    /// Calls of peers and operators.
    Peers,
    /// Readiness probes of the load balancer.
    Readiness,
    /// Scrapes of metrics.
    Metrics,
}

impl Listener {
    /// All listeners.
    pub const ALL: [Self; 4] = [Self::Callers, Self::Peers, Self::Readiness, Self::Metrics];

    /// The name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Peers => "peers",
            Self::Readiness => "readiness",
            Self::Metrics => "metrics",
        }
    }
}

/// What a process holds for its clients at most.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The memory for all connections and the bodies of their requests, in MB.
    pub memory_mb: u64,
    /// The maximum number of connections of callers.
    pub connections: u64,
    /// The maximum number of connections of peers and operators; as many as of callers where the settings don't tell it.
    pub peer_connections: Option<u64>,
    /// The time in which a request must arrive completely, in ms.
    pub request_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_mb: 160,
            connections: 500,
            peer_connections: None,
            request_timeout_ms: 30_000,
        }
    }
}

impl Limits {
    /// Checks that each limit is positive, and that the memory suffices for the connections and for a body.
    ///
    /// # Errors
    /// The first [`Error`] that is found.
    ///
    /// ```
    /// use clients::Limits;
    /// let limits = Limits { memory_mb: 8, ..Limits::default() };
    /// assert_eq!(limits.check().unwrap_err().field(), "clients.memory_mb");
    /// ```
    pub fn check(self) -> Result<()> {
        for (field, value) in [
            ("clients.connections", self.connections),
            ("clients.peer_connections", self.max_peer_connections()),
            ("clients.request_timeout_ms", self.request_timeout_ms),
        ] {
            snafu::ensure!(value > 0, ZeroSnafu { field });
        }
        let min_bytes = self
            .reserved_bytes()
            .saturating_add(MIN_BODIES_BYTES)
            .div_ceil(BYTES_PER_MB);
        snafu::ensure!(
            self.memory_mb >= min_bytes,
            TooLittleMemorySnafu {
                memory_mb: self.memory_mb,
                connections: self.connections,
                min_memory_mb: min_bytes,
            }
        );
        Ok(())
    }

    /// The maximum number of connections to a listener.
    #[must_use]
    pub fn max_connections(self, listener: Listener) -> usize {
        let connections = match listener {
            Listener::Callers => self.connections,
            Listener::Peers => self.max_peer_connections(),
            Listener::Readiness | Listener::Metrics => MAX_PROBE_CONNECTIONS,
        };
        usize::try_from(connections).unwrap_or(usize::MAX)
    }

    /// The memory for the bodies of requests beyond what is counted with their connections, in bytes.
    #[must_use]
    pub fn bodies_bytes(self) -> u64 {
        let memory_bytes = self.memory_mb.saturating_mul(BYTES_PER_MB);
        memory_bytes.saturating_sub(self.reserved_bytes())
    }

    /// The memory that all connections are counted with, in bytes.
    fn reserved_bytes(self) -> u64 {
        self.connections
            .saturating_add(self.max_peer_connections())
            .saturating_add(2 * MAX_PROBE_CONNECTIONS)
            .saturating_mul(CONNECTION_BYTES)
    }

    fn max_peer_connections(self) -> u64 {
        self.peer_connections.unwrap_or(self.connections)
    }
}
