//! A sidecar: started with the command of the deploy file, ended by its process id.

use std::fs::{self, File};
use std::io::{self, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// The settings of the deployment `kyushu-jobs`, as the operators' pages give them.
pub struct Settings {
    pub sidecars: usize,
    /// `on_request` or `pushed`.
    pub membership: &'static str,
    pub drain_grace_ms: u64,
    /// The worth of a late answer to `pay-order`.
    pub late_value: f64,
}

impl Settings {
    /// The settings of a deployment with this number of sidecars.
    pub fn new(sidecars: usize) -> Self {
        Self {
            sidecars,
            membership: "on_request",
            drain_grace_ms: 2_000,
            late_value: 0.0,
        }
    }

    fn json(&self, number: usize) -> String {
        format!(
            r#"{{"az":"fukuoka","balancers":{},"callers":{{"marks-retry":true}},"domain":{{"warm-keys":false}},
"fees":{{"connection":0.0,"cross-zone":0.015,"handshake":0.0,"late-fail":0.05,"membership-mode":0.0,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0021,"waste":0.022}},
"goal":{{"whole":0.25,"worst-class":0.2,"worst-tenant":0.1,"worst-window":0.45}},
"membership-mode":"{}","my-number":{number},"over-share-worth":0.2,
"permissions":{{"cancel":true,"connect-timeout-ms":200.0,"cpu-us-per-request":10.0,"cpu-us-per-s":8000,"idle-close-ms":5000.0,"max-attempts":5,"max-open":20000,"max-retry-after-ms":2000.0,"may-duplicate":true,"peers":false,"probes":true,"retry-after":false,"streams-per-conn":1}},
"report":{{"fields":["active","err_rps","waiting"],"source":"probe"}},
"request-classes":[
{{"deadline-ms":1500.0,"dedup-scope":"all","importance":1.0,"late-value":0.0,"name":"job-status","objective-ms":400.0,"semantics":"pure","streamed":false,"window-ms":5000.0}},
{{"deadline-ms":2000.0,"dedup-scope":"all","importance":1.0,"late-value":0.0,"name":"quote","objective-ms":600.0,"semantics":"pure","streamed":false,"window-ms":5000.0}},
{{"deadline-ms":3000.0,"dedup-scope":"all","importance":2.0,"late-value":0.0,"name":"book-slot","objective-ms":800.0,"semantics":"side_effect","streamed":false,"window-ms":5000.0}},
{{"deadline-ms":5000.0,"dedup-scope":"zone","importance":3.0,"late-value":{:.1},"name":"pay-order","objective-ms":1000.0,"semantics":"token","streamed":false,"window-ms":10000.0}}],
"safety":{{"ask-every-ms":10000.0,"cold-from":0.13,"cold-ms":24000.0,"drain-grace-ms":{}.0,"fall-ms":1500.0,"grace-to-answer-ms":20.0,"overload-factor":2.5}},
"skus":["fast-2","std-3","slow-2"],"step-ms":5.0,
"tenants":[{{"name":"hakata-ekimae","quota-per-s":69.0,"share":0.37}},{{"name":"tenjin-nishi","quota-per-s":43.0,"share":0.63}}],
"tier":0,"tiers":["job-servers"],"weights":"none","workload":"mesh","worth-by":"request",
"zones":["fukuoka","kumamoto","kagoshima"]}}"#,
            self.sidecars, self.membership, self.late_value, self.drain_grace_ms
        )
    }
}

pub struct Sidecar {
    pub name: String,
    pub listen: SocketAddr,
    child: Child,
}

impl Sidecar {
    /// Starts a sidecar and waits until it is ready.
    pub fn start(
        directory: &Path,
        number: usize,
        settings: &Settings,
        discovery: SocketAddr,
        known: &str,
    ) -> io::Result<Self> {
        let sidecar = Self::spawn(directory, number, settings, discovery, known)?;
        sidecar.wait_until_ready()?;
        Ok(sidecar)
    }

    /// Starts a sidecar.
    pub fn spawn(
        directory: &Path,
        number: usize,
        settings: &Settings,
        discovery: SocketAddr,
        known: &str,
    ) -> io::Result<Self> {
        let name = format!("n{number}");
        let listen = TcpListener::bind((Ipv4Addr::new(127, 0, 0, 1), 0))?.local_addr()?;
        let pids = directory.join("pids");
        let directory = directory.join(&name);
        fs::create_dir_all(&directory)?;
        let config = directory.join("config.json");
        fs::write(
            &config,
            format!(
                r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be96{number}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{}}}"#,
                settings.json(number)
            ),
        )?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command()?)
            .env("NODE_NAME", &name)
            .env("NODE_LISTEN", listen.to_string())
            .env("NODE_DISCOVERY", discovery.to_string())
            .env("NODE_CONFIG", &config)
            .env("TMPDIR", &directory)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(directory.join("log"))?)
            .spawn()?;
        // For the script, in case that it has to end before the sidecar does.
        let mut pids = File::options().create(true).append(true).open(pids)?;
        writeln!(pids, "{}", child.id())?;
        Ok(Self {
            name,
            listen,
            child,
        })
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let give_up = Instant::now() + Duration::from_secs(30);
        while Instant::now() < give_up {
            if get(self.listen, "/ready").is_some_and(|(status, _)| status == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("the sidecar is not ready after 30 s"))
    }

    /// Sends a signal, named as by kill(1), to the process that the test started.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let command = format!("kill -{name} {}", self.child.id());
        Command::new("/bin/sh").arg("-c").arg(command).status()?;
        Ok(())
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The command `run` of the deploy file.
fn run_command() -> io::Result<String> {
    let deploy = fs::read_to_string("deploy/balancer.toml")?;
    let line = deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|rest| rest.split('"').next());
    command
        .map(str::to_owned)
        .ok_or_else(|| io::Error::other("deploy/balancer.toml has no run"))
}

/// The answer to a GET of one of the sidecar's own paths.
pub fn get(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    let mut stream = std::net::TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let message = crate::http::Reader::default().read(&mut stream).ok()??;
    Some((
        message.status(),
        String::from_utf8_lossy(&message.body).into_owned(),
    ))
}
