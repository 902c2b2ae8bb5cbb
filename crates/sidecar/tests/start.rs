//! Signals that come while the sidecar starts: it reads its configuration from a pipe that the test
//! fills when it wants the start to go on.

mod support;

use std::fs::{self, OpenOptions};
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use support::{config_with, until};

const SIGHUP: u32 = 1;
const SIGTERM: u32 = 15;

/// A sidecar that waits for its configuration.
struct StartingSidecar {
    process: Child,
    pipe: PathBuf,
    config: String,
}

impl StartingSidecar {
    /// Starts a sidecar and waits until it has a handler for that signal; `name` keeps pipes apart.
    fn new(name: &str, signal: u32) -> Self {
        let pipe = make_pipe(name);
        let process = Command::new(env!("CARGO_BIN_EXE_arrowstand"))
            .env("NODE_CONFIG", &pipe)
            .env("NODE_LISTEN", "127.0.0.1:0")
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let starting = Self {
            process,
            pipe,
            config: config_with("idle=1000000 memory=64"),
        };
        until("a handler for the signal", || {
            starting.handles(signal).then_some(())
        });
        starting
    }

    /// True where the process has a handler for that signal.
    fn handles(&self, signal: u32) -> bool {
        let caught = self.process_file("status").and_then(|status| {
            let line = status
                .lines()
                .find_map(|line| line.strip_prefix("SigCgt:"))?;
            u64::from_str_radix(line.trim(), 16).ok()
        });
        caught.is_some_and(|signals| signals & (1 << (signal - 1)) != 0)
    }

    /// A file of the operating system on the process.
    fn process_file(&self, file: &str) -> Option<String> {
        fs::read_to_string(format!("/proc/{}/{file}", self.process.id())).ok()
    }

    /// Sends a signal, as the `kill` command names it.
    fn signal(&self, signal: &str) {
        let kill = Command::new("kill")
            .args([signal, &self.process.id().to_string()])
            .status();
        assert!(kill.expect("kill runs").success());
    }

    /// Lets the sidecar read its configuration; a second read finds a usual file.
    fn deliver_config(&mut self) {
        let mut writer = OpenOptions::new()
            .write(true)
            .open(&self.pipe)
            .expect("the program reads");
        let file = Path::new(&self.pipe).with_extension("json");
        fs::write(&file, &self.config).expect("written");
        fs::rename(&file, &self.pipe).expect("put in place");
        writer.write_all(self.config.as_bytes()).expect("written");
    }

    /// Waits until a socket listens in the sidecar's network.
    fn wait_until_listening(&self) {
        until("the handler's turn", || {
            let sockets = self.process_file("net/tcp")?;
            sockets.contains(" 0A ").then_some(())
        });
    }

    fn exit_code(&mut self) -> Option<i32> {
        until("the exit", || self.process.try_wait().expect("a child")).code()
    }
}

impl Drop for StartingSidecar {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_file(&self.pipe);
    }
}

fn make_pipe(name: &str) -> PathBuf {
    let pipe = std::env::temp_dir().join(format!("arrowstand-{name}-{}.pipe", std::process::id()));
    let _ = fs::remove_file(&pipe);
    let made = Command::new("mkfifo").arg(&pipe).status();
    assert!(made.expect("mkfifo runs").success());
    pipe
}

#[test]
fn sighup_during_a_start_does_not_end_it() {
    let mut sidecar = StartingSidecar::new("hup", SIGHUP);

    sidecar.signal("-HUP");
    sidecar.deliver_config();

    // It runs for as long as nobody ends it, and then ends in order.
    sidecar.wait_until_listening();
    sidecar.signal("-TERM");
    assert_eq!(sidecar.exit_code(), Some(0));
}

#[test]
fn sigterm_during_a_start_is_a_clean_exit() {
    let mut sidecar = StartingSidecar::new("term", SIGTERM);

    sidecar.signal("-TERM");
    sidecar.deliver_config();

    assert_eq!(sidecar.exit_code(), Some(0));
}
