//! Reads the record of either engine for the figures: service as the brief weighs it, answers by class over
//! time, latencies, work wasted, crossings, probes and connections.

use hdrhistogram::Histogram;

use rustc_hash::FxHashMap;

use crate::event_log::{EventLog, LogEvent, LogRecord, ProcessState, RequestOutcome, ServerState};
use crate::report::{ClassFigures, Report, Second, ServerFigures, TenantFigures};
use crate::scenario::{Micros, Scenario, from_ms};

/// Weights of the whole day, the worst stretch, the worst class and the worst shop.
const WEIGHTS: [f64; 4] = [0.25, 0.45, 0.20, 0.10];
/// Seconds of the worst stretch.
const STRETCH: usize = 10;
/// Share of the service before a restart that counts as recovered.
const RECOVERED: f64 = 0.95;

struct Ask {
    at: Micros,
    class: u16,
    shop: u16,
    worth: f64,
    within: bool,
}

/// Worth asked for and gained.
#[derive(Clone, Copy, Default)]
struct Worth {
    asked: f64,
    gained: f64,
}

impl Worth {
    /// Worth asked for, and the share of it that was gained.
    fn add(&mut self, worth: f64, gained: f64) {
        self.asked += worth;
        self.gained += worth * gained;
    }

    fn share(self) -> Option<f64> {
        (self.asked > 0.0).then(|| self.gained / self.asked)
    }
}

/// Reads the record; [`Statistics::report`] sums it up.
pub struct Statistics {
    day: Scenario,
    asks: FxHashMap<u64, Ask>,
    runs: FxHashMap<u64, f64>,
    whole: Worth,
    by_class: Vec<Worth>,
    by_shop: Vec<Worth>,
    seconds: Vec<Second>,
    worths: Vec<Worth>,
    class_counts: Vec<FxHashMap<RequestOutcome, u64>>,
    class_latency: Vec<Histogram<u64>>,
    latency: Histogram<u64>,
    fleet: Vec<ServerFigures>,
    work_done: f64,
    work_useful: f64,
    asked: u64,
    tries: u64,
    transactions: u64,
    answered: FxHashMap<RequestOutcome, u64>,
    routed: u64,
    crossing: u64,
    probes: u64,
    handshakes: u64,
    calls: Vec<u32>,
    late_worth: f64,
    restarts: Vec<Micros>,
}

fn histogram() -> Histogram<u64> {
    // Microseconds up to ten minutes, three digits: the bounds are constants that hdrhistogram accepts.
    Histogram::new_with_bounds(1, 600_000_000, 3).unwrap_or_else(|_| unreachable!("fixed bounds"))
}

impl Statistics {
    pub fn new(day: &Scenario) -> Self {
        let seconds = day.seconds.ceil() as usize + 1;
        let classes = day.class.len();
        Self {
            day: day.clone(),
            asks: FxHashMap::default(),
            runs: FxHashMap::default(),
            whole: Worth::default(),
            by_class: vec![Worth::default(); classes],
            by_shop: vec![Worth::default(); day.tenant.len()],
            seconds: (0..seconds).map(|_| Second::new(classes)).collect(),
            worths: vec![Worth::default(); seconds],
            class_counts: vec![FxHashMap::default(); classes],
            class_latency: vec![histogram(); classes],
            latency: histogram(),
            fleet: Vec::new(),
            work_done: 0.0,
            work_useful: 0.0,
            asked: 0,
            tries: 0,
            transactions: 0,
            answered: FxHashMap::default(),
            routed: 0,
            crossing: 0,
            probes: 0,
            handshakes: 0,
            calls: vec![0; seconds],
            late_worth: 0.0,
            restarts: Vec::new(),
        }
    }

    fn server(&mut self, server: u32) -> &mut ServerFigures {
        let server = server as usize;
        if self.fleet.len() <= server {
            self.fleet.resize_with(server + 1, ServerFigures::default);
        }
        &mut self.fleet[server]
    }

