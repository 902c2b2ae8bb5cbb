//! Strategies for random settings that a settings object can represent.

use std::collections::BTreeSet;
use std::time::Duration;

use arrowstand_balancer::{
    BalancerIdentity, DeduplicationScope, Fees, HostCapabilities, Idempotency, Micros,
    PollingSettings, RequestClass, RetrySettings, Settings, SlowStartSettings,
};
use proptest::prelude::*;

use super::SettingsGroups;
use crate::settings::UNKNOWN_ZONE;
use crate::{
    LoadReportLayout, MembershipMode, PlatformSettings, SimulatorFeatures, TransportSettings,
};

/// Upper bound of times that are exact as fractional milliseconds: 35 years.
const MAX_EXACT_TIME: Micros = 1 << 50;

fn any_time() -> impl Strategy<Value = Micros> {
    0..MAX_EXACT_TIME
}

fn any_duration() -> impl Strategy<Value = Duration> {
    any_time().prop_map(Duration::from_micros)
}

/// Finite numbers that are not negative.
fn any_number() -> impl Strategy<Value = f64> {
    use prop::num::f64::{NORMAL, POSITIVE, SUBNORMAL, ZERO};
    POSITIVE | NORMAL | SUBNORMAL | ZERO
}

fn any_idempotency() -> impl Strategy<Value = Idempotency> {
    prop_oneof![
        Just(Idempotency::Idempotent),
        Just(Idempotency::IdempotencyKey),
        Just(Idempotency::NonIdempotent),
    ]
}

fn any_deduplication_scope() -> impl Strategy<Value = DeduplicationScope> {
    prop_oneof![
        Just(DeduplicationScope::All),
        Just(DeduplicationScope::Zone),
        Just(DeduplicationScope::Cell),
    ]
}

fn any_membership_mode() -> impl Strategy<Value = MembershipMode> {
    prop_oneof![
        Just(MembershipMode::OnRequest),
        Just(MembershipMode::Pushed),
        Just(MembershipMode::Unspecified),
    ]
}

prop_compose! {
    fn any_class()(
        priority_weight in any_number(),
        latency_objective in any_time(),
        deadline in any_time(),
        late_value in any_number(),
        objective_per_work in any_number(),
        idempotency in any_idempotency(),
        deduplication_scope in any_deduplication_scope(),
        deduplication_window in any_time(),
    ) -> RequestClass {
        RequestClass {
            priority_weight,
            latency_objective,
            deadline,
            late_value,
            objective_per_work,
            idempotency,
            deduplication_scope,
            deduplication_window,
            streamed: false,
        }
    }
}

/// The names of the zones and the number of the balancer's own zone, which may be unknown.
fn any_zones() -> impl Strategy<Value = (Vec<String>, u32)> {
    prop::collection::btree_set(any::<String>(), 0..4)
        .prop_flat_map(|names: BTreeSet<String>| {
            let count = u32::try_from(names.len()).expect("few");
            let names: Vec<String> = names.into_iter().collect();
            (Just(names), prop::option::of(0..count.max(1)))
        })
        .prop_map(|(names, own)| {
            let own = own.filter(|_| !names.is_empty());
            (names, own.unwrap_or(UNKNOWN_ZONE))
        })
}

prop_compose! {
    /// The two known fields never share a position.
    fn any_layout()(
        in_flight in prop::option::of(0..4_usize),
        queued in prop::option::of(0..4_usize),
    ) -> LoadReportLayout {
        let queued = queued.filter(|_| queued != in_flight);
        LoadReportLayout { in_flight, queued }
    }
}

/// A layout of load reports and the host capabilities that follow from their source.
fn any_layout_and_host() -> impl Strategy<Value = (LoadReportLayout, HostCapabilities)> {
    (any_layout(), 0..3_u8, any::<bool>(), any::<bool>()).prop_map(
        |(layout, source, cancellation, health_checks)| {
            let has_source = source > 0;
            let host = HostCapabilities {
                cancellation,
                health_checks,
                gossip: false,
                retry_after: false,
                load_reports_in_health_checks: layout.in_flight.is_some() && has_source,
                load_reports_in_responses: source == 1,
            };
            (layout, host)
        },
    )
}

prop_compose! {
    fn any_retries()(
        max_attempts in any::<u32>(),
        hedging in any::<bool>(),
        max_retry_after in any_time(),
    ) -> RetrySettings {
        RetrySettings { max_attempts, hedging, max_retry_after }
    }
}

prop_compose! {
    fn any_fees()(
        health_check in any_number(),
        handshake in any_number(),
        connection in any_number(),
        cross_zone in any_number(),
    ) -> Fees {
        Fees { health_check, handshake, connection, cross_zone }
    }
}

prop_compose! {
    fn any_slow_start()(
        initial_capacity in any_number(),
        duration in any_time(),
        overload_factor in any_number(),
        overload_window in any_time(),
    ) -> SlowStartSettings {
        SlowStartSettings { initial_capacity, duration, overload_factor, overload_window }
    }
}

prop_compose! {
    fn any_balancer()(
        classes in prop::collection::vec(any_class(), 0..4),
        (index, count) in any::<(u32, u32)>(),
        min_call_interval in any_time(),
        retries in any_retries(),
        fees in any_fees(),
        weight_by_work in any::<bool>(),
        max_interval in any_time(),
        allow_removed_servers in any::<bool>(),
        slow_start in any_slow_start(),
    ) -> Settings {
        Settings {
            classes,
            identity: BalancerIdentity { index, count, ..BalancerIdentity::default() },
            min_call_interval,
            retries,
            fees,
            weight_by_work,
            polling: PollingSettings { required: false, max_interval },
            allow_removed_servers,
            slow_start,
            ..Settings::default()
        }
    }
}

prop_compose! {
    fn any_transport()(
        connect_timeout in any_duration(),
        idle_timeout in any_duration(),
        drain_grace in any_duration(),
        membership in any_membership_mode(),
    ) -> TransportSettings {
        TransportSettings { connect_timeout, idle_timeout, drain_grace, membership }
    }
}

prop_compose! {
    pub(super) fn any_settings_groups()(
        balancer in any_balancer(),
        (load_report, host) in any_layout_and_host(),
        (zones, zone) in any_zones(),
        transport in any_transport(),
        (gossip, retry_after) in any::<(bool, bool)>(),
        class_names in prop::collection::vec(any::<String>(), 4),
        streamed in prop::collection::vec(any::<bool>(), 4),
    ) -> SettingsGroups {
        let class_count = balancer.classes.len();
        let idle_timeout = Micros::try_from(transport.idle_timeout.as_micros()).expect("short");
        let identity = BalancerIdentity { zone, ..balancer.identity };
        SettingsGroups {
            platform: PlatformSettings {
                balancer: Settings { identity, host, idle_timeout, ..balancer },
                class_names: class_names[..class_count].to_vec(),
                zones,
                load_report,
            },
            features: SimulatorFeatures {
                gossip,
                retry_after,
                poll_endpoints: transport.membership == MembershipMode::OnRequest,
                streamed: streamed[..class_count].to_vec(),
            },
            transport,
        }
    }
}
