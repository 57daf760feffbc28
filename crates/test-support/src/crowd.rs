//! Crowds of clients that send a part of a request and stay, and what a process holds meanwhile.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::net::{TcpSocket, TcpStream};

/// The receive buffer of clients that read nothing, in bytes. Small, so that answers stay with the process.
const UNREAD_BUFFER_BYTES: u32 = 2048;

/// The pause between two rounds in which each client may send a piece, so that pieces arrive one by one.
const ROUND_PAUSE: Duration = Duration::from_millis(2);

/// A crowd has sent what it can once no client gets rid of a byte in this many rounds.
const IDLE_ROUNDS: u32 = 250;

/// The pause between two samples of what a process holds.
const SAMPLE_PERIOD: Duration = Duration::from_millis(20);

/// A process has dealt with what a crowd sent once nothing changes in this many samples.
const STEADY_SAMPLES: u32 = 50;

/// How many samples are waited for that, at most.
const MAX_SAMPLES: u32 = 3000;

/// What each client of a crowd sends. It then stays connected, and reads nothing.
#[derive(Debug, Clone)]
pub struct Sending {
    bytes: Vec<u8>,
    piece_bytes: usize,
}

impl Sending {
    /// Bytes that are sent at once.
    #[must_use]
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self {
            bytes: bytes.into(),
            piece_bytes: usize::MAX,
        }
    }

    /// Nothing: the clients only connect.
    #[must_use]
    pub fn nothing() -> Self {
        Self::new([])
    }

    /// The same bytes in pieces of this size, each sent by itself.
    #[must_use]
    pub fn with_pieces_of(mut self, piece_bytes: usize) -> Self {
        self.piece_bytes = piece_bytes;
        self
    }

    /// A request with `head` whose body of `body_bytes` lacks its last byte.
    ///
    /// # Panics
    /// When the body is empty.
    #[must_use]
    pub fn short_of_body(head: &str, body_bytes: usize) -> Self {
        let mut bytes = format!("{head}content-length: {body_bytes}\r\n\r\n").into_bytes();
        let length = bytes.len() + body_bytes - 1;
        bytes.resize(length, b' ');
        Self::new(bytes)
    }

    /// A request with `head` and `chunks` chunks of `chunk_bytes`, without the last chunk of a body.
    #[must_use]
    pub fn short_of_chunks(head: &str, chunks: usize, chunk_bytes: usize) -> Self {
        let mut bytes = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
        for _ in 0..chunks {
            bytes.extend_from_slice(format!("{chunk_bytes:x}\r\n").as_bytes());
            bytes.resize(bytes.len() + chunk_bytes, b' ');
            bytes.extend_from_slice(b"\r\n");
        }
        Self::new(bytes)
    }

    /// A request line and headers of about `header_bytes` without their end.
    #[must_use]
    pub fn short_of_headers(head: &str, header_bytes: usize) -> Self {
        let mut bytes = format!("{head}x-long: ").into_bytes();
        bytes.resize(header_bytes, b'x');
        Self::new(bytes)
    }
}

/// Clients that stay connected until the crowd is dropped.
#[derive(Debug)]
pub struct Crowd {
    _clients: Vec<Client>,
}

#[derive(Debug)]
struct Client {
    stream: TcpStream,
    sent_bytes: usize,
    is_closed: bool,
}

impl Client {
    /// Connects to a server.
    async fn connect(addr: SocketAddr) -> std::io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(UNREAD_BUFFER_BYTES)?;
        socket.set_nodelay(true)?;
        Ok(Self {
            stream: socket.connect(addr).await?,
            sent_bytes: 0,
            is_closed: false,
        })
    }

    /// Sends the next piece as far as the connection takes it. Returns whether it took any.
    fn send_piece(&mut self, sending: &Sending) -> bool {
        if self.is_closed || self.sent_bytes == sending.bytes.len() {
            return false;
        }
        let rest = &sending.bytes[self.sent_bytes..];
        let piece = &rest[..rest.len().min(sending.piece_bytes)];
        match self.stream.try_write(piece) {
            Ok(sent_bytes) => {
                self.sent_bytes += sent_bytes;
                true
            }
            Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => false,
            Err(_) => {
                self.is_closed = true;
                false
            }
        }
    }
}

