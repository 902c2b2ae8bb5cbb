//! arrowstand: the sidecar. Starts the parts, minds the signals and gives the exit code.
#![forbid(unsafe_code)]

mod config;
mod counters;
mod discovery;
mod downstream;
mod host;
mod json;
mod limits;
mod machine_table;
mod proxy;
mod upstream;

use std::process::ExitCode;
use std::rc::Rc;

use arrowstand_balancer::UpdateKind;
use arrowstand_control::WorkAwareBalancer;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tracing_subscriber::Layer as _;
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;

use crate::config::Config;
use crate::counters::Counters;
use crate::downstream::listener::Listener;
use crate::host::BalancerHost;
use crate::upstream::Upstream;

fn main() -> ExitCode {
    // Guards against bad terminals that fill the log: actix-http tells each of them as an error.
    let told = Targets::new()
        .with_default(LevelFilter::INFO)
        .with_target("actix_http", LevelFilter::OFF);
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false);
    tracing_subscriber::registry()
        .with(lines.with_target(false).with_filter(told))
        .init();
    let ended = match actix_rt::Runtime::new() {
        Ok(runtime) => runtime.block_on(start()),
        Err(e) => Err((ExitCode::FAILURE, format!("the runtime did not start: {e}"))),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err((code, message)) => {
            eprintln!("arrowstand: {message}");
            code
        }
    }
}

/// What the platform tells a running program by signal.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> Result<Self, String> {
        let listen = |kind, name| signal(kind).map_err(|e| format!("{name}: {e}"));
        Ok(Self {
            terminate: listen(SignalKind::terminate(), "SIGTERM")?,
            interrupt: listen(SignalKind::interrupt(), "SIGINT")?,
            hangup: listen(SignalKind::hangup(), "SIGHUP")?,
        })
    }
}

/// Guards against a start that a new configuration ends: the signals are minded before anything is read, and are carried
/// out once the program serves.
async fn start() -> Result<(), (ExitCode, String)> {
    let signals = Signals::new().map_err(|e| (ExitCode::FAILURE, e))?;
    let config = Config::from_environment().map_err(|e| (ExitCode::from(2), e))?;
    serve(config, signals)
        .await
        .map_err(|e| (ExitCode::FAILURE, e))
}

/// Serves until SIGTERM or SIGINT; SIGHUP brings a new configuration.
async fn serve(config: Config, mut signals: Signals) -> Result<(), String> {
    let limits = Rc::new(config.limits);
    let counters = Rc::new(Counters::default());
    let balancer =
        WorkAwareBalancer::new(config.settings, config.seed).map_err(|e| e.to_string())?;
    let (host, probes) = BalancerHost::new(
        balancer,
        config.names,
        Rc::clone(&limits),
        Rc::clone(&counters),
    );
    let upstream = Upstream::new(&host);
    let listener = tokio::net::TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|e| format!("NODE_LISTEN: {}: {e}", config.listen))?;

    let known = config.known.unwrap_or_default();
    host.update_endpoints(UpdateKind::Cached, known.rev, &known);
    actix_rt::spawn({
        let host = Rc::clone(&host);
        async move { host.run_timers().await }
    });
    actix_rt::spawn(Rc::clone(&upstream).run_health_checks(probes));
    actix_rt::spawn(Rc::clone(&upstream).run_pool_sweeps());
    let (moved, at) = watch::channel(config.discovery);
    let follow = discovery::follow(
        Rc::clone(&host),
        at,
        known.rev,
        Rc::clone(&limits),
        config.seed,
    );
    actix_rt::spawn(follow);
    let front = Listener::new(Rc::clone(&host), upstream);
    let accept = actix_rt::spawn(Rc::clone(&front).accept(listener));
    tracing::info!("{} listens on {}", config.name, config.listen);

    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => match Config::reload() {
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
    tokio::time::sleep(limits.shutdown.accept_for).await;
    let answered = async {
        tokio::select! {
            () = front.close(accept) => return,
            () = tokio::time::sleep_until(stopping + limits.shutdown.answer_after) => host.force_shutdown(),
        }
        front.closed().await;
    };
    let _ = tokio::time::timeout_at(stopping + limits.shutdown.exit_after, answered).await;
    tracing::info!("stopped\n{counters}");
    Ok(())
}
