//! The process of an emulated server: its model, the attempts in execution, and the shares of
//! responses that faults hit.
//!
//! It has no sockets and no clock: callers pass the time and send the responses.

use std::collections::HashMap;

use tokio::sync::oneshot;

use super::admission::{
    AcceptedAttempt, Admission, AdmissionRequest, ExecutionResult, ResponseOutcome,
};
use crate::conversion::u32_from_count;
use crate::index::RequestNumber;
use crate::random::RandomStream;
use crate::scenario::{MachineType, Micros};
use crate::server_model::{Job, LoadReport, RunState, ServerModel, ServerModelEvent};

/// An attempt that executes or waits in the model.
struct Execution {
    request: RequestNumber,
    work: f64,
    /// Sends the result; dropped without one if the attempt is lost.
    result_sender: oneshot::Sender<ExecutionResult>,
}

/// The process of a server.
pub(super) struct ServerProcess {
    model: ServerModel,
    /// When it last started; 0 if it was warm when the run began, 1 if it was cold.
    started_at: Micros,
    draining: bool,
    malformed_share: f64,
    reset_share: f64,
    /// By id of the job in the model.
    executions: HashMap<u64, Execution>,
    next_job_id: u64,
    random: RandomStream,
    /// Events of the model that are not applied yet.
    events: Vec<ServerModelEvent>,
}

impl ServerProcess {
    pub(super) fn new(model: ServerModel, cold: bool, random: RandomStream) -> Self {
        Self {
            model,
            started_at: u64::from(cold),
            draining: false,
            malformed_share: 0.0,
            reset_share: 0.0,
            executions: HashMap::new(),
            next_job_id: 1,
            random,
            events: Vec::new(),
        }
    }

    pub(super) fn started_at(&self) -> Micros {
        self.started_at
    }

    pub(super) fn machine_type(&self) -> &MachineType {
        self.model.machine_type()
    }

    pub(super) fn is_paused(&self) -> bool {
        self.model.state() == RunState::Paused
    }

    /// The attempts in flight and the open connections.
    pub(super) fn gauges(&self) -> (u32, u32) {
        (
            u32_from_count(self.model.in_flight()),
            u32_from_count(self.model.connections()),
        )
    }

    /// Draws a random number from 0 to 1.
    pub(super) fn random_unit(&mut self) -> f64 {
        self.random.uniform()
    }

    pub(super) fn next_event_at(&self) -> Option<Micros> {
        self.model.next_event_at()
    }

    pub(super) fn advance(&mut self, now: Micros) {
        self.model.advance(now, &mut self.events);
    }

    /// Applies the events of the model; returns true if the server was overloaded and shut down.
    /// `on_work_done` is called with the request and the work of each completed execution.
    pub(super) fn apply_events(
        &mut self,
        mut on_work_done: impl FnMut(RequestNumber, f64),
    ) -> bool {
        let mut overloaded = false;
        for event in std::mem::take(&mut self.events) {
            match event {
                ServerModelEvent::Started(_) => {}
                ServerModelEvent::Completed { id, error } => {
                    if let Some(execution) = self.executions.remove(&id) {
                        on_work_done(execution.request, execution.work);
                        let _ = execution
                            .result_sender
                            .send(ExecutionResult::from_error(error));
                    }
                }
                ServerModelEvent::Expired(id) => drop(self.executions.remove(&id)),
                ServerModelEvent::OverloadShutdown => overloaded = true,
            }
        }
        overloaded
    }

    /// Opens a connection; returns false if the server is at its limit of connections.
    pub(super) fn try_connect(&mut self) -> bool {
        self.model.try_connect()
    }

    pub(super) fn on_disconnected(&mut self) {
        self.model.on_disconnected();
    }

    /// The load report of a health check; `None` if the check is rejected.
    pub(super) fn answer_health_check(&mut self, now: Micros) -> Option<LoadReport> {
        self.model.answer_health_check(now, &mut self.events)
    }

    pub(super) fn try_accept(&mut self, now: Micros, request: AdmissionRequest) -> Admission {
        let work = self.draw_work(request.work, request.noise);
        let capacity = self.model.capacity(now);
        let cold = self.model.is_cold(now);
        if request.new_connection {
            self.model.on_handshake(now, &mut self.events);
        }
        let job = Job {
            id: self.next_job_id,
            work,
            deadline: request.deadline,
        };
        self.next_job_id += 1;
        Admission {
            work,
            capacity,
            cold,
            accepted: self.try_start(now, job, request.request),
        }
    }

    /// Starts a job in the model; `None` if it is rejected.
    fn try_start(
        &mut self,
        now: Micros,
        job: Job,
        request: RequestNumber,
    ) -> Option<AcceptedAttempt> {
        let accepted = !self.draining && self.model.try_accept(now, job, &mut self.events);
        if !accepted {
            return None;
        }
        let (result_sender, result) = oneshot::channel();
        let execution = Execution {
            request,
            work: job.work,
            result_sender,
        };
        self.executions.insert(job.id, execution);
        Some(AcceptedAttempt {
            job_id: job.id,
            result,
        })
    }

    /// Draws the actual work. A random number is drawn even if there is no noise: later draws must
    /// not depend on the noise.
    fn draw_work(&mut self, expected: f64, noise: f64) -> f64 {
        let factor = noise * self.random.normal() - noise * noise / 2.0;
        if noise > 0.0 {
            expected * factor.exp()
        } else {
            expected
        }
    }

    /// Cancels an attempt whose connection was closed, unless the model must complete it.
    pub(super) fn cancel(&mut self, now: Micros, job_id: u64) {
        if self.model.cancel(now, job_id, &mut self.events) {
            self.executions.remove(&job_id);
        }
    }

    pub(super) fn draw_response_outcome(&mut self, now: Micros) -> ResponseOutcome {
        let reported_in_flight = self.model.response_load_report(now);
        ResponseOutcome {
            malformed: self.random.bernoulli(self.malformed_share),
            reset: self.random.bernoulli(self.reset_share),
            reported_in_flight,
        }
    }

    /// Stops the process; all executions are lost.
    pub(super) fn stop(&mut self, now: Micros) {
        self.model.set_state(now, RunState::Down, &mut self.events);
        self.executions.clear();
    }

    pub(super) fn start(&mut self, now: Micros) {
        self.model.set_state(now, RunState::Up, &mut self.events);
        self.draining = false;
        self.started_at = now;
    }

    pub(super) fn pause(&mut self, now: Micros) {
        self.set_state_unless_down(now, RunState::Paused);
    }

    pub(super) fn resume(&mut self, now: Micros) {
        self.set_state_unless_down(now, RunState::Up);
    }

    fn set_state_unless_down(&mut self, now: Micros, state: RunState) {
        if self.model.state() != RunState::Down {
            self.model.set_state(now, state, &mut self.events);
        }
    }

    pub(super) fn set_slowdown(&mut self, now: Micros, factor: f64) {
        self.model.set_slowdown(now, factor, &mut self.events);
    }

    pub(super) fn set_draining(&mut self) {
        self.draining = true;
    }

    /// Sets the share of attempts that end in an error; `None` restores that of the machine type.
    pub(super) fn set_error_rate(&mut self, share: Option<f64>) {
        self.model.set_error_rate(share);
    }

    pub(super) fn set_malformed_share(&mut self, share: f64) {
        self.malformed_share = share;
    }

    pub(super) fn set_reset_share(&mut self, share: f64) {
        self.reset_share = share;
    }
}