impl Crowd {
    /// Connects `count` clients to `addr` and has each of them send as much as the server takes.
    pub async fn send(addr: SocketAddr, count: usize, sending: &Sending) -> Self {
        let mut clients = Vec::new();
        for _ in 0..count {
            // A server may refuse clients or drop them.
            if let Ok(client) = Client::connect(addr).await {
                clients.push(client);
            }
            for client in &mut clients {
                if client.sent_bytes == 0 {
                    client.send_piece(sending);
                }
            }
        }
        let mut idle_rounds = 0;
        while idle_rounds < IDLE_ROUNDS {
            let sent = clients
                .iter_mut()
                .filter(|client| !client.is_closed)
                .map(|client| client.send_piece(sending))
                .filter(|has_sent| *has_sent)
                .count();
            idle_rounds = if sent > 0 { 0 } else { idle_rounds + 1 };
            tokio::time::sleep(ROUND_PAUSE).await;
        }
        Self { _clients: clients }
    }
}

/// What a process holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Holdings {
    /// The most memory that was resident since the process started, and what the kernel holds for its servers, in bytes.
    pub memory_bytes: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

/// Samples what a process holds, and keeps the most of each.
#[derive(Debug)]
pub struct HoldingsWatch {
    process_id: u32,
    servers: Vec<SocketAddr>,
    /// What the process held at first.
    pub before: Holdings,
    most: Arc<Mutex<Holdings>>,
    sampling: tokio::task::JoinHandle<()>,
}

impl HoldingsWatch {
    /// Watches a process that listens on `servers`, which are IPv4 addresses.
    ///
    /// # Panics
    /// When the process has ended.
    #[must_use]
    pub fn start(process_id: u32, servers: &[SocketAddr]) -> Self {
        let before = holdings(process_id, servers).expect("a process that runs");
        let most = Arc::new(Mutex::new(before));
        let servers = servers.to_vec();
        let sampled = (most.clone(), servers.clone());
        let sampling = tokio::spawn(async move {
            let (most, servers) = sampled;
            while let Some(held) = holdings(process_id, &servers) {
                raise(&mut most.lock(), held);
                tokio::time::sleep(SAMPLE_PERIOD).await;
            }
        });
        Self {
            process_id,
            servers,
            before,
            most,
            sampling,
        }
    }

    /// Waits until the process has dealt with what it received.
    pub async fn settle(&self) {
        let (mut last, mut steady_samples) = (None, 0);
        for _ in 0..MAX_SAMPLES {
            let held = holdings(self.process_id, &self.servers);
            steady_samples = if held == last { steady_samples + 1 } else { 0 };
            if steady_samples == STEADY_SAMPLES {
                return;
            }
            last = held;
            tokio::time::sleep(SAMPLE_PERIOD).await;
        }
    }

    /// The most that was held so far; `None` when the process has ended.
    #[must_use]
    pub fn most(&self) -> Option<Holdings> {
        let held = holdings(self.process_id, &self.servers)?;
        let mut most = self.most.lock();
        raise(&mut most, held);
        Some(*most)
    }
}

impl Drop for HoldingsWatch {
    fn drop(&mut self) {
        self.sampling.abort();
    }
}

fn raise(most: &mut Holdings, held: Holdings) {
    most.memory_bytes = most.memory_bytes.max(held.memory_bytes);
    most.descriptors = most.descriptors.max(held.descriptors);
}

/// What a process holds; `None` when it has ended.
fn holdings(process_id: u32, servers: &[SocketAddr]) -> Option<Holdings> {
    let folder = PathBuf::from(format!("/proc/{process_id}"));
    let status = std::fs::read_to_string(folder.join("status")).ok()?;
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    let peak_kb: u64 = peak.split_whitespace().next()?.parse().ok()?;
    let descriptors = std::fs::read_dir(folder.join("fd")).ok()?.count();
    let sockets = std::fs::read_to_string(folder.join("net/tcp")).ok()?;
    let queued: u64 = sockets
        .lines()
        .filter_map(|line| queued_bytes(line, servers))
        .sum();
    Some(Holdings {
        memory_bytes: peak_kb * 1024 + queued,
        descriptors: descriptors as u64,
    })
}

/// The bytes that wait in the kernel on a connection to one of the servers, by a line of the kernel's list of sockets.
fn queued_bytes(line: &str, servers: &[SocketAddr]) -> Option<u64> {
    const LISTENING: &str = "0A";
    let mut fields = line.split_whitespace().skip(1);
    let (ip, port) = fields.next()?.split_once(':')?;
    // The kernel writes the address as a number in the byte order of the machine.
    let ip = Ipv4Addr::from(u32::from_str_radix(ip, 16).ok()?.to_ne_bytes());
    let local = SocketAddr::new(IpAddr::V4(ip), u16::from_str_radix(port, 16).ok()?);
    if !servers.contains(&local) || fields.nth(1)? == LISTENING {
        return None;
    }
    let (sent, received) = fields.next()?.split_once(':')?;
    let bytes = |text| u64::from_str_radix(text, 16).ok();
    Some(bytes(sent)? + bytes(received)?)
}
