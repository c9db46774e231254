//! Maintains the connections to the other daemons.
//!
//! Messages are sent as frames: a length in four bytes, little-endian, and the encoded message. A
//! connection begins with the sender's id, or with an empty id if it carries a tunnel.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use oriolepass_units::InstanceId;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::PeerMessage;
use crate::net;
use crate::tunnel::TunnelOpen;

/// The maximum number of messages queued for one connection: what a busy leader sends in some
/// seconds.
const LINK_QUEUE_CAPACITY: usize = 2_048;

/// The time-out for establishing a connection. It allows a hundred round trips between data
/// centres; a connection after two retransmissions of a lost first packet would be too late in any
/// case.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The delay after a failed connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(150);

/// A lost connection that lasted at least this long is re-established at once and its queued
/// messages are sent, because a caller waits only 90 ms for an answer. After a shorter connection,
/// such as to a daemon that closes connections right after it accepts them, `RECONNECT_DELAY`
/// applies.
const STABLE_CONNECTION_TIME: Duration = Duration::from_millis(1_000);

/// A write collects queued frames up to this size.
const MAX_WRITE_BYTES: usize = 64 * 1024;

/// The size limit of a message; a routing document of four megabytes and a snapshot chunk both fit.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// A connection that receives nothing for this long is closed; greetings arrive many times as
/// often.
const READ_TIMEOUT: Duration = Duration::from_secs(12);

/// The minimum interval between two receipts, with which the receiver of a connection confirms that
/// data still arrives. A connection may stall for good without an error, and all data written to it
/// is then lost.
const RECEIPT_INTERVAL: Duration = Duration::from_millis(900);

/// The content of a receipt: one byte whose value has no meaning.
const RECEIPT: [u8; 1] = [1];

/// The time-out for a receipt after a write. The next greeting causes a receipt at the latest, so
/// this tolerates one lost greeting and a daemon that is suspended for a second.
const RECEIPT_TIMEOUT: Duration = Duration::from_millis(2_400);

/// Handles the events of the mesh.
pub(crate) trait MeshEvents {
    /// Handles a received message.
    fn on_message(&self, from: &InstanceId, message: PeerMessage);
    /// Handles a new connection to a daemon; returns the messages to send on it first.
    fn on_link_up(&self, to: &InstanceId) -> Vec<PeerMessage>;
    /// Handles the loss of the connection to a daemon.
    fn on_link_down(&self, to: &InstanceId, reason: &str);
    /// Handles a request for a tunnel to an endpoint; the connection carries the tunnel.
    fn on_tunnel(&self, open: TunnelOpen, stream: TcpStream);
}

/// Sends messages to other daemons over one connection each.
pub(crate) struct PeerMesh {
    own: InstanceId,
    source: IpAddr,
    links: RefCell<HashMap<InstanceId, mpsc::Sender<Bytes>>>,
    events: RefCell<Option<Rc<dyn MeshEvents>>>,
    traffic: RefCell<BTreeMap<&'static str, TrafficCount>>,
}

/// The number and total size of sent messages of one kind, including those dropped at a full queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct TrafficCount {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
}

impl TrafficCount {
    fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }
}

impl PeerMesh {
    pub(crate) fn new(own: InstanceId, source: IpAddr) -> Rc<Self> {
        let links = RefCell::new(HashMap::new());
        let traffic = RefCell::default();
        Rc::new(Self { own, source, links, events: RefCell::new(None), traffic })
    }

    /// Sets the handler of events, and starts to accept connections.
    pub(crate) fn start(self: &Rc<Self>, listener: TcpListener, events: Rc<dyn MeshEvents>) {
        *self.events.borrow_mut() = Some(Rc::clone(&events));
        spawn_local(accept(listener, events));
    }

    /// Sends a message, or drops it if the queue of its connection is full.
    pub(crate) fn send(self: &Rc<Self>, to: &InstanceId, message: &PeerMessage) {
        self.send_frame(to, message.kind(), encode_frame(message));
    }

