//! The load reports of servers, in the two forms that the platform has: a header or body of a
//! server's response, and a row of numbers in the simulator.
//!
//! Owns the names of the fields, the readers and the writers. When a report was taken and what
//! follows from it is not known here.

use std::fmt;

use arrowstand_balancer::LoadReport;

use crate::error::KeyError;
use crate::json::Node;

/// Field of a report as the servers write it: requests in flight, queued ones included.
const IN_FLIGHT: &str = "inflight";
/// Field of a report as the servers write it: queued requests.
const QUEUED: &str = "queue";
/// Field of a report as the servers write it: errors per second. Written and never read.
const ERROR_RATE: &str = "eps";
/// The settings' name for [`IN_FLIGHT`]; servers may use it too.
const IN_FLIGHT_SETTINGS_NAME: &str = "active";
/// The settings' name for [`QUEUED`]; servers may use it too.
const QUEUED_SETTINGS_NAME: &str = "waiting";
/// The settings' name for [`ERROR_RATE`]. It stands for any position of a row that is not read.
const ERROR_RATE_SETTINGS_NAME: &str = "err_rps";

/// Reads a report such as `inflight=7,queue=2,eps=0.5`; `None` where a part cannot be read or the
/// requests in flight are absent. Unknown fields are skipped, and an absent queue counts as empty.
pub fn parse_load_report(text: &str) -> Option<LoadReport> {
    let mut in_flight = None;
    let mut queued = 0.0;
    for part in text.trim().split(',') {
        let (name, value) = part.split_once('=')?;
        let value: f64 = value
            .trim()
            .parse()
            .ok()
            .filter(|number: &f64| number.is_finite() && *number >= 0.0)?;
        match name.trim() {
            IN_FLIGHT | IN_FLIGHT_SETTINGS_NAME => in_flight = Some(value),
            QUEUED | QUEUED_SETTINGS_NAME => queued = value,
            _ => {}
        }
    }
    Some(LoadReport {
        in_flight: in_flight?,
        queued,
    })
}

/// A load report as a server writes it: its [`Display`](fmt::Display) form is the value of the
/// header or the body of the response, such as `inflight=7,eps=0.50,queue=2`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerLoad {
    /// Requests in flight, queued ones included; finite and not negative.
    pub in_flight: f64,
    /// Errors per second, written with two decimals; `None` leaves the field out.
    pub error_rate: Option<f64>,
    /// Queued requests; `None` leaves the field out, and readers take it for an empty queue.
    pub queued: Option<f64>,
}

impl From<LoadReport> for ServerLoad {
    /// [`parse_load_report`] gives the same report again.
    fn from(report: LoadReport) -> Self {
        Self {
            in_flight: report.in_flight,
            error_rate: None,
            queued: Some(report.queued),
        }
    }
}

impl fmt::Display for ServerLoad {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{IN_FLIGHT}={}", self.in_flight)?;
        if let Some(error_rate) = self.error_rate {
            write!(formatter, ",{ERROR_RATE}={error_rate:.2}")?;
        }
        if let Some(queued) = self.queued {
            write!(formatter, ",{QUEUED}={queued}")?;
        }
        Ok(())
    }
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
            let slot = match field.string()?.as_str() {
                IN_FLIGHT_SETTINGS_NAME => &mut layout.in_flight,
                QUEUED_SETTINGS_NAME => &mut layout.queued,
                _ => continue,
            };
            slot.get_or_insert(position);
        }
        Ok(layout)
    }

    /// The settings' list of field names, from which [`read`](Self::read) gives the same layout. A
    /// position that holds no known field is named after the error rate, which is not read.
    pub fn field_names(&self) -> Vec<&'static str> {
        let name = |position| match Some(position) {
            position if position == self.in_flight => IN_FLIGHT_SETTINGS_NAME,
            position if position == self.queued => QUEUED_SETTINGS_NAME,
            _ => ERROR_RATE_SETTINGS_NAME,
        };
        (0..self.row_length()).map(name).collect()
    }

    /// A report as a row of numbers. [`decode_row`](Self::decode_row) returns the same report, as
    /// far as the layout has its fields. Positions without a known field are `None`.
    pub fn encode_row(&self, report: &LoadReport) -> Vec<Option<f64>> {
        let value = |position| match Some(position) {
            position if position == self.in_flight => Some(report.in_flight),
            position if position == self.queued => Some(report.queued),
            _ => None,
        };
        (0..self.row_length()).map(value).collect()
    }

    /// Number of positions up to the last one that is known.
    fn row_length(&self) -> usize {
        let last = self.in_flight.max(self.queued);
        last.map_or(0, |position| position + 1)
    }

    /// Extracts a report from a row; `None` where it has no requests in flight. An absent queue
    /// counts as empty.
    pub fn decode_row(&self, row: &[Option<f64>]) -> Option<LoadReport> {
        let at = |position: Option<usize>| row.get(position?).copied().flatten();
        Some(LoadReport {
            in_flight: at(self.in_flight)?,
            queued: at(self.queued).unwrap_or(0.0),
        })
    }
}

#[cfg(test)]
mod tests;
