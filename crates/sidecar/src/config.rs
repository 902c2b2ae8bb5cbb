//! Configuration of the sidecar, read from the file at `NODE_CONFIG` and from environment
//! variables, which take precedence.
//!
//! This module reads the keys outside `settings` and the variables. `arrowstand-platform` reads the
//! settings of the deployment, and [`Limits`] derives the limits of the network code.

mod deployment_metadata;
mod error;

use std::net::SocketAddr;

use arrowstand_balancer::{RetrySettings, Settings};
use arrowstand_control::MachineCatalogue;
use arrowstand_platform::json::{JsonValue, Node, StepwiseParser};
use arrowstand_platform::{
    EndpointList, EndpointListReader, KeyError, KeyProblem, PlatformSettings, TransportSettings,
};

use crate::limits::{LimitInputs, Limits};
use crate::machine_table::{self, MachineTableError};
use crate::steps::run_in_steps;

pub(crate) use deployment_metadata::DeploymentMetadata;
pub(crate) use error::ConfigError;

/// Maximum nesting depth of the file's JSON, which is parsed recursively.
const MAX_JSON_DEPTH: usize = 64;
/// Default for `limits.sockets`: the default soft limit of Linux on a process's file descriptors.
const DEFAULT_SOCKETS: f64 = 1_024.0;
/// Default for `limits.memory_mb`, in MiB.
const DEFAULT_MEMORY_MIB: f64 = 192.0;
/// Minimum number of file descriptors; fewer are not enough for clients, servers, discovery and
/// the log.
const MIN_SOCKETS: usize = 64;
/// Key of the cached endpoint list.
const CACHED_ENDPOINTS: &str = "known";
/// The seed is written in hexadecimal.
const SEED_RADIX: u32 = 16;

/// Validated configuration of the sidecar.
pub(crate) struct Config {
    /// Name of the sidecar in the log.
    pub(crate) name: String,
    /// Address on which clients are accepted.
    pub(crate) listen_address: SocketAddr,
    /// Address of discovery.
    pub(crate) discovery_address: SocketAddr,
    /// Seed of all random number generators.
    pub(crate) seed: u64,
    /// Validated settings of the balancer.
    pub(crate) settings: Settings,
    /// Limits of the network code.
    pub(crate) limits: Limits,
    /// Names and rules behind the balancer's numeric ids.
    pub(crate) deployment: DeploymentMetadata,
    /// The last endpoint list that the sidecar had before this start.
    pub(crate) cached_endpoints: Option<EndpointList>,
}

impl Config {
    /// Reads the environment and the file.
    ///
    /// # Errors
    /// If a variable or a key is missing or invalid; see [`ConfigError`].
    pub(crate) async fn from_environment() -> Result<Self, ConfigError> {
        Self::load(environment_variable).await
    }

    /// Reads the file again, in steps between which requests are served. The address of discovery
    /// comes only from the file, because an operator cannot change the environment of a running
    /// process.
    ///
    /// # Errors
    /// As for [`from_environment`](Self::from_environment).
    pub(crate) async fn reload() -> Result<Self, ConfigError> {
        Self::load(|name| match name {
            "NODE_DISCOVERY" => None,
            _ => environment_variable(name),
        })
        .await
    }

    async fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let path = variable("NODE_CONFIG").ok_or(ConfigError::PathNotSet)?;
        let text = std::fs::read_to_string(&path)
            .map_err(|source| ConfigError::Unreadable { path, source })?;
        Self::parse(&text, variable).await
    }

    /// Parses the content of the file; `variable` looks up an environment variable.
    async fn parse(
        text: &str,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let mut parser = StepwiseParser::new(text, MAX_JSON_DEPTH);
        let mut value = run_in_steps(|| parser.step())
            .await
            .map_err(ConfigError::InvalidJson)?;
        let long_parts = LongParts {
            cached_endpoints: read_cached_endpoints(&mut value).await,
            machines: load_machines(&variable).await,
        };
        Self::read(&Node::root(&value), long_parts, variable)
    }

    /// Reads all other keys. If several keys are invalid, the order of the reads decides which error
    /// is reported.
    fn read(
        root: &Node,
        long_parts: LongParts,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let name = match variable("NODE_NAME") {
            Some(name) => name,
            None => root.at("name").string()?,
        };
        let seed = read_seed(&root.at("seed"))?;
        let settings_node = root.at("settings");
        let platform = read_settings(&settings_node)?;
        let deployment = DeploymentMetadata::new(&platform, long_parts.machines?);
        let settings = platform.balancer;
        let limits = read_limits(&root.at("limits"), &settings_node, &settings)?;
        let cached_endpoints = long_parts.cached_endpoints?;
        Ok(Self {
            name,
            listen_address: read_address(&root.at("listen"), "NODE_LISTEN", &variable)?,
            discovery_address: read_address(&root.at("discovery"), "NODE_DISCOVERY", &variable)?,
            seed,
            settings,
            limits,
            deployment,
            cached_endpoints,
        })
    }
}

