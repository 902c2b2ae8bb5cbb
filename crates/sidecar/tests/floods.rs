//! All that a bad day can send at once, at the smallest limits that a deployment may set: memory and descriptors stay within
//! them, and a usual client gets an answer to each request.

mod stage;

use std::io::{Read as _, Write as _};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use std::{fs, thread};

use stage::{Stage, until};

/// The least that a deployment gives a sidecar.
const MEMORY_MB: u64 = 32;
const DESCRIPTORS: usize = 256;

const GOOD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

fn request(id: &str, timeout_ms: u32, length: usize) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: n\r\nX-Request-ID: {id}\r\nX-Priority-Class: book\r\n\
         X-Timeout: {timeout_ms}m\r\nContent-Length: {length}\r\n\r\n"
    )
}

/// Clients that hold what they can get: heads and bodies without end, floods behind a request, and silence.
fn bad_client(listen: &str, kind: usize) -> Option<TcpStream> {
    let mut link = TcpStream::connect(listen).ok()?;
    link.set_nonblocking(true).ok()?;
    let start = match kind % 4 {
        0 => format!("GET /api HTTP/1.1\r\nX-Long: {}", "a".repeat(100_000)),
        1 => request(&format!("b{kind}"), 9_000, 60_000) + &"b".repeat(59_999),
        2 => {
            request(&format!("f{kind}"), 9_000, 0)
                + &"GET / HTTP/1.1\r\nHost: x\r\n\r\n".repeat(30_000)
        }
        _ => String::new(),
    };
    // What the machine does not take now is not sent: the program reads no more.
    let _ = link.write(start.as_bytes());
    Some(link)
}

/// A server that answers every other request, and starts an answer without end to the others.
fn serve(listener: &TcpListener, over: &AtomicBool) {
    let mut links: Vec<(TcpStream, bool)> = Vec::new();
    let mut count = 0_usize;
    let body = vec![b'z'; 16 * 1024];
    while !over.load(Ordering::Relaxed) {
        while let Ok((link, _)) = listener.accept() {
            link.set_nonblocking(true).expect("not blocking");
            links.push((link, false));
        }
        links.retain_mut(|(link, endless)| {
            match link.read(&mut [0; 4096]) {
                Ok(0) => return false,
                Ok(_) if !*endless => {
                    count += 1;
                    *endless = count % 2 == 0;
                    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n";
                    let _ = link.write(if *endless { head } else { GOOD }.as_bytes());
                }
                _ => {}
            }
            if *endless {
                let _ = link.write(&body);
            }
            true
        });
        thread::sleep(Duration::from_millis(1));
    }
}

fn anonymous_kb(stage: &Stage) -> u64 {
    let status = fs::read_to_string(stage.process("status")).expect("the program runs");
    let line = status
        .lines()
        .find_map(|l| l.strip_prefix("RssAnon:"))
        .expect("a figure");
    line.trim()
        .trim_end_matches(" kB")
        .parse()
        .expect("a number")
}

#[test]
fn the_worst_at_once_stays_within_the_least_limits() {
    let mut stage = Stage::start("floods", "servers=4 memory=32 deadline=4000");
    let over = Arc::new(AtomicBool::new(false));
    let serving: Vec<_> = stage
        .servers()
        .into_iter()
        .map(|listener| {
            let over = Arc::clone(&over);
            thread::spawn(move || serve(&listener, &over))
        })
        .collect();
    stage.step("D1", "read", "");
    stage.step(
        "D1",
        "send",
        "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n",
    );
    // A line of the list without end.
    (0..5).for_each(|_| stage.step("D1", "fill", "["));
    let listen = stage.listen().to_owned();
    let (mut crowd, mut most_kb, mut most_open, mut answered) = (Vec::new(), 0, 0, 0);
    for round in 0..40 {
        crowd.extend((0..12).filter_map(|n| bad_client(&listen, 12 * round + n)));
        crowd.truncate(400);
        let mut link = TcpStream::connect(&listen).expect("a usual client connects");
        link.set_read_timeout(Some(Duration::from_secs(10)))
            .expect("a time-out");
        let whole = request(&format!("u{round}"), 500, 4) + "slot";
        link.write_all(whole.as_bytes()).expect("sent");
        let mut answer = [0; 512];
        let read = link
            .read(&mut answer)
            .unwrap_or_else(|e| panic!("request {round}: {e}"));
        let text = String::from_utf8_lossy(&answer[..read]);
        assert!(
            text.starts_with("HTTP/1.1 200") || text.starts_with("HTTP/1.1 50"),
            "{round}: {text:?}"
        );
        answered += usize::from(text.starts_with("HTTP/1.1 200"));
        most_kb = most_kb.max(anonymous_kb(&stage));
        most_open = most_open.max(
            fs::read_dir(stage.process("fd"))
                .expect("the program runs")
                .count(),
        );
    }
    over.store(true, Ordering::Relaxed);
    serving
        .into_iter()
        .for_each(|s| s.join().expect("a server ends"));
    drop(crowd);
    println!(
        "at most {most_kb} kB and {most_open} descriptors; {answered} of 40 usual requests served"
    );
    assert!(most_kb < MEMORY_MB * 1024, "{most_kb} kB of {MEMORY_MB} MB");
    assert!(
        most_open < DESCRIPTORS,
        "{most_open} descriptors of {DESCRIPTORS}"
    );
    assert!(answered > 0, "no usual request was served");
    let text = until("the crowd's end", || {
        let mut link = TcpStream::connect(&listen).ok()?;
        link.write_all(b"GET /counters HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
            .ok()?;
        let mut text = String::new();
        link.read_to_string(&mut text).ok()?;
        text.starts_with("HTTP/1.1 200").then_some(text)
    });
    assert!(text.contains("requests_accepted"), "{text}");
}
