//! Logging setup: the output, the filter and the line format.
//!
//! A line consists of a level, a constant message and fields that hold the details, for example
//! `WARN discovery watch ended error=discovery closed the watch`. Because the message is constant,
//! one search finds all of its lines; docs/operations.md lists the messages.

use tracing::Subscriber;
use tracing_subscriber::Layer as _;
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;

/// Writes log lines of level INFO and above to standard error.
///
/// # Panics
/// If a global subscriber is already set: call this once, at process start.
pub(crate) fn init() {
    subscriber(std::io::stderr).init();
}

fn subscriber<W>(writer: W) -> impl Subscriber + Send + Sync
where
    W: for<'writer> MakeWriter<'writer> + Send + Sync + 'static,
{
    // actix-http logs each malformed request as an error, so a single client could flood the log.
    // The counter `requests_malformed` covers them instead.
    let filter = Targets::new()
        .with_default(LevelFilter::INFO)
        .with_target("actix_http", LevelFilter::OFF);
    let line_layer = tracing_subscriber::fmt::layer()
        .with_writer(writer)
        .with_ansi(false)
        .with_target(false);
    tracing_subscriber::registry().with(line_layer.with_filter(filter))
}

#[cfg(test)]
mod tests;
