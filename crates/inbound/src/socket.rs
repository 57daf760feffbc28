//! Sockets of listeners.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// The maximum number of connections that wait to be accepted.
const BACKLOG_CONNECTIONS: u32 = 1024;

/// Opens a listener whose connections send small writes at once and have buffers of `kernel_buffer_bytes` for each direction in the
/// kernel, which holds there what was not read and what was not acknowledged. By itself it takes megabytes for a connection whose client
/// does not read.
///
/// # Errors
/// When a call to the operating system fails, for instance because the address is in use.
pub fn listen(addr: SocketAddr, kernel_buffer_bytes: u32) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    // Accepted connections inherit the sizes.
    socket.set_recv_buffer_size(kernel_buffer_bytes)?;
    socket.set_send_buffer_size(kernel_buffer_bytes)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG_CONNECTIONS)
}
