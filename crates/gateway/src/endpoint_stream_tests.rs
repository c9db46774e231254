//! Tests that the end of a tunnel is told from the end of the endpoint's bytes.

use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::endpoint_stream::{EndpointStream, pass_pieces};

/// The time in which the peer's close or reset arrives.
const ARRIVAL_TIME: Duration = Duration::from_secs(5);

/// Returns both ends of a connection.
async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (left, right) = tokio::join!(TcpStream::connect(address), listener.accept());
    (left.expect("a connection"), right.expect("a connection").0)
}

/// Makes the close of a connection reset it.
fn set_reset_on_close(stream: &TcpStream) {
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("an open connection");
}

async fn is_reset_in_time(stream: &EndpointStream) -> bool {
    let becomes_reset = async {
        while !stream.is_reset() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(ARRIVAL_TIME, becomes_reset).await.is_ok()
}

/// Guards against bytes that are lost, repeated or changed on their way through a tunnel.
#[tokio::test]
async fn bytes_of_any_length_are_passed_on_up_to_their_end() {
    for length in [0, 1, 2, 8_191, 8_192, 8_193, 70_000, 300_000] {
        let sent: Vec<u8> = (0..length).map(|number: usize| (number % 251) as u8).collect();
        let (mut to_endpoint, mut endpoint) = connection().await;
        let (reader, mut relay) = connection().await;
        let mut stream = EndpointStream::stated(reader);
        let mut received = Vec::new();
        let (passed, read, ()) = tokio::join!(
            pass_pieces(&mut to_endpoint, &mut relay),
            stream.read_to_end(&mut received),
            async {
                endpoint.write_all(&sent).await.expect("an open connection");
                endpoint.shutdown().await.expect("an open connection");
            }
        );
        passed.expect("a stated end");
        assert_eq!(read.expect("a stated end"), sent.len());
        assert!(received == sent, "{length} bytes differ");
    }
}

/// Guards against a part of an answer that looks whole since the process that passes it on has ended, wherever in a
/// piece that is.
#[tokio::test]
async fn a_tunnel_that_closes_without_a_stated_end_is_broken() {
    let written: [&[u8]; 6] = [&[], &[4], &[4, 0], &[4, 0, 1], &[2, 0, 1, 2], &[2, 0, 1, 2, 0]];
    for bytes in written {
        let (reader, mut relay) = connection().await;
        relay.write_all(bytes).await.expect("an open connection");
        drop(relay);
        let mut stream = EndpointStream::stated(reader);
        let read = stream.read_to_end(&mut Vec::new()).await;
        assert!(read.is_err(), "{bytes:?}: {read:?}");
    }
}

/// Guards against an answer that counts as whole although its endpoint broke the connection.
#[tokio::test]
async fn no_end_is_stated_if_the_endpoint_resets_its_connection() {
    let (mut to_endpoint, mut endpoint) = connection().await;
    let (reader, mut relay) = connection().await;
    endpoint.write_all(b"half").await.expect("an open connection");
    set_reset_on_close(&endpoint);
    drop(endpoint);
    assert!(pass_pieces(&mut to_endpoint, &mut relay).await.is_err());
    drop(relay);
    let mut stream = EndpointStream::stated(reader);
    assert!(stream.read_to_end(&mut Vec::new()).await.is_err());
}

/// Guards against half of an answer that looks whole, since an instance of an earlier version cannot state its end.
#[tokio::test]
async fn the_close_of_a_tunnel_through_an_earlier_version_is_no_end() {
    let (reader, mut relay) = connection().await;
    relay.write_all(b"half").await.expect("an open connection");
    drop(relay);
    let mut stream = EndpointStream::unstated(reader);
    let mut received = Vec::new();
    assert!(stream.read_to_end(&mut received).await.is_err());
    assert_eq!(received, b"half");
}

/// Guards against an answer to a request that its endpoint did not take, where the reset that shows it is lost with
/// the process that passes it on.
#[tokio::test]
async fn a_tunnel_that_closes_after_the_stated_end_counts_as_reset() {
    for closes_by_reset in [false, true] {
        let (reader, mut relay) = connection().await;
        relay.write_all(&[2, 0, 1, 2, 0, 0]).await.expect("an open connection");
        let mut stream = EndpointStream::stated(reader);
        let mut received = Vec::new();
        stream.read_to_end(&mut received).await.expect("a stated end");
        assert!(!stream.is_reset(), "the relay is alive");
        if closes_by_reset {
            set_reset_on_close(&relay);
        }
        drop(relay);
        assert!(is_reset_in_time(&stream).await, "by reset: {closes_by_reset}");
    }
}

/// Guards against answers on direct connections that are lost, since their endpoints close after the end.
#[tokio::test]
async fn a_direct_connection_ends_with_its_close() {
    let (reader, mut endpoint) = connection().await;
    endpoint.write_all(b"whole").await.expect("an open connection");
    drop(endpoint);
    let mut stream = EndpointStream::direct(reader);
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await.expect("the end");
    assert_eq!(received, b"whole");
    assert!(!stream.is_reset());
}
