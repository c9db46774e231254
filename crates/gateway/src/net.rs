//! Connections that notice when the other side has gone.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpSocket, TcpStream};

/// How long sent bytes may stay unacknowledged: a cut link is silent, and without this a
/// connection over one would hang for minutes. Above two retransmissions of a lost packet.
pub(crate) const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Sets a connection's options. One that refuses them works all the same, only slower to notice
/// a lost peer, so failures are not worth more than that.
pub(crate) fn set_stream_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
}

/// Connects, from the given address of this machine if there is one.
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

/// Listens with a queue for as many new connections as come in a burst.
pub(crate) fn listen(address: SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_QUEUE)
}

/// New connections that may wait to be accepted.
const LISTEN_QUEUE: u32 = 1_024;
