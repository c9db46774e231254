//! The connections to the other daemons.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use oriolepass_units::InstanceId;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::PeerMessage;
use crate::net;

/// Messages that wait for one connection: what is sent in some seconds of a busy leader.
const LINK_QUEUE: usize = 2_048;

/// How long a connection may take to come about: a hundred round trips between data centres,
/// and two retransmissions of a lost first packet would be too late anyway.
const CONNECT_PATIENCE: Duration = Duration::from_millis(400);

/// The pause after a failed connection.
const RECONNECT_AFTER: Duration = Duration::from_millis(150);

/// A connection that lasted this long and is lost is made again at once, and what waits for it goes
/// out: whoever waits for an answer has 90 ms. Any other daemon that closes what it has just accepted
/// is left alone for a while.
const LASTED: Duration = Duration::from_millis(1_000);

/// Bytes written at a time.
const WRITE_BYTES: usize = 64 * 1024;

/// The longest message: a routing document of four megabytes and a snapshot piece both fit.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// A connection on which nothing comes for this long is given up; greetings come many times as
/// often.
const READ_PATIENCE: Duration = Duration::from_secs(12);

/// How often the receiving side of a connection says that it still receives. A connection may go silent
/// for good without an error, and what was written to it then gets nowhere.
const RECEIPT_EVERY: Duration = Duration::from_millis(900);

/// A receipt: one byte, of no further meaning.
const RECEIPT: [u8; 1] = [1];

/// How long a receipt is waited for once something was written. The next greeting brings one at the
/// latest, so this bears one greeting lost and a daemon that stands still for a second.
const RECEIPT_PATIENCE: Duration = Duration::from_millis(2_400);

/// What the mesh tells its owner.
pub(crate) trait MeshEvents {
    /// A message has come.
    fn on_message(&self, from: &InstanceId, message: PeerMessage);
    /// The connection to a daemon is up; what is returned goes first.
    fn on_link_up(&self, to: &InstanceId) -> Vec<PeerMessage>;
    /// The connection to a daemon is gone.
    fn on_link_down(&self, to: &InstanceId, reason: &str);
}

/// Sends to other daemons.
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

    /// Names who is told of messages, and accepts connections.
    pub(crate) fn start(self: &Rc<Self>, listener: TcpListener, events: Rc<dyn MeshEvents>) {
        *self.events.borrow_mut() = Some(Rc::clone(&events));
        spawn_local(accept(listener, events));
    }

    /// Sends a message, or drops it where its receiver does not keep up.
    pub(crate) fn send(self: &Rc<Self>, to: &InstanceId, message: &PeerMessage) {
        self.send_frame(to, message.kind(), encode(message));
    }

    /// Sends one message to several daemons.
    pub(crate) fn send_all<'a>(
        self: &Rc<Self>,
        to: impl IntoIterator<Item = &'a InstanceId>,
        message: &PeerMessage,
    ) {
        let frame = encode(message);
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
            let (sender, frames) = mpsc::channel(LINK_QUEUE);
            spawn_local(run_link(Rc::clone(self), to.clone(), frames));
            sender
        });
        // A full queue means that the other side has not read for seconds; senders repeat.
        let _ = link.try_send(frame);
    }

    /// Ends the connection to a daemon that is not known any more.
    pub(crate) fn forget(&self, instance: &InstanceId) {
        self.links.borrow_mut().remove(instance);
    }

    fn events(&self) -> Option<Rc<dyn MeshEvents>> {
        self.events.borrow().clone()
    }
}

