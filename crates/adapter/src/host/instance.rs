//! One simulated sidecar: its balancer, and the names behind the balancer's ids.
//!
//! Ids of servers, classes and zones are local to an instance, because instances share nothing but
//! the endpoint tables, which the host keeps.

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
    pub(super) names: NameInterner,
}

impl Instance {
    /// Creates an instance from the settings and the seed in an `attach` event.
    pub(super) fn attach(event: &EventMessage) -> Result<Self, HostError> {
        let settings = event.required(event.settings.as_ref(), "conf")?;
        let seed = event.required(event.seed, "random-seed")?;
        let platform = settings::parse(settings)?;
        Ok(Self {
            balancer: WorkAwareBalancer::new(platform.balancer, seed)?,
            names: NameInterner {
                classes: platform.class_names,
                zones: platform.zones,
                load_report_layout: platform.load_report,
                ..NameInterner::default()
            },
        })
    }
}

/// Maps the names of servers, classes and zones to ids, in the order of first use.
#[derive(Default)]
pub(super) struct NameInterner {
    server_ids: HashMap<String, u32>,
    servers: Vec<String>,
    classes: Vec<String>,
    zones: Vec<String>,
    /// Ids of the machine types. The simulator states no capacity; the balancer estimates it.
    machines: MachineCatalogue,
    load_report_layout: LoadReportLayout,
}

impl NameInterner {
    /// Returns the id of a server; a new name gets the next id.
    pub(super) fn server_id(&mut self, name: &str) -> ServerId {
        if let Some(&id) = self.server_ids.get(name) {
            return ServerId(id);
        }
        let id = id_from_index(self.servers.len());
        self.server_ids.insert(name.to_owned(), id);
        self.servers.push(name.to_owned());
        ServerId(id)
    }

    /// Returns the name of a server, or an empty string for an unassigned id.
    pub(super) fn server_name(&self, id: ServerId) -> &str {
        let index = usize::try_from(id.0).ok();
        let name = index.and_then(|index| self.servers.get(index));
        name.map_or("", String::as_str)
    }

    /// Returns the id of a request class in the settings.
    pub(super) fn class_id(&self, name: &str) -> Option<ClassId> {
        let index = self.classes.iter().position(|class| class == name)?;
        u16::try_from(index).ok().map(ClassId)
    }

    /// Converts an entry of an endpoint table and interns its names.
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

    /// Reads a load report from its row of numbers.
    pub(super) fn load_report(&self, row: Option<&[Option<f64>]>) -> Option<LoadReport> {
        self.load_report_layout.decode_row(row?)
    }
}

/// Id of the name at an index. Names exhaust the memory long before the ids are used up.
fn id_from_index(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}
