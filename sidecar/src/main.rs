//! arrowstand: the sidecar. Starts the parts, minds the signals and gives the exit code.
#![forbid(unsafe_code)]

mod config;
mod core;
mod counters;
mod discovery;
mod front;
mod json;
mod limits;
mod machines;
mod transaction;
mod upstream;

use std::process::ExitCode;
use std::rc::Rc;

use arrowstand_controls::Informed;
use heronlock::ListKind;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tracing_subscriber::Layer as _;
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;

use crate::config::Config;
use crate::core::Core;
use crate::counters::Counters;
use crate::front::listener::Front;
use crate::upstream::Upstream;

fn main() -> ExitCode {
    // Guards against bad terminals that fill the log: actix-http tells each of them as an error.
    let told = Targets::new().with_default(LevelFilter::INFO).with_target("actix_http", LevelFilter::OFF);
    let lines = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).with_ansi(false);
    tracing_subscriber::registry().with(lines.with_target(false).with_filter(told)).init();
    let config = match Config::from_environment() {
        Ok(config) => config,
        Err(message) => {
            eprintln!("arrowstand: {message}");
            return ExitCode::from(2);
        }
    };
    let ended = match actix_rt::Runtime::new() {
        Ok(runtime) => runtime.block_on(serve(config)),
        Err(e) => Err(format!("the runtime did not start: {e}")),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("arrowstand: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Serves until SIGTERM or SIGINT; SIGHUP brings a new configuration.
async fn serve(config: Config) -> Result<(), String> {
    let limits = Rc::new(config.limits);
    let counters = Rc::new(Counters::default());
    let balancer = Informed::new(config.settings, config.seed).map_err(|e| e.to_string())?;
    let (core, probes) = Core::new(balancer, config.names, Rc::clone(&limits), Rc::clone(&counters));
    let upstream = Upstream::new(&core);
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("SIGINT: {e}"))?;
    let listener = tokio::net::TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|e| format!("NODE_LISTEN: {}: {e}", config.listen))?;

    let known = config.known.unwrap_or_default();
    core.list(ListKind::WarmCopy, known.rev, &known);
    actix_rt::spawn({
        let core = Rc::clone(&core);
        async move { core.run_timers().await }
    });
    actix_rt::spawn(Rc::clone(&upstream).run_probes(probes));
    actix_rt::spawn(Rc::clone(&upstream).run_sweeps());
    let (moved, at) = watch::channel(config.discovery);
    let follow = discovery::follow(Rc::clone(&core), at, known.rev, Rc::clone(&limits), config.seed);
    actix_rt::spawn(follow);
    let front = Front::new(Rc::clone(&core), upstream);
    let accept = actix_rt::spawn(Rc::clone(&front).accept(listener));
    tracing::info!("{} listens on {}", config.name, config.listen);

    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => match Config::reload() {
                // The rest of a new file is for the next start: what is open now rests on the old settings.
                Ok(new) => {
                    tracing::info!("reloaded: discovery is at {}", new.discovery);
                    // Guards against a watch that is given up, and asked for again, though nothing has moved.
                    moved.send_if_modified(|at| std::mem::replace(at, new.discovery) != new.discovery);
                }
                // Guards against a bad file that ends a program in service: the old settings stay.
                Err(message) => tracing::error!("not reloaded: {message}"),
            },
        }
    }
    // Guards against transactions lost at a planned restart: terminals go on for a while, and what has
    // been taken is answered before the end.
    let stopping = tokio::time::Instant::now();
    tokio::time::sleep(limits.stop_accepting).await;
    let answered = async {
        tokio::select! {
            () = front.close(accept) => return,
            () = tokio::time::sleep_until(stopping + limits.stop_answer) => core.end(),
        }
        front.closed().await;
    };
    let _ = tokio::time::timeout_at(stopping + limits.stop_most, answered).await;
    tracing::info!("stopped\n{counters}");
    Ok(())
}
