//! The statistics of a run: reads the event log of either engine and summarizes it in a report.
//!
//! Each submodule gathers one part: the value that was served, the outcomes of arrivals and
//! requests, and the traffic of clients and sidecars. `report` compares the figures with the
//! scenario's expectations.

mod arrival;
mod outcomes;
mod service;
mod traffic;

use rustc_hash::FxHashMap;

use crate::conversion::{MICROS_PER_MS, MICROS_PER_S, count_from_f64, f64_from_u64, second_floor};
use crate::event_log::{EventSink, LogEvent, LogRecord, ProcessState, RequestOutcome};
use crate::index::{ArrivalNumber, ClassIndex, TenantIndex};
use crate::report::{ClassFigures, Report, TenantFigures, current_engine_name};
use crate::scenario::{Micros, Scenario};

use arrival::{ArrivalResult, OpenArrival};
use outcomes::OutcomeStatistics;
use service::ServiceStatistics;
use traffic::TrafficStatistics;

/// Reads the event log; [`Statistics::report`] summarizes it.
pub struct Statistics {
    scenario: Scenario,
    open_arrivals: FxHashMap<ArrivalNumber, OpenArrival>,
    service: ServiceStatistics,
    outcomes: OutcomeStatistics,
    traffic: TrafficStatistics,
    /// Times at which sidecars started during the run, in the order of the log.
    sidecar_restarts: Vec<Micros>,
}

impl Statistics {
    /// Creates empty statistics for a run of `scenario`.
    pub fn new(scenario: &Scenario) -> Self {
        let seconds = count_from_f64(scenario.seconds.ceil()) + 1;
        let classes = scenario.class.len();
        Self {
            scenario: scenario.clone(),
            open_arrivals: FxHashMap::default(),
            service: ServiceStatistics::new(classes, scenario.tenant.len(), seconds),
            outcomes: OutcomeStatistics::new(classes, seconds),
            traffic: TrafficStatistics::new(seconds),
            sidecar_restarts: Vec::new(),
        }
    }

    fn on_arrival_started(&mut self, number: ArrivalNumber, arrival: OpenArrival) {
        self.traffic.on_arrival();
        self.open_arrivals.insert(number, arrival);
    }

    /// Value of an arrival: the priority weight of its class, multiplied by its relative work if
    /// the scenario sets `weight_by_work`, and reduced if its tenant is over its quota.
    fn arrival_value(&self, class: ClassIndex, work: f64, within_quota: bool) -> f64 {
        let relative_work = |mean_ms: f64| {
            if self.scenario.load.weight_by_work {
                work / mean_ms / MICROS_PER_MS
            } else {
                1.0
            }
        };
        let class = self.scenario.class.get(class.index());
        let full = class.map_or(0.0, |class| {
            class.priority_weight * relative_work(class.work_ms)
        });
        if within_quota {
            full
        } else {
            full * self.scenario.rules.over_share_weight
        }
    }

    fn on_arrival_ended(
        &mut self,
        at: Micros,
        number: ArrivalNumber,
        outcome: RequestOutcome,
        requests: u32,
    ) {
        let Some(arrival) = self.open_arrivals.remove(&number) else {
            return;
        };
        self.traffic.add_requests(requests);
        let class_index = arrival.class;
        let Some(class) = self.scenario.class.get(class_index.index()) else {
            return;
        };
        if outcome == RequestOutcome::Disconnected {
            return;
        }
        let result = ArrivalResult::new(class, arrival.at, at, outcome);
        self.service.on_arrival_ended(&arrival, &result);
        self.outcomes
            .on_arrival_ended(second_floor(arrival.at), class_index, outcome, &result);
    }

