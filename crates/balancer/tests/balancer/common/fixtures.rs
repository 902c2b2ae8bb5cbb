//! Settings, endpoints and constants of the tests.

use arrowstand_balancer::{
    BalancerIdentity, DeduplicationScope, Endpoint, Event, Fees, HostCapabilities, Idempotency,
    Micros, PollingSettings, RequestClass, ServerId, Settings, UpdateKind,
};

/// A millisecond.
pub(crate) const MS: Micros = 1_000;
/// Token of the timer that ticks.
pub(crate) const TICK_TOKEN: u64 = 0;

/// A class with an objective of 250 ms; keys are dropped within a cell for 4 s.
pub(crate) fn class(idempotency: Idempotency) -> RequestClass {
    let scope = DeduplicationScope::Cell;
    RequestClass {
        deduplication_scope: scope,
        deduplication_window: 4_000 * MS,
        ..RequestClass::new(idempotency, 250 * MS, 600 * MS)
    }
}

/// One class of each idempotency, in the order of the enum.
pub(crate) fn settings() -> Settings {
    let kinds = [
        Idempotency::Idempotent,
        Idempotency::IdempotencyKey,
        Idempotency::NonIdempotent,
    ];
    Settings {
        classes: kinds.into_iter().map(class).collect(),
        ..Settings::default()
    }
}

/// A ready server; two share a cell, four a zone.
pub(crate) fn endpoint(n: u32) -> Endpoint {
    Endpoint {
        cell: n / 2,
        zone: n / 4,
        ..Endpoint::ready(ServerId(n), u64::from(n) + 100)
    }
}

/// An update of one line of the list.
pub(crate) fn endpoint_changed(endpoint: Endpoint) -> Event {
    Event::EndpointsUpdated {
        kind: UpdateKind::Incremental,
        version: u64::MAX,
        endpoints: vec![endpoint],
    }
}

/// The same where one health check per request costs this fee.
pub(crate) fn settings_with_health_check_fee(fee: f64) -> Settings {
    Settings {
        fees: Fees {
            health_check: fee,
            ..settings().fees
        },
        ..settings()
    }
}

/// The same where health checks return load reports, for this fee.
pub(crate) fn settings_with_load_checks(health_check_fee: f64) -> Settings {
    Settings {
        host: HostCapabilities {
            load_reports_in_health_checks: true,
            ..settings().host
        },
        ..settings_with_health_check_fee(health_check_fee)
    }
}

/// The same where the endpoint list arrives only in answer to a poll.
pub(crate) fn settings_with_polling() -> Settings {
    Settings {
        polling: PollingSettings {
            required: true,
            ..settings().polling
        },
        ..settings()
    }
}

/// The same with four balancers that gossip.
pub(crate) fn settings_with_peers() -> Settings {
    Settings {
        host: HostCapabilities {
            gossip: true,
            ..settings().host
        },
        identity: BalancerIdentity {
            count: 4,
            ..settings().identity
        },
        ..settings()
    }
}
