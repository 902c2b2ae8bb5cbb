use arrowstand_balancer::LoadReport;
use proptest::prelude::*;

use super::{LoadReportLayout, ServerLoad, parse_load_report};
use crate::json::{Node, parse};

const fn report(in_flight: f64, queued: f64) -> LoadReport {
    LoadReport { in_flight, queued }
}

/// Reports with a malformed field or without the requests in flight.
const MALFORMED_REPORTS: [&str; 6] = [
    "",
    "queue=2",
    "inflight",
    "inflight=-1",
    "inflight=NaN",
    "inflight=7,queue=x",
];

#[test]
fn load_report_text_is_parsed_unless_a_part_is_malformed() {
    assert_eq!(
        parse_load_report("inflight=7,queue=2,eps=0.5"),
        Some(report(7.0, 2.0))
    );
    assert_eq!(
        parse_load_report(" active = 3 , waiting=1 \n"),
        Some(report(3.0, 1.0))
    );
    assert_eq!(parse_load_report("inflight=7"), Some(report(7.0, 0.0)));
    for text in MALFORMED_REPORTS {
        assert_eq!(parse_load_report(text), None, "{text:?}");
    }
}

#[test]
fn row_is_decoded_at_the_positions_given_by_the_settings() {
    let fields = parse(r#"["eps", "waiting", "active", "active"]"#, 2).expect("JSON");
    let layout = LoadReportLayout::read(&Node::root(&fields)).expect("texts");

    let with_both = layout.decode_row(&[None, Some(2.0), Some(7.0)]);
    let without_queue = layout.decode_row(&[None, None, Some(7.0)]);
    let without_in_flight = layout.decode_row(&[None, Some(2.0)]);

    assert_eq!(with_both, Some(report(7.0, 2.0)));
    assert_eq!(without_queue, Some(report(7.0, 0.0)));
    assert_eq!(without_in_flight, None);
    assert_eq!(LoadReportLayout::default().decode_row(&[Some(1.0)]), None);
}

#[test]
fn load_report_is_written_in_the_format_of_the_servers() {
    let full = ServerLoad {
        in_flight: 7.0,
        error_rate: Some(0.5),
        queued: Some(2.0),
    };
    let in_flight_only = ServerLoad {
        error_rate: None,
        queued: None,
        ..full
    };

    assert_eq!(full.to_string(), "inflight=7,eps=0.50,queue=2");
    assert_eq!(in_flight_only.to_string(), "inflight=7");
}

/// Finite numbers that are not negative.
fn any_number() -> impl Strategy<Value = f64> {
    use prop::num::f64::{NORMAL, POSITIVE, SUBNORMAL, ZERO};
    POSITIVE | NORMAL | SUBNORMAL | ZERO
}

prop_compose! {
    fn any_report()(in_flight in any_number(), queued in any_number()) -> LoadReport {
        LoadReport { in_flight, queued }
    }
}

prop_compose! {
    /// The two known fields never share a position.
    fn any_layout()(
        in_flight in prop::option::of(0..6_usize),
        queued in prop::option::of(0..6_usize),
    ) -> LoadReportLayout {
        let queued = queued.filter(|_| queued != in_flight);
        LoadReportLayout { in_flight, queued }
    }
}

proptest! {
    #[test]
    fn parsing_a_written_report_gives_the_same_report(
        written in any_report(),
        error_rate in prop::option::of(0.0..1e6),
    ) {
        let load = ServerLoad { error_rate, ..ServerLoad::from(written) };

        prop_assert_eq!(parse_load_report(&load.to_string()), Some(written));
    }

    #[test]
    fn reading_the_field_names_of_a_layout_gives_the_same_layout(layout in any_layout()) {
        let names = serde_json::json!(layout.field_names()).to_string();
        let names = parse(&names, 1).expect("JSON");

        prop_assert_eq!(LoadReportLayout::read(&Node::root(&names)), Ok(layout));
    }

    #[test]
    fn decoding_an_encoded_row_gives_the_same_report(
        layout in any_layout(),
        written in any_report(),
    ) {
        let row = layout.encode_row(&written);

        let expected = layout.in_flight.map(|_| LoadReport {
            queued: layout.queued.map_or(0.0, |_| written.queued),
            ..written
        });
        prop_assert_eq!(layout.decode_row(&row), expected);
    }
}
