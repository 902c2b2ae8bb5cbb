//! One simulated sidecar: its balancer, and the names behind the balancer's numbers.
//!
//! Owns the numbering of servers, classes and zones in one instance. No numbering outlives its
//! instance, as instances share nothing; endpoint tables are kept by the host.

use std::collections::HashMap;

use arrowstand_balancer::{ClassId, Endpoint, LoadReport, ServerId};
use arrowstand_control::{MachineCatalogue, WorkAwareBalancer, stable_hash};
use arrowstand_platform::LoadReportLayout;

use super::endpoint_table::TableEntry;
use super::settings;
use crate::error::HostError;
use crate::wire::EventMessage;

/// One simulated sidecar.
pub(super) struct Instance {
    pub(super) balancer: WorkAwareBalancer,
    pub(super) names: Names,
}

impl Instance {
    /// Creates an instance from the settings and the seed of an event.
    pub(super) fn attach(event: &EventMessage) -> Result<Self, HostError> {
        let conf = event.required(event.settings.as_ref(), "conf")?;
        let seed = event.required(event.seed, "random-seed")?;
        let platform = settings::read(conf)?;
        Ok(Self {
            balancer: WorkAwareBalancer::new(platform.balancer, seed)?,
            names: Names {
                classes: platform.class_names,
                zones: platform.zones,
                load_report: platform.load_report,
                ..Names::default()
            },
        })
    }
}

/// Names of servers, classes and zones, interned in the order in which they are first seen.
#[derive(Default)]
pub(super) struct Names {
    server_ids: HashMap<String, u32>,
    servers: Vec<String>,
    classes: Vec<String>,
    zones: Vec<String>,
    /// The simulator states no capacity: machine types get their ids, and their capacity is learnt.
    machines: MachineCatalogue,
    load_report: LoadReportLayout,
}

impl Names {
    /// The id of a server; a new name gets the next one.
    pub(super) fn server_id(&mut self, name: &str) -> ServerId {
        if let Some(&id) = self.server_ids.get(name) {
            return ServerId(id);
        }
        let id = id_from_index(self.servers.len());
        self.server_ids.insert(name.to_owned(), id);
        self.servers.push(name.to_owned());
        ServerId(id)
    }

    /// The name of a server; empty for an id that was never given out.
    pub(super) fn server_name(&self, id: ServerId) -> &str {
        let index = usize::try_from(id.0).ok();
        let name = index.and_then(|index| self.servers.get(index));
        name.map_or("", String::as_str)
    }

    /// The id of a request class of the settings.
    pub(super) fn class_id(&self, name: &str) -> Option<ClassId> {
        let index = self.classes.iter().position(|class| class == name)?;
        u16::try_from(index).ok().map(ClassId)
    }

    /// An entry of an endpoint table with names interned.
    pub(super) fn endpoint(&mut self, entry: &TableEntry) -> Endpoint {
        Endpoint {
            server: self.server_id(&entry.server),
            stable_hash: stable_hash(&entry.server),
            status: entry.status,
            incarnation: entry.started_at,
            zone: self.zone_index(&entry.zone),
            cell: entry.cell,
            machine_type: self.machines.lookup(&entry.machine_type),
        }
    }

    fn zone_index(&mut self, name: &str) -> u32 {
        let known = self.zones.iter().position(|zone| zone == name);
        let index = known.unwrap_or_else(|| {
            self.zones.push(name.to_owned());
            self.zones.len() - 1
        });
        id_from_index(index)
    }

    /// A load report from its row of numbers.
    pub(super) fn load_report(&self, row: Option<&[Option<f64>]>) -> Option<LoadReport> {
        self.load_report.decode_row(row?)
    }
}

/// The id of the name at an index. Names fill the memory long before their ids end.
fn id_from_index(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}
