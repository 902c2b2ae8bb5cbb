//! The load that servers tell of.

use arrowstand_balancer::LoadReport;

/// Reads `inflight=7,queue=2,eps=0.5`; a report with a part that cannot be read is none.
pub fn read_report(text: &str) -> Option<LoadReport> {
    let (mut held, mut waiting) = (None, 0.0);
    for part in text.trim().split(',') {
        let (name, value) = part.split_once('=')?;
        let value: f64 = value
            .trim()
            .parse()
            .ok()
            .filter(|v: &f64| v.is_finite() && *v >= 0.0)?;
        match name.trim() {
            "inflight" | "active" => held = Some(value),
            "queue" | "waiting" => waiting = value,
            _ => {}
        }
    }
    Some(LoadReport {
        in_flight: held?,
        queued: waiting,
    })
}
