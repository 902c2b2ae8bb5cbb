//! Plays the recorded exchanges of `tests/exchanges/*.txt` against the program and compares what it said.
//!
//! A recording names its parties: terminals (T1, T2 ...), connections that the program opens to job servers
//! (S1, S2 ... in the order they come), to discovery (D1 ...) and to where it moves (E1 ...), and the program (P). Nothing is
//! measured: every wait ends with what is awaited, or fails the test. A pause only lets a time-out of the program pass.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use std::{collections::HashMap, fmt::Write as _, fs, thread};

use tokio::net::TcpSocket;

const PATIENCE: Duration = Duration::from_secs(20);

/// The program and all that it talks to; what it says goes into the transcript.
struct Stage {
    child: Child,
    listen: String,
    servers: Vec<TcpListener>,
    discovery: TcpListener,
    moved: TcpListener,
    /// Where the configuration is, and how it was at the start.
    config: (PathBuf, String),
    links: HashMap<String, TcpStream>,
    transcript: String,
    /// The program's own address and those of job servers that refuse.
    _held: Vec<TcpSocket>,
    /// Where discovery moves to without being there.
    refusing: (TcpSocket, String),
}

fn option(line: &str, name: &str) -> Option<usize> {
    line.split_whitespace().find_map(|w| w.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

fn free_port() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("not blocking");
    listener
}

/// A free address that the program may listen on, but which nobody else is given while it is held. Guards against
/// a test that plays against another one's program, or against none, since it took its port before it listened.
fn hold() -> (TcpSocket, String) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    socket.set_reuseaddr(true).expect("shared with a listener");
    let address = socket.local_addr().expect("bound").to_string();
    (socket, address)
}

fn address(listener: &TcpListener) -> String {
    listener.local_addr().expect("bound").to_string()
}

fn until<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(start.elapsed() < PATIENCE, "{what} did not come");
        thread::sleep(Duration::from_millis(2));
    }
}

