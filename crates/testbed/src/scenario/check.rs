//! What one key alone cannot show: ranges, names that must exist, and a timetable that contradicts itself.

use std::collections::BTreeSet;

use super::*;

/// The most job servers, sidecars and arrivals that one day may have: what the model holds in memory.
const SERVERS_MOST: usize = 20_000;
const SIDECARS_MOST: usize = 50_000;
const ARRIVALS_MOST: f64 = 50e6;

struct Check(Vec<ScenarioError>);

impl Check {
    fn that(&mut self, ok: bool, key: impl Into<String>, why: impl Into<String>) {
        if !ok {
            self.0.push(ScenarioError {
                key: key.into(),
                why: why.into(),
                line: None,
            });
        }
    }

    fn positive(&mut self, value: f64, key: impl Into<String>) {
        self.that(value.is_finite() && value > 0.0, key, "must be above zero");
    }

    fn not_negative(&mut self, value: f64, key: impl Into<String>) {
        self.that(
            value.is_finite() && value >= 0.0,
            key,
            "must not be negative",
        );
    }

    fn share(&mut self, value: f64, key: impl Into<String>) {
        self.that(
            (0.0..=1.0).contains(&value),
            key,
            "must lie between 0 and 1",
        );
    }

    fn unique<'a>(&mut self, names: impl Iterator<Item = &'a str>, list: &str) {
        let mut seen = BTreeSet::new();
        for (i, name) in names.enumerate() {
            self.that(
                !name.is_empty(),
                format!("{list}[{i}].name"),
                "must not be empty",
            );
            self.that(
                seen.insert(name),
                format!("{list}[{i}].name"),
                format!("{name:?} is there twice"),
            );
        }
    }
}

impl Scenario {
    /// Everything that is wrong with it.
    pub fn check(&self) -> Vec<ScenarioError> {
        let mut check = Check(Vec::new());
        check.positive(self.seconds, "seconds");
        self.check_network(&mut check);
        self.check_fleet(&mut check);
        self.check_traffic(&mut check);
        self.check_figures(&mut check);
        for (i, trouble) in self.fault.iter().enumerate() {
            self.check_trouble(&mut check, trouble, &format!("fault[{i}]"));
        }
        if check.0.is_empty() {
            self.check_drains(&mut check);
        }
        check.0
    }

    fn check_network(&self, check: &mut Check) {
        let network = &self.network;
        check.that(
            !network.zones.is_empty(),
            "network.zones",
            "at least one is needed",
        );
        let distinct = network.zones.iter().collect::<BTreeSet<_>>().len() == network.zones.len();
        check.that(distinct, "network.zones", "a zone is there twice");
        check.not_negative(network.same_ms, "network.same_ms");
        check.not_negative(network.cross_ms, "network.cross_ms");
        check.not_negative(network.client_ms, "network.client_ms");
        check.not_negative(network.jitter, "network.jitter");
    }

    fn check_fleet(&self, check: &mut Check) {
        check.unique(
            self.machine_type.iter().map(|k| k.name.as_str()),
            "machine_type",
        );
        for (i, kind) in self.machine_type.iter().enumerate() {
            let key = |name: &str| format!("machine_type[{i}].{name}");
            check.that(kind.cores > 0, key("cores"), "must be above zero");
            check.positive(kind.speed, key("speed"));
            check.that(
                (0.0..1.0).contains(&kind.speed_spread),
                key("speed_spread"),
                "must lie below 1",
            );
            let cold = kind.cold_capacity_share > 0.0 && kind.cold_capacity_share <= 1.0;
            check.that(
                cold,
                key("cold_capacity_share"),
                "must be above 0 and at most 1",
            );
            check.not_negative(kind.slow_start_s, key("slow_start_s"));
            check.share(kind.error_rate, key("error_rate"));
            check.not_negative(kind.thrash, key("thrash"));
            check.positive(kind.thrash_at, key("thrash_at"));
            let slots = kind.slots == 0 || kind.slots >= kind.cores;
            check.that(slots, key("slots"), "must be 0 or no less than cores");
            check.share(kind.full_tax, key("full_tax"));
            check.not_negative(kind.handshake_ms, key("handshake_ms"));
            check.not_negative(kind.handshake_rtts, key("handshake_rtts"));
            check.not_negative(kind.health_check_ms, key("health_check_ms"));
            check.not_negative(kind.health_checks_per_s, key("health_checks_per_s"));
            if let Some(choke) = &kind.choke {
                check.positive(choke.at, key("choke.at"));
                check.that(
                    choke.slower >= 1.0,
                    key("choke.slower"),
                    "must be 1 or more",
                );
                check.that(
                    choke.below < choke.at,
                    key("choke.below"),
                    "must be below choke.at",
                );
                check.not_negative(choke.over_s, key("choke.over_s"));
            }
        }
        for (i, group) in self.servers.iter().enumerate() {
            let known = self
                .machine_type
                .iter()
                .any(|k| k.name == group.machine_type);
            check.that(
                known,
                format!("servers[{i}].machine_type"),
                format!("there is no kind {:?}", group.machine_type),
            );
            self.check_zone(check, group.zone.as_deref(), &format!("servers[{i}].zone"));
        }
        let servers: usize = self.servers.iter().map(|g| g.count).sum();
        check.that(servers > 0, "servers", "at least one job server is needed");
        check.that(
            servers <= SERVERS_MOST,
            "servers",
            format!("more than {SERVERS_MOST} job servers"),
        );
        let sidecars = self.sidecars.count;
        check.that(sidecars > 0, "sidecars.count", "must be above zero");
        check.that(
            sidecars <= SIDECARS_MOST,
            "sidecars.count",
            format!("must be at most {SIDECARS_MOST}"),
        );
        check.not_negative(self.sidecars.skew, "sidecars.skew");
    }

