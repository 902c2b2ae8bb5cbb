//! The endpoint list from discovery: the servers with their address, zone and status, either all of
//! them or only the changed ones.
//!
//! Contains the format, its reader and its writer. The sidecar implements the calls to discovery,
//! and its server registry merges the lists.

mod reader;
mod writer;

use std::net::SocketAddr;

use arrowstand_balancer::{EndpointStatus, Micros};

use crate::error::{KeyError, KeyProblem, ReadError};
use crate::json::Node;
use crate::keys::endpoint;
use crate::number::{truncate_to_u32, truncate_to_u64};
use crate::units::MICROS_PER_MS;

pub use reader::{EndpointListParser, EndpointListReader};

/// The latest start time that is accepted, in Unix milliseconds: the year 5138. An entry with a
/// later one is skipped, because adding a duration to it in microseconds could overflow.
const MAX_START_TIME_MS: f64 = 1e14;
/// The start time, in Unix milliseconds, that the wire format defines for a server that started
/// long ago or at an unknown time. Any larger value is a known start time.
const UNKNOWN_START_TIME_MS: f64 = 0.0;

/// The value of the status key for [`EndpointStatus::Ready`].
const READY: &str = "ready";
/// The value of the status key for [`EndpointStatus::Draining`].
const DRAINING: &str = "draining";
/// The value of the status key for [`EndpointStatus::Removed`].
const REMOVED: &str = "gone";

/// One server in an endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Name of the server, unique among all servers and unchanged by restarts.
    pub id: String,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Name of its zone; empty if the list has none.
    pub zone: String,
    /// Number of its deployment cell.
    pub cell: u32,
    /// The platform's name for its machine type; empty if the list has none.
    pub machine_type: String,
    /// Whether it accepts requests.
    pub status: EndpointStatus,
    /// Unix time of the latest start in microseconds; `None` if unknown.
    pub started_at: Option<Micros>,
}

/// What the absence of a server from a list means.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListKind {
    /// The list has every server: an absent server has been removed.
    Full,
    /// The list has only changed servers: an absent server is unchanged.
    #[default]
    Delta,
}

/// The full list of servers, or a change to it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointList {
    /// Revision of the list, assigned by discovery.
    pub revision: u64,
    /// Whether the list has every server or only the changed ones.
    pub kind: ListKind,
    /// The entries that could be read.
    pub endpoints: Vec<ListedEndpoint>,
    /// The entries that were skipped because they could not be read.
    pub skipped: SkippedEntries,
}

/// The entries of a list that could not be read. Only the first errors are kept: a list from the
/// network may consist of invalid entries, and each error is longer than such an entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SkippedEntries {
    count: usize,
    first_errors: Vec<KeyError>,
}

impl SkippedEntries {
    /// Number of errors that are kept.
    const MAX_ERRORS: usize = 16;

    /// Adds the skipped entries of another list.
    fn append(&mut self, other: Self) {
        let first_errors = self.first_errors.iter().cloned().chain(other.first_errors);
        self.first_errors = first_errors.take(Self::MAX_ERRORS).collect();
        self.count += other.count;
    }

    /// Counts an entry, and keeps its error if it is one of the first.
    fn push(&mut self, error: KeyError) {
        self.count += 1;
        if self.first_errors.len() < Self::MAX_ERRORS {
            self.first_errors.push(error);
        }
    }

    /// Number of skipped entries.
    pub fn count(&self) -> usize {
        self.count
    }

    /// The errors of the first skipped entries, at most 16.
    pub fn first_errors(&self) -> &[KeyError] {
        &self.first_errors
    }
}

impl EndpointList {
    /// Parses and reads the text of a list at once. Entries that cannot be read are skipped; the
    /// others are kept. A thread that serves others uses [`EndpointListParser`].
    ///
    /// # Errors
    /// The text is not JSON, or is nested deeper than `max_depth`; the revision is missing, or a
    /// value outside the entries has the wrong type.
    pub fn parse(text: &str, max_depth: usize) -> Result<Self, ReadError> {
        let mut parser = EndpointListParser::new(text, max_depth);
        loop {
            if let Some(list) = parser.step()? {
                return Ok(list);
            }
        }
    }

    /// Adds the entries of a later delta to a delta. Its revision becomes that of the result.
    pub fn append(&mut self, later: Self) {
        self.revision = later.revision;
        self.endpoints.extend(later.endpoints);
        self.skipped.append(later.skipped);
    }
}

impl ListedEndpoint {
    fn read(node: &Node) -> Result<Self, KeyError> {
        // The order of the reads decides which error is reported for an entry with several.
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

fn read_start_time(node: &Node) -> Result<Option<Micros>, KeyError> {
    let start_time_ms = node.optional_number()?.unwrap_or(UNKNOWN_START_TIME_MS);
    if start_time_ms > MAX_START_TIME_MS {
        return Err(node.error(KeyProblem::InvalidTimestamp));
    }
    let is_known = start_time_ms > UNKNOWN_START_TIME_MS;
    Ok(is_known.then(|| micros_from_start_time_ms(start_time_ms)))
}

/// Truncates to whole microseconds, unlike [`micros_from_ms`](crate::micros_from_ms), which rounds.
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
