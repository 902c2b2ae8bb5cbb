//! The load reports in servers' responses; their format is read by `arrowstand-platform`.

pub(crate) use arrowstand_platform::load_report::read_report;
