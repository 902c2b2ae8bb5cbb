//! Hosts the balancers: interns names per instance and turns wire events into library events.

use std::collections::HashMap;

use arrowstand_balancer::{
    Action, AttemptEnd, ClassId, DeduplicationScope, Endpoint, EndpointStatus, Event, Idempotency,
    IncomingRequest, LoadReport, Micros, Outcome, RequestClass, RequestId, ServerId, Settings,
    UpdateKind,
};
use arrowstand_control::{MachineCatalogue, WorkAwareBalancer, stable_hash};

use crate::wire::{Arrival, Batch, Conf, Reply, decode, micros};

type Result<T> = std::result::Result<T, String>;

/// Everything that one process hosts.
#[derive(Default)]
pub struct Host {
    instances: HashMap<String, Instance>,
    tables: HashMap<usize, Vec<Line>>,
    actions: Vec<Action>,
}

/// A list line, kept until its table number is used again.
struct Line {
    server: String,
    condition: EndpointStatus,
    launched: Option<Micros>,
    cell: u32,
    area: String,
    model: String,
}

struct Instance {
    balancer: WorkAwareBalancer,
    ids: HashMap<String, u32>,
    names: Vec<String>,
    classes: Vec<String>,
    zones: Vec<String>,
    machines: MachineCatalogue,
    report: ReportShape,
}

/// Where in a load report the known values stand.
#[derive(Clone, Copy, Default)]
struct ReportShape {
    held: Option<usize>,
    waiting: Option<usize>,
}

fn need<T>(value: Option<T>, msg: &str, field: &str) -> Result<T> {
    value.ok_or_else(|| format!("{msg}: field {field} is missing"))
}

fn outcome(code: &str) -> Result<Outcome> {
    Ok(match code {
        "served" => Outcome::Served,
        "server_error" => Outcome::ServerError,
        "turned_away" => Outcome::Rejected,
        "no_answer" => Outcome::TimedOut,
        "no_connection" => Outcome::ConnectFailed,
        "connection_lost" => Outcome::Reset,
        "called_off" => Outcome::Cancelled,
        "not_sent" => Outcome::NotSent,
        other => return Err(format!("unknown rc {other:?}")),
    })
}

fn request_id(event: &Arrival) -> Result<RequestId> {
    let text = need(event.txn, event.msg, "txn")?;
    let id = u64::from_str_radix(text, 16);
    id.map(RequestId)
        .map_err(|_| format!("{}: txn {text:?} is not a request id", event.msg))
}

fn settings(conf: &Conf) -> Result<(Settings, ReportShape)> {
    let mut classes = Vec::with_capacity(conf.request_classes.len());
    for c in &conf.request_classes {
        let semantics = match c.semantics.as_str() {
            "pure" => Idempotency::Idempotent,
            "token" => Idempotency::IdempotencyKey,
            "side_effect" => Idempotency::NonIdempotent,
            other => return Err(format!("class {}: unknown semantics {other:?}", c.name)),
        };
        let scope = match c.dedup_scope.as_deref() {
            None | Some("all") => DeduplicationScope::All,
            Some("zone") => DeduplicationScope::Zone,
            Some("cell") => DeduplicationScope::Cell,
            Some(other) => return Err(format!("class {}: unknown scope {other:?}", c.name)),
        };
        classes.push(RequestClass {
            priority_weight: c.importance.unwrap_or(1.0),
            late_value: c.late_value.unwrap_or(0.0),
            objective_per_work: c.aim_stretch.unwrap_or(0.0),
            deduplication_scope: scope,
            deduplication_window: micros(c.window_ms.unwrap_or(0.0)),
            streamed: c.streamed.unwrap_or(false),
            ..RequestClass::new(semantics, micros(c.objective_ms), micros(c.deadline_ms))
        });
    }
    let position = |name: &str| conf.report.fields.iter().position(|f| f == name);
    let shape = ReportShape {
        held: position("active"),
        waiting: position("waiting"),
    };
    let zone = conf.zones.iter().position(|z| Some(z) == conf.az.as_ref());
    let (permissions, safety, base) = (&conf.permissions, &conf.safety, Settings::default());
    let settings = Settings {
        classes,
        zone: zone.map_or(u32::MAX, |z| z as u32),
        balancer_index: conf.my_number.unwrap_or(0),
        balancer_count: conf.balancers.unwrap_or(1),
        step: conf.step_ms.map_or(base.step, micros),
        cancellation: permissions.cancel,
        health_checks: permissions.probes,
        gossip: permissions.peers,
        hedging: permissions.may_duplicate,
        retry_after: permissions.retry_after,
        max_retry_after: micros(permissions.max_retry_after_ms),
        max_attempts: permissions.max_attempts.unwrap_or(base.max_attempts),
        health_check_fee: conf.fees.probe,
        handshake_fee: conf.fees.handshake,
        idle_timeout: permissions.idle_close_ms.map_or(base.idle_timeout, micros),
        connection_fee: conf.fees.connection,
        cross_zone_fee: conf.fees.cross_zone,
        load_reports: shape.held.is_some() && conf.report.source != "none",
        load_reports_in_responses: conf.report.source == "answers",
        weight_by_work: conf.worth_by.as_deref() == Some("work"),
        poll_endpoints: conf.membership_mode.as_deref() == Some("on_request"),
        max_poll_interval: safety.ask_every_ms.map_or(base.max_poll_interval, micros),
        only_draining_binds: safety.only_draining_binds,
        cold_capacity_share: safety.cold_from.unwrap_or(base.cold_capacity_share),
        slow_start_time: safety.cold_ms.map_or(base.slow_start_time, micros),
        cold_overload_factor: safety.overload_factor.unwrap_or(base.cold_overload_factor),
        cold_overload_window: safety.fall_ms.map_or(base.cold_overload_window, micros),
    };
    Ok((settings, shape))
}

