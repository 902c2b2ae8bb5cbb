//! The endpoint list of discovery: the servers with address, zone and state, whole or as a change.
//!
//! Owns the format; the calls to discovery belong to the sidecar, the merged table to its server
//! registry.

use std::net::SocketAddr;

use arrowstand_balancer::EndpointStatus;

use crate::error::{KeyError, KeyProblem, ReadError};
use crate::json::{self, Node};

/// The latest start time that is believed, in Unix milliseconds: the year 5138. Guards against a
/// start time that overflows the balancer's clock once a duration is added to it.
const MAX_BOOT_MS: f64 = 1e14;

/// One server in an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Name of the server, unique among all and stable over its restarts.
    pub uid: String,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Name of its zone; empty where the list names none.
    pub zone: String,
    /// Number of its deployment cell.
    pub cell: u32,
    /// The platform's name for its machine type; empty where the list names none.
    pub model: String,
    /// Whether it may be sent requests.
    pub condition: EndpointStatus,
    /// Unix time of the latest start in milliseconds; 0 if long ago.
    pub boot_ms: f64,
}

/// The whole list or a change to it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointList {
    /// Revision of the list in discovery's numbering.
    pub rev: u64,
    /// Every server is listed; otherwise those that changed.
    pub all: bool,
    /// The servers.
    pub endpoints: Vec<ListedEndpoint>,
    /// Why entries were skipped that could not be read.
    pub skipped: Vec<KeyError>,
}

impl EndpointList {
    /// Reads a list. Guards against one bad entry hiding the good ones: only that entry is skipped.
    ///
    /// # Errors
    /// The revision is missing, or a value outside the entries has the wrong type.
    pub fn read(node: &Node) -> Result<Self, KeyError> {
        let mut list = Self {
            rev: node.at("rev").number()? as u64,
            all: node.at("all").optional_flag()?.unwrap_or(false),
            ..Self::default()
        };
        for entry in node.at("targets").items()? {
            match ListedEndpoint::read(&entry) {
                Ok(endpoint) => list.endpoints.push(endpoint),
                Err(error) => list.skipped.push(error),
            }
        }
        Ok(list)
    }

    /// Parses and reads the text of a list.
    ///
    /// # Errors
    /// The text is not JSON or nested deeper than `max_depth`, or as for [`read`](Self::read).
    pub fn parse(text: &str, max_depth: usize) -> Result<Self, ReadError> {
        let value = json::parse(text, max_depth)?;
        Ok(Self::read(&Node::root(&value))?)
    }
}

impl ListedEndpoint {
    fn read(node: &Node) -> Result<Self, KeyError> {
        // The order of the reads decides which error of a bad entry is reported.
        let address_node = node.at("endpoint");
        let address_text = address_node.text()?;
        let boot_ms = read_boot_ms(&node.at("boot_ms"))?;
        let uid = node.at("uid").text()?;
        let address = address_text
            .parse()
            .map_err(|_| address_node.error(KeyProblem::NotAnAddress))?;
        Ok(Self {
            uid,
            address,
            zone: node.at("az").optional_text()?.unwrap_or_default(),
            model: node.at("model").optional_text()?.unwrap_or_default(),
            cell: node.at("pod_group").optional_number()?.unwrap_or(0.0) as u32,
            condition: read_status(&node.at("state"))?,
            boot_ms,
        })
    }
}

fn read_boot_ms(node: &Node) -> Result<f64, KeyError> {
    let boot_ms = node.optional_number()?.unwrap_or(0.0);
    if boot_ms > MAX_BOOT_MS {
        return Err(node.error(KeyProblem::NotATime));
    }
    Ok(boot_ms)
}

fn read_status(node: &Node) -> Result<EndpointStatus, KeyError> {
    match node.text()?.as_str() {
        "ready" => Ok(EndpointStatus::Ready),
        "draining" => Ok(EndpointStatus::Draining),
        "gone" => Ok(EndpointStatus::Removed),
        other => Err(node.error(KeyProblem::UnknownValue(other.to_owned()))),
    }
}

#[cfg(test)]
mod tests;
