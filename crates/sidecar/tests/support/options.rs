//! The options in a recording's first line, and the configuration of the sidecar derived from them.

/// The peers of a sidecar and the settings that recordings can change.
pub(super) struct Options {
    /// Servers in the cached endpoint list that accept connections.
    pub servers: usize,
    /// Servers that are not in the list yet.
    pub unlisted_servers: usize,
    /// Servers in the list that refuse connections.
    pub refusing_servers: usize,
    /// Servers in the list whose connections are established late.
    pub slow_servers: usize,
    zones: usize,
    idle_close_micros: usize,
    memory_mb: usize,
    deadline_ms: usize,
    objective_ms: usize,
    deduplication_window_ms: usize,
    drain_grace_ms: usize,
    /// Limit of the operating system on the sidecar's file descriptors.
    pub descriptors: Option<usize>,
    /// Endpoint lists are pushed instead of sent on request.
    push_mode: bool,
}

impl Options {
    /// Parses the words `name=number` of a line; the other words are its description.
    pub(super) fn parse(line: &str) -> Self {
        let number_or = |name: &str, default: usize| find_number(line, name).unwrap_or(default);
        Self {
            servers: number_or("servers", 1),
            unlisted_servers: number_or("spare", 0),
            refusing_servers: number_or("dead", 0),
            slow_servers: number_or("slow", 0),
            zones: number_or("zones", 1),
            idle_close_micros: number_or("idle", 60_000_000),
            memory_mb: number_or("memory", 192),
            deadline_ms: number_or("deadline", 20_000),
            objective_ms: number_or("deadline", 15_000),
            deduplication_window_ms: number_or("window", 60_000),
            drain_grace_ms: number_or("grace", 2_000),
            descriptors: find_number(line, "descriptors"),
            push_mode: line.contains("pushed"),
        }
    }

    /// The configuration, with the servers at `addresses` in the cached endpoint list.
    pub(super) fn config(&self, addresses: &[String]) -> String {
        let endpoints: Vec<String> = addresses
            .iter()
            .enumerate()
            .map(|(index, address)| self.endpoint(index, address))
            .collect();
        let config = include_str!("../exchanges/config.json")
            .replace("{targets}", &endpoints.join(","))
            .replace("\"{idle}\"", &format!("{}e-3", self.idle_close_micros))
            .replace("\"{memory}\"", &self.memory_mb.to_string());
        let config = set_milliseconds(&config, "deadline-ms", "20000", self.deadline_ms);
        let config = set_milliseconds(&config, "objective-ms", "15000", self.objective_ms);
        let config = set_milliseconds(&config, "window-ms", "60000", self.deduplication_window_ms);
        let config = set_milliseconds(&config, "drain-grace-ms", "2000.0", self.drain_grace_ms);
        if self.push_mode {
            config.replace("on_request", "pushed")
        } else {
            config
        }
    }

    fn endpoint(&self, index: usize, address: &str) -> String {
        let zone = index % self.zones;
        format!(r#"{{"uid":"s{index}","endpoint":"{address}","az":"z{zone}","state":"ready"}}"#)
    }
}

fn find_number(line: &str, name: &str) -> Option<usize> {
    line.split_whitespace()
        .find_map(|word| word.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

fn set_milliseconds(config: &str, key: &str, default: &str, value: usize) -> String {
    config.replace(
        &format!("\"{key}\":{default}"),
        &format!("\"{key}\":{value}"),
    )
}