impl Instance {
    fn attach(event: &Arrival) -> Result<Self> {
        let conf = need(event.conf.as_ref(), event.msg, "conf")?;
        let seed = need(event.random_seed, event.msg, "random-seed")?;
        let (settings, report) = settings(conf)?;
        Ok(Self {
            balancer: WorkAwareBalancer::new(settings, seed).map_err(|e| e.to_string())?,
            ids: HashMap::new(),
            names: Vec::new(),
            classes: conf
                .request_classes
                .iter()
                .map(|c| c.name.clone())
                .collect(),
            zones: conf.zones.clone(),
            // Told nothing of them: they have numbers, and what they can do is learnt.
            machines: MachineCatalogue::default(),
            report,
        })
    }

    fn intern(&mut self, name: &str) -> ServerId {
        if let Some(&id) = self.ids.get(name) {
            return ServerId(id);
        }
        let id = self.names.len() as u32;
        self.ids.insert(name.to_owned(), id);
        self.names.push(name.to_owned());
        ServerId(id)
    }

    fn member(&mut self, line: &Line) -> Endpoint {
        let zone = match self.zones.iter().position(|z| *z == line.area) {
            Some(known) => known,
            None => {
                self.zones.push(line.area.clone());
                self.zones.len() - 1
            }
        };
        Endpoint {
            server: self.intern(&line.server),
            stable_hash: stable_hash(&line.server),
            status: line.condition,
            incarnation: line.launched,
            zone: zone as u32,
            cell: line.cell,
            machine_type: self.machines.lookup(&line.model),
        }
    }

    fn load(&self, stats: Option<&[Option<f64>]>) -> Option<LoadReport> {
        let stats = stats?;
        let at = |place: Option<usize>| stats.get(place?).copied().flatten();
        let held = at(self.report.held)?;
        Some(LoadReport {
            in_flight: held,
            queued: at(self.report.waiting).unwrap_or(0.0),
        })
    }

    /// The library event for a wire event; `None` where the wire event asks for nothing.
    fn event(&mut self, event: &Arrival, tables: &HashMap<usize, Vec<Line>>) -> Result<Event> {
        let msg = event.msg;
        let server = |this: &mut Self| -> Result<ServerId> {
            Ok(this.intern(need(event.server, msg, "server")?))
        };
        Ok(match msg {
            "roster-change" => {
                let kind = match need(event.kind, msg, "kind")? {
                    "incr" => UpdateKind::Incremental,
                    "total" => UpdateKind::Full,
                    "warm_copy" => UpdateKind::Cached,
                    "lost" => UpdateKind::Lost,
                    other => return Err(format!("{msg}: unknown kind {other:?}")),
                };
                let mut entries = Vec::new();
                if kind != UpdateKind::Lost {
                    let number = need(event.table, msg, "table")?;
                    let lines = tables.get(&number);
                    let lines = lines.ok_or_else(|| format!("{msg}: no roster {number}"))?;
                    entries.extend(lines.iter().map(|line| self.member(line)));
                }
                Event::EndpointsUpdated {
                    kind,
                    version: event.r#gen.unwrap_or(0),
                    endpoints: entries,
                }
            }
            "request" => {
                let name = need(event.grade, msg, "grade")?;
                let class = self.classes.iter().position(|c| c == name);
                let class = class.ok_or_else(|| format!("{msg}: unknown grade {name:?}"))?;
                Event::RequestArrived(IncomingRequest {
                    id: request_id(event)?,
                    class: ClassId(class as u16),
                    time_left: micros(event.left_ms.unwrap_or(0.0)),
                    work_hint: event.size_hint_ms.map(micros),
                })
            }
            "ack-first" => Event::ResponseStarted {
                request: request_id(event)?,
            },
            "response" => Event::AttemptEnded(AttemptEnd {
                request: request_id(event)?,
                attempt: need(event.n, msg, "n")?,
                server: server(self)?,
                outcome: outcome(need(event.rc, msg, "rc")?)?,
                finished: need(event.finished, msg, "finished")?,
                elapsed: micros(event.time_taken_ms.unwrap_or(0.0)),
                load_report: self.load(event.stats.as_deref()),
            }),
            "dropped" => Event::ClientDisconnected {
                request: request_id(event)?,
            },
            "wakeup" => Event::TimerFired {
                token: need(event.cookie, msg, "cookie")?,
            },
            "health" => Event::HealthCheckEnded {
                server: server(self)?,
                outcome: outcome(need(event.rc, msg, "rc")?)?,
                load_report: self.load(event.stats.as_deref()),
            },
            "whisper" => Event::GossipReceived {
                from: need(event.by, msg, "by")?,
                message: decode(need(event.contents, msg, "contents")?)?,
            },
            other => return Err(format!("unknown message {other:?}")),
        })
    }