    fn closed(&mut self, at: Micros, ask: u64, how: RequestOutcome, tries: u32) {
        let Some(ask) = self.asks.remove(&ask) else {
            return;
        };
        self.tries += u64::from(tries);
        let class = usize::from(ask.class);
        let Some(rules) = self.day.class.get(class) else {
            return;
        };
        let (took, aim) = (
            at.saturating_sub(ask.at),
            from_ms(rules.latency_objective_ms),
        );
        let in_time = how == RequestOutcome::Served && took <= aim;
        let late = if how == RequestOutcome::Served {
            rules.late_value
        } else {
            0.0
        };
        let gained = if in_time { 1.0 } else { late };
        if how == RequestOutcome::Disconnected {
            return;
        }
        if !in_time && took > aim {
            self.late_worth += ask.worth * (1.0 - gained);
        }
        self.whole.add(ask.worth, gained);
        self.by_class[class].add(ask.worth, gained);
        if ask.within
            && let Some(shop) = self.by_shop.get_mut(usize::from(ask.shop))
        {
            shop.add(ask.worth, gained);
        }
        let second = (ask.at / 1_000_000) as usize;
        if let (Some(worth), Some(second)) =
            (self.worths.get_mut(second), self.seconds.get_mut(second))
        {
            worth.add(ask.worth, gained);
            second.add(class, how, in_time);
        }
        *self.class_counts[class].entry(how).or_default() += 1;
        if how == RequestOutcome::Served {
            self.latency.saturating_record(took.max(1));
            self.class_latency[class].saturating_record(took.max(1));
        }
    }

    fn worst_stretch(&self) -> f64 {
        let length = (self.day.seconds.floor() as usize).max(1);
        let worths = &self.worths[..length.min(self.worths.len())];
        let share = |part: &[Worth]| {
            let sum = |f: fn(&Worth) -> f64| part.iter().map(f).sum::<f64>();
            Worth {
                asked: sum(|w| w.asked),
                gained: sum(|w| w.gained),
            }
            .share()
        };
        let worst = worths
            .windows(STRETCH.min(length))
            .filter_map(share)
            .fold(f64::INFINITY, f64::min);
        if worst.is_finite() { worst } else { 1.0 }
    }

    /// Seconds from the last restart until two seconds together gave 0.95 of the service before the first.
    fn recovery(&self) -> Option<f64> {
        let (&first, &last) = (self.restarts.first()?, self.restarts.last()?);
        let share = |from: usize, to: usize| {
            let part = self.worths.get(from..to.min(self.worths.len()))?;
            let sum = |f: fn(&Worth) -> f64| part.iter().map(f).sum::<f64>();
            Worth {
                asked: sum(|w| w.asked),
                gained: sum(|w| w.gained),
            }
            .share()
        };
        let before = share(0, ((first / 1_000_000) as usize).max(1))?;
        let from = last.div_ceil(1_000_000) as usize;
        let back = (from..self.worths.len())
            .find(|&s| share(s, s + 2).is_some_and(|now| now >= RECOVERED * before));
        back.map(|s| s as f64 - last as f64 / 1e6)
    }

    /// Sums up. `engine` names what played; `seed` is the day's.
    pub fn report(&self, engine: &str, seed: u64) -> Report {
        let least = |list: &[Worth]| {
            let worst = list
                .iter()
                .filter_map(|w| w.share())
                .fold(f64::INFINITY, f64::min);
            if worst.is_finite() { worst } else { 1.0 }
        };
        let parts = [
            self.whole.share().unwrap_or(1.0),
            self.worst_stretch(),
            least(&self.by_class),
            least(&self.by_shop),
        ];
        let weighed: f64 = parts.iter().zip(WEIGHTS).map(|(p, w)| p * w).sum();
        let (prices, asked) = (&self.day.prices, self.asked.max(1) as f64);
        let waste = (self.work_done - self.work_useful).max(0.0);
        let offered = asked * self.day.mean_work() * 1e6;
        let spent = prices.cross_zone * self.crossing as f64 / asked
            + prices.health_check * self.probes as f64 / asked
            + prices.handshake * self.handshakes as f64 / asked
            + prices.waste * waste / offered.max(1.0)
            + prices.late_fail * self.late_worth / self.whole.asked.max(f64::MIN_POSITIVE);
        let names = |how: &FxHashMap<RequestOutcome, u64>| {
            let mut list: Vec<(RequestOutcome, u64)> = how.iter().map(|(&h, &n)| (h, n)).collect();
            list.sort();
            list
        };
        let quantiles = |h: &Histogram<u64>| {
            [0.5, 0.9, 0.99, 0.999, 1.0].map(|q| h.value_at_quantile(q) as f64 / 1_000.0)
        };
        let classes = self
            .day
            .class
            .iter()
            .enumerate()
            .map(|(i, class)| ClassFigures {
                name: class.name.clone(),
                service: self.by_class[i].share(),
                ended: names(&self.class_counts[i]),
                latency_ms: quantiles(&self.class_latency[i]),
            });
        let shops = self.day.tenant.iter().zip(&self.by_shop);
        let shops = shops.map(|(shop, worth)| TenantFigures {
            name: shop.name.clone(),
            service: worth.share(),
        });
        let seconds = self
            .seconds
            .len()
            .min(self.day.seconds.floor().max(1.0) as usize);
        Report {
            name: self.day.name.clone(),
            engine: engine.to_owned(),
            seed,
            seconds: self.day.seconds,
            sidecars: self.day.sidecars.count,
            servers: self.fleet.len(),
            service: weighed,
            service_after_prices: weighed - spent,
            overall: parts[0],
            worst_window: parts[1],
            worst_class: parts[2],
            worst_tenant: parts[3],
            arrivals: self.asked,
            requests: self.tries,
            accepted: self.transactions,
            responses: names(&self.answered),
            attempts: self.routed,
            cross_zone_attempts: self.crossing,
            health_checks: self.probes,
            handshakes: self.handshakes,
            discovery_polls: self.calls.iter().map(|&c| u64::from(c)).sum(),
            discovery_polls_peak: self.calls.iter().copied().max().unwrap_or(0),
            wasted_work: waste / self.work_done.max(1.0),
            latency_ms: quantiles(&self.latency),
            recovered_s: self.recovery(),
            classes: classes.collect(),
            tenants: shops.collect(),
            timeline: self.seconds[..seconds].to_vec(),
            servers_by_number: self.fleet.clone(),
            ..Report::default()
        }
    }
}

