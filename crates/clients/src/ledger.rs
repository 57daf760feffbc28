//! The connections of a process, and the memory that the bodies of their requests take.

use slotmap::{SlotMap, new_key_type};

use crate::limits::{Limits, Listener};

/// How long a request may be incomplete before its connection may be closed in favor of another.
const INCOMPLETE_GRACE_MS: u64 = 500;

/// How long a client may leave an answer unread before its connection may be closed in favor of another.
const UNREAD_GRACE_MS: u64 = 5000;

/// How long after its idle timeout an idle connection is closed here. The HTTP server closes most of them in time, but not one whose
/// last answer is not read.
const IDLE_MARGIN_MS: u64 = 5000;

/// Connections that were told to go may exceed the limit by one in so many, until they are closed.
const MAX_LEAVING_FRACTION: usize = 8;

new_key_type! {
    /// An open connection.
    pub struct ConnectionKey;
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// A request is not complete yet, or the first one has not begun.
    Receiving,
    /// A complete request is being handled.
    Handling,
    /// A part of an answer waits for the client to read it.
    Answering,
    /// No request is there after the last one was answered.
    Idle,
}

#[derive(Debug)]
struct Connection {
    listener: Listener,
    phase: Phase,
    /// Whether the headers of a request have arrived that is not answered yet.
    has_request: bool,
    /// When the phase began.
    since_ms: u64,
    /// How long the connection may stay idle.
    idle_timeout_ms: u64,
    /// The memory reserved for bodies.
    body_bytes: u64,
    /// Whether the client was told to go.
    is_evicted: bool,
}

impl Connection {
    fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.since_ms)
    }

    /// How readily the connection is closed in favor of another, least first; `None` if it stays.
    fn eviction_rank(&self, now_ms: u64) -> Option<(u8, u64)> {
        let age_ms = self.age_ms(now_ms);
        let class = match self.phase {
            Phase::Receiving if age_ms >= INCOMPLETE_GRACE_MS => 0,
            Phase::Answering if age_ms >= UNREAD_GRACE_MS => 0,
            Phase::Idle => 1,
            Phase::Receiving | Phase::Answering | Phase::Handling => return None,
        };
        (!self.is_evicted).then_some((class, self.since_ms))
    }

    fn is_overdue(&self, limits: Limits, now_ms: u64) -> bool {
        let timeout_ms = match self.phase {
            Phase::Receiving => limits.request_timeout_ms,
            Phase::Answering | Phase::Idle => self.idle_timeout_ms.saturating_add(IDLE_MARGIN_MS),
            Phase::Handling => return false,
        };
        !self.is_evicted && self.age_ms(now_ms) >= timeout_ms
    }
}

/// Whether a connection may be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Opening {
    /// The connection is open.
    Opened {
        /// The key of the connection.
        key: ConnectionKey,
        /// Another connection, which is to be closed.
        evicted: Option<ConnectionKey>,
    },
    /// Too many connections are open, and none of them can be closed in favor of another.
    Refused,
}

/// Whether memory is reserved for a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    /// The memory is reserved.
    Granted,
    /// Memory will be released shortly. The request has to be made again then.
    Wait {
        /// A connection whose request is to be refused.
        evicted: Option<ConnectionKey>,
    },
    /// There is no memory, and no request can be refused in favor of this one.
    Refused,
}

/// The open connections of a process and the memory of their bodies.
///
/// ```
/// use clients::{Ledger, Limits, Listener, Opening, Reservation};
/// let mut ledger = Ledger::new(Limits::default());
/// let Opening::Opened { key, .. } = ledger.open(Listener::Callers, 15_000, 0) else {
///     unreachable!("no other connection is open");
/// };
/// assert_eq!(ledger.reserve(key, 100_000, 1), Reservation::Granted);
/// assert_eq!(ledger.body_bytes(), 100_000);
/// ledger.close(key);
/// assert_eq!((ledger.body_bytes(), ledger.open_connections(Listener::Callers)), (0, 0));
/// ```
#[derive(Debug)]
pub struct Ledger {
    limits: Limits,
    connections: SlotMap<ConnectionKey, Connection>,
    /// By listener, in the order of [`Listener::ALL`].
    open: [usize; Listener::ALL.len()],
    body_bytes: u64,
}

