//! A TCP proxy that can delay, cut, freeze and truncate what goes through it, and counts bytes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What the proxy does to its connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ProxyFault {
    /// Nothing.
    #[default]
    None,
    /// Everything that arrives waits this long, in each direction.
    Delay(Duration),
    /// Connections are closed, and new ones are closed at once.
    Cut,
    /// Bytes towards the server are held back; answers pass.
    FreezeRequests,
    /// Bytes towards the client are held back; requests pass.
    FreezeAnswers,
    /// Bytes are held back in both directions.
    Freeze,
    /// Connections are closed after this many bytes of an answer.
    TruncateAnswers(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Requests,
    Answers,
}

/// A running proxy.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    /// Where it listens.
    pub addr: SocketAddr,
    fault: Arc<watch::Sender<ProxyFault>>,
    bytes: Arc<AtomicU64>,
    connections: Arc<Mutex<u64>>,
}

impl FaultProxy {
    /// Starts a proxy on `addr` to `server`.
    ///
    /// # Panics
    /// When the address can't be listened on.
    pub async fn start(addr: SocketAddr, server: SocketAddr) -> Self {
        let listener = TcpListener::bind(addr)
            .await
            .expect("an address to listen on");
        let proxy = Self {
            addr: listener.local_addr().expect("a bound address"),
            fault: Arc::new(watch::Sender::new(ProxyFault::None)),
            bytes: Arc::default(),
            connections: Arc::default(),
        };
        let own = proxy.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                *own.connections.lock() += 1;
                tokio::spawn(own.clone().connection(client, server));
            }
        });
        proxy
    }

    /// Switches to another fault, for open connections too.
    pub fn set(&self, fault: ProxyFault) {
        self.fault.send_replace(fault);
    }

    /// Bytes passed on so far, in both directions.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Connections taken so far.
    #[must_use]
    pub fn connections(&self) -> u64 {
        *self.connections.lock()
    }

    async fn connection(self, client: TcpStream, server: SocketAddr) {
        let mut fault = self.fault.subscribe();
        if *fault.borrow() == ProxyFault::Cut {
            return;
        }
        let Ok(server) = TcpStream::connect(server).await else {
            return;
        };
        // A socket option that can't be set only slows the proxy down.
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let requests = self
            .clone()
            .pump(client_read, server_write, Direction::Requests);
        let answers = self.pump(server_read, client_write, Direction::Answers);
        // One direction that ends ends both, as a reset does; an error is the end that was asked for.
        tokio::select! {
            _ = requests => {}
            _ = answers => {}
            _ = fault.wait_for(|fault| *fault == ProxyFault::Cut) => {}
        }
    }

    async fn pump(
        self,
        mut from: impl AsyncReadExt + Unpin,
        mut to: impl AsyncWriteExt + Unpin,
        direction: Direction,
    ) -> io::Result<()> {
        let mut buffer = vec![0; 16 * 1024];
        let mut passed = 0;
        loop {
            let read = from.read(&mut buffer).await?;
            if read == 0 {
                return Ok(());
            }
            let mut allowed = read;
            match *self.fault.borrow() {
                ProxyFault::TruncateAnswers(limit) if direction == Direction::Answers => {
                    allowed = read.min(limit.saturating_sub(passed));
                }
                _ => {}
            }
            self.hold(direction).await;
            to.write_all(&buffer[..allowed]).await?;
            passed += allowed;
            self.bytes.fetch_add(allowed as u64, Ordering::Relaxed);
            if allowed < read {
                return Ok(());
            }
        }
    }

    /// Waits as the fault demands.
    async fn hold(&self, direction: Direction) {
        let mut fault = self.fault.subscribe();
        let now = *fault.borrow_and_update();
        if let ProxyFault::Delay(delay) = now {
            tokio::time::sleep(delay).await;
        }
        let passes = |fault: &ProxyFault| match fault {
            ProxyFault::Freeze => false,
            ProxyFault::FreezeRequests => direction != Direction::Requests,
            ProxyFault::FreezeAnswers => direction != Direction::Answers,
            _ => true,
        };
        // The sender lives as long as the proxy.
        let _ = fault.wait_for(passes).await;
    }
}
