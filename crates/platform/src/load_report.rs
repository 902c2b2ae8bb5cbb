//! The load reports of servers, in the two forms that the platform has: a header or body of a
//! server's response, and a row of numbers in the simulator.
//!
//! Owns the names of the fields. When a report was taken and what follows from it is not known
//! here.

use arrowstand_balancer::LoadReport;

use crate::error::KeyError;
use crate::json::Node;

/// Field of a report as the servers write it: requests in flight, queued ones included.
const IN_FLIGHT: &str = "inflight";
/// Field of a report as the servers write it: queued requests.
const QUEUED: &str = "queue";
/// The settings' name for [`IN_FLIGHT`]; servers may use it too.
const IN_FLIGHT_IN_SETTINGS: &str = "active";
/// The settings' name for [`QUEUED`]; servers may use it too.
const QUEUED_IN_SETTINGS: &str = "waiting";

/// Reads a report such as `inflight=7,queue=2,eps=0.5`; `None` where a part cannot be read or the
/// requests in flight are absent. Unknown fields are skipped, and an absent queue counts as empty.
pub fn read_report(text: &str) -> Option<LoadReport> {
    let (mut in_flight, mut queued) = (None, 0.0);
    for part in text.trim().split(',') {
        let (name, value) = part.split_once('=')?;
        let value: f64 = value
            .trim()
            .parse()
            .ok()
            .filter(|number: &f64| number.is_finite() && *number >= 0.0)?;
        match name.trim() {
            IN_FLIGHT | IN_FLIGHT_IN_SETTINGS => in_flight = Some(value),
            QUEUED | QUEUED_IN_SETTINGS => queued = value,
            _ => {}
        }
    }
    Some(LoadReport {
        in_flight: in_flight?,
        queued,
    })
}

/// Positions of the known fields in a report that is a row of numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReportLayout {
    /// Position of the requests in flight.
    pub in_flight: Option<usize>,
    /// Position of the queued requests.
    pub queued: Option<usize>,
}

impl LoadReportLayout {
    /// Reads the settings' list of field names. Unknown names are skipped; of one that is there
    /// twice the first counts.
    ///
    /// # Errors
    /// The value is not an array of texts.
    pub fn read(fields: &Node) -> Result<Self, KeyError> {
        let mut layout = Self::default();
        for (position, field) in fields.items()?.iter().enumerate() {
            let slot = match field.text()?.as_str() {
                IN_FLIGHT_IN_SETTINGS => &mut layout.in_flight,
                QUEUED_IN_SETTINGS => &mut layout.queued,
                _ => continue,
            };
            slot.get_or_insert(position);
        }
        Ok(layout)
    }

    /// Extracts a report from a row; `None` where it has no requests in flight. An absent queue
    /// counts as empty.
    pub fn extract(&self, row: &[Option<f64>]) -> Option<LoadReport> {
        let at = |position: Option<usize>| row.get(position?).copied().flatten();
        Some(LoadReport {
            in_flight: at(self.in_flight)?,
            queued: at(self.queued).unwrap_or(0.0),
        })
    }
}

#[cfg(test)]
mod tests;