    /// Sends one message to several daemons.
    pub(crate) fn send_all<'a>(
        self: &Rc<Self>,
        to: impl IntoIterator<Item = &'a InstanceId>,
        message: &PeerMessage,
    ) {
        let frame = encode_frame(message);
        let kind = message.kind();
        to.into_iter().for_each(|instance| self.send_frame(instance, kind, frame.clone()));
    }

    /// Returns the counts by kind of message since the last call, and resets them.
    pub(crate) fn take_traffic(&self) -> BTreeMap<&'static str, TrafficCount> {
        self.traffic.take()
    }

    fn send_frame(self: &Rc<Self>, to: &InstanceId, kind: &'static str, frame: Bytes) {
        if *to == self.own {
            return;
        }
        self.traffic.borrow_mut().entry(kind).or_default().add(frame.len());
        let mut links = self.links.borrow_mut();
        let link = links.entry(to.clone()).or_insert_with(|| {
            let (sender, frames) = mpsc::channel(LINK_QUEUE_CAPACITY);
            spawn_local(run_link(Rc::clone(self), to.clone(), frames));
            sender
        });
        // A full queue means that the receiver has not read for seconds. The message is dropped,
        // and its sender repeats it.
        let _ = link.try_send(frame);
    }

    /// Closes the connection to a daemon that has been removed from the roster.
    pub(crate) fn close_link(&self, instance: &InstanceId) {
        self.links.borrow_mut().remove(instance);
    }

    fn events(&self) -> Option<Rc<dyn MeshEvents>> {
        self.events.borrow().clone()
    }
}

/// Returns a message as a frame.
pub(crate) fn encode_frame(message: &impl Serialize) -> Bytes {
    let body = postcard::to_stdvec(message).expect("a message always serialises");
    let length = u32::try_from(body.len()).expect("a message is shorter than 4 GB");
    let mut frame = Vec::with_capacity(body.len() + 4);
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(&body);
    frame.into()
}