    fn check_zone(&self, check: &mut Check, zone: Option<&str>, key: &str) {
        if let Some(zone) = zone {
            let known = self.network.zones.iter().any(|z| z == zone);
            check.that(known, key, format!("there is no zone {zone:?}"));
        }
    }

    fn check_traffic(&self, check: &mut Check) {
        check.that(!self.class.is_empty(), "class", "at least one is needed");
        check.unique(self.class.iter().map(|c| c.name.as_str()), "class");
        for (i, class) in self.class.iter().enumerate() {
            let key = |name: &str| format!("class[{i}].{name}");
            check.share(class.share, key("share"));
            check.positive(class.work_ms, key("work_ms"));
            check.not_negative(class.cv, key("cv"));
            check.not_negative(class.noise, key("noise"));
            check.positive(class.latency_objective_ms, key("latency_objective_ms"));
            let order = class.deadline_ms >= class.latency_objective_ms;
            check.that(
                order,
                key("deadline_ms"),
                "must not be below latency_objective_ms",
            );
            check.not_negative(class.priority_weight, key("priority_weight"));
            check.share(class.late_value, key("late_value"));
            check.not_negative(
                class.deduplication_window_ms,
                key("deduplication_window_ms"),
            );
        }
        let sum = |shares: &mut dyn Iterator<Item = f64>| shares.sum::<f64>();
        let classes = sum(&mut self.class.iter().map(|c| c.share));
        check.that(
            classes <= 1.0 + 1e-6,
            "class",
            format!("shares add up to {classes:.3}, which is above 1"),
        );
        check.that(classes > 0.0, "class", "no class has a share");
        check.unique(self.tenant.iter().map(|s| s.name.as_str()), "tenant");
        for (i, shop) in self.tenant.iter().enumerate() {
            check.share(shop.share, format!("tenant[{i}].share"));
            check.not_negative(shop.usage, format!("tenant[{i}].usage"));
        }
        let shops = sum(&mut self.tenant.iter().map(|s| s.share));
        check.that(
            shops <= 1.0 + 1e-6,
            "tenant",
            format!("shares add up to {shops:.3}, which is above 1"),
        );
        let load = &self.load;
        check.not_negative(load.rate, "load.rate");
        check.not_negative(load.of_capacity, "load.of_capacity");
        check.share(load.swing, "load.swing");
        check.not_negative(load.work_hints.unwrap_or(0.0), "load.work_hints");
        check.positive(load.period_s, "load.period_s");
        check.not_negative(load.low, "load.low");
        check.that(
            load.high >= load.low,
            "load.high",
            "must not be below load.low",
        );
        check.that(
            load.max_open_requests > 0,
            "load.max_open_requests",
            "must be above zero",
        );
        let arrivals = self.rate().max(if load.shape == LoadShape::Brim {
            load.high * self.full_rate()
        } else {
            0.0
        }) * self.seconds;
        if arrivals.is_finite() {
            let fits = arrivals <= ARRIVALS_MOST;
            check.that(
                fits,
                "load",
                format!("{arrivals:.0} arrivals are more than {ARRIVALS_MOST:.0}"),
            );
        }
        let terminals = &self.clients;
        let [first, last] = terminals.timeout_share;
        let order = first > 0.0 && first <= last && last <= 1.0;
        check.that(
            order,
            "clients.timeout_share",
            "must be two shares in order, above 0 and at most 1",
        );
        let [least, most] = terminals.backoff_ms;
        let order = least >= 0.0 && least <= most && most.is_finite();
        check.that(order, "clients.backoff_ms", "must be two times in order");
        check.share(terminals.honour_retry_after, "clients.honour_retry_after");
        check.share(terminals.disconnect_share, "clients.disconnect_share");
    }

