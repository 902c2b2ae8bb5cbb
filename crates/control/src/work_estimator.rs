//! The work of requests by class and the pace of job servers, learnt from what was served.
//!
//! How long an answer takes says little about its work where it had to wait. So only attempts are counted that
//! went to a job server which had just said that nothing waits there. A class's work is the mean of those,
//! each set against the pace of its job server; a job server's pace is the mean of what it took against the
//! work of the class. Both are robust: one sample counts as at most a few times what was expected.

use std::collections::BTreeMap;

use arrowstand_balancer::{ClassId, LoadReport, Micros, ServerId};

/// A report counts for a send within this time.
const FRESH: Micros = 20_000;
/// Requests that may wait at a job server that counts as free: less than one, as reports are noisy.
const FREE: f64 = 0.5;
/// Samples after which a class's work is told.
const ENOUGH: u32 = 20;
/// Weight of a new sample, once there are many.
const WEIGHT: f64 = 0.01;
const PACE_WEIGHT: f64 = 0.05;
/// One sample counts as at most this many times what was expected: a costly request in fifty, 26 times the
/// usual work, then moves the mean by a few per cent and not by half.
const MOST: f64 = 4.0;
/// Job servers whose pace is kept; the one not heard of for longest gives way.
const SERVERS_MOST: usize = 4_096;

/// A send, as it was when it began.
#[derive(Clone, Copy, Debug)]
pub struct SendSample {
    server: ServerId,
    /// The job server had just said that nothing waits there.
    free: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct BoundedMean {
    samples: u32,
    value: f64,
}

impl BoundedMean {
    /// Takes in a sample, of which at most a few times the value counts.
    fn record(&mut self, sample: f64, weight: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = weight.max(1.0 / f64::from(self.samples));
        let bounded = if self.samples > 5 {
            sample.min(MOST * self.value)
        } else {
            sample
        };
        self.value += weight * (bounded - self.value);
    }
}

#[derive(Clone, Copy, Debug)]
struct ServerEstimate {
    waiting: f64,
    at: Micros,
    pace: BoundedMean,
}

/// What was learnt.
#[derive(Clone, Debug, Default)]
pub struct WorkEstimator {
    classes: Vec<BoundedMean>,
    sites: BTreeMap<ServerId, ServerEstimate>,
    /// Mean pace of the job servers that served what was counted. Guards against drift: a class's work that
    /// rises while all paces fall would say the same of every sample.
    usual: BoundedMean,
}

impl WorkEstimator {
    /// Nothing known of so many classes.
    pub fn new(classes: usize) -> Self {
        Self {
            classes: vec![BoundedMean::default(); classes],
            ..Self::default()
        }
    }

    /// A job server has told its load.
    pub fn on_load_report(&mut self, now: Micros, server: ServerId, report: LoadReport) {
        if !report.queued.is_finite() {
            return;
        }
        let new = ServerEstimate {
            waiting: 0.0,
            at: 0,
            pace: BoundedMean {
                samples: 0,
                value: 1.0,
            },
        };
        let site = self.sites.entry(server).or_insert(new);
        (site.waiting, site.at) = (report.queued, now);
        if self.sites.len() > SERVERS_MOST
            && let Some(&oldest) = self
                .sites
                .iter()
                .min_by_key(|(_, s)| s.at)
                .map(|(id, _)| id)
        {
            self.sites.remove(&oldest);
        }
    }

    /// An attempt goes out to a job server; to be kept with it.
    pub fn on_attempt_started(&mut self, now: Micros, server: ServerId) -> SendSample {
        let Some(site) = self.sites.get_mut(&server) else {
            return SendSample {
                server,
                free: false,
            };
        };
        let free = now.saturating_sub(site.at) <= FRESH && site.waiting < FREE;
        // What goes out now may be what the next one waits for.
        site.waiting += FREE;
        SendSample { server, free }
    }

    /// An attempt was served after a time in microseconds.
    pub fn on_attempt_served(&mut self, class: ClassId, sent: &SendSample, elapsed: Micros) {
        let (Some(known), true) = (self.classes.get_mut(usize::from(class.0)), sent.free) else {
            return;
        };
        let pace = self
            .sites
            .get(&sent.server)
            .map_or(1.0, |s| s.pace.value)
            .max(0.05);
        self.usual.record(pace, WEIGHT);
        known.record(elapsed as f64 / (pace / self.usual.value.max(0.05)), WEIGHT);
        let expected = known.value;
        if known.samples >= ENOUGH
            && expected > 0.0
            && let Some(site) = self.sites.get_mut(&sent.server)
        {
            site.pace
                .record((elapsed as f64 / expected).min(MOST), PACE_WEIGHT);
        }
    }

