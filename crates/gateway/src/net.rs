//! TCP connections that detect a lost peer.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpSocket, TcpStream};

use crate::front::READ_TIMEOUT;

/// How long sent bytes may stay unacknowledged. A cut link gives no error, so without this limit a
/// connection over it would hang for minutes. The value is above two retransmissions of a lost
/// packet.
pub(crate) const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Sets a connection's socket options. Failures are ignored: without the options a connection works
/// too, and only takes longer to detect a lost peer.
pub(crate) fn set_stream_options(stream: &TcpStream) {
    set_options(stream, TCP_USER_TIMEOUT);
}

/// Sets the options of a caller's connection. The operating system counts the time for which the
/// caller has no room for more bytes like the time without an acknowledgement, so it must allow for
/// a caller that pauses.
pub(crate) fn set_caller_options(stream: &TcpStream) {
    set_options(stream, READ_TIMEOUT);
}

fn set_options(stream: &TcpStream, user_timeout: Duration) {
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(user_timeout));
}

/// Connects from the local address `from`, or from any if it is `None`.
pub(crate) async fn connect(to: SocketAddr, from: Option<IpAddr>) -> io::Result<TcpStream> {
    let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(from) = from {
        socket.bind(SocketAddr::new(from, 0))?;
    }
    let _ = SockRef::from(&socket).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    let stream = socket.connect(to).await?;
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Waits until the peer closes or resets a connection on which nothing is sent.
pub(crate) async fn wait_until_closed(stream: &TcpStream) {
    // Received bytes end the wait as well: endpoints send nothing before a request.
    let _ = stream.readable().await;
}

/// Returns whether a connection was reset. The operating system reports that once.
pub(crate) fn is_reset(stream: &TcpStream) -> bool {
    !matches!(stream.take_error(), Ok(None))
}

/// The interval at which a connection is checked for a reset.
pub(crate) const RESET_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Listens with a backlog that is long enough for a burst of new connections.
pub(crate) fn listen(address: SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// The maximum number of new connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;
