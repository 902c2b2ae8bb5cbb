//! The simulator's sidecars: each hosts one balancer as the real program does.
//!
//! Owns all sidecars, and passes on what concerns more than one. `sidecar` owns one sidecar's state,
//! its start and its restarts; `host` carries out what its balancer asks for, `requests` is a
//! request's life there, `attempts` an attempt's, `connecting` that of an attempt's connection,
//! `health_checks` a health check's, `endpoints` what it knows of the endpoint list, `connections`
//! the pool of idle connections. What happens at a server is `fleet`'s.

mod attempts;
mod connecting;
mod connections;
mod endpoints;
mod environment;
mod health_checks;
mod host;
mod requests;
pub(crate) mod settings;
mod sidecar;

use super::SimulatorError;
use super::context::Context;
use super::discovery::Discovery;
use super::event::{BalancerTimer, HealthCheckResult, PollResult, SidecarRestart};
use super::fleet::Fleet;
use super::process::SidecarProcess;
use super::request::Request;
use crate::index::SidecarIndex;
use crate::scenario::{Micros, Scenario};

use endpoints::CachedEndpoints;
use settings::balancer_settings;
use sidecar::Sidecar;

pub(super) use environment::Environment;

/// All sidecars of a run.
pub(super) struct Sidecars {
    sidecars: Vec<Sidecar>,
}

impl Sidecars {
    /// Sidecars that are down and have the present endpoint list from an earlier process.
    pub(super) fn new(scenario: &Scenario, discovery: &Discovery) -> Result<Self, SimulatorError> {
        let mut sidecars = Vec::with_capacity(scenario.sidecars.count);
        for index in SidecarIndex::all(scenario.sidecars.count) {
            balancer_settings(scenario, index).validate()?;
            let cached = CachedEndpoints::new(discovery);
            sidecars.push(Sidecar::new(scenario, index, cached));
        }
        Ok(Self { sidecars })
    }

    /// The indexes of all sidecars, in order.
    pub(super) fn indexes(&self) -> impl Iterator<Item = SidecarIndex> + use<> {
        SidecarIndex::all(self.sidecars.len())
    }

    /// One sidecar, to be told what has reached it.
    pub(super) fn get_mut(&mut self, sidecar: SidecarIndex) -> &mut Sidecar {
        &mut self.sidecars[sidecar.index()]
    }

    /// The present process of a sidecar.
    pub(super) fn process(&self, sidecar: SidecarIndex) -> SidecarProcess {
        self.sidecars[sidecar.index()].process()
    }

    /// Whether a process is the present one of its sidecar, and up.
    pub(super) fn is_running(&self, process: SidecarProcess) -> bool {
        self.sidecars[process.sidecar.index()].is_running(process)
    }

    /// Whether a client's request is on its way to the sidecar or open there: once the sidecar has
    /// responded, its response is on its way and comes within the grace.
    pub(super) fn awaits_response(&self, request: &Request, now: Micros) -> bool {
        let has_arrived = request.arrives_at <= now;
        let sidecar = &self.sidecars[request.process.sidecar.index()];
        !has_arrived || sidecar.has_open_request(request.number)
    }

    /// The processes that watch the endpoint list.
    pub(super) fn watching_processes(&self) -> impl Iterator<Item = SidecarProcess> {
        let watching = self.sidecars.iter().filter(|sidecar| sidecar.is_watching());
        watching.map(Sidecar::process)
    }

    /// All watches of the endpoint list end, which sidecars notice after a span.
    pub(super) fn end_watches(&mut self, notice_delay: Micros, context: &mut Context<'_>) {
        for sidecar in &mut self.sidecars {
            sidecar.end_watch(notice_delay, context);
        }
    }

    /// Closes connections that have been idle for too long.
    pub(super) fn close_idle_connections(&mut self, fleet: &mut Fleet, context: &Context<'_>) {
        for sidecar in &mut self.sidecars {
            sidecar.close_idle_connections(fleet, context);
        }
    }

    /// A timer of a balancer fires; one of an earlier process is void.
    pub(super) fn on_balancer_timer(
        &mut self,
        timer: &BalancerTimer,
        environment: &mut Environment<'_, '_>,
    ) {
        let sidecar = self.get_mut(timer.process.sidecar);
        if sidecar.is_current(timer.process) {
            sidecar.on_balancer_timer(timer.token, environment);
        }
    }

    /// The end of a health check is at its sidecar; that of an earlier process is void.
    pub(super) fn on_health_check_result(
        &mut self,
        result: &HealthCheckResult,
        environment: &mut Environment<'_, '_>,
    ) {
        let sidecar = self.get_mut(result.process.sidecar);
        if sidecar.is_current(result.process) {
            sidecar.on_health_check_result(result, environment);
        }
    }

    /// The answer to a poll is at its sidecar; that of an earlier process or poll is void.
    pub(super) fn on_poll_result(
        &mut self,
        result: &PollResult,
        environment: &mut Environment<'_, '_>,
    ) {
        let sidecar = self.get_mut(result.poll.process.sidecar);
        if sidecar.awaits_poll(result.poll) {
            sidecar.on_poll_result(result.failed, environment);
        }
    }

    /// A change of the endpoint list has reached a watch; that of an earlier process is void.
    pub(super) fn on_watch_notification(
        &mut self,
        process: SidecarProcess,
        environment: &mut Environment<'_, '_>,
    ) {
        let sidecar = self.get_mut(process.sidecar);
        if sidecar.is_current(process) {
            sidecar.on_watch_notification(environment);
        }
    }

    /// A sidecar is to be restarted; one that is down stays so until it is up again by itself.
    pub(super) fn on_restart(
        &mut self,
        restart: &SidecarRestart,
        environment: &mut Environment<'_, '_>,
    ) {
        let sidecar = self.get_mut(restart.sidecar);
        if sidecar.is_up() {
            sidecar.on_restart(restart, environment);
        }
    }
}
