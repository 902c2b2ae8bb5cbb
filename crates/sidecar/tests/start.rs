//! Signals that arrive during startup. The sidecar reads its configuration from a named pipe, so
//! startup blocks until the test writes to the pipe.

mod support;

use std::fs::{self, OpenOptions};
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use support::{config_with, wait_for};

const SIGHUP: u32 = 1;
const SIGTERM: u32 = 15;

/// A sidecar whose startup is blocked until it gets its configuration.
struct StartingSidecar {
    process: Child,
    pipe: PathBuf,
    config: String,
}

impl StartingSidecar {
    /// Starts a sidecar and waits until it handles `signal`; `name` makes the pipe's path unique.
    fn new(name: &str, signal: u32) -> Self {
        let pipe = make_pipe(name);
        let process = Command::new(env!("CARGO_BIN_EXE_arrowstand"))
            .env("NODE_CONFIG", &pipe)
            .env("NODE_LISTEN", "127.0.0.1:0")
            .stderr(Stdio::piped())
            .spawn()
            .expect("sidecar starts");
        let starting = Self {
            process,
            pipe,
            config: config_with("idle=1000000 memory=64"),
        };
        wait_for("a handler for the signal", || {
            starting.has_handler(signal).then_some(())
        });
        starting
    }

    /// Whether the process has installed a handler for the signal.
    fn has_handler(&self, signal: u32) -> bool {
        let caught = self.read_proc_file("status").and_then(|status| {
            let line = status
                .lines()
                .find_map(|line| line.strip_prefix("SigCgt:"))?;
            u64::from_str_radix(line.trim(), 16).ok()
        });
        caught.is_some_and(|signals| signals & (1 << (signal - 1)) != 0)
    }

    /// Reads a file in the process's directory under `/proc`.
    fn read_proc_file(&self, file: &str) -> Option<String> {
        fs::read_to_string(format!("/proc/{}/{file}", self.process.id())).ok()
    }

    /// Sends a signal; `signal` is an option of the `kill` command, such as `-TERM`.
    fn send_signal(&self, signal: &str) {
        let kill = Command::new("kill")
            .args([signal, &self.process.id().to_string()])
            .status();
        assert!(kill.expect("kill runs").success());
    }

    /// Lets the sidecar read its configuration. A regular file replaces the pipe, so that a second
    /// read does not block.
    fn deliver_config(&mut self) {
        let mut writer = OpenOptions::new()
            .write(true)
            .open(&self.pipe)
            .expect("sidecar reads the pipe");
        let file = Path::new(&self.pipe).with_extension("json");
        fs::write(&file, &self.config).expect("configuration is written");
        fs::rename(&file, &self.pipe).expect("pipe is replaced");
        writer
            .write_all(self.config.as_bytes())
            .expect("configuration is sent");
    }

    /// Waits until some socket in the sidecar's network namespace is in state LISTEN (`0A`).
    fn wait_until_listening(&self) {
        wait_for("a listening socket", || {
            let sockets = self.read_proc_file("net/tcp")?;
            sockets.contains(" 0A ").then_some(())
        });
    }

    /// What the sidecar has logged; to be called once it has exited.
    fn log(&mut self) -> String {
        let stderr = self.process.stderr.take().expect("log is read once");
        std::io::read_to_string(stderr).expect("log is text")
    }

    fn exit_code(&mut self) -> Option<i32> {
        wait_for("the exit of the process", || {
            self.process.try_wait().expect("process is a child")
        })
        .code()
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
fn sighup_during_startup_does_not_end_the_process() {
    let mut sidecar = StartingSidecar::new("hup", SIGHUP);

    sidecar.send_signal("-HUP");
    sidecar.deliver_config();

    // The sidecar serves until SIGTERM and then exits cleanly.
    sidecar.wait_until_listening();
    sidecar.send_signal("-TERM");
    assert_eq!(sidecar.exit_code(), Some(0));
}

#[test]
fn sigterm_during_startup_exits_cleanly() {
    let mut sidecar = StartingSidecar::new("term", SIGTERM);

    sidecar.send_signal("-TERM");
    sidecar.deliver_config();

    assert_eq!(sidecar.exit_code(), Some(0));
}

/// Guards against a sidecar that was told to stop before it serves and accepts connections all the
/// same: it would count its shutdown from the end of the startup, and respond after SIGKILL.
#[test]
fn sigterm_during_startup_keeps_the_sidecar_from_listening() {
    let mut sidecar = StartingSidecar::new("term-listen", SIGTERM);

    sidecar.send_signal("-TERM");
    sidecar.deliver_config();

    assert_eq!(sidecar.exit_code(), Some(0));
    let log = sidecar.log();
    assert!(!log.contains("listening for clients"), "{log}");
}