    fn write(&self, instance: &str, action: &Action, reply: &mut Reply) {
        let name = |id: &ServerId| self.names.get(id.0 as usize).map_or("", String::as_str);
        match action {
            Action::Send {
                request,
                server,
                timeout,
            } => {
                let out = reply.begin("transmit", instance).id(request.0);
                out.text("server", name(server));
                if let Some(timeout) = timeout {
                    reply.millis("within-ms", *timeout);
                }
            }
            Action::Cancel { request, attempt } => {
                reply
                    .begin("revoke", instance)
                    .id(request.0)
                    .number("n", attempt);
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                reply.begin("turn-away", instance).id(request.0);
                if let Some(pause) = retry_after {
                    reply.millis("pause-ms", *pause);
                }
            }
            Action::Fail { request } => {
                reply.begin("give-up", instance).id(request.0);
            }
            Action::SetTimer { token, after } => {
                reply.begin("wake-at", instance).number("cookie", token);
                reply.millis("from-now-ms", *after);
            }
            Action::HealthCheck { server } => {
                reply
                    .begin("sound-out", instance)
                    .text("server", name(server));
            }
            Action::SendGossip { to, message } => {
                let to = to.map_or(-1, i64::from);
                reply
                    .begin("share", instance)
                    .number("to", to)
                    .payload(message);
            }
            Action::PollEndpoints => {
                reply.begin("observe", instance).number("want", true);
            }
            Action::Log { text, server } => {
                let about = server.as_ref().map_or("", name);
                reply
                    .begin("journal-line", instance)
                    .text("what", format!("{text} {about}").trim_end());
            }
        }
        reply.end();
    }
}

impl Host {
    /// Hands each event of a batch to its instance and gathers the actions.
    pub fn run(&mut self, batch: &Batch, reply: &mut Reply) -> Result<()> {
        let now = micros(batch.clock);
        for event in &batch.arrivals {
            if event.msg == "roster" {
                self.read_table(event)?;
                continue;
            }
            let name = need(event.i, event.msg, "i")?;
            match event.msg {
                "attach" => {
                    self.instances
                        .insert(name.to_owned(), Instance::attach(event)?);
                }
                "exit" => {
                    self.instances.remove(name);
                }
                _ => {
                    let instance = self.instances.get_mut(name);
                    let instance = instance.ok_or_else(|| format!("unknown instance {name:?}"))?;
                    let event = instance.event(event, &self.tables)?;
                    self.actions.clear();
                    instance.balancer.handle(now, event, &mut self.actions);
                    self.actions
                        .iter()
                        .for_each(|action| instance.write(name, action, reply));
                }
            }
        }
        Ok(())
    }

    fn read_table(&mut self, event: &Arrival) -> Result<()> {
        let number = need(event.table, event.msg, "table")?;
        let entries = need(event.members_list.as_ref(), event.msg, "members-list")?;
        let mut lines = Vec::with_capacity(entries.len());
        for entry in entries {
            let condition = match entry.condition {
                "in_service" => EndpointStatus::Ready,
                "terminating" => EndpointStatus::Draining,
                "terminated" => EndpointStatus::Removed,
                other => return Err(format!("roster: unknown condition {other:?}")),
            };
            lines.push(Line {
                server: entry.server.to_owned(),
                condition,
                launched: entry.launched_ms.map(micros).filter(|&at| at > 0),
                cell: entry.pod.unwrap_or(0),
                area: entry.area.unwrap_or("").to_owned(),
                model: entry.model.unwrap_or("").to_owned(),
            });
        }
        self.tables.insert(number, lines);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
