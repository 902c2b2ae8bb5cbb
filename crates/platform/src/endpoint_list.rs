//! The endpoint list of discovery: the servers with address, zone and state, whole or as a change.
//!
//! Owns the format, its reader and its writer; the calls to discovery belong to the sidecar, the
//! merged table to its server registry.

mod writer;

use std::net::SocketAddr;

use arrowstand_balancer::{EndpointStatus, Micros};

use crate::error::{KeyError, KeyProblem, ReadError};
use crate::json::{self, Node};
use crate::keys::{endpoint, endpoint_list};
use crate::number::{truncate_to_u32, truncate_to_u64};
use crate::units::MICROS_PER_MS;

/// The latest start that is accepted, in Unix milliseconds: the year 5138. An entry with a later
/// one is skipped, as its microseconds could overflow once a duration is added to them.
const MAX_START_TIME_MS: f64 = 1e14;
/// The start, in Unix milliseconds, of a server that started long ago or at an unknown time: the
/// wire page's 0. Later ones are known.
const UNKNOWN_START_TIME_MS: f64 = 0.0;

/// The list's word for [`EndpointStatus::Ready`].
const READY: &str = "ready";
/// The list's word for [`EndpointStatus::Draining`].
const DRAINING: &str = "draining";
/// The list's word for [`EndpointStatus::Removed`].
const REMOVED: &str = "gone";

/// One server in an endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Name of the server, unique among all and stable over its restarts.
    pub id: String,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Name of its zone; empty where the list names none.
    pub zone: String,
    /// Number of its deployment cell.
    pub cell: u32,
    /// The platform's name for its machine type; empty where the list names none.
    pub machine_type: String,
    /// Whether it may be sent requests.
    pub status: EndpointStatus,
    /// Unix time of the latest start in microseconds; `None` where the list knows none.
    pub started_at: Option<Micros>,
}

/// What a list tells of the servers that it does not name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListKind {
    /// Every server is listed: what is not named has been removed.
    Full,
    /// Only changes are listed: what is not named is as before.
    #[default]
    Delta,
}

/// The whole list or a change to it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointList {
    /// Revision of the list in discovery's numbering.
    pub revision: u64,
    /// Whether every server is listed, or those that changed.
    pub kind: ListKind,
    /// The servers.
    pub endpoints: Vec<ListedEndpoint>,
    /// Why entries were skipped that could not be read.
    pub skipped: Vec<KeyError>,
}

impl EndpointList {
    /// Reads a list. An entry that cannot be read is skipped, and the others are kept.
    ///
    /// # Errors
    /// The revision is missing, or a value outside the entries has the wrong type.
    pub fn read(node: &Node) -> Result<Self, KeyError> {
        let mut list = Self {
            revision: truncate_to_u64(node.at(endpoint_list::REVISION).number()?),
            kind: read_list_kind(&node.at(endpoint_list::IS_FULL))?,
            ..Self::default()
        };
        for entry in node.at(endpoint_list::ENDPOINTS).items()? {
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
        let address_node = node.at(endpoint::ADDRESS);
        let address_text = address_node.string()?;
        let started_at = read_start_time(&node.at(endpoint::STARTED_AT_MS))?;
        let id = node.at(endpoint::ID).string()?;
        let address = address_text
            .parse()
            .map_err(|_| address_node.error(KeyProblem::NotAnAddress))?;
        Ok(Self {
            id,
            address,
            zone: node
                .at(endpoint::ZONE)
                .optional_string()?
                .unwrap_or_default(),
            machine_type: node
                .at(endpoint::MACHINE_TYPE)
                .optional_string()?
                .unwrap_or_default(),
            cell: truncate_to_u32(node.at(endpoint::CELL).optional_number()?.unwrap_or(0.0)),
            status: read_status(&node.at(endpoint::STATUS))?,
            started_at,
        })
    }
}

fn read_list_kind(all: &Node) -> Result<ListKind, KeyError> {
    Ok(match all.optional_boolean()? {
        Some(true) => ListKind::Full,
        Some(false) | None => ListKind::Delta,
    })
}

fn read_start_time(node: &Node) -> Result<Option<Micros>, KeyError> {
    let start_time_ms = node.optional_number()?.unwrap_or(UNKNOWN_START_TIME_MS);
    if start_time_ms > MAX_START_TIME_MS {
        return Err(node.error(KeyProblem::InvalidTimestamp));
    }
    let is_known = start_time_ms > UNKNOWN_START_TIME_MS;
    Ok(is_known.then(|| micros_from_start_time_ms(start_time_ms)))
}

/// Cuts off what is below a microsecond, unlike [`micros_from_ms`](crate::micros_from_ms).
fn micros_from_start_time_ms(start_time_ms: f64) -> Micros {
    truncate_to_u64(start_time_ms * MICROS_PER_MS)
}

fn read_status(node: &Node) -> Result<EndpointStatus, KeyError> {
    match node.string()?.as_str() {
        READY => Ok(EndpointStatus::Ready),
        DRAINING => Ok(EndpointStatus::Draining),
        REMOVED => Ok(EndpointStatus::Removed),
        other => Err(node.error(KeyProblem::UnknownValue(other.to_owned()))),
    }
}

#[cfg(test)]
mod tests;
