//! Checks of the schedule of faults.

use super::Checker;
use crate::index::ServerIndex;
use crate::scenario::{Fault, FaultKind, Scenario};

impl Scenario {
    /// Each fault by itself, and where nothing at all is wrong, the faults against each other.
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
        let in_run = fault.at_s < self.seconds;
        checker.require(in_run, key("at_s"), "lies after the end of the day");
        checker.not_negative(fault.for_s, key("for_s"));
        checker.share(fault.target_share, key("target_share"));
        checker.share(fault.share, key("share"));
        checker.positive(fault.factor, key("factor"));
        checker.not_negative(fault.down_s, key("down_s"));
        let batch = fault.batch > 0.0 && fault.batch <= 1.0;
        checker.require(batch, key("batch"), "must be above 0 and at most 1");
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
        if fault.aims_at_servers() {
            checker.require(
                !fault.servers.is_empty() || fault.target_share > 0.0 || fault.zone.is_some(),
                path,
                "names no servers: servers, target_share or zone is needed",
            );
        }
    }

    /// A server that is drained or crashes must not have been taken away by an earlier fault.
    fn check_overlaps(&self, checker: &mut Checker) {
        let takes_away = |(_, fault): &(usize, &Fault)| {
            matches!(
                fault.kind,
                FaultKind::Drain | FaultKind::Crash | FaultKind::Silence
            )
        };
        for (i, later) in self.fault.iter().enumerate().filter(takes_away) {
            for (j, earlier) in self.fault.iter().enumerate().filter(takes_away) {
                let ordered =
                    i != j && later.at_s >= earlier.at_s && (i > j || later.at_s > earlier.at_s);
                let overlap = ordered && later.at_s < earlier.at_s + earlier.for_s;
                if let Some(name) = common_server(later, earlier).filter(|_| overlap) {
                    let at = later.at_s;
                    let why =
                        format!("{name} is not there at {at} s: fault[{j}] has taken it away");
                    checker.require(false, format!("fault[{i}].servers"), why);
                }
            }
        }
    }
}

/// The first server that both faults name.
fn common_server<'a>(fault: &'a Fault, other: &Fault) -> Option<&'a String> {
    let named_by_other = |name: &&String| other.servers.contains(name);
    fault.servers.iter().find(named_by_other)
}