impl Stage {
    fn start(name: &str, line: &str) -> Self {
        let count = |key: &str, usual: usize| option(line, key).unwrap_or(usual);
        let mut servers: Vec<_> = (0..count("servers", 1)).map(|_| free_port()).collect();
        let mut addresses: Vec<String> = servers.iter().map(address).collect();
        servers.extend((0..count("spare", 0)).map(|_| free_port()));
        let (mut held, dead): (Vec<_>, Vec<_>) = (0..count("dead", 0)).map(|_| hold()).unzip();
        addresses.extend(dead);
        let target = |(i, a): (usize, &String)| {
            format!(r#"{{"uid":"s{i}","endpoint":"{a}","az":"z{}","state":"ready"}}"#, i % count("zones", 1))
        };
        let targets: Vec<String> = addresses.iter().enumerate().map(target).collect();
        let (discovery, moved, (own, listen)) = (free_port(), free_port(), hold());
        held.push(own);
        let config = include_str!("exchanges/config.json")
            .replace("{targets}", &targets.join(","))
            .replace("\"{idle}\"", &format!("{}e-3", count("idle", 60_000_000)))
            .replace("\"{memory}\"", &count("memory", 192).to_string());
        let path = std::env::temp_dir().join(format!("arrowstand-{name}-{}.json", std::process::id()));
        fs::write(&path, &config).expect("configuration written");
        let child = Command::new(env!("CARGO_BIN_EXE_arrowstand"))
            .env("NODE_CONFIG", &path)
            .env("NODE_LISTEN", &listen)
            .env("NODE_DISCOVERY", address(&discovery))
            .stderr(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .expect("the program starts");
        until("the listener", || TcpStream::connect(&listen).ok());
        let (links, transcript, refusing) = (HashMap::new(), String::new(), hold());
        Self {
            child,
            listen,
            servers,
            discovery,
            moved,
            config: (path, config),
            links,
            transcript,
            _held: held,
            refusing,
        }
    }

    fn link(&mut self, party: &str) -> &mut TcpStream {
        if !self.links.contains_key(party) {
            let accept = |l: &TcpListener| l.accept().ok().map(|(stream, _)| stream);
            let link = match &party[..1] {
                "T" => TcpStream::connect(&self.listen).expect("the program accepts"),
                "S" => until(party, || self.servers.iter().find_map(accept)),
                "E" => until(party, || accept(&self.moved)),
                _ => until(party, || accept(&self.discovery)),
            };
            link.set_nonblocking(false).expect("blocking");
            link.set_read_timeout(Some(PATIENCE)).expect("a time-out");
            self.links.insert(party.to_owned(), link);
        }
        self.links.get_mut(party).expect("there")
    }

    fn signal(&self, which: &str) {
        let kill = Command::new("kill").args([which, &self.child.id().to_string()]).status();
        assert!(kill.expect("kill runs").success());
    }

    /// Carries out one step of the recording.
    fn step(&mut self, party: &str, verb: &str, text: &str) {
        match verb {
            "send" => {
                let text = &text.replace("{long}", &"x".repeat(9_000));
                let (head, body) = text.split_once("\n\n").unwrap_or((text, ""));
                let whole = format!("{}\r\n\r\n{body}", head.trim_end().replace('\n', "\r\n"));
                self.link(party).write_all(whole.as_bytes()).expect("sent");
            }
            "connect" => drop(self.link(party)),
            "part" => {
                let text = text.trim_end().replace("\\r", "\r").replace("\\n", "\n");
                self.link(party).write_all(text.as_bytes()).expect("sent");
            }
            "fill" => {
                let many = text.trim_end().repeat(70_000);
                // A terminal's link may be closed by now: that is the program's right.
                let _ = match party.starts_with('D') {
                    true => write!(self.link(party), "{:x}\r\n{many}\r\n", many.len()),
                    false => self.link(party).write_all(many.as_bytes()),
                };
            }
            "chunk" => {
                let server = self.servers.first().map(address).unwrap_or_default();
                let spare = self.servers.last().map(address).unwrap_or_default();
                let text = text.replace("{S}", &server).replace("{spare}", &spare).replace("\\n", "\n");
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                self.link(party).write_all(chunk.as_bytes()).expect("sent");
            }
            "read" => {
                let said = read_message(self.link(party));
                writeln!(self.transcript, "{party} got:\n{said}").expect("written");
            }
            "ready" => until("ready", || {
                let mut link = TcpStream::connect(&self.listen).expect("the program accepts");
                link.write_all(b"GET /ready HTTP/1.1\r\nHost: n\r\n\r\n").expect("sent");
                read_message(&mut link).starts_with("HTTP/1.1 200").then_some(())
            }),
            "close" => drop(self.links.remove(party)),
            "reset" => {
                let link = self.links.remove(party).expect("there");
                socket2::SockRef::from(&link).set_linger(Some(Duration::ZERO)).expect("no lingering");
            }
            "closed" => {
                let rest = self.link(party).read(&mut [0; 64]);
                assert!(
                    matches!(rest, Ok(0)) || rest.is_err_and(|e| e.raw_os_error() == Some(104)),
                    "{party}"
                );
                writeln!(self.transcript, "{party} closed").expect("written");
            }
            "silent" => {
                let none = self.servers.iter().all(|l| l.accept().is_err());
                writeln!(self.transcript, "{party} no further connection: {none}").expect("written");
            }
            "stop" => self.signal("-TERM"),
            "halt" => self.signal("-STOP"),
            "resume" => self.signal("-CONT"),
            "pause" => {
                let span = text.trim().strip_suffix("ms").and_then(|t| t.parse().ok()).expect("a time in ms");
                thread::sleep(Duration::from_millis(span));
            }
            "reload" => {
                let (path, old) = &self.config;
                // "refused": to where nobody listens. Other text is the file itself.
                let refused = text.trim() == "refused";
                let to = if refused { self.refusing.1.clone() } else { address(&self.moved) };
                let new = old.replace(r#""discovery":"127.0.0.1:1""#, &format!(r#""discovery":"{to}""#));
                fs::write(path, if refused || text.trim().is_empty() { &new } else { text })
                    .expect("written");
                self.signal("-HUP");
            }
            "exit" => {
                let status = until("the exit", || self.child.try_wait().expect("a child"));
                writeln!(self.transcript, "exit code {:?}", status.code()).expect("written");
            }
            other => panic!("unknown verb {other}"),
        }
    }
}

impl Drop for Stage {
    /// Ends the program, also where the test fails.
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.config.0);
    }
}

/// One message with its headers in order, without what differs from run to run.
fn read_message(link: &mut TcpStream) -> String {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        link.read_exact(&mut byte).unwrap_or_else(|e| panic!("a whole head: {e} after {head:?}"));
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).expect("text").to_lowercase();
    let (first, rest) = head.split_once("\r\n").expect("a first line");
    let mut headers: Vec<String> = rest.split("\r\n").filter(|l| !l.is_empty()).map(str::to_owned).collect();
    let length = headers.iter().find_map(|l| l.strip_prefix("content-length: ")?.parse().ok());
    headers.retain(|l| !l.starts_with("date:"));
    for header in &mut headers {
        if let Some(micros) = header.strip_prefix("x-timeout: ").and_then(|t| t.strip_suffix('u')) {
            let seconds = micros.parse::<f64>().expect("a number") / 1e6;
            *header = format!("x-timeout: at most {} s", seconds.ceil());
        } else if let Some(seconds) = header.strip_prefix("retry-after: ") {
            let ok = seconds.parse::<f64>().expect("a number") <= 2.0;
            *header = format!("retry-after: at most 2 s, {ok}");
        } else if header.starts_with("host: ") {
            *header = "host: (address)".to_owned();
        }
    }
    headers.sort();
    let mut body = vec![0; length.unwrap_or(0)];
    link.read_exact(&mut body).expect("a whole body");
    let first = first.replace("http/", "HTTP/");
    format!("{first}\n{}\n\n{}", headers.join("\n"), String::from_utf8_lossy(&body))
}

