//! The links between gateways: a proxy before each gateway's peer address, which holds back what passes between two
//! machines while the link between them is cut.

use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Cuts one machine off from others.
#[derive(Clone)]
pub struct Cut {
    machine: IpAddr,
    others: Vec<IpAddr>,
    holds: Arc<AtomicBool>,
}

impl Cut {
    pub fn new(machine: IpAddr, others: Vec<IpAddr>) -> Self {
        Self { machine, others, holds: Arc::default() }
    }

    pub fn set(&self, holds: bool) {
        self.holds.store(holds, Ordering::SeqCst);
    }

    fn lies_between(&self, one: IpAddr, other: IpAddr) -> bool {
        (one == self.machine && self.others.contains(&other))
            || (other == self.machine && self.others.contains(&one))
    }

    /// Waits while the link between two machines is cut.
    fn wait(&self, one: IpAddr, other: IpAddr) {
        while self.lies_between(one, other) && self.holds.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Passes connections to `from`, the address that a gateway announces, on to `to`, at which it listens. The
    /// gateways connect from the addresses that they announce.
    pub fn pass(&self, from: SocketAddr, to: SocketAddr) {
        let listener = TcpListener::bind(from).expect("the address of a link is free");
        let cut = self.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let cut = cut.clone();
                thread::spawn(move || {
                    let Ok(source) = near.peer_addr().map(|address| address.ip()) else { return };
                    if cut.lies_between(source, from.ip()) && cut.holds.load(Ordering::SeqCst) {
                        // Nothing passes; what the gateway has sent by then is lost with its connection.
                        cut.wait(source, from.ip());
                        return;
                    }
                    // No process listens there: the connection is reset.
                    let Ok(far) = TcpStream::connect(to) else { return };
                    let _ = near.set_nodelay(true).and_then(|()| far.set_nodelay(true));
                    let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else {
                        return;
                    };
                    let back = cut.clone();
                    thread::spawn(move || copy(&back, source, from.ip(), far_too, near_too));
                    copy(&cut, source, from.ip(), near, far);
                });
            }
        });
    }
}

fn copy(cut: &Cut, one: IpAddr, other: IpAddr, mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer);
        cut.wait(one, other);
        match read {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(length) => {
                if to.write_all(&buffer[..length]).is_err() {
                    let _ = from.shutdown(Shutdown::Both);
                    return;
                }
            }
            Err(_) => {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
