//! Handling of the signals by which the platform stops the process or makes it reload its
//! configuration.

use futures_util::FutureExt as _;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::startup_error::StartupError;

/// The request that a signal stands for.
pub(crate) enum SignalEvent {
    /// SIGTERM or SIGINT: shut down once the requests in flight have their responses.
    Stop,
    /// SIGHUP: reload the configuration.
    Reload,
}

/// The installed signal handlers. A signal received before [`Signals::next`] is called is returned
/// by that call.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers. Without them, each of the signals terminates the process.
    ///
    /// # Errors
    /// [`StartupError::Signal`] if a handler cannot be installed.
    pub(crate) fn install() -> Result<Self, StartupError> {
        Ok(Self {
            terminate: install_handler(SignalKind::terminate(), "SIGTERM")?,
            interrupt: install_handler(SignalKind::interrupt(), "SIGINT")?,
            hangup: install_handler(SignalKind::hangup(), "SIGHUP")?,
        })
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&mut self) -> SignalEvent {
        tokio::select! {
            _ = self.terminate.recv() => SignalEvent::Stop,
            _ = self.interrupt.recv() => SignalEvent::Stop,
            _ = self.hangup.recv() => SignalEvent::Reload,
        }
    }

    /// Whether SIGTERM or SIGINT has been received. Yields once, since signals are noticed between
    /// the tasks of the runtime.
    pub(crate) async fn is_stop_requested(&mut self) -> bool {
        tokio::task::yield_now().await;
        self.stop_requested().now_or_never().is_some()
    }

    /// Waits for SIGTERM or SIGINT; a SIGHUP is kept for [`Signals::next`].
    pub(crate) async fn stop_requested(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

fn install_handler(kind: SignalKind, name: &'static str) -> Result<Signal, StartupError> {
    signal(kind).map_err(|source| StartupError::Signal { name, source })
}
