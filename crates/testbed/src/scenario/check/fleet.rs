//! Checks of network, machine types, servers and sidecars: ranges, and references to machine types
//! and zones.

use std::collections::BTreeSet;

use super::Checker;
use crate::scenario::{Contention, MachineType, Scenario};

/// Maximum number of servers that the simulator can hold in memory.
const MAX_SERVERS: usize = 20_000;
/// Maximum number of sidecars that the simulator can hold in memory.
const MAX_SIDECARS: usize = 50_000;

impl Scenario {
    pub(super) fn check_fleet(&self, checker: &mut Checker) {
        self.check_network(checker);
        let names = self.machine_type.iter().map(|t| t.name.as_str());
        checker.unique_names(names, "machine_type");
        for (i, machine_type) in self.machine_type.iter().enumerate() {
            check_machine_type(checker, machine_type, &format!("machine_type[{i}]"));
        }
        self.check_servers(checker);
        self.check_sidecars(checker);
    }

    fn check_network(&self, checker: &mut Checker) {
        let network = &self.network;
        let zones = "network.zones";
        checker.require(!network.zones.is_empty(), zones, "at least one is needed");
        let distinct = network.zones.iter().collect::<BTreeSet<_>>().len();
        let all_distinct = distinct == network.zones.len();
        checker.require(all_distinct, zones, "a zone is listed twice");
        checker.not_negative(network.same_ms, "network.same_ms");
        checker.not_negative(network.cross_ms, "network.cross_ms");
        checker.not_negative(network.client_ms, "network.client_ms");
        checker.not_negative(network.jitter, "network.jitter");
    }

    fn check_servers(&self, checker: &mut Checker) {
        for (i, group) in self.servers.iter().enumerate() {
            let name = &group.machine_type;
            let known = self.machine_type.iter().any(|t| t.name == *name);
            let key = format!("servers[{i}].machine_type");
            checker.require(known, key, format!("there is no machine type {name:?}"));
            self.check_zone(
                checker,
                group.zone.as_deref(),
                &format!("servers[{i}].zone"),
            );
        }
        let count: usize = self.servers.iter().map(|group| group.count).sum();
        let key = "servers";
        checker.require(count > 0, key, "at least one server is needed");
        let message = format!("must be at most {MAX_SERVERS} servers");
        checker.require(count <= MAX_SERVERS, key, message);
    }

    fn check_sidecars(&self, checker: &mut Checker) {
        let count = self.sidecars.count;
        let key = "sidecars.count";
        checker.require(count > 0, key, "must be above zero");
        let message = format!("must be at most {MAX_SIDECARS}");
        checker.require(count <= MAX_SIDECARS, key, message);
        checker.not_negative(self.sidecars.skew, "sidecars.skew");
    }

    /// Checks that a zone, if given, is listed in `network.zones`.
    pub(super) fn check_zone(&self, checker: &mut Checker, zone: Option<&str>, key: &str) {
        if let Some(zone) = zone {
            let known = self.network.zones.iter().any(|name| name == zone);
            checker.require(known, key, format!("there is no zone {zone:?}"));
        }
    }
}

fn check_machine_type(checker: &mut Checker, machine_type: &MachineType, path: &str) {
    let key = |name: &str| format!("{path}.{name}");
    check_speed(checker, machine_type, path);
    checker.not_negative(machine_type.slow_start_s, key("slow_start_s"));
    checker.share(machine_type.error_rate, key("error_rate"));
    checker.not_negative(machine_type.thrashing, key("thrashing"));
    checker.positive(machine_type.thrashing_threshold, key("thrashing_threshold"));
    let slots_fit = machine_type.slots == 0 || machine_type.slots >= machine_type.cores;
    checker.require(slots_fit, key("slots"), "must be 0 or no less than cores");
    checker.share(machine_type.connection_overhead, key("connection_overhead"));
    checker.not_negative(machine_type.handshake_ms, key("handshake_ms"));
    checker.not_negative(machine_type.handshake_rtts, key("handshake_rtts"));
    checker.not_negative(machine_type.health_check_ms, key("health_check_ms"));
    checker.not_negative(machine_type.health_checks_per_s, key("health_checks_per_s"));
    if let Some(contention) = &machine_type.contention {
        check_contention(checker, contention, &key("contention"));
    }
}

fn check_speed(checker: &mut Checker, machine_type: &MachineType, path: &str) {
    let key = |name: &str| format!("{path}.{name}");
    checker.require(machine_type.cores > 0, key("cores"), "must be above zero");
    checker.positive(machine_type.speed, key("speed"));
    let spread_in_range = (0.0..1.0).contains(&machine_type.speed_spread);
    checker.require(
        spread_in_range,
        key("speed_spread"),
        "must be at least 0 and below 1",
    );
    let cold_share = machine_type.cold_capacity_share;
    checker.require(
        cold_share > 0.0 && cold_share <= 1.0,
        key("cold_capacity_share"),
        "must be above 0 and at most 1",
    );
}

fn check_contention(checker: &mut Checker, contention: &Contention, path: &str) {
    let key = |name: &str| format!("{path}.{name}");
    checker.positive(contention.overload_threshold, key("overload_threshold"));
    checker.require(
        contention.slowdown >= 1.0,
        key("slowdown"),
        "must be 1 or more",
    );
    let recovers_below = contention.recovery_threshold < contention.overload_threshold;
    checker.require(
        recovers_below,
        key("recovery_threshold"),
        "must be below overload_threshold",
    );
    checker.not_negative(contention.overload_s, key("overload_s"));
}
