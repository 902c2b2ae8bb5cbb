//! The form of discovery's list.

use std::net::SocketAddr;

use arrowstand_balancer::EndpointStatus;
use tinyjson::JsonValue;

use crate::json::{self, Node};
use crate::limits::Limits;

/// One server as a list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: u32,
    /// What kind of machine it is, as the platform calls it.
    pub model: String,
    pub condition: EndpointStatus,
    /// Unix time of the last start in milliseconds; 0 if long ago.
    pub boot_ms: f64,
}

/// The whole list or a change to it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointList {
    pub rev: u64,
    pub all: bool,
    pub endpoints: Vec<Endpoint>,
    /// Messages on entries that could not be read and were skipped.
    pub skipped: Vec<String>,
}

/// The last start time that is believed, in Unix milliseconds: the year 5138.
const BOOT_MOST: f64 = 1e14;

fn endpoint(node: &Node) -> Result<Endpoint, String> {
    let address = node.at("endpoint");
    let text = address.text()?;
    // Guards against a start time that overflows the module's clock once a span is added to it.
    let boot_ms = node.at("boot_ms").number_opt()?.unwrap_or(0.0);
    if boot_ms > BOOT_MOST {
        return node.at("boot_ms").fault("is no time");
    }
    Ok(Endpoint {
        uid: node.at("uid").text()?,
        address: text
            .parse()
            .or_else(|_| address.fault("is not an address and port"))?,
        zone: node.at("az").text_opt()?.unwrap_or_default(),
        model: node.at("model").text_opt()?.unwrap_or_default(),
        cell: node.at("pod_group").number_opt()?.unwrap_or(0.0) as u32,
        condition: match node.at("state").text()?.as_str() {
            "ready" => EndpointStatus::Ready,
            "draining" => EndpointStatus::Draining,
            "gone" => EndpointStatus::Removed,
            other => return node.at("state").fault(&format!("unknown value {other:?}")),
        },
        boot_ms,
    })
}

impl EndpointList {
    /// Reads a list. Guards against one bad entry hiding the good ones: it alone is skipped.
    pub fn read(node: &Node) -> Result<Self, String> {
        let rev = node.at("rev").number()? as u64;
        let all = node.at("all").flag_opt()?.unwrap_or(false);
        let mut list = Self {
            rev,
            all,
            ..Self::default()
        };
        for item in node.at("targets").items()? {
            match endpoint(&item) {
                Ok(endpoint) => list.endpoints.push(endpoint),
                Err(message) => list.skipped.push(message),
            }
        }
        Ok(list)
    }

    pub fn parse(text: &str, limits: &Limits) -> Result<Self, String> {
        let value: JsonValue = json::parse(text, limits.discovery.max_json_depth)?;
        Self::read(&Node::root(&value))
    }
}
