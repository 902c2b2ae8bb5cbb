use super::HealthCheckTrust;

#[test]
fn checks_are_trusted_while_at_most_30_percent_of_the_servers_fail() {
    // 3 of 7 + 3 servers are 30 %; 3 of 6 + 3 are more.
    assert_eq!(HealthCheckTrust::assess(3, || 7), HealthCheckTrust::Trusted);
    assert_eq!(
        HealthCheckTrust::assess(3, || 6),
        HealthCheckTrust::Untrusted
    );
}

#[test]
fn checks_that_all_succeed_are_trusted_for_any_subset_size() {
    assert_eq!(HealthCheckTrust::assess(0, || 0), HealthCheckTrust::Trusted);
}
