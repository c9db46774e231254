//! A TCP connection that the HTTP library reads and writes, and that the gateway observes and closes.
//!
//! The HTTP library does not read while bytes of a later request wait in its buffer, and then misses
//! that the peer has closed. It also closes a connection as soon as its last answer is written; if
//! bytes are unread at that time, the operating system resets the connection, and the peer may lose
//! the answer.

use std::io::{self, ErrorKind, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

/// The time for which a closing connection is read, so that its peer can send the rest of a body and
/// read the answer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of bytes that are read from a closing connection.
const MAX_LINGER_BYTES: usize = 16 * 1024 * 1024;

/// The buffer for bytes that are read and discarded.
const LINGER_BUFFER_BYTES: usize = 8 * 1024;

/// The part of a connection that the HTTP library owns.
#[derive(Debug)]
pub(crate) struct SharedStream {
    reader: OwnedReadHalf,
    handle: StreamHandle,
}

/// The part of a connection that observes and closes it.
#[derive(Debug, Clone)]
pub(crate) struct StreamHandle(Rc<OwnedWriteHalf>);

/// Divides a connection into the part of the HTTP library and the handle that outlives it.
pub(crate) fn share(stream: TcpStream) -> (SharedStream, StreamHandle) {
    let (reader, writer) = stream.into_split();
    let handle = StreamHandle(Rc::new(writer));
    (SharedStream { reader, handle: handle.clone() }, handle)
}

impl StreamHandle {
    fn stream(&self) -> &TcpStream {
        (*self.0).as_ref()
    }

    /// Waits until the peer has closed the connection or its sending side, also while received bytes
    /// are unread.
    pub(crate) async fn closed_by_peer(&self) {
        // This interest also ends with the reading side. The connection is not registered for
        // priority events, so that nothing else ends the wait.
        let _ = self.stream().ready(Interest::PRIORITY).await;
    }

    /// Stops sending, and reads until the peer closes as well, for a bounded time.
    pub(crate) async fn close_gracefully(&self) {
        // The peer may have closed already.
        let _ = self.shutdown();
        // A peer that goes on sending is reset.
        let _ = timeout(LINGER_TIMEOUT, self.discard_received()).await;
    }

    fn shutdown(&self) -> io::Result<()> {
        SockRef::from(self.stream()).shutdown(Shutdown::Write)
    }

    async fn discard_received(&self) -> io::Result<()> {
        // On the heap, so that the tasks of open connections do not contain it.
        let mut buffer = vec![0; LINGER_BUFFER_BYTES];
        let mut remaining = MAX_LINGER_BYTES;
        while remaining > 0 {
            self.stream().readable().await?;
            match self.stream().try_read(&mut buffer) {
                Ok(0) => return Ok(()),
                Ok(read) => remaining = remaining.saturating_sub(read),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Writes once the connection has room.
    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream().poll_write_ready(cx))?;
            match write(self.stream()) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().reader).poll_read(cx, buf)
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.handle.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.handle.shutdown())
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.handle.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}
