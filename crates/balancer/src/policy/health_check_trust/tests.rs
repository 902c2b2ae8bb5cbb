use super::HealthCheckTrust;

#[test]
fn checks_are_trusted_while_three_in_ten_servers_or_fewer_fail_them() {
    // 3 of 7 + 3 are three in ten, 3 of 6 + 3 are more.
    assert_eq!(HealthCheckTrust::assess(3, || 7), HealthCheckTrust::Trusted);
    assert_eq!(
        HealthCheckTrust::assess(3, || 6),
        HealthCheckTrust::Untrusted
    );
}

#[test]
fn checks_that_all_succeed_are_trusted_whatever_the_subset() {
    assert_eq!(HealthCheckTrust::assess(0, || 0), HealthCheckTrust::Trusted);
}
