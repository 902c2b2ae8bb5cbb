//! The nesting of JSON text, by which a watch's bytes are cut into objects; see
//! `arrowstand_platform::json`.

pub(crate) use arrowstand_platform::json::nesting_depth as depth;
