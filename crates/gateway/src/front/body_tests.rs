//! Tests how streamed bodies end.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::time::timeout;

use super::body::{BodyCollector, ResponseBody, streamed_body};

/// Reads a body to its end. Returns the pieces before the end, and whether the end is proper.
async fn read(mut body: ResponseBody) -> (usize, bool) {
    let mut pieces = 0;
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return (pieces, false);
        }
        pieces += 1;
    }
    (pieces, true)
}

/// Guards against an incomplete stream that looks complete to a slow caller whose queue was full when the
/// stream broke.
#[tokio::test]
async fn a_stream_that_breaks_while_the_queue_is_full_does_not_look_complete() {
    let (pieces, body) = streamed_body(1, None);
    pieces.send(Bytes::from_static(b"data: x\n\n")).await.unwrap();
    drop(pieces);
    assert_eq!(read(body).await, (1, false));
}

#[tokio::test]
async fn a_complete_stream_ends_properly() {
    let (pieces, body) = streamed_body(1, None);
    pieces.send(Bytes::from_static(b"data: x\n\n")).await.unwrap();
    pieces.complete();
    assert_eq!(read(body).await, (1, true));
}

/// Guards against a caller that reads slowly and for which as many large events are held as small ones.
#[tokio::test]
async fn large_pieces_wait_until_the_caller_has_read_those_before_them() {
    let (pieces, mut body) = streamed_body(8, None);
    let large = Bytes::from(vec![b'x'; 10_000]);
    pieces.send(large.clone()).await.unwrap();
    let mut second = Box::pin(pieces.send(large.clone()));
    let waited = timeout(Duration::ZERO, &mut second).await;
    assert!(waited.is_err(), "the queue is full");
    assert!(body.frame().await.is_some());
    assert_eq!(second.await, Ok(()));
}

fn collect(collector: &mut BodyCollector, length: usize) {
    let mut data = Bytes::from(vec![b'x'; length]);
    while !data.is_empty() {
        if collector.is_full() {
            assert!(collector.make_room(data.len()));
        }
        collector.take(&mut data);
    }
}

/// Guards against a long answer that is given up because its memory counts twice while it grows.
#[test]
fn a_growing_body_takes_up_its_length_and_at_most_one_piece() {
    let mut collector = BodyCollector::new(None);
    for _ in 0..700 {
        collect(&mut collector, 12_345);
        assert!(collector.held_bytes() <= collector.len() + 64 * 1024);
    }
    assert_eq!(collector.len(), 700 * 12_345);
}

/// Guards against a slow caller for which the whole of a large answer is handed to the HTTP library.
#[tokio::test]
async fn a_large_buffered_body_is_passed_on_in_pieces() {
    let mut collector = BodyCollector::new(None);
    collect(&mut collector, 200_000);
    assert_eq!(read(ResponseBody::Buffered(Some(collector.into_body()))).await, (4, true));
    assert_eq!(read(ResponseBody::short(Bytes::new())).await, (1, true));
}
