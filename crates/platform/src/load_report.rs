//! The load reports of servers, in the platform's two formats: the text of a response header or
//! body, and a row of numbers in the simulator.
//!
//! Contains the field names, the readers and the writers. The callers track the age of a report and
//! act on it.

use std::fmt;

use arrowstand_balancer::LoadReport;

use crate::error::KeyError;
use crate::json::Node;

/// Field name in servers' reports: requests in flight, including queued ones.
const IN_FLIGHT: &str = "inflight";
/// Field name in servers' reports: queued requests.
const QUEUED: &str = "queue";
/// Field name in servers' reports: errors per second. Written but never read.
const ERROR_RATE: &str = "eps";
/// Name of [`IN_FLIGHT`] in the settings. Servers may use it in their reports, too.
const IN_FLIGHT_SETTINGS_NAME: &str = "active";
/// Name of [`QUEUED`] in the settings. Servers may use it in their reports, too.
const QUEUED_SETTINGS_NAME: &str = "waiting";
/// Name of [`ERROR_RATE`] in the settings. Written for every position of a row that is not read.
const ERROR_RATE_SETTINGS_NAME: &str = "err_rps";

/// Parses a report such as `inflight=7,queue=2,eps=0.5`. Returns `None` if a field is malformed or
/// the requests in flight are absent. Unknown fields are skipped. Absent queued requests count as
/// 0.
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

/// A load report as a server writes it. Its [`Display`](fmt::Display) output is the header value or
/// the body of the response, such as `inflight=7,eps=0.50,queue=2`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerLoad {
    /// Requests in flight, including queued ones; finite and not negative.
    pub in_flight: f64,
    /// Errors per second, written with two decimals; `None` omits the field.
    pub error_rate: Option<f64>,
    /// Queued requests; `None` omits the field, which readers take as 0.
    pub queued: Option<f64>,
}

impl From<LoadReport> for ServerLoad {
    /// [`parse_load_report`] returns the same report from the written text.
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

/// Positions of the known fields in a load report encoded as a row of numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReportLayout {
    /// Position of the requests in flight.
    pub in_flight: Option<usize>,
    /// Position of the queued requests.
    pub queued: Option<usize>,
}

impl LoadReportLayout {
    /// Reads the list of field names from the settings. Unknown names are skipped; if a name is
    /// repeated, its first position is used.
    ///
    /// # Errors
    /// The value is not an array of strings.
    pub fn read(fields: &Node) -> Result<Self, KeyError> {
        let mut layout = Self::default();
        for (position, field) in fields.items()?.iter().enumerate() {
            let known_position = match field.string()?.as_str() {
                IN_FLIGHT_SETTINGS_NAME => &mut layout.in_flight,
                QUEUED_SETTINGS_NAME => &mut layout.queued,
                _ => continue,
            };
            known_position.get_or_insert(position);
        }
        Ok(layout)
    }

    /// The list of field names for the settings, from which [`read`](Self::read) returns the same
    /// layout. A position without a known field gets the name of the error rate, which is not read.
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

    /// Number of positions up to the last known field.
    fn row_length(&self) -> usize {
        let last = self.in_flight.max(self.queued);
        last.map_or(0, |position| position + 1)
    }

    /// Decodes a report from a row. Returns `None` if the row has no requests in flight; absent
    /// queued requests count as 0.
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