    /// Expected work of a request of a class, in microseconds on a usual job server; nothing until all classes
    /// have been seen often enough, as sizes count against each other.
    pub fn expected_work(&self, class: ClassId) -> Option<Micros> {
        let known = self.classes.get(usize::from(class.0))?;
        let enough = self.classes.iter().all(|c| c.samples >= ENOUGH);
        (enough && known.value >= 1.0).then_some(known.value as Micros)
    }

    /// How much longer than a usual job server this one takes.
    pub fn latency_factor(&self, server: ServerId) -> Option<f64> {
        let site = self
            .sites
            .get(&server)
            .filter(|s| s.pace.samples >= ENOUGH)?;
        Some(site.pace.value / self.usual.value.max(0.05))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const FREE_REPORT: LoadReport = LoadReport {
        in_flight: 1.0,
        queued: 0.0,
    };

    fn serve(work: &mut WorkEstimator, now: Micros, class: u16, server: u32, elapsed: Micros) {
        let server = ServerId(server);
        work.on_load_report(now, server, FREE_REPORT);
        let sent = work.on_attempt_started(now, server);
        work.on_attempt_served(ClassId(class), &sent, elapsed);
    }

    #[test]
    fn classes_are_told_apart_once_all_are_known() {
        let mut work = WorkEstimator::new(2);
        (0..30).for_each(|n| serve(&mut work, n * 1_000, 0, 0, 40_000));
        assert_eq!(work.expected_work(ClassId(0)), None);
        (30..60).for_each(|n| serve(&mut work, n * 1_000, 1, 0, 110_000));
        assert!(
            work.expected_work(ClassId(0))
                .is_some_and(|w| (39_000..41_000).contains(&w))
        );
        assert!(
            work.expected_work(ClassId(1))
                .is_some_and(|w| (100_000..120_000).contains(&w))
        );
    }

    #[test]
    fn what_had_to_wait_teaches_nothing() {
        let mut work = WorkEstimator::new(1);
        (0..30).for_each(|n| serve(&mut work, n * 1_000, 0, 0, 40_000));
        let before = work.expected_work(ClassId(0));
        work.on_load_report(
            40_000,
            ServerId(0),
            LoadReport {
                in_flight: 9.0,
                queued: 6.0,
            },
        );
        for _ in 0..200 {
            let sent = work.on_attempt_started(40_000, ServerId(0));
            work.on_attempt_served(ClassId(0), &sent, 900_000);
        }
        // Nor does a report that is too old.
        work.on_load_report(50_000, ServerId(0), FREE_REPORT);
        let sent = work.on_attempt_started(50_001 + FRESH, ServerId(0));
        work.on_attempt_served(ClassId(0), &sent, 900_000);
        assert_eq!(work.expected_work(ClassId(0)), before);
    }

    #[test]
    fn a_costly_request_in_fifty_does_not_move_it_far() {
        let mut work = WorkEstimator::new(1);
        (0..20_000).for_each(|n| {
            serve(
                &mut work,
                n,
                0,
                0,
                if n % 50 == 7 { 26 * 40_000 } else { 40_000 },
            )
        });
        let known = work.expected_work(ClassId(0)).expect("known");
        assert!((38_000..44_000).contains(&known), "{known}");
    }

    #[test]
    fn a_slow_job_server_is_known_by_its_pace_and_moves_no_class() {
        let mut work = WorkEstimator::new(1);
        for n in 0..3_000u64 {
            let server = (n % 4) as u32;
            serve(
                &mut work,
                n,
                0,
                server,
                if server == 3 { 80_000 } else { 40_000 },
            );
        }
        let (slow, usual) = (
            work.latency_factor(ServerId(3)).expect("known"),
            work.latency_factor(ServerId(0)).expect("known"),
        );
        assert!((1.8..2.2).contains(&(slow / usual)), "{slow} {usual}");
    }

    proptest! {
        /// Whatever is reported and served, what is told stays finite, positive and within what was seen.
        #[test]
        fn stays_within_what_was_seen(
            seen in prop::collection::vec((0u16..3, 0u32..6, 1u64..5_000_000, -1.0f64..40.0), 0..400),
        ) {
            let mut work = WorkEstimator::new(3);
            for (n, (class, server, elapsed, waiting)) in seen.iter().enumerate() {
                work.on_load_report(n as Micros, ServerId(*server), LoadReport { in_flight: 1.0, queued: *waiting });
                let sent = work.on_attempt_started(n as Micros, ServerId(*server));
                work.on_attempt_served(ClassId(*class), &sent, *elapsed);
            }
            for class in 0..3 {
                if let Some(known) = work.expected_work(ClassId(class)) {
                    prop_assert!((1..=100_000_000).contains(&known));
                }
            }
            prop_assert_eq!(work.expected_work(ClassId(9)), None);
        }
    }
}
