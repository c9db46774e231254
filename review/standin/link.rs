//! A network link: passes connections on to an address, and while it is cut it holds all bytes, ends of
//! connections and new connections back, as a link does on which the packets are sent again later.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[derive(Clone, Default)]
pub struct Link {
    is_cut: Arc<AtomicBool>,
}

impl Link {
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
    }

    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }

    fn wait(&self) {
        while self.is_cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Passes connections to `from` on to `to`.
    pub fn pass(&self, from: SocketAddr, to: SocketAddr) {
        let listener = TcpListener::bind(from).expect("the address of a link is free");
        let link = self.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let link = link.clone();
                thread::spawn(move || {
                    link.wait();
                    // No process listens there: the connection is reset.
                    let Ok(far) = TcpStream::connect(to) else { return };
                    let _ = near.set_nodelay(true).and_then(|()| far.set_nodelay(true));
                    let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else {
                        return;
                    };
                    let back = link.clone();
                    thread::spawn(move || back.copy(far_too, near_too));
                    link.copy(near, far);
                });
            }
        });
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16 * 1024];
        loop {
            let read = from.read(&mut buffer);
            self.wait();
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
}
