//! The RPC transport of a connection, which both sides set up alike.

use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{VatNetwork, twoparty};
use futures::AsyncReadExt;
use futures::io::{BufReader, BufWriter};
use tokio::net::TcpStream;
use tokio_util::compat::TokioAsyncReadCompatExt;

/// Words of one message read at most, so that a peer cannot make this daemon allocate at will.
const MAX_MESSAGE_WORDS: usize = 16 * 1024 * 1024;

/// Makes the transport of a connection, seen from one side.
pub(super) fn network(stream: TcpStream, side: Side) -> Box<dyn VatNetwork<Side>> {
    let _ = stream.set_nodelay(true);
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    let (reader, writer) = stream.compat().split();
    let (reader, writer) = (BufReader::new(reader), BufWriter::new(writer));
    Box::new(twoparty::VatNetwork::new(reader, writer, side, options))
}
