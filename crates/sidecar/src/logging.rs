//! Where log lines go and which are written.

use tracing_subscriber::Layer as _;
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;

/// Writes log lines of level INFO and above to standard error.
///
/// # Panics
/// Where a logger is set already: it is called once, at the start.
pub(crate) fn init() {
    // actix-http reports each client that breaks the protocol as an error: any of them could fill
    // the log. `requests_malformed` counts them.
    let filter = Targets::new()
        .with_default(LevelFilter::INFO)
        .with_target("actix_http", LevelFilter::OFF);
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false);
    tracing_subscriber::registry()
        .with(lines.with_filter(filter))
        .init();
}
