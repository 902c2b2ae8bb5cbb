//! Plays a scenario to its end and sums it up.

use super::{Simulator, SimulatorError};
use crate::audit::Auditor;
use crate::event_log::{EventSink, Tee};
use crate::report::{Report, SIMULATOR};
use crate::scenario::Scenario;
use crate::statistics::Statistics;

/// What a simulation took, beside its report.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunStatistics {
    /// Events played.
    pub events_played: u64,
    /// Arrivals that were not played, as too many requests were open.
    pub not_played: u64,
}

/// Simulates a scenario and sums it up; `further` readers see the event log too.
///
/// # Errors
/// Settings that the balancer refuses.
pub fn run(
    scenario: &Scenario,
    further: Option<&mut dyn EventSink>,
) -> Result<(Report, RunStatistics), SimulatorError> {
    let mut auditor = Auditor::new(scenario, 0);
    let mut statistics = Statistics::new(scenario);
    let mut readers = Tee {
        first: &mut auditor,
        second: &mut statistics,
        further,
    };
    let mut simulator = Simulator::new(scenario, &mut readers)?;
    simulator.play();
    let run_statistics = simulator.run_statistics();
    let overload = overload_remark(&simulator);
    auditor.finish();
    let mut report = statistics.report(SIMULATOR, scenario.seed);
    report.add_audit(&auditor);
    report.check_expectations(&scenario.expect);
    report.remarks.push(overload);
    if run_statistics.not_played > 0 {
        report
            .remarks
            .push(not_played_remark(scenario, run_statistics));
    }
    Ok((report, run_statistics))
}

fn overload_remark(simulator: &Simulator<'_>) -> String {
    let slowed = simulator.fleet.count_slowed();
    let held = simulator.fleet.max_in_flight();
    format!("{slowed} servers were slowed by overload for a time; one held {held} at most")
}

fn not_played_remark(scenario: &Scenario, run_statistics: RunStatistics) -> String {
    let most = scenario.load.max_open_requests;
    let n = run_statistics.not_played;
    format!("{n} arrivals were cut off: load.max_open_requests is {most}")
}