fn play(name: &str) -> String {
    let path = format!("{}/tests/exchanges/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let script = fs::read_to_string(path).expect("a recording");
    let (first, steps) = script.split_once("\n@ ").expect("steps");
    let mut stage = Stage::start(name, first);
    for step in steps.split("\n@ ") {
        let (words, text) = step.split_once('\n').unwrap_or((step, ""));
        let (party, verb) = words.trim().split_once(' ').expect("a party and a verb");
        stage.step(party, verb, text);
    }
    std::mem::take(&mut stage.transcript)
}

macro_rules! exchanges {
    ($($name:ident)*) => { $(#[test] fn $name() { insta::assert_snapshot!(play(stringify!($name))); })* };
}

exchanges! {
    served_unchanged rejected_goes_elsewhere unsafe_reset_fails unsafe_refused_goes_elsewhere
    unsafe_error_fails keyed_stays_in_its_zone terminal_leaves cut_length_is_no_answer cut_chunks_are_no_answer
    bad_requests unread_words_count_as_not_said idle_connection_is_not_reused too_many_terminals watch_names_servers drained_gets_nothing
    stop_answers_what_is_owed redirect_is_not_followed silent_watch_is_lost
    silent_terminals_give_way endless_head_is_cut one_request_at_a_time reload_moves_the_watch
    interim_answers_are_passed_over bytes_behind_an_answer spoilt_answers_fail open_id_is_taken
    moved_server_leaves_no_connection first_requests_keep_their_places stop_answers_what_is_unread
    lost_line_asks_for_the_whole_list
    open_answer_ends_with_its_connection reset_is_no_end
    stop_answers_what_is_not_accepted stop_answers_what_is_half_read reload_to_where_nobody_listens
}

#[test]
fn bad_configuration_names_the_key() {
    let good = include_str!("exchanges/config.json").replace("{targets}", "").replace("\"{idle}\"", "1");
    let good = good.replace("\"{memory}\"", "64");
    let cases = [
        ("\"objective-ms\":15000", "\"objective-ms\":\"soon\""),
        ("\"semantics\":\"pure\"", "\"semantics\":\"tidy\""),
        ("\"max-attempts\":5", "\"max-attempts\":0"),
        ("\"seed\":\"8c\"", "\"seed\":\"?\""),
        ("\"sockets\":256", "\"sockets\":-1"),
        ("\"listen\":\"127.0.0.1:1\"", "\"listen\":\"here\""),
        ("\"settings\"", "\"setting\""),
        ("{", "["),
    ];
    let mut said = String::new();
    for (i, (from, to)) in cases.iter().enumerate() {
        assert!(good.contains(from), "{from}");
        let path = std::env::temp_dir().join(format!("arrowstand-bad-{i}-{}.json", std::process::id()));
        fs::write(&path, good.replacen(from, to, 1)).expect("written");
        let run = Command::new(env!("CARGO_BIN_EXE_arrowstand")).env("NODE_CONFIG", &path).output();
        let run = run.expect("the program starts");
        fs::remove_file(path).expect("removed");
        write!(said, "{:?} {}", run.status.code(), String::from_utf8_lossy(&run.stderr)).expect("written");
    }
    insta::assert_snapshot!(said);
}