async fn run_link(mesh: Rc<PeerMesh>, to: InstanceId, mut frames: mpsc::Receiver<Bytes>) {
    let Ok(address) = to.as_str().parse::<SocketAddr>() else { return };
    let mut was_up = true;
    let mut reconnects_at_once = false;
    loop {
        let first = if std::mem::take(&mut reconnects_at_once) {
            Bytes::new()
        } else {
            // A connection is established only when there is a message to send.
            let Some(first) = frames.recv().await else { return };
            first
        };
        let connected = timeout(CONNECT_TIMEOUT, net::connect(address, Some(mesh.source))).await;
        let reason = match connected {
            Ok(Ok(stream)) => {
                was_up = true;
                let mut greeting = BytesMut::new();
                push_id(&mut greeting, &mesh.own);
                if let Some(events) = mesh.events() {
                    for message in events.on_link_up(&to) {
                        greeting.extend_from_slice(&encode_frame(&message));
                    }
                }
                greeting.extend_from_slice(&first);
                let connected_at = Instant::now();
                let reason = write_link(stream, greeting, &mut frames).await;
                reconnects_at_once = connected_at.elapsed() >= STABLE_CONNECTION_TIME;
                reason
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no connection in time".to_owned(),
        };
        if std::mem::take(&mut was_up)
            && let Some(events) = mesh.events()
        {
            events.on_link_down(&to, &reason);
        }
        if frames.is_closed() {
            return;
        }
        if reconnects_at_once {
            continue;
        }
        sleep(RECONNECT_DELAY).await;
        // The queued messages are stale by now; senders repeat the messages that still matter.
        while frames.try_recv().is_ok() {}
    }
}

/// Writes frames until the connection fails or no receipt arrives in time; returns the reason.
async fn write_link(
    mut stream: TcpStream,
    mut buffer: BytesMut,
    frames: &mut mpsc::Receiver<Bytes>,
) -> String {
    let mut receipt_due: Option<Instant> = None;
    loop {
        while buffer.len() < MAX_WRITE_BYTES {
            let Ok(frame) = frames.try_recv() else { break };
            buffer.extend_from_slice(&frame);
        }
        match timeout(net::TCP_USER_TIMEOUT, stream.write_all(&buffer)).await {
            Ok(Ok(())) if buffer.is_empty() => {}
            Ok(Ok(())) => {
                buffer.clear();
                receipt_due.get_or_insert_with(|| Instant::now() + RECEIPT_TIMEOUT);
            }
            Ok(Err(error)) => return error.to_string(),
            Err(_) => return "write timed out: the peer does not read".to_owned(),
        }
        let mut receipts = [0_u8; 16];
        tokio::select! {
            frame = frames.recv() => match frame {
                Some(frame) => buffer.extend_from_slice(&frame),
                None => return "the peer was removed from the roster".to_owned(),
            },
            read = stream.read(&mut receipts) => match read {
                Ok(0) => return "the peer closed the connection".to_owned(),
                Ok(_) => receipt_due = None,
                Err(error) => return error.to_string(),
            },
            () = sleep_until(receipt_due.unwrap_or_else(Instant::now)), if receipt_due.is_some() => {
                return "no receipt in time".to_owned();
            }
        }
    }
}

fn push_id(buffer: &mut BytesMut, id: &InstanceId) {
    let bytes = id.as_str().as_bytes();
    // An instance id has at most 128 bytes.
    buffer.extend_from_slice(&[u8::try_from(bytes.len()).unwrap_or(u8::MAX)]);
    buffer.extend_from_slice(bytes);
}

async fn accept(listener: TcpListener, events: Rc<dyn MeshEvents>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let events = Rc::clone(&events);
                spawn_local(async move {
                    net::set_stream_options(&stream);
                    // The daemon that opened the connection logs a failure and reconnects.
                    let _ = read_link(stream, &*events).await;
                });
            }
            // The process is out of file descriptors; some are released during the delay.
            Err(_) => sleep(RECONNECT_DELAY).await,
        }
    }
}

async fn read_link(stream: TcpStream, events: &dyn MeshEvents) -> std::io::Result<()> {
    let mut stream = tokio::io::BufReader::with_capacity(16 * 1024, stream);
    let mut id = vec![0; usize::from(stream.read_u8().await?)];
    if id.is_empty() {
        let open = read_message(&mut stream).await?;
        events.on_tunnel(open, stream.into_inner());
        return Ok(());
    }
    stream.read_exact(&mut id).await?;
    let invalid = || std::io::Error::from(std::io::ErrorKind::InvalidData);
    let from: InstanceId =
        std::str::from_utf8(&id).ok().and_then(|id| id.parse().ok()).ok_or_else(invalid)?;
    let mut last_receipt: Option<Instant> = None;
    loop {
        events.on_message(&from, read_message(&mut stream).await?);
        if last_receipt.is_none_or(|at| at.elapsed() >= RECEIPT_INTERVAL) {
            last_receipt = Some(Instant::now());
            // A receipt that the socket buffer cannot take is skipped, as another follows. The
            // writer closes a connection that has failed.
            let _ = stream.get_ref().try_write(&RECEIPT);
        }
    }
}

async fn read_message<T: DeserializeOwned>(
    stream: &mut tokio::io::BufReader<TcpStream>,
) -> std::io::Result<T> {
    let invalid = || std::io::Error::from(std::io::ErrorKind::InvalidData);
    let length = timeout(READ_TIMEOUT, stream.read_u32_le()).await??;
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    if length > MAX_FRAME_BYTES {
        return Err(invalid());
    }
    let mut body = vec![0; length];
    timeout(READ_TIMEOUT, stream.read_exact(&mut body)).await??;
    postcard::from_bytes(&body).map_err(|_| invalid())
}
