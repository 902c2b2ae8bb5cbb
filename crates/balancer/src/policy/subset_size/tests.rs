use super::SubsetSize;
use crate::Settings;

/// One request in a hundred seconds.
const LOW_RATE: f64 = 1e-8;
/// A hundred requests per second.
const HIGH_RATE: f64 = 1e-4;

fn size(connection_fee: f64, handshake_fee: f64, fleet_size: usize, request_rate: f64) -> usize {
    let mut settings = Settings::default();
    settings.identity.count = 320;
    settings.fees.connection = connection_fee;
    settings.fees.handshake = handshake_fee;
    settings.idle_timeout = 5_000_000;
    SubsetSize::compute(&settings, fleet_size, request_rate)
}

#[test]
fn free_connections_allow_24_servers_and_costly_ones_at_least_3() {
    assert_eq!(size(0.0, 0.0, 64, LOW_RATE), 24);
    assert_eq!(size(1.0, 0.0, 64, LOW_RATE), 3);
}

#[test]
fn connection_cost_of_all_balancers_stays_below_its_limit() {
    // 0.006 * 100 * 64 / (0.0201 * 320) is 5.97.
    assert_eq!(size(0.0201, 0.0, 64, LOW_RATE), 6);
}

#[test]
fn high_request_rate_gets_one_server_per_four_requests_per_second() {
    assert_eq!(size(1.0, 0.0, 64, HIGH_RATE), 25);
}

#[test]
fn costly_handshakes_limit_the_subset_to_12_requests_per_server_and_idle_timeout() {
    // 100 requests per second are 500 within 5 s.
    assert_eq!(size(0.0, 0.01, 64, HIGH_RATE), 42);
    assert_eq!(size(0.0, 0.01, 64, LOW_RATE), 4);
}

#[test]
fn subset_is_never_larger_than_the_fleet() {
    assert_eq!(size(0.0, 0.0, 2, HIGH_RATE), 2);
    assert_eq!(size(0.0, 0.01, 0, HIGH_RATE), 0);
}
