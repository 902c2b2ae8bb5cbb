//! Checks of the fault schedule: ranges, references by name, and overlapping faults.
//!
//! Only faults on named servers are checked for overlaps; drawn servers are not known here.

use super::Checker;
use crate::index::ServerIndex;
use crate::scenario::{Fault, FaultKind, Scenario};

impl Scenario {
    /// Checks each fault. If no check of the scenario has found an error so far, also checks
    /// whether faults overlap.
    pub(super) fn check_faults(&self, checker: &mut Checker) {
        for (i, fault) in self.fault.iter().enumerate() {
            self.check_fault(checker, fault, &format!("fault[{i}]"));
        }
        if checker.errors.is_empty() {
            self.check_overlaps(checker);
        }
    }

    fn check_fault(&self, checker: &mut Checker, fault: &Fault, path: &str) {
        let key = |name: &str| format!("{path}.{name}");
        checker.not_negative(fault.at_s, key("at_s"));
        let starts_within_run = fault.at_s < self.seconds;
        checker.require(
            starts_within_run,
            key("at_s"),
            "must be before the end of the run",
        );
        checker.not_negative(fault.for_s, key("for_s"));
        checker.share(fault.target_share, key("target_share"));
        checker.share(fault.share, key("share"));
        checker.positive(fault.factor, key("factor"));
        checker.not_negative(fault.down_s, key("down_s"));
        let batch_in_range = fault.batch > 0.0 && fault.batch <= 1.0;
        checker.require(
            batch_in_range,
            key("batch"),
            "must be above 0 and at most 1",
        );
        self.check_zone(checker, fault.zone.as_deref(), &key("zone"));
        self.check_fault_servers(checker, fault, path);
        if let Some(name) = &fault.class {
            let known = self.class.iter().any(|class| class.name == *name);
            checker.require(known, key("class"), format!("there is no class {name:?}"));
        }
    }

    fn check_fault_servers(&self, checker: &mut Checker, fault: &Fault, path: &str) {
        let count = self.fleet().len();
        for (i, name) in fault.servers.iter().enumerate() {
            let server = ServerIndex::from_name(name);
            let known = server.is_some_and(|server| server.index() < count);
            let key = format!("{path}.servers[{i}]");
            checker.require(known, key, format!("there is no server {name:?}"));
        }
        if fault.targets_servers() {
            checker.require(
                !fault.servers.is_empty() || fault.target_share > 0.0 || fault.zone.is_some(),
                path,
                "names no servers: servers, target_share or zone is needed",
            );
        }
    }

    /// Checks that a server that drains, crashes or falls silent is not already removed by an
    /// earlier fault.
    fn check_overlaps(&self, checker: &mut Checker) {
        let removing = || {
            self.fault
                .iter()
                .enumerate()
                .filter(|(_, f)| removes_servers(f))
        };
        for (i, later) in removing() {
            for (j, earlier) in removing() {
                if !overlaps_earlier_fault((i, later), (j, earlier)) {
                    continue;
                }
                if let Some(name) = common_server(later, earlier) {
                    let at = later.at_s;
                    let message = format!("{name} is already removed by fault[{j}] at {at} s");
                    checker.require(false, format!("fault[{i}].servers"), message);
                }
            }
        }
    }
}

/// Whether a fault removes its servers, so that another fault cannot affect them meanwhile.
fn removes_servers(fault: &Fault) -> bool {
    matches!(
        fault.kind,
        FaultKind::Drain | FaultKind::Crash | FaultKind::Silence
    )
}

/// Whether a fault, given with its index, starts while an earlier one is active. Of two faults that
/// start at the same time, the first one in the file counts as earlier.
fn overlaps_earlier_fault(later: (usize, &Fault), earlier: (usize, &Fault)) -> bool {
    let (later_index, later) = later;
    let (earlier_index, earlier) = earlier;
    let is_later =
        later.at_s > earlier.at_s || (later.at_s >= earlier.at_s && later_index > earlier_index);
    is_later && later.at_s < earlier.at_s + earlier.for_s
}

/// The first server that is named by both faults.
fn common_server<'a>(fault: &'a Fault, other: &Fault) -> Option<&'a String> {
    fault
        .servers
        .iter()
        .find(|name| other.servers.contains(name))
}
