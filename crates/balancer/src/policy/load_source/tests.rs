use super::LoadSource;
use crate::Settings;

#[test]
fn cheap_load_checks_take_precedence_over_load_reports_in_responses() {
    // Health checks, load reports in them, load reports in responses, health check fee, expected.
    let table = [
        (true, true, true, 0.005, LoadSource::LoadChecks),
        (true, true, true, 0.006, LoadSource::Responses),
        (false, true, true, 0.0, LoadSource::Responses),
        (true, false, true, 0.0, LoadSource::Responses),
        (true, true, false, 0.006, LoadSource::Unknown),
        (false, true, false, 0.0, LoadSource::Unknown),
    ];
    for (health_checks, load_reports, in_responses, fee, expected) in table {
        let mut settings = Settings::default();
        settings.host.health_checks = health_checks;
        settings.host.load_reports_in_health_checks = load_reports;
        settings.host.load_reports_in_responses = in_responses;
        settings.fees.health_check = fee;
        assert_eq!(settings.load_source(), expected, "{settings:?}");
    }
}
