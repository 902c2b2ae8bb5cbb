//! The line protocol: what comes in, borrowed from the line, and how actions are written.

use std::fmt::Write as _;

use arrowstand_balancer::Micros;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;

/// One line of input.
#[derive(Deserialize)]
pub struct Batch<'a> {
    #[serde(rename = "clock-ms")]
    pub clock: f64,
    #[serde(borrow)]
    pub arrivals: Vec<Arrival<'a>>,
}

/// One event. All kinds share this shape, since a tagged enum would copy each event first.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Arrival<'a> {
    pub msg: &'a str,
    pub i: Option<&'a str>,
    pub random_seed: Option<u64>,
    pub conf: Option<Box<Conf>>,
    pub table: Option<usize>,
    #[serde(borrow)]
    pub members_list: Option<Vec<Entry<'a>>>,
    pub kind: Option<&'a str>,
    pub r#gen: Option<u64>,
    pub txn: Option<&'a str>,
    pub grade: Option<&'a str>,
    pub left_ms: Option<f64>,
    pub size_hint_ms: Option<f64>,
    pub n: Option<u32>,
    pub server: Option<&'a str>,
    pub rc: Option<&'a str>,
    pub finished: Option<bool>,
    pub time_taken_ms: Option<f64>,
    pub stats: Option<Vec<Option<f64>>>,
    pub cookie: Option<u64>,
    pub by: Option<u32>,
    pub contents: Option<&'a str>,
}

/// One line of a server list.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Entry<'a> {
    pub launched_ms: Option<f64>,
    pub condition: &'a str,
    pub server: &'a str,
    pub pod: Option<u32>,
    pub area: Option<&'a str>,
    pub model: Option<&'a str>,
}

/// The settings that the balancer reads; the rest is skipped.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Conf {
    pub az: Option<String>,
    pub balancers: Option<u32>,
    pub my_number: Option<u32>,
    pub membership_mode: Option<String>,
    pub worth_by: Option<String>,
    pub request_classes: Vec<ClassConf>,
    #[serde(default)]
    pub permissions: Permissions,
    #[serde(default)]
    pub fees: Fees,
    #[serde(default)]
    pub report: Report,
    #[serde(default)]
    pub safety: Safety,
    #[serde(default)]
    pub zones: Vec<String>,
    pub step_ms: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ClassConf {
    pub name: String,
    pub objective_ms: f64,
    pub deadline_ms: f64,
    pub semantics: String,
    pub dedup_scope: Option<String>,
    pub window_ms: Option<f64>,
    pub importance: Option<f64>,
    pub late_value: Option<f64>,
    pub aim_stretch: Option<f64>,
    pub streamed: Option<bool>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct Permissions {
    pub cancel: bool,
    pub probes: bool,
    pub peers: bool,
    pub may_duplicate: bool,
    pub retry_after: bool,
    pub max_retry_after_ms: f64,
    pub max_attempts: Option<u32>,
    pub idle_close_ms: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct Fees {
    pub probe: f64,
    pub connection: f64,
    pub handshake: f64,
    pub cross_zone: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Report {
    pub fields: Vec<String>,
    pub source: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub struct Safety {
    pub ask_every_ms: Option<f64>,
    pub cold_from: Option<f64>,
    pub cold_ms: Option<f64>,
    pub overload_factor: Option<f64>,
    pub fall_ms: Option<f64>,
    pub only_draining_binds: bool,
}

/// Milliseconds of the wire in whole microseconds; negative and absurd values become zero.
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round() as Micros
}

/// A payload from its text.
pub fn decode(text: &str) -> Result<Vec<u8>, String> {
    STANDARD
        .decode(text)
        .map_err(|e| format!("contents is not base64: {e}"))
}

/// Collects the actions of one reply.
pub struct Reply {
    text: String,
}

impl Reply {
    pub fn new() -> Self {
        Self {
            text: String::from("{\"out\":["),
        }
    }

    pub fn clear(&mut self) {
        self.text.truncate("{\"out\":[".len());
    }

    /// Closes the reply and gives its line.
    pub fn line(&mut self) -> &str {
        if self.text.ends_with(',') {
            self.text.pop();
        }
        self.text.push_str("]}\n");
        &self.text
    }

    /// Begins an action; its further fields follow, then [`Reply::end`].
    pub fn begin(&mut self, msg: &str, instance: &str) -> &mut Self {
        let _ = write!(self.text, "{{\"msg\":\"{msg}\",\"i\":\"{instance}\"");
        self
    }

    /// A field whose text needs no escaping.
    pub fn text(&mut self, name: &str, value: &str) -> &mut Self {
        let _ = write!(self.text, ",\"{name}\":\"{value}\"");
        self
    }

    pub fn id(&mut self, id: u64) -> &mut Self {
        let _ = write!(self.text, ",\"txn\":\"{id:016x}\"");
        self
    }

    pub fn number(&mut self, name: &str, value: impl std::fmt::Display) -> &mut Self {
        let _ = write!(self.text, ",\"{name}\":{value}");
        self
    }

    pub fn millis(&mut self, name: &str, value: Micros) -> &mut Self {
        let _ = write!(
            self.text,
            ",\"{name}\":{}.{:03}",
            value / 1000,
            value % 1000
        );
        self
    }

    pub fn payload(&mut self, bytes: &[u8]) -> &mut Self {
        self.text.push_str(",\"contents\":\"");
        STANDARD.encode_string(bytes, &mut self.text);
        self.text.push('"');
        self
    }

    pub fn end(&mut self) {
        self.text.push_str("},");
    }
}
