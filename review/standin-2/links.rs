//! Links: a proxy in front of a gateway's address for the others, which can be cut, and a path on
//! which heartbeats are late.

use std::collections::HashSet;
use std::io::{BufReader, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::http::{exchange, read_request};
use crate::world::Record;

#[derive(Default)]
struct CutState {
    all: bool,
    from: HashSet<IpAddr>,
}

/// Passes bytes on in both directions. A cut holds them back; nothing is closed or reset by it.
#[derive(Clone)]
pub struct LinkProxy(Arc<Mutex<CutState>>);

impl LinkProxy {
    pub fn start(at: SocketAddr, to: SocketAddr) -> Self {
        let listener = TcpListener::bind(at).expect("a free address");
        let proxy = Self(Arc::default());
        let state = proxy.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = state.clone();
                spawn(move || state.serve(stream, to));
            }
        });
        proxy
    }

    pub fn set_cut_from(&self, from: IpAddr, is_cut: bool) {
        let mut state = self.0.lock().expect("the state");
        if is_cut {
            state.from.insert(from);
        } else {
            state.from.remove(&from);
        }
    }

    pub fn set_cut_from_all(&self, is_cut: bool) {
        self.0.lock().expect("the state").all = is_cut;
    }

    fn wait_while_cut(&self, from: IpAddr) {
        let is_cut = || {
            let state = self.0.lock().expect("the state");
            state.all || state.from.contains(&from)
        };
        while is_cut() {
            sleep(Duration::from_millis(5));
        }
    }

    fn serve(&self, source: TcpStream, to: SocketAddr) {
        let Ok(from) = source.peer_addr().map(|address| address.ip()) else { return };
        self.wait_while_cut(from);
        let Ok(target) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else { return };
        let _ = (source.set_nodelay(true), target.set_nodelay(true));
        let (Ok(source_end), Ok(target_end)) = (source.try_clone(), target.try_clone()) else {
            return;
        };
        let state = self.clone();
        let back = spawn(move || state.pump(target_end, source_end, from));
        self.pump(source, target, from);
        let _ = back.join();
    }

    fn pump(&self, mut reader: TcpStream, mut writer: TcpStream, from: IpAddr) {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            let read = reader.read(&mut buffer).unwrap_or(0);
            self.wait_while_cut(from);
            if read == 0 || writer.write_all(&buffer[..read]).is_err() {
                let _ = writer.shutdown(Shutdown::Write);
                return;
            }
        }
    }
}

/// The path of a server's heartbeats, on which each takes `delay`. A heartbeat that has been sent
/// arrives even if its sender ends meanwhile.
pub struct LatePath {
    /// When the last heartbeat was sent.
    pub last_sent: Arc<Mutex<Option<Instant>>>,
}

impl LatePath {
    pub fn start(at: SocketAddr, to: SocketAddr, delay: Duration, record: Record) -> Self {
        let listener = TcpListener::bind(at).expect("a free address");
        let last_sent = Arc::new(Mutex::new(None));
        let sent = Arc::clone(&last_sent);
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, sent) = (record.clone(), Arc::clone(&sent));
                spawn(move || pass_beat(stream, to, delay, &record, &sent));
            }
        });
        Self { last_sent }
    }
}

fn pass_beat(
    stream: TcpStream,
    to: SocketAddr,
    delay: Duration,
    record: &Record,
    sent: &Mutex<Option<Instant>>,
) {
    let Ok(reader) = stream.try_clone() else { return };
    let Ok(beat) = read_request(&mut BufReader::new(reader)) else { return };
    *sent.lock().expect("the time") = Some(Instant::now());
    record.line(format!("heartbeat sent: {} {}", beat.method, beat.path));
    sleep(delay);
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n",
        beat.method, beat.path
    );
    let answer = exchange(to, &head, &beat.body, Duration::from_secs(1));
    let status = answer.map_or(0, |answer| answer.status);
    record.line(format!("heartbeat arrived: {} {}, answered {status}", beat.method, beat.path));
    let mut stream = stream;
    // The sender may have ended.
    let _ = write!(stream, "HTTP/1.1 {status} OK\r\nContent-Length: 2\r\n\r\n{{}}");
}
