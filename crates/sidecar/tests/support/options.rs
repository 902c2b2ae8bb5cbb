//! What a recording's first line asks for, and the sidecar's configuration that follows from it.

/// The peers of a sidecar and the settings that differ from the usual ones.
pub(super) struct Options {
    /// Servers that are in the cached endpoint list.
    pub servers: usize,
    /// Servers that are in no list yet.
    pub unlisted_servers: usize,
    /// Servers in the list that refuse connections.
    pub refusing_servers: usize,
    /// Servers in the list whose connections come up late.
    pub slow_servers: usize,
    zones: usize,
    idle_close_micros: usize,
    memory_mb: usize,
    deadline_ms: usize,
    objective_ms: usize,
    deduplication_window_ms: usize,
    drain_grace_ms: usize,
    /// Lists are pushed, and not sent on request.
    pushed: bool,
}

impl Options {
    /// Reads the words `name=number` of a line; other words are its description.
    pub(super) fn parse(line: &str) -> Self {
        let number = |name: &str, default: usize| number_of(line, name).unwrap_or(default);
        Self {
            servers: number("servers", 1),
            unlisted_servers: number("spare", 0),
            refusing_servers: number("dead", 0),
            slow_servers: number("slow", 0),
            zones: number("zones", 1),
            idle_close_micros: number("idle", 60_000_000),
            memory_mb: number("memory", 192),
            deadline_ms: number("deadline", 20_000),
            objective_ms: number("deadline", 15_000),
            deduplication_window_ms: number("window", 60_000),
            drain_grace_ms: number("grace", 2_000),
            pushed: line.contains("pushed"),
        }
    }

    /// The configuration, with the servers at those addresses in the cached endpoint list.
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
        let config = with_milliseconds(&config, "deadline-ms", "20000", self.deadline_ms);
        let config = with_milliseconds(&config, "objective-ms", "15000", self.objective_ms);
        let config = with_milliseconds(&config, "window-ms", "60000", self.deduplication_window_ms);
        let config = with_milliseconds(&config, "drain-grace-ms", "2000.0", self.drain_grace_ms);
        if self.pushed {
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

fn number_of(line: &str, name: &str) -> Option<usize> {
    line.split_whitespace()
        .find_map(|word| word.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

fn with_milliseconds(config: &str, key: &str, usual: &str, value: usize) -> String {
    config.replace(&format!("\"{key}\":{usual}"), &format!("\"{key}\":{value}"))
}
