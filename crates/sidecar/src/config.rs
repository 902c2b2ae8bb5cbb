//! The configuration of this sidecar: read from the file that `NODE_CONFIG` names and from
//! environment variables, which take precedence.
//!
//! Owns the keys outside `settings` and the variables; the settings of the deployment are read by
//! `arrowstand-platform`, and what network code may use is derived by [`Limits`].

mod deployment_metadata;
mod error;

use std::net::SocketAddr;

use arrowstand_balancer::{RetrySettings, Settings};
use arrowstand_control::MachineCatalogue;
use arrowstand_platform::json::{self, Node};
use arrowstand_platform::{KeyError, KeyProblem, PlatformSettings, TransportSettings};

use crate::limits::{LimitInputs, Limits};
use crate::machine_table;
use arrowstand_platform::EndpointList;

pub(crate) use deployment_metadata::DeploymentMetadata;
pub(crate) use error::ConfigError;

/// Bound on the nesting of the file's JSON, which is read recursively.
const MAX_JSON_DEPTH: usize = 64;
/// File descriptors where the file names no number: the usual soft limit of a process.
const DEFAULT_SOCKETS: f64 = 1_024.0;
/// Memory in MiB where the file names none.
const DEFAULT_MEMORY_MIB: f64 = 192.0;
/// Fewer descriptors do not suffice for clients, servers, discovery and the log.
const MIN_SOCKETS: usize = 64;
/// Base of the seed's digits.
const SEED_RADIX: u32 = 16;

/// What this sidecar was configured with at its start.
pub(crate) struct Config {
    /// Name of this sidecar, for the log.
    pub(crate) name: String,
    /// Where clients connect.
    pub(crate) listen: SocketAddr,
    /// Where discovery listens.
    pub(crate) discovery: SocketAddr,
    /// Seed of all random draws.
    pub(crate) seed: u64,
    /// Settings of the balancer, validated.
    pub(crate) settings: Settings,
    /// Bounds of the network code.
    pub(crate) limits: Limits,
    /// Names and rules behind the balancer's numeric ids.
    pub(crate) deployment: DeploymentMetadata,
    /// The endpoint list as this sidecar last had it.
    pub(crate) cached_endpoints: Option<EndpointList>,
}

impl Config {
    /// Reads the environment and the file.
    ///
    /// # Errors
    /// One line that names the variable or the key; see [`ConfigError`].
    pub(crate) fn from_environment() -> Result<Self, ConfigError> {
        Self::load(environment_variable)
    }

    /// Reads the file again. The environment of a running process cannot be changed by its
    /// operator, so the address of discovery comes from the new file alone.
    ///
    /// # Errors
    /// As for [`from_environment`](Self::from_environment).
    pub(crate) fn reload() -> Result<Self, ConfigError> {
        Self::load(|name| match name {
            "NODE_DISCOVERY" => None,
            _ => environment_variable(name),
        })
    }

    fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let path = variable("NODE_CONFIG").ok_or(ConfigError::NoFile)?;
        let text = std::fs::read_to_string(&path)
            .map_err(|source| ConfigError::Unreadable { path, source })?;
        Self::read(&text, variable)
    }

    /// Reads the text of the file; `variable` looks up an environment variable. The order of the
    /// reads decides which error is reported.
    fn read(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let value = json::parse(text, MAX_JSON_DEPTH).map_err(ConfigError::NotJson)?;
        let root = Node::root(&value);
        let name = match variable("NODE_NAME") {
            Some(name) => name,
            None => root.at("name").string()?,
        };
        let seed = read_seed(&root.at("seed"))?;
        let conf = root.at("settings");
        let platform = read_settings(&conf)?;
        let machines = match variable("ARROWSTAND_MACHINES") {
            Some(path) => machine_table::load(&path)?,
            None => MachineCatalogue::default(),
        };
        let deployment = DeploymentMetadata::new(&platform, machines);
        let settings = platform.balancer;
        let limits = read_limits(&root.at("limits"), &conf, &settings)?;
        let cached_endpoints = read_cached_endpoints(&root.at("known"))?;
        Ok(Self {
            name,
            listen: read_address(&root.at("listen"), "NODE_LISTEN", &variable)?,
            discovery: read_address(&root.at("discovery"), "NODE_DISCOVERY", &variable)?,
            seed,
            settings,
            limits,
            deployment,
            cached_endpoints,
        })
    }
}

/// The value of an environment variable; an empty one counts as not set.
fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn read_seed(node: &Node) -> Result<u64, KeyError> {
    u64::from_str_radix(&node.string()?, SEED_RADIX)
        .map_err(|_| node.error(KeyProblem::NotHexadecimal))
}

fn read_settings(conf: &Node) -> Result<PlatformSettings, ConfigError> {
    if !conf.is_present() {
        return Err(conf.error(KeyProblem::Missing).into());
    }
    let mut platform = PlatformSettings::read(conf, RetrySettings::default().max_retry_after)?;
    apply_socket_overrides(&mut platform.balancer);
    platform.balancer.validate()?;
    Ok(platform)
}

/// What holds on sockets whatever the simulator does for the deployment.
fn apply_socket_overrides(settings: &mut Settings) {
    // There is no channel between sidecars in this program.
    settings.host.gossip = false;
    // `permissions.retry-after` says whether the simulator hands its clients the Retry-After of a
    // rejection. On sockets the header is part of the response regardless, and it keeps a
    // client from retrying at once, so the balancer is always asked for it; docs/operations.md,
    // "Retry-After", has more.
    settings.host.retry_after = true;
    // Discovery answers only when polled.
    settings.polling.required = true;
    // Complete responses are passed on: the balancer does not learn of the start of a streamed one.
    for class in &mut settings.classes {
        class.streamed = false;
    }
}

fn read_limits(own: &Node, conf: &Node, settings: &Settings) -> Result<Limits, KeyError> {
    let sockets = read_count(&own.at("sockets"), DEFAULT_SOCKETS)?;
    let memory_mib = read_count(&own.at("memory_mb"), DEFAULT_MEMORY_MIB)?;
    let transport = TransportSettings::read(conf)?;
    if sockets < MIN_SOCKETS {
        let problem = KeyProblem::TooSmall { min: MIN_SOCKETS };
        return Err(own.at("sockets").error(problem));
    }
    transport.check_timeouts(conf)?;
    let inputs = LimitInputs::new(sockets, memory_mib, &transport, settings);
    Ok(Limits::derive(&inputs))
}

/// A number of things; a fraction of one is dropped.
fn read_count(node: &Node, default: f64) -> Result<usize, KeyError> {
    Ok(node.optional_number()?.unwrap_or(default) as usize)
}

fn read_cached_endpoints(node: &Node) -> Result<Option<EndpointList>, KeyError> {
    if !node.is_present() {
        return Ok(None);
    }
    Ok(Some(EndpointList::read(node)?))
}

/// An address from the variable, or else from the file.
fn read_address(
    node: &Node,
    name: &'static str,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<SocketAddr, ConfigError> {
    if let Some(text) = variable(name) {
        return text.parse().map_err(|_| ConfigError::Address {
            name: name.to_owned(),
            text,
        });
    }
    let text = node.string()?;
    text.parse().map_err(|_| ConfigError::Address {
        name: node.path().to_owned(),
        text,
    })
}

#[cfg(test)]
mod tests;