    /// Creates the report. `engine` is the name of the engine that ran the scenario, `seed` the
    /// seed that it ran with.
    pub fn report(&self, engine: &str, seed: u64) -> Report {
        let scenario = &self.scenario;
        let whole_seconds = count_from_f64(scenario.seconds.floor());
        let parts = self.service.parts(whole_seconds);
        let weighted = parts.weighted_mean();
        let traffic = &self.traffic;
        Report {
            name: scenario.name.clone(),
            engine: current_engine_name(engine).to_owned(),
            seed,
            seconds: scenario.seconds,
            sidecars: scenario.sidecars.count,
            servers: traffic.servers.len(),
            service: weighted,
            service_after_prices: weighted - self.total_cost(),
            overall: parts.overall,
            worst_window: parts.worst_window,
            worst_class: parts.worst_class,
            worst_tenant: parts.worst_tenant,
            arrivals: traffic.arrivals,
            requests: traffic.requests,
            accepted: traffic.accepted,
            responses: self.outcomes.responses(),
            attempts: traffic.attempts,
            cross_zone_attempts: traffic.cross_zone_attempts,
            health_checks: traffic.health_checks,
            handshakes: traffic.handshakes,
            discovery_polls: traffic.discovery_polls(),
            discovery_polls_peak: traffic.discovery_polls_peak(),
            wasted_work: traffic.wasted_work() / traffic.work_done.max(1.0),
            latency_ms: self.outcomes.latency_ms(),
            recovered_s: self.service.recovery_s(&self.sidecar_restarts),
            classes: self.class_figures(),
            tenants: self.tenant_figures(),
            timeline: self.outcomes.timeline(whole_seconds.max(1)),
            servers_by_number: traffic.servers.clone(),
            ..Report::default()
        }
    }

    /// The costs that the sidecars caused, at the scenario's prices.
    fn total_cost(&self) -> f64 {
        let prices = &self.scenario.prices;
        let traffic = &self.traffic;
        let arrivals = f64_from_u64(traffic.arrivals.max(1));
        let offered_work = arrivals * self.scenario.mean_work_s() * MICROS_PER_S;
        prices.cross_zone * f64_from_u64(traffic.cross_zone_attempts) / arrivals
            + prices.health_check * f64_from_u64(traffic.health_checks) / arrivals
            + prices.handshake * f64_from_u64(traffic.handshakes) / arrivals
            + prices.waste * traffic.wasted_work() / offered_work.max(1.0)
            + self.service.late_cost(prices.late_fail)
    }

    fn class_figures(&self) -> Vec<ClassFigures> {
        let classes = &self.scenario.class;
        let indexes = ClassIndex::all(classes.len());
        indexes
            .zip(classes)
            .map(|(index, class)| ClassFigures {
                name: class.name.clone(),
                service: self.service.class_service(index),
                ended: self.outcomes.class_outcomes(index),
                latency_ms: self.outcomes.class_latency_ms(index),
            })
            .collect()
    }

    fn tenant_figures(&self) -> Vec<TenantFigures> {
        let tenants = &self.scenario.tenant;
        let indexes = TenantIndex::all(tenants.len());
        indexes
            .zip(tenants)
            .map(|(index, tenant)| TenantFigures {
                name: tenant.name.clone(),
                service: self.service.tenant_service(index),
            })
            .collect()
    }
}

impl EventSink for Statistics {
    fn record(&mut self, record: &LogRecord) {
        let at = record.at;
        match record.event {
            LogEvent::ArrivalStarted {
                arrival,
                class,
                tenant,
                within_quota,
                work,
                ..
            } => {
                let open = OpenArrival {
                    at,
                    class,
                    tenant,
                    value: self.arrival_value(class, work, within_quota),
                    within_quota,
                };
                self.on_arrival_started(arrival, open);
            }
            LogEvent::ArrivalEnded {
                arrival,
                outcome,
                requests,
            } => self.on_arrival_ended(at, arrival, outcome, requests),
            LogEvent::SidecarStateChanged {
                state: ProcessState::Up,
                ..
            } if at > 0 => self.sidecar_restarts.push(at),
            LogEvent::ResponseReceived { request, outcome } => {
                self.traffic.on_response(request, outcome);
                self.outcomes.on_response(outcome);
            }
            other => self.traffic.on_event(second_floor(at), other),
        }
    }
}
