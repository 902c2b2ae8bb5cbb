//! Reads the record of either engine for the figures: service as the brief weighs it, answers by class over
//! time, latencies, work wasted, crossings, probes and connections.

use hdrhistogram::Histogram;

use rustc_hash::FxHashMap;

use crate::ledger::{Entry, Fate, How, Ledger, Life, Line};
use crate::report::{ClassFigures, Fleet, Report, Second, ShopFigures};
use crate::scenario::{Day, Micros, from_ms};

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

/// Reads the record; [`Tally::report`] sums it up.
pub struct Tally {
    day: Day,
    asks: FxHashMap<u64, Ask>,
    runs: FxHashMap<u64, f64>,
    whole: Worth,
    by_class: Vec<Worth>,
    by_shop: Vec<Worth>,
    seconds: Vec<Second>,
    worths: Vec<Worth>,
    class_counts: Vec<FxHashMap<How, u64>>,
    class_latency: Vec<Histogram<u64>>,
    latency: Histogram<u64>,
    fleet: Vec<Fleet>,
    work_done: f64,
    work_useful: f64,
    asked: u64,
    tries: u64,
    transactions: u64,
    answered: FxHashMap<How, u64>,
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

impl Tally {
    pub fn new(day: &Day) -> Self {
        let seconds = day.seconds.ceil() as usize + 1;
        let classes = day.class.len();
        Self {
            day: day.clone(),
            asks: FxHashMap::default(),
            runs: FxHashMap::default(),
            whole: Worth::default(),
            by_class: vec![Worth::default(); classes],
            by_shop: vec![Worth::default(); day.shop.len()],
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

    fn server(&mut self, server: u32) -> &mut Fleet {
        let server = server as usize;
        if self.fleet.len() <= server {
            self.fleet.resize_with(server + 1, Fleet::default);
        }
        &mut self.fleet[server]
    }

    fn closed(&mut self, at: Micros, ask: u64, how: How, tries: u32) {
        let Some(ask) = self.asks.remove(&ask) else {
            return;
        };
        self.tries += u64::from(tries);
        let class = usize::from(ask.class);
        let Some(rules) = self.day.class.get(class) else {
            return;
        };
        let (took, aim) = (at.saturating_sub(ask.at), from_ms(rules.aim_ms));
        let in_time = how == How::Served && took <= aim;
        let late = if how == How::Served {
            rules.late_worth
        } else {
            0.0
        };
        let gained = if in_time { 1.0 } else { late };
        if how == How::Left {
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
        if how == How::Served {
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
            + prices.probe * self.probes as f64 / asked
            + prices.handshake * self.handshakes as f64 / asked
            + prices.waste * waste / offered.max(1.0)
            + prices.late_fail * self.late_worth / self.whole.asked.max(f64::MIN_POSITIVE);
        let names = |how: &FxHashMap<How, u64>| {
            let mut list: Vec<(How, u64)> = how.iter().map(|(&h, &n)| (h, n)).collect();
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
        let shops = self.day.shop.iter().zip(&self.by_shop);
        let shops = shops.map(|(shop, worth)| ShopFigures {
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
            whole: parts[0],
            worst_stretch: parts[1],
            worst_class: parts[2],
            worst_shop: parts[3],
            asked: self.asked,
            tries: self.tries,
            transactions: self.transactions,
            answered: names(&self.answered),
            routed: self.routed,
            crossing: self.crossing,
            probes: self.probes,
            handshakes: self.handshakes,
            list_calls: self.calls.iter().map(|&c| u64::from(c)).sum(),
            list_calls_peak: self.calls.iter().copied().max().unwrap_or(0),
            wasted: waste / self.work_done.max(1.0),
            latency_ms: quantiles(&self.latency),
            recovered_s: self.recovery(),
            classes: classes.collect(),
            shops: shops.collect(),
            timeline: self.seconds[..seconds].to_vec(),
            fleet: self.fleet.clone(),
            ..Report::default()
        }
    }
}

impl Ledger for Tally {
    fn note(&mut self, line: &Line) {
        let second = (line.at / 1_000_000) as usize;
        match line.entry {
            Entry::Asked {
                ask,
                class,
                shop,
                within,
                work,
                ..
            } => {
                self.asked += 1;
                let by_work = |mean: f64| {
                    if self.day.load.worth_by_work {
                        work / mean / 1_000.0
                    } else {
                        1.0
                    }
                };
                let class_of = self.day.class.get(usize::from(class));
                let full = class_of.map_or(0.0, |c| c.worth * by_work(c.work_ms));
                let worth = if within {
                    full
                } else {
                    full * self.day.rules.over_share_worth
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
            Entry::Taken { .. } => self.transactions += 1,
            Entry::Began {
                server, crossing, ..
            } => {
                self.routed += 1;
                self.crossing += u64::from(crossing);
                self.server(server).routed += 1;
            }
            Entry::Arrived { server, .. } => self.server(server).arrived += 1,
            Entry::TurnedAway { server, .. } => self.server(server).turned_away += 1,
            Entry::Ran { tx, server, work } => {
                self.work_done += work;
                self.server(server).work_s += work / 1e6;
                self.runs.insert(tx, work);
            }
            Entry::Answered { tx, how } => {
                let work = self.runs.remove(&tx).unwrap_or(0.0);
                if how == How::Served {
                    self.work_useful += work;
                }
                *self.answered.entry(how).or_default() += 1;
            }
            Entry::Left { tx } => drop(self.runs.remove(&tx)),
            Entry::Closed { ask, how, tries } => self.closed(line.at, ask, how, tries),
            Entry::Sidecar { life: Life::Up, .. } if line.at > 0 => self.restarts.push(line.at),
            Entry::Server { server, fate, .. } => {
                let fallen = fate == Fate::Fallen;
                let site = self.server(server);
                site.fell |= fallen;
            }
            Entry::Probed { server, .. } => {
                self.probes += 1;
                self.server(server).probes += 1;
            }
            Entry::Opened { server } => {
                self.handshakes += 1;
                self.server(server).handshakes += 1;
            }
            Entry::Called { .. } => {
                if let Some(calls) = self.calls.get_mut(second) {
                    *calls += 1;
                }
            }
            Entry::Gauge {
                server,
                held,
                connections,
            } => {
                let site = self.server(server);
                site.gauges += 1;
                site.held_sum += u64::from(held);
                site.connections_sum += u64::from(connections);
                site.held_most = site.held_most.max(held);
                site.connections_most = site.connections_most.max(connections);
            }
            _ => {}
        }
    }
}