impl EventLog for Statistics {
    fn note(&mut self, line: &LogRecord) {
        let second = (line.at / 1_000_000) as usize;
        match line.event {
            LogEvent::ArrivalStarted {
                arrival: ask,
                class,
                tenant: shop,
                within_share: within,
                work,
                ..
            } => {
                self.asked += 1;
                let by_work = |mean: f64| {
                    if self.day.load.weight_by_work {
                        work / mean / 1_000.0
                    } else {
                        1.0
                    }
                };
                let class_of = self.day.class.get(usize::from(class));
                let full = class_of.map_or(0.0, |c| c.priority_weight * by_work(c.work_ms));
                let worth = if within {
                    full
                } else {
                    full * self.day.rules.over_share_weight
                };
                self.asks.insert(
                    ask,
                    Ask {
                        at: line.at,
                        class,
                        shop,
                        worth,
                        within,
                    },
                );
            }
            LogEvent::RequestAccepted { .. } => self.transactions += 1,
            LogEvent::AttemptStarted {
                server,
                cross_zone: crossing,
                ..
            } => {
                self.routed += 1;
                self.crossing += u64::from(crossing);
                self.server(server).attempts += 1;
            }
            LogEvent::AttemptReceived { server, .. } => self.server(server).received += 1,
            LogEvent::AttemptRejected { server, .. } => self.server(server).rejected += 1,
            LogEvent::WorkDone {
                request: tx,
                server,
                work,
            } => {
                self.work_done += work;
                self.server(server).work_s += work / 1e6;
                self.runs.insert(tx, work);
            }
            LogEvent::ResponseReceived {
                request: tx,
                outcome: how,
            } => {
                let work = self.runs.remove(&tx).unwrap_or(0.0);
                if how == RequestOutcome::Served {
                    self.work_useful += work;
                }
                *self.answered.entry(how).or_default() += 1;
            }
            LogEvent::ClientDisconnected { request: tx } => drop(self.runs.remove(&tx)),
            LogEvent::ArrivalEnded {
                arrival: ask,
                outcome: how,
                requests: tries,
            } => self.closed(line.at, ask, how, tries),
            LogEvent::SidecarStateChanged {
                state: ProcessState::Up,
                ..
            } if line.at > 0 => self.restarts.push(line.at),
            LogEvent::ServerStateChanged {
                server,
                state: fate,
                ..
            } => {
                let fallen = fate == ServerState::Fallen;
                let site = self.server(server);
                site.overloaded_cold |= fallen;
            }
            LogEvent::HealthChecked { server, .. } => {
                self.probes += 1;
                self.server(server).health_checks += 1;
            }
            LogEvent::ConnectionOpened { server } => {
                self.handshakes += 1;
                self.server(server).handshakes += 1;
            }
            LogEvent::DiscoveryPolled { .. } => {
                if let Some(calls) = self.calls.get_mut(second) {
                    *calls += 1;
                }
            }
            LogEvent::ServerGauge {
                server,
                in_flight: held,
                connections,
            } => {
                let site = self.server(server);
                site.gauges += 1;
                site.in_flight_sum += u64::from(held);
                site.connections_sum += u64::from(connections);
                site.in_flight_max = site.in_flight_max.max(held);
                site.connections_max = site.connections_max.max(connections);
            }
            _ => {}
        }
    }
}