impl Ledger {
    /// Creates the ledger of a process without connections.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            connections: SlotMap::with_key(),
            open: [0; Listener::ALL.len()],
            body_bytes: 0,
        }
    }

    /// The number of open connections to a listener.
    #[must_use]
    pub fn open_connections(&self, listener: Listener) -> usize {
        self.open[listener as usize]
    }

    /// The memory reserved for bodies, in bytes.
    #[must_use]
    pub fn body_bytes(&self) -> u64 {
        self.body_bytes
    }

    /// Opens a connection to a listener. If the listener has as many as it may have, the one is closed whose request has been
    /// incomplete for the longest time, or else the one that has been idle for the longest time.
    pub fn open(&mut self, listener: Listener, idle_timeout_ms: u64, now_ms: u64) -> Opening {
        let open = self.open_connections(listener);
        let max = self.limits.max_connections(listener);
        let mut evicted = None;
        if open >= max {
            let is_leaving_slowly = open > max + max / MAX_LEAVING_FRACTION;
            if !is_leaving_slowly {
                evicted = self.evict(now_ms, |_, it| it.listener == listener);
            }
            if evicted.is_none() {
                return Opening::Refused;
            }
        }
        let key = self.connections.insert(Connection {
            listener,
            phase: Phase::Receiving,
            has_request: false,
            since_ms: now_ms,
            idle_timeout_ms,
            body_bytes: 0,
            is_evicted: false,
        });
        self.open[listener as usize] += 1;
        Opening::Opened { key, evicted }
    }

    /// Removes a connection and releases its memory.
    pub fn close(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.remove(key) {
            self.open[connection.listener as usize] -= 1;
            self.body_bytes -= connection.body_bytes;
        }
    }

    /// Whether a request of a connection is being received or handled, so that the connection has to stay for its answer.
    #[must_use]
    pub fn awaits_answer(&self, key: ConnectionKey) -> bool {
        self.connections.get(key).is_some_and(|it| it.has_request)
    }

    /// Whether a complete request of a connection is being handled.
    #[must_use]
    pub fn is_handling(&self, key: ConnectionKey) -> bool {
        self.phase(key) == Some(Phase::Handling)
    }

    /// Records that the headers of a request have arrived, and its body not yet.
    pub fn begin_request(&mut self, key: ConnectionKey, now_ms: u64) {
        // A first request has been incomplete since the connection was opened.
        if self.phase(key) != Some(Phase::Receiving) {
            self.set_phase(key, Phase::Receiving, now_ms);
        }
        if let Some(connection) = self.connections.get_mut(key) {
            connection.has_request = true;
        }
    }

    /// Records that a request has arrived completely, or that its answer is not ready.
    pub fn handle(&mut self, key: ConnectionKey, now_ms: u64) {
        self.set_phase(key, Phase::Handling, now_ms);
    }

    /// Records that a part of an answer was passed on to the client.
    pub fn answer(&mut self, key: ConnectionKey, now_ms: u64) {
        self.set_phase(key, Phase::Answering, now_ms);
    }

    /// Records that the last part of an answer was passed on to the client.
    pub fn finish(&mut self, key: ConnectionKey, now_ms: u64) {
        self.set_phase(key, Phase::Idle, now_ms);
    }

    /// Reserves memory for the body of a request. If there is none, the request is refused in favor of this one whose body has been
    /// incomplete for the longest time.
    pub fn reserve(&mut self, key: ConnectionKey, bytes: u64, now_ms: u64) -> Reservation {
        let max_bytes = self.limits.bodies_bytes();
        let needed_bytes = self.body_bytes.saturating_add(bytes);
        if needed_bytes <= max_bytes {
            if let Some(connection) = self.connections.get_mut(key) {
                connection.body_bytes += bytes;
                self.body_bytes += bytes;
            }
            return Reservation::Granted;
        }
        let evicted_bytes: u64 = self
            .connections
            .values()
            .filter(|it| it.is_evicted)
            .map(|it| it.body_bytes)
            .sum();
        if needed_bytes - max_bytes <= evicted_bytes {
            return Reservation::Wait { evicted: None };
        }
        let is_eligible = |other, it: &Connection| {
            other != key && it.phase == Phase::Receiving && it.body_bytes > 0
        };
        match self.evict(now_ms, is_eligible) {
            Some(evicted) => Reservation::Wait {
                evicted: Some(evicted),
            },
            None => Reservation::Refused,
        }
    }

    /// Releases memory that was reserved for a body.
    pub fn release(&mut self, key: ConnectionKey, bytes: u64) {
        if let Some(connection) = self.connections.get_mut(key) {
            let released_bytes = bytes.min(connection.body_bytes);
            connection.body_bytes -= released_bytes;
            self.body_bytes -= released_bytes;
        }
    }

    /// Returns the connections that are to be closed: those whose request is incomplete, or whose client has neither sent a request
    /// nor read an answer, for too long.
    pub fn close_overdue(&mut self, now_ms: u64) -> Vec<(ConnectionKey, Listener)> {
        let limits = self.limits;
        let overdue = self
            .connections
            .iter_mut()
            .filter(|(_, it)| it.is_overdue(limits, now_ms));
        overdue
            .map(|(key, connection)| {
                connection.is_evicted = true;
                (key, connection.listener)
            })
            .collect()
    }

    fn phase(&self, key: ConnectionKey) -> Option<Phase> {
        self.connections.get(key).map(|it| it.phase)
    }

    fn set_phase(&mut self, key: ConnectionKey, phase: Phase, now_ms: u64) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.phase = phase;
            connection.since_ms = now_ms;
            connection.has_request &= matches!(phase, Phase::Receiving | Phase::Handling);
        }
    }

    fn evict(
        &mut self,
        now_ms: u64,
        is_eligible: impl Fn(ConnectionKey, &Connection) -> bool,
    ) -> Option<ConnectionKey> {
        let eligible = self
            .connections
            .iter()
            .filter(|(key, it)| is_eligible(*key, it));
        let ranked = eligible.filter_map(|(key, it)| Some((it.eviction_rank(now_ms)?, key)));
        let (_, key) = ranked.min_by_key(|(rank, _)| *rank)?;
        self.connections[key].is_evicted = true;
        Some(key)
    }
}
