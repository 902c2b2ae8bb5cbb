//! The endpoint tables of the simulator: endpoint lists that are sent once and then referred to by
//! number, because all instances share them.
//!
//! This module also defines the protocol names of a server's status.

use std::collections::HashMap;

use arrowstand_balancer::{EndpointStatus, Micros};
use arrowstand_platform::micros_from_ms;

use crate::error::EventError;
use crate::wire::{EventMessage, TableRow};

/// One server of a table.
pub(super) struct TableEntry {
    pub(super) server: String,
    pub(super) status: EndpointStatus,
    /// Time of the latest start; `None` if it is long past.
    pub(super) started_at: Option<Micros>,
    pub(super) cell: u32,
    pub(super) zone: String,
    pub(super) machine_type: String,
}

/// The tables by number. A table is replaced when its number is used again.
#[derive(Default)]
pub(super) struct EndpointTables(HashMap<usize, Vec<TableEntry>>);

impl EndpointTables {
    /// Stores the table of a `roster` event.
    pub(super) fn insert(&mut self, event: &EventMessage) -> Result<(), EventError> {
        let number = event.required(event.table, "table")?;
        let rows = event.required(event.rows.as_ref(), "members-list")?;
        let table: Result<Vec<TableEntry>, EventError> =
            rows.iter().map(|row| parse_entry(event, row)).collect();
        self.0.insert(number, table?);
        Ok(())
    }

    /// Returns the table with the given number.
    pub(super) fn get(&self, number: usize) -> Option<&[TableEntry]> {
        self.0.get(&number).map(Vec::as_slice)
    }
}

fn parse_entry(event: &EventMessage, row: &TableRow) -> Result<TableEntry, EventError> {
    let status = match row.status {
        "in_service" => EndpointStatus::Ready,
        "terminating" => EndpointStatus::Draining,
        "terminated" => EndpointStatus::Removed,
        other => return Err(event.unknown_value("condition", other)),
    };
    Ok(TableEntry {
        server: row.server.to_owned(),
        status,
        started_at: row.started_at_ms.map(micros_from_ms).filter(|&at| at > 0),
        cell: row.cell.unwrap_or(0),
        zone: row.zone.unwrap_or("").to_owned(),
        machine_type: row.machine_type.unwrap_or("").to_owned(),
    })
}
