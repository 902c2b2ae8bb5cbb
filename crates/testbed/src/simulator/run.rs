//! Runs a simulation to its end and produces its report.

use super::{Simulator, SimulatorError};
use crate::audit::Auditor;
use crate::event_log::{EventSink, Tee};
use crate::report::{Report, SIMULATOR};
use crate::scenario::Scenario;
use crate::statistics::Statistics;

/// Counters of a simulation that are not part of its report.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunStatistics {
    /// Events processed.
    pub events_processed: u64,
    /// Arrivals for which no request was sent, because too many requests were open.
    pub not_played: u64,
}

/// Simulates a scenario and returns its report; `extra_log` receives the event log too.
///
/// # Errors
/// Returns an error if the balancer rejects the settings that the scenario asks for.
pub fn run(
    scenario: &Scenario,
    extra_log: Option<&mut dyn EventSink>,
) -> Result<(Report, RunStatistics), SimulatorError> {
    let mut auditor = Auditor::new(scenario, 0);
    let mut statistics = Statistics::new(scenario);
    let mut readers = Tee {
        first: &mut auditor,
        second: &mut statistics,
        third: extra_log,
    };
    let mut simulator = Simulator::new(scenario, &mut readers)?;
    simulator.run_to_completion();
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
    let slowed = simulator.fleet.slowed_server_count();
    let max_in_flight = simulator.fleet.max_in_flight();
    format!("{slowed} servers were slowed by overload for a time; one held {max_in_flight} at most")
}

fn not_played_remark(scenario: &Scenario, run_statistics: RunStatistics) -> String {
    let most = scenario.load.max_open_requests;
    let n = run_statistics.not_played;
    format!("{n} arrivals were cut off: load.max_open_requests is {most}")
}
