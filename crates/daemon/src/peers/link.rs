//! Sets up the RPC transport of a connection, in the same way on both sides.

use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{VatNetwork, twoparty};
use futures::AsyncReadExt;
use futures::io::{BufReader, BufWriter};
use tokio::net::TcpStream;
use tokio_util::compat::TokioAsyncReadCompatExt;

/// The maximum number of words read of one message, so that a peer cannot cause unbounded
/// allocation in this daemon.
const MAX_MESSAGE_WORDS: usize = 16 * 1024 * 1024;

/// Creates the RPC transport of one side of a connection.
pub(super) fn rpc_network(stream: TcpStream, side: Side) -> Box<dyn VatNetwork<Side>> {
    let _ = stream.set_nodelay(true);
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    let (reader, writer) = stream.compat().split();
    let (reader, writer) = (BufReader::new(reader), BufWriter::new(writer));
    Box::new(twoparty::VatNetwork::new(reader, writer, side, options))
}
