use arrowstand_balancer::LoadReport;

use super::{LoadReportLayout, read_report};
use crate::json::{Node, parse};

const fn report(in_flight: f64, queued: f64) -> Option<LoadReport> {
    Some(LoadReport { in_flight, queued })
}

#[test]
fn a_header_is_read_unless_a_part_is_malformed() {
    assert_eq!(read_report("inflight=7,queue=2,eps=0.5"), report(7.0, 2.0));
    assert_eq!(read_report(" active = 3 , waiting=1 \n"), report(3.0, 1.0));
    assert_eq!(read_report("inflight=7"), report(7.0, 0.0));
    for text in [
        "",
        "queue=2",
        "inflight",
        "inflight=-1",
        "inflight=NaN",
        "inflight=7,queue=x",
    ] {
        assert_eq!(read_report(text), None, "{text:?}");
    }
}

#[test]
fn a_row_is_read_at_the_positions_of_the_settings() {
    let fields = parse(r#"["eps", "waiting", "active", "active"]"#, 2).expect("JSON");
    let layout = LoadReportLayout::read(&Node::root(&fields)).expect("texts");
    assert_eq!(
        layout.extract(&[None, Some(2.0), Some(7.0)]),
        report(7.0, 2.0)
    );
    assert_eq!(layout.extract(&[None, None, Some(7.0)]), report(7.0, 0.0));
    assert_eq!(layout.extract(&[None, Some(2.0)]), None);
    assert_eq!(LoadReportLayout::default().extract(&[Some(1.0)]), None);
}
