//! The connections of a process, behind a lock, and a handle of each.

use std::sync::Arc;
use std::time::Duration;

use clients::{ConnectionKey, Ledger, Limits, Listener, Opening, Reservation};
use parking_lot::Mutex;
use rustix::time::{ClockId, clock_gettime};
use slotmap::SecondaryMap;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

use crate::body::{BodyError, Result};
use crate::metrics::{Closures, Metrics, Reason, Tally};

/// The delay before the next attempt after a failure to accept a connection. The usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// All inbound connections of a process.
#[derive(Debug)]
pub struct Inbound {
    state: Mutex<State>,
    /// Wakes bodies that wait for memory.
    memory_released: Notify,
    metrics: Metrics,
    tally: Tally,
}

#[derive(Debug)]
struct State {
    ledger: Ledger,
    /// Tells each connection that it has to close.
    evictions: SecondaryMap<ConnectionKey, watch::Sender<bool>>,
}

impl Inbound {
    /// Creates the inbound side of a process without connections.
    #[must_use]
    pub fn new(limits: Limits, metrics: Metrics) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                ledger: Ledger::new(limits),
                evictions: SecondaryMap::new(),
            }),
            memory_released: Notify::new(),
            metrics,
            tally: Tally::default(),
        })
    }

    /// Accepts the next connection that may be opened. `idle_timeout` is how long it may stay idle.
    pub async fn accept(
        self: &Arc<Self>,
        socket: &TcpListener,
        listener: Listener,
        idle_timeout: impl Fn() -> Duration,
    ) -> (TcpStream, Connection) {
        loop {
            let Ok((stream, _)) = socket.accept().await else {
                self.count(listener, Reason::AcceptFailed);
                // Other connections release their file descriptors.
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if let Some(connection) = self.open(listener, idle_timeout()) {
                return (stream, connection);
            }
        }
    }

    /// Closes connections whose time is over. Returns what was refused or closed since the last call; none if nothing was. To be
    /// called once a second.
    pub fn close_overdue(&self) -> Option<Closures> {
        let mut state = self.state.lock();
        let overdue = state.ledger.close_overdue(now_ms());
        for (key, _) in &overdue {
            state.evict(*key);
        }
        let body_bytes = i64::try_from(state.ledger.body_bytes()).unwrap_or(i64::MAX);
        self.metrics.body_bytes.set(body_bytes);
        for listener in Listener::ALL {
            let open = state.ledger.open_connections(listener);
            let connections = &self.metrics.connections;
            connections
                .with_label_values(&[listener.name()])
                .set(i64::try_from(open).unwrap_or(i64::MAX));
        }
        drop(state);
        for (_, listener) in overdue {
            self.count(listener, Reason::Overdue);
        }
        self.tally.take()
    }

    fn open(self: &Arc<Self>, listener: Listener, idle_timeout: Duration) -> Option<Connection> {
        let idle_timeout_ms = u64::try_from(idle_timeout.as_millis()).unwrap_or(u64::MAX);
        let mut state = self.state.lock();
        let Opening::Opened { key, evicted } =
            state.ledger.open(listener, idle_timeout_ms, now_ms())
        else {
            drop(state);
            self.count(listener, Reason::Full);
            return None;
        };
        let (eviction, evicted_signal) = watch::channel(false);
        state.evictions.insert(key, eviction);
        if let Some(evicted) = evicted {
            state.evict(evicted);
        }
        drop(state);
        if evicted.is_some() {
            self.count(listener, Reason::Evicted);
        }
        Some(Connection(Arc::new(OpenConnection {
            inbound: self.clone(),
            listener,
            key,
            evicted: evicted_signal,
        })))
    }

    fn count(&self, listener: Listener, reason: Reason) {
        self.tally.count(&self.metrics, listener, reason);
    }
}

impl State {
    fn evict(&mut self, key: ConnectionKey) {
        if let Some(eviction) = self.evictions.get(key) {
            eviction.send_replace(true);
        }
    }
}

/// An open connection. Clones are the same connection, which counts as open until the last of them is dropped.
#[derive(Debug, Clone)]
pub struct Connection(Arc<OpenConnection>);

#[derive(Debug)]
struct OpenConnection {
    inbound: Arc<Inbound>,
    listener: Listener,
    key: ConnectionKey,
    evicted: watch::Receiver<bool>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut state = self.inbound.state.lock();
        state.ledger.close(self.key);
        state.evictions.remove(self.key);
        drop(state);
        self.inbound.memory_released.notify_waiters();
    }
}

impl Connection {
    /// Waits until the connection has to close. A request whose body is being read is then to be refused.
    pub async fn evicted(&self) {
        let mut evicted = self.0.evicted.clone();
        // An error is impossible, as the sender is removed with the connection.
        let _ = evicted.wait_for(|is_evicted| *is_evicted).await;
    }

    /// Whether a request is being received or handled.
    pub(crate) fn awaits_answer(&self) -> bool {
        let state = self.0.inbound.state.lock();
        state.ledger.awaits_answer(self.0.key)
    }

    /// Whether a complete request is being handled.
    pub(crate) fn is_handling(&self) -> bool {
        let state = self.0.inbound.state.lock();
        state.ledger.is_handling(self.0.key)
    }

    pub(crate) fn begin_request(&self) {
        self.with_ledger(Ledger::begin_request);
    }

    /// Records that a request has arrived completely.
    pub fn handle(&self) {
        self.with_ledger(Ledger::handle);
    }

    pub(crate) fn answer(&self) {
        self.with_ledger(Ledger::answer);
    }

    pub(crate) fn finish(&self) {
        self.with_ledger(Ledger::finish);
    }

    /// Reserves memory for a body. Waits while other requests are refused in favor of this one.
    ///
    /// # Errors
    /// [`BodyError::NoMemory`] when the request has to be refused, also in favor of another.
    pub(crate) async fn reserve(&self, bytes: u64) -> Result<()> {
        loop {
            let released = self.0.inbound.memory_released.notified();
            tokio::pin!(released);
            // From here on, no release is missed.
            released.as_mut().enable();
            match self.try_reserve(bytes) {
                Reservation::Granted => return Ok(()),
                Reservation::Wait { .. } => {}
                Reservation::Refused => {
                    self.0.inbound.count(self.0.listener, Reason::NoMemory);
                    return Err(BodyError::NoMemory);
                }
            }
            tokio::select! {
                () = released => {}
                () = self.evicted() => return Err(BodyError::NoMemory),
            }
        }
    }

    fn try_reserve(&self, bytes: u64) -> Reservation {
        let mut state = self.0.inbound.state.lock();
        let reservation = state.ledger.reserve(self.0.key, bytes, now_ms());
        let Reservation::Wait {
            evicted: Some(evicted),
        } = reservation
        else {
            return reservation;
        };
        state.evict(evicted);
        drop(state);
        self.0.inbound.count(self.0.listener, Reason::Evicted);
        reservation
    }

    pub(crate) fn release(&self, bytes: u64) {
        self.with_ledger(|ledger, key, _| ledger.release(key, bytes));
        self.0.inbound.memory_released.notify_waiters();
    }

    fn with_ledger(&self, f: impl FnOnce(&mut Ledger, ConnectionKey, u64)) {
        let mut state = self.0.inbound.state.lock();
        f(&mut state.ledger, self.0.key, now_ms());
    }
}

/// The time by the clock that also runs while the machine is suspended, in ms.
fn now_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    let ms = now.tv_sec * 1000 + now.tv_nsec / 1_000_000;
    u64::try_from(ms).unwrap_or(0)
}
