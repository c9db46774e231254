//! Connections to endpoints, as the HTTP library reads and writes them.
//!
//! The end of a direct connection comes from the endpoint or its machine. A tunnel also ends with
//! the process that passes its bytes on, which looks the same. Nothing that is asked later tells
//! the two apart, since the next process may listen at the same address by then. The process that
//! passes the bytes on therefore states the end that it has seen: it sends the endpoint's bytes as
//! pieces, each after its length in two bytes, little-endian, and a length of 0 as the end. It then
//! keeps the connection open, so that its own end is noticed also while the caller waits for a
//! reset by the endpoint.
//!
//! A tunnel that closes without a stated end is broken. Instances of earlier versions send the bare
//! bytes and state no end, so an answer whose end nothing else marks is never complete by way of
//! them.

use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;

use crate::net;

/// The length of a piece's length.
const LENGTH_BYTES: usize = 2;

/// The maximum length of a piece.
const MAX_PIECE_BYTES: usize = 8 * 1024;

/// The end of the endpoint's bytes.
const END: [u8; LENGTH_BYTES] = [0; LENGTH_BYTES];

/// A connection to an endpoint.
#[derive(Debug)]
pub(crate) struct EndpointStream {
    stream: TcpStream,
    end: EndSignal,
}

/// How the end of the endpoint's bytes is recognised.
#[derive(Debug)]
enum EndSignal {
    /// The connection is the endpoint's own.
    Close,
    /// The process that passes the bytes on states it.
    Statement(PieceReader),
    /// The process that passes the bytes on is of an earlier version and states no end.
    Unstated,
}

impl EndpointStream {
    /// Returns a connection that the endpoint itself accepted.
    pub(crate) fn direct(stream: TcpStream) -> Self {
        Self { stream, end: EndSignal::Close }
    }

    /// Returns a tunnel whose end is stated.
    pub(crate) fn stated(stream: TcpStream) -> Self {
        Self { stream, end: EndSignal::Statement(PieceReader::default()) }
    }

    /// Returns a tunnel through an instance of an earlier version.
    pub(crate) fn unstated(stream: TcpStream) -> Self {
        Self { stream, end: EndSignal::Unstated }
    }

    /// Waits until the endpoint closes or resets a connection on which nothing is sent.
    pub(crate) async fn wait_until_closed(&self) {
        net::wait_until_closed(&self.stream).await;
    }

    /// Returns whether the connection was reset after its end. A tunnel stays open after a stated end, so its close
    /// means that the process that passed the bytes on has ended, and a reset by the endpoint would not be noticed.
    pub(crate) fn is_reset(&self) -> bool {
        match self.end {
            EndSignal::Close => net::is_reset(&self.stream),
            EndSignal::Statement(_) | EndSignal::Unstated => {
                let read = self.stream.try_read(&mut [0]);
                !read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
            }
        }
    }
}

impl AsyncRead for EndpointStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Self { stream, end } = self.get_mut();
        match end {
            EndSignal::Close => Pin::new(stream).poll_read(cx, buf),
            EndSignal::Statement(reader) => reader.poll_read(stream, cx, buf),
            EndSignal::Unstated => {
                let before = buf.filled().len();
                ready!(Pin::new(stream).poll_read(cx, buf))?;
                let is_end = buf.filled().len() == before && buf.remaining() > 0;
                Poll::Ready(if is_end { Err(unstated_end()) } else { Ok(()) })
            }
        }
    }
}

impl AsyncWrite for EndpointStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

fn unstated_end() -> io::Error {
    let reason = "the instance that passes the bytes on ended, or states no end";
    io::Error::new(ErrorKind::UnexpectedEof, reason)
}

/// Reads the endpoint's bytes from pieces.
#[derive(Debug, Default)]
struct PieceReader {
    /// The part of the next piece's length that has arrived.
    length: [u8; LENGTH_BYTES],
    length_bytes: usize,
    /// The part of the current piece that has not been read.
    piece_bytes: usize,
    has_ended: bool,
}

impl PieceReader {
    /// Reads bytes of one piece, or none at the stated end.
    fn poll_read(
        &mut self,
        stream: &mut TcpStream,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.piece_bytes == 0 && !self.has_ended {
            ready!(self.poll_length(stream, cx))?;
        }
        if self.has_ended || buf.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        let limit = buf.remaining().min(self.piece_bytes);
        let received = {
            let mut part = ReadBuf::new(buf.initialize_unfilled_to(limit));
            ready!(Pin::new(stream).poll_read(cx, &mut part))?;
            part.filled().len()
        };
        if received == 0 {
            return Poll::Ready(Err(unstated_end()));
        }
        buf.advance(received);
        self.piece_bytes -= received;
        Poll::Ready(Ok(()))
    }

    /// Reads a part of the next piece's length.
    fn poll_length(
        &mut self,
        stream: &mut TcpStream,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        let mut part = ReadBuf::new(&mut self.length[self.length_bytes..]);
        ready!(Pin::new(stream).poll_read(cx, &mut part))?;
        let received = part.filled().len();
        if received == 0 {
            return Poll::Ready(Err(unstated_end()));
        }
        self.length_bytes += received;
        if self.length_bytes == LENGTH_BYTES {
            self.length_bytes = 0;
            self.piece_bytes = usize::from(u16::from_le_bytes(self.length));
            self.has_ended = self.piece_bytes == 0;
        }
        Poll::Ready(Ok(()))
    }
}

/// Passes an endpoint's bytes on in pieces, and states their end. Returns once the end is written.
///
/// # Errors
///
/// Returns an error if either connection breaks. The end is not stated then.
pub(crate) async fn pass_pieces(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
) -> io::Result<()> {
    let mut buffer = vec![0; LENGTH_BYTES + MAX_PIECE_BYTES];
    loop {
        let received = from.read(&mut buffer[LENGTH_BYTES..]).await?;
        if received == 0 {
            return to.write_all(&END).await;
        }
        let length = u16::try_from(received).expect("a piece is shorter than 64 kB");
        buffer[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
        to.write_all(&buffer[..LENGTH_BYTES + received]).await?;
    }
}