    fn check_figures(&self, check: &mut Check) {
        let discovery = &self.discovery;
        for (value, key) in [
            (discovery.notice_ms, "discovery.notice_ms"),
            (discovery.silent_notice_ms, "discovery.silent_notice_ms"),
            (discovery.add_ms, "discovery.add_ms"),
            (discovery.spread_ms, "discovery.spread_ms"),
            (self.rules.drain_grace_ms, "rules.drain_grace_ms"),
            (self.load_reports.delay_ms, "load_reports.delay_ms"),
            (self.rules.response_grace_ms, "rules.response_grace_ms"),
            (self.rules.emulator_extra_ms, "rules.emulator_extra_ms"),
        ] {
            check.not_negative(value, key);
        }
        for (value, key) in [
            (discovery.capacity, "discovery.capacity"),
            (discovery.timeout_ms, "discovery.timeout_ms"),
            (
                self.permissions.idle_timeout_s,
                "permissions.idle_timeout_s",
            ),
            (
                self.permissions.connect_timeout_ms,
                "permissions.connect_timeout_ms",
            ),
            (
                self.permissions.health_check_timeout_ms,
                "permissions.health_check_timeout_ms",
            ),
            (
                self.permissions.max_poll_interval_ms,
                "permissions.max_poll_interval_ms",
            ),
            (self.load_reports.every_ms, "load_reports.every_ms"),
            (
                self.rules.cold_overload_factor,
                "rules.cold_overload_factor",
            ),
            (
                self.rules.cold_overload_window_ms,
                "rules.cold_overload_window_ms",
            ),
            (self.rules.quota_of_capacity, "rules.quota_of_capacity"),
        ] {
            check.positive(value, key);
        }
        check.that(
            self.permissions.max_attempts > 0,
            "permissions.max_attempts",
            "must be above zero",
        );
        check.share(self.rules.over_share_weight, "rules.over_share_weight");
        for (value, key) in [
            (self.expect.service, "expect.service"),
            (self.expect.served, "expect.served"),
        ] {
            check.share(value.unwrap_or(0.0), key);
        }
    }

    fn check_trouble(&self, check: &mut Check, trouble: &Fault, at: &str) {
        let key = |name: &str| format!("{at}.{name}");
        check.not_negative(trouble.at_s, key("at_s"));
        check.that(
            trouble.at_s < self.seconds,
            key("at_s"),
            "lies after the end of the day",
        );
        check.not_negative(trouble.for_s, key("for_s"));
        check.share(trouble.part, key("part"));
        check.share(trouble.share, key("share"));
        check.positive(trouble.factor, key("factor"));
        check.not_negative(trouble.down_s, key("down_s"));
        check.that(
            trouble.batch > 0.0 && trouble.batch <= 1.0,
            key("batch"),
            "must be above 0 and at most 1",
        );
        self.check_zone(check, trouble.zone.as_deref(), &key("zone"));
        let count = self.fleet().len();
        for (i, name) in trouble.servers.iter().enumerate() {
            let number = name.strip_prefix('s').and_then(|n| n.parse::<usize>().ok());
            let known = number.is_some_and(|n| n < count);
            check.that(
                known,
                format!("{at}.servers[{i}]"),
                format!("there is no job server {name:?}"),
            );
        }
        if trouble.aims_at_servers() {
            let some = !trouble.servers.is_empty() || trouble.part > 0.0 || trouble.zone.is_some();
            check.that(
                some,
                at,
                "names no job servers: servers, part or zone is needed",
            );
        }
        if let Some(name) = &trouble.class {
            let known = self.class.iter().any(|c| c.name == *name);
            check.that(known, key("class"), format!("there is no class {name:?}"));
        }
    }

    /// A drain or crash of a job server that is not there at the time contradicts the timetable.
    fn check_drains(&self, check: &mut Check) {
        let down = |t: &Fault| {
            matches!(
                t.kind,
                FaultKind::Drain | FaultKind::Crash | FaultKind::Silence
            )
        };
        for (i, later) in self.fault.iter().enumerate().filter(|(_, t)| down(t)) {
            for (j, earlier) in self.fault.iter().enumerate().filter(|(_, t)| down(t)) {
                let overlap = i != j
                    && later.at_s >= earlier.at_s
                    && (i > j || later.at_s > earlier.at_s)
                    && later.at_s < earlier.at_s + earlier.for_s;
                let name = later.servers.iter().find(|s| earlier.servers.contains(s));
                if let (true, Some(name)) = (overlap, name) {
                    let why = format!(
                        "{name} is not there at {} s: trouble[{j}] has taken it away",
                        later.at_s
                    );
                    check.that(false, format!("fault[{i}].servers"), why);
                }
            }
        }
    }
}

impl Fault {
    /// True for what happens to job servers rather than to sidecars, classes or discovery.
    pub fn aims_at_servers(&self) -> bool {
        !matches!(
            self.kind,
            FaultKind::Burst
                | FaultKind::Costly
                | FaultKind::Roll
                | FaultKind::RestartAll
                | FaultKind::DiscoveryDown
                | FaultKind::DiscoverySilent
        )
    }
}
