//! The network between two parties: a proxy that delivers every byte late by a fixed time.

use std::io::{self, Read as _, Write as _};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// Starts a proxy to `target` at a free port of `ip`; returns its address.
pub fn delayed(target: SocketAddr, ip: Ipv4Addr, one_way: Duration) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let _ = connect(near, target, one_way);
        }
    });
    Ok(address)
}

fn connect(near: TcpStream, target: SocketAddr, one_way: Duration) -> io::Result<()> {
    let far = TcpStream::connect(target)?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    pump(near.try_clone()?, far.try_clone()?, one_way);
    pump(far, near, one_way);
    Ok(())
}

fn pump(mut from: TcpStream, mut to: TcpStream, one_way: Duration) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut bytes = [0; 16 * 1024];
        while let Ok(count) = from.read(&mut bytes) {
            let message = (Instant::now() + one_way, bytes[..count].to_vec());
            if sender.send(message).is_err() || count == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (due, bytes) in receiver {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
}
