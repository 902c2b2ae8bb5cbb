//! Where log lines go, which are written and what they look like.
//!
//! A line is a level, a constant message and the fields that say which one: `WARN discovery watch
//! ended error=the watch fell silent`. So one search finds all lines of a message;
//! docs/operations.md lists them.

use tracing::Subscriber;
use tracing_subscriber::Layer as _;
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;

/// Writes log lines of level INFO and above to standard error.
///
/// # Panics
/// Where a logger is set already: it is called once, at the start.
pub(crate) fn init() {
    subscriber(std::io::stderr).init();
}

fn subscriber<W>(writer: W) -> impl Subscriber + Send + Sync
where
    W: for<'writer> MakeWriter<'writer> + Send + Sync + 'static,
{
    // actix-http reports each client that breaks the protocol as an error: any of them could fill
    // the log. `requests_malformed` counts them.
    let filter = Targets::new()
        .with_default(LevelFilter::INFO)
        .with_target("actix_http", LevelFilter::OFF);
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(writer)
        .with_ansi(false)
        .with_target(false);
    tracing_subscriber::registry().with(lines.with_filter(filter))
}

#[cfg(test)]
mod tests;
