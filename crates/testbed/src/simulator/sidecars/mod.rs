//! The simulator's sidecars. Like a process of the real program, a sidecar hosts one balancer.
//!
//! Passes each event to its sidecar, and ignores events for earlier processes of a sidecar.
//! `sidecar` keeps the state of one sidecar, and starts and restarts it. `host` passes events to
//! the balancer and executes its actions. `requests`, `attempts` and `health_checks` handle the
//! sidecar's side of requests, attempts and health checks. `attempt_connections` opens and closes
//! the connections of attempts, `idle_connections` keeps the pool of idle connections, and
//! `endpoints` keeps the sidecar's copy of the endpoint list. `fleet` simulates the servers.

mod attempt_connections;
mod attempts;
mod components;
mod endpoints;
mod health_checks;
mod host;
mod idle_connections;
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

pub(super) use components::Components;

/// All sidecars of a run.
pub(super) struct Sidecars {
    sidecars: Vec<Sidecar>,
}

impl Sidecars {
    /// Creates sidecars that are not started, with the current endpoint list in their caches.
    ///
    /// # Errors
    /// Returns an error if the balancer rejects the settings that the scenario asks for.
    pub(super) fn new(scenario: &Scenario, discovery: &Discovery) -> Result<Self, SimulatorError> {
        let mut sidecars = Vec::with_capacity(scenario.sidecars.count);
        for index in SidecarIndex::all(scenario.sidecars.count) {
            balancer_settings(scenario, index).validate()?;
            let cached = CachedEndpoints::new(discovery);
            sidecars.push(Sidecar::new(scenario, index, cached));
        }
        Ok(Self { sidecars })
    }

    /// Returns the indexes of all sidecars, in order.
    pub(super) fn indexes(&self) -> impl Iterator<Item = SidecarIndex> + use<> {
        SidecarIndex::all(self.sidecars.len())
    }

    /// Returns a mutable reference to one sidecar.
    pub(super) fn get_mut(&mut self, sidecar: SidecarIndex) -> &mut Sidecar {
        &mut self.sidecars[sidecar.index()]
    }

    /// Returns the current process of a sidecar; while it is down, the one that starts next.
    pub(super) fn process(&self, sidecar: SidecarIndex) -> SidecarProcess {
        self.sidecars[sidecar.index()].process()
    }

    /// Whether a process has started and was not killed.
    pub(super) fn is_process_running(&self, process: SidecarProcess) -> bool {
        self.sidecars[process.sidecar.index()].is_process_running(process)
    }

    /// Whether a request is on its way to the sidecar, or open there. Otherwise the sidecar has
    /// responded, and its response reaches the client at most `network.client_ms` from now.
    pub(super) fn has_yet_to_respond(&self, request: &Request, now: Micros) -> bool {
        let has_arrived = request.arrives_at <= now;
        let sidecar = &self.sidecars[request.process.sidecar.index()];
        !has_arrived || sidecar.has_open_request(request.number)
    }

    /// Returns the processes that watch the endpoint list.
    pub(super) fn watching_processes(&self) -> impl Iterator<Item = SidecarProcess> {
        let watching = self.sidecars.iter().filter(|sidecar| sidecar.is_watching());
        watching.map(Sidecar::process)
    }

    /// Ends all watches of the endpoint list, which the sidecars detect after a delay.
    pub(super) fn end_watches(&mut self, detection_delay: Micros, context: &mut Context<'_>) {
        for sidecar in &mut self.sidecars {
            sidecar.end_watch(detection_delay, context);
        }
    }

    /// Closes connections that have been idle for longer than the reuse timeout.
    pub(super) fn close_idle_connections(&mut self, fleet: &mut Fleet, context: &Context<'_>) {
        for sidecar in &mut self.sidecars {
            sidecar.close_idle_connections(fleet, context);
        }
    }

    /// Handles a balancer's timer, unless it belongs to an earlier process.
    pub(super) fn on_balancer_timer(
        &mut self,
        timer: &BalancerTimer,
        components: &mut Components<'_, '_>,
    ) {
        let sidecar = self.get_mut(timer.process.sidecar);
        if sidecar.is_current_process(timer.process) {
            sidecar.on_balancer_timer(timer.token, components);
        }
    }

    /// Handles the result of a health check, unless it belongs to an earlier process.
    pub(super) fn on_health_check_result(
        &mut self,
        result: &HealthCheckResult,
        components: &mut Components<'_, '_>,
    ) {
        let sidecar = self.get_mut(result.process.sidecar);
        if sidecar.is_current_process(result.process) {
            sidecar.on_health_check_result(result, components);
        }
    }

    /// Handles the result of a poll, unless it belongs to an earlier process or poll.
    pub(super) fn on_poll_result(
        &mut self,
        result: &PollResult,
        components: &mut Components<'_, '_>,
    ) {
        let sidecar = self.get_mut(result.poll.process.sidecar);
        if sidecar.awaits_poll(result.poll) {
            sidecar.on_poll_result(result.failed, components);
        }
    }

    /// Handles a change of the endpoint list, unless it was sent to an earlier process.
    pub(super) fn on_watch_notification(
        &mut self,
        process: SidecarProcess,
        components: &mut Components<'_, '_>,
    ) {
        let sidecar = self.get_mut(process.sidecar);
        if sidecar.is_current_process(process) {
            sidecar.on_watch_notification(components);
        }
    }

    /// Restarts a sidecar; one that is already down is not affected.
    pub(super) fn on_restart(
        &mut self,
        restart: &SidecarRestart,
        components: &mut Components<'_, '_>,
    ) {
        let sidecar = self.get_mut(restart.sidecar);
        if sidecar.is_up() {
            sidecar.on_restart(restart, components);
        }
    }
}
