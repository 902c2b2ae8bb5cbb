//! Signals that come while the program starts: its configuration is read from a pipe that the test holds back.

mod stage;

use std::fs::{self, OpenOptions};
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use stage::until;

struct Starting {
    child: Child,
    pipe: PathBuf,
    config: String,
}

impl Starting {
    /// The program at the moment in which it waits for its configuration, with a handler for that signal.
    fn new(name: &str, bit: u64) -> Self {
        let pipe =
            std::env::temp_dir().join(format!("arrowstand-{name}-{}.pipe", std::process::id()));
        let _ = fs::remove_file(&pipe);
        assert!(
            Command::new("mkfifo")
                .arg(&pipe)
                .status()
                .expect("mkfifo runs")
                .success()
        );
        let child = Command::new(env!("CARGO_BIN_EXE_arrowstand"))
            .env("NODE_CONFIG", &pipe)
            .env("NODE_LISTEN", "127.0.0.1:0")
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let config = include_str!("exchanges/config.json").replace("{targets}", "");
        let config = config
            .replace("\"{idle}\"", "1000")
            .replace("\"{memory}\"", "64");
        let starting = Self {
            child,
            pipe,
            config,
        };
        until("a handler for the signal", || {
            let status =
                fs::read_to_string(format!("/proc/{}/status", starting.child.id())).ok()?;
            let caught = status
                .lines()
                .find_map(|l| l.strip_prefix("SigCgt:"))?
                .trim();
            (u64::from_str_radix(caught, 16).ok()? & (1 << (bit - 1)) != 0).then_some(())
        });
        starting
    }

    fn signal(&self, which: &str) {
        let kill = Command::new("kill")
            .args([which, &self.child.id().to_string()])
            .status();
        assert!(kill.expect("kill runs").success());
    }

    /// Hands the configuration over; whoever reads it again finds a usual file.
    fn go_on(&mut self) {
        let mut writer = OpenOptions::new()
            .write(true)
            .open(&self.pipe)
            .expect("the program reads");
        let file = Path::new(&self.pipe).with_extension("json");
        fs::write(&file, &self.config).expect("written");
        fs::rename(&file, &self.pipe).expect("put in place");
        writer.write_all(self.config.as_bytes()).expect("written");
    }

    fn exit_code(&mut self) -> Option<i32> {
        until("the exit", || self.child.try_wait().expect("a child")).code()
    }
}

impl Drop for Starting {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.pipe);
    }
}

#[test]
fn a_new_configuration_does_not_end_a_start() {
    let mut starting = Starting::new("hup", 1);
    starting.signal("-HUP");
    starting.go_on();
    // It is alive for as long as nobody ends it, and then ends in order.
    until("the handler's turn", || {
        let stat = fs::read_to_string(format!("/proc/{}/net/tcp", starting.child.id())).ok()?;
        stat.contains(" 0A ").then_some(())
    });
    starting.signal("-TERM");
    assert_eq!(starting.exit_code(), Some(0));
}

#[test]
fn a_stop_during_a_start_is_a_clean_end() {
    let mut starting = Starting::new("term", 15);
    starting.signal("-TERM");
    starting.go_on();
    assert_eq!(starting.exit_code(), Some(0));
}