fn encode(message: &PeerMessage) -> Bytes {
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
    let mut is_resumed = false;
    loop {
        let first = if std::mem::take(&mut is_resumed) {
            Bytes::new()
        } else {
            // Wait for something to say.
            let Some(first) = frames.recv().await else { return };
            first
        };
        let connected = timeout(CONNECT_PATIENCE, net::connect(address, Some(mesh.source))).await;
        let reason = match connected {
            Ok(Ok(stream)) => {
                was_up = true;
                let mut greeting = BytesMut::new();
                push_id(&mut greeting, &mesh.own);
                if let Some(events) = mesh.events() {
                    for message in events.on_link_up(&to) {
                        greeting.extend_from_slice(&encode(&message));
                    }
                }
                greeting.extend_from_slice(&first);
                let began = Instant::now();
                let reason = write_link(stream, greeting, &mut frames).await;
                is_resumed = began.elapsed() >= LASTED;
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
        if is_resumed {
            continue;
        }
        sleep(RECONNECT_AFTER).await;
        // What waited is stale by now; its senders repeat what still matters.
        while frames.try_recv().is_ok() {}
    }
}

/// Writes frames until the connection breaks or goes silent; returns why it did.
async fn write_link(
    mut stream: TcpStream,
    mut buffer: BytesMut,
    frames: &mut mpsc::Receiver<Bytes>,
) -> String {
    let mut receipt_due: Option<Instant> = None;
    loop {
        while buffer.len() < WRITE_BYTES {
            let Ok(frame) = frames.try_recv() else { break };
            buffer.extend_from_slice(&frame);
        }
        match timeout(net::SILENT_LINK, stream.write_all(&buffer)).await {
            Ok(Ok(())) if buffer.is_empty() => {}
            Ok(Ok(())) => {
                buffer.clear();
                receipt_due.get_or_insert_with(|| Instant::now() + RECEIPT_PATIENCE);
            }
            Ok(Err(error)) => return error.to_string(),
            Err(_) => return "the other side does not read".to_owned(),
        }
        let mut receipts = [0_u8; 16];
        tokio::select! {
            frame = frames.recv() => match frame {
                Some(frame) => buffer.extend_from_slice(&frame),
                None => return "the daemon is not known any more".to_owned(),
            },
            read = stream.read(&mut receipts) => match read {
                Ok(0) => return "the other side closed".to_owned(),
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
    // An id has at most 128 bytes.
    buffer.extend_from_slice(&[u8::try_from(bytes.len()).unwrap_or(u8::MAX)]);
    buffer.extend_from_slice(bytes);
}

async fn accept(listener: TcpListener, events: Rc<dyn MeshEvents>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let events = Rc::clone(&events);
                spawn_local(async move {
                    net::tune(&stream);
                    // A connection that breaks is made again by its maker, who logs it.
                    let _ = read_link(stream, &*events).await;
                });
            }
            // Out of descriptors: others are closed meanwhile.
            Err(_) => sleep(RECONNECT_AFTER).await,
        }
    }
}

async fn read_link(stream: TcpStream, events: &dyn MeshEvents) -> std::io::Result<()> {
    let mut stream = tokio::io::BufReader::with_capacity(16 * 1024, stream);
    let mut id = vec![0; usize::from(stream.read_u8().await?)];
    stream.read_exact(&mut id).await?;
    let invalid = || std::io::Error::from(std::io::ErrorKind::InvalidData);
    let from: InstanceId =
        std::str::from_utf8(&id).ok().and_then(|id| id.parse().ok()).ok_or_else(invalid)?;
    let mut receipted: Option<Instant> = None;
    loop {
        let length = timeout(READ_PATIENCE, stream.read_u32_le()).await??;
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        if length > MAX_FRAME_BYTES {
            return Err(invalid());
        }
        let mut body = vec![0; length];
        timeout(READ_PATIENCE, stream.read_exact(&mut body)).await??;
        let message = postcard::from_bytes(&body).map_err(|_| invalid())?;
        events.on_message(&from, message);
        if receipted.is_none_or(|at| at.elapsed() >= RECEIPT_EVERY) {
            receipted = Some(Instant::now());
            // One that does not fit now is followed by another; the writer ends what is broken.
            let _ = stream.get_ref().try_write(&RECEIPT);
        }
    }
}