/// The parts of a configuration that may be long and are read in steps.
struct LongParts {
    cached_endpoints: Result<Option<EndpointList>, KeyError>,
    machines: Result<MachineCatalogue, MachineTableError>,
}

/// Loads the operator's machine table; without one the catalogue is empty.
async fn load_machines(
    variable: impl Fn(&str) -> Option<String>,
) -> Result<MachineCatalogue, MachineTableError> {
    match variable("ARROWSTAND_MACHINES") {
        Some(path) => machine_table::load(&path).await,
        None => Ok(MachineCatalogue::default()),
    }
}

/// Returns the value of an environment variable; an empty value counts as not set.
fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn read_seed(node: &Node) -> Result<u64, KeyError> {
    u64::from_str_radix(&node.string()?, SEED_RADIX)
        .map_err(|_| node.error(KeyProblem::NotHexadecimal))
}

fn read_settings(node: &Node) -> Result<PlatformSettings, ConfigError> {
    if !node.is_present() {
        return Err(node.error(KeyProblem::Missing).into());
    }
    let mut platform = PlatformSettings::read(node, RetrySettings::default().max_retry_after)?;
    override_simulator_settings(&mut platform.balancer);
    platform.balancer.validate()?;
    Ok(platform)
}

/// Overrides the settings that apply only to the simulator or that the sidecar does not support.
fn override_simulator_settings(settings: &mut Settings) {
    // Sidecars do not communicate with each other.
    settings.host.gossip = false;
    // `permissions.retry-after` controls whether the simulator passes the Retry-After of a
    // rejection to its clients. Over HTTP, a rejection always has the header, which keeps clients
    // from retrying at once, so the balancer must always compute it. See docs/operations.md,
    // "Retry-After".
    settings.host.retry_after = true;
    // Discovery opens a watch only in response to a poll.
    settings.polling.required = true;
    // Responses are forwarded only once complete, so the balancer never learns of the start of a
    // streamed one.
    for class in &mut settings.classes {
        class.streamed = false;
    }
}

fn read_limits(node: &Node, settings_node: &Node, settings: &Settings) -> Result<Limits, KeyError> {
    let sockets = read_count(&node.at("sockets"), DEFAULT_SOCKETS)?;
    let memory_mib = read_count(&node.at("memory_mb"), DEFAULT_MEMORY_MIB)?;
    let transport = TransportSettings::read(settings_node)?;
    if sockets < MIN_SOCKETS {
        let problem = KeyProblem::TooSmall { min: MIN_SOCKETS };
        return Err(node.at("sockets").error(problem));
    }
    transport.check_timeouts(settings_node)?;
    let inputs = LimitInputs::new(sockets, memory_mib, &transport, settings);
    Ok(Limits::derive(&inputs))
}

/// Reads a count, truncating any fraction.
fn read_count(node: &Node, default: f64) -> Result<usize, KeyError> {
    Ok(node.optional_number()?.unwrap_or(default) as usize)
}

/// Takes the cached endpoint list out of the file's content and reads it in steps.
async fn read_cached_endpoints(file: &mut JsonValue) -> Result<Option<EndpointList>, KeyError> {
    let Some(list) = take_member(file, CACHED_ENDPOINTS).filter(|list| !list.is_null()) else {
        return Ok(None);
    };
    let mut reader = EndpointListReader::new(list, CACHED_ENDPOINTS)?;
    run_in_steps(|| Ok(reader.step())).await.map(Some)
}

fn take_member(value: &mut JsonValue, key: &str) -> Option<JsonValue> {
    match value {
        JsonValue::Object(members) => members.remove(key),
        _ => None,
    }
}

/// Reads an address from the environment variable if it is set, otherwise from the file.
fn read_address(
    node: &Node,
    name: &'static str,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<SocketAddr, ConfigError> {
    if let Some(text) = variable(name) {
        return text.parse().map_err(|_| ConfigError::InvalidAddress {
            name: name.to_owned(),
            text,
        });
    }
    let text = node.string()?;
    text.parse().map_err(|_| ConfigError::InvalidAddress {
        name: node.path().to_owned(),
        text,
    })
}

#[cfg(test)]
mod tests;
