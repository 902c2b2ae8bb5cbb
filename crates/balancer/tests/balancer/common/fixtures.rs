//! Settings, endpoints and constants for the integration tests.

use arrowstand_balancer::{
    BalancerIdentity, DeduplicationScope, Endpoint, Event, Fees, HostCapabilities, Idempotency,
    Micros, PollingSettings, RequestClass, ServerId, Settings, UpdateKind,
};

/// One millisecond, in microseconds.
pub(crate) const MS: Micros = 1_000;
/// Token of the timer of the periodic tick.
pub(crate) const TICK_TIMER_TOKEN: u64 = 0;
/// Token shared by the timers of all requests.
pub(crate) const REQUEST_TIMER_TOKEN: u64 = 1;

/// A request class with a latency objective of 250 ms and a deadline of 600 ms. The servers of a
/// cell drop duplicates for 4 s.
pub(crate) fn class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        deduplication_scope: DeduplicationScope::Cell,
        deduplication_window: 4_000 * MS,
        ..RequestClass::new(idempotency, 250 * MS, 600 * MS)
    }
}

/// Settings with one class per variant of [`Idempotency`], in the order of the enum.
pub(crate) fn settings() -> Settings {
    let variants = [
        Idempotency::Idempotent,
        Idempotency::IdempotencyKey,
        Idempotency::NonIdempotent,
    ];
    Settings {
        classes: variants.into_iter().map(class).collect(),
        ..Settings::default()
    }
}

/// The entry of a ready server. Two servers share a cell and four share a zone.
pub(crate) fn endpoint(n: u32) -> Endpoint {
    Endpoint {
        cell: n / 2,
        zone: n / 4,
        ..Endpoint::ready(ServerId(n), u64::from(n) + 100)
    }
}

/// An incremental update of one entry of the endpoint list.
pub(crate) fn endpoint_changed(endpoint: Endpoint) -> Event {
    Event::EndpointsUpdated {
        kind: UpdateKind::Incremental,
        version: u64::MAX,
        endpoints: vec![endpoint],
    }
}

/// [`settings`] with the given fee for one health check per request.
pub(crate) fn settings_with_health_check_fee(fee: f64) -> Settings {
    Settings {
        fees: Fees {
            health_check: fee,
            ..settings().fees
        },
        ..settings()
    }
}

/// [`settings`] where health checks return load reports, at the given fee.
pub(crate) fn settings_with_load_checks(health_check_fee: f64) -> Settings {
    Settings {
        host: HostCapabilities {
            load_reports_in_health_checks: true,
            ..settings().host
        },
        ..settings_with_health_check_fee(health_check_fee)
    }
}

/// [`settings`] where the endpoint list is received only in response to a poll.
pub(crate) fn settings_with_polling() -> Settings {
    Settings {
        polling: PollingSettings {
            required: true,
            ..settings().polling
        },
        ..settings()
    }
}

/// [`settings`] for four balancers that exchange gossip messages.
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
