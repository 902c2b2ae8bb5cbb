//! The signals by which the platform stops the process and has it reload its configuration.

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::startup_error::StartupError;

/// What a signal requests.
pub(crate) enum SignalEvent {
    /// SIGTERM or SIGINT: end, once what is in flight has its response.
    Stop,
    /// SIGHUP: read the configuration again.
    Reload,
}

/// The signals that are listened for. One that comes before [`Signals::next`] is called is kept for
/// it.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Listens from now on; without this the operating system ends the process on each of them.
    ///
    /// # Errors
    /// [`StartupError::Signal`] where a handler cannot be installed.
    pub(crate) fn listen() -> Result<Self, StartupError> {
        Ok(Self {
            terminate: listen_for(SignalKind::terminate(), "SIGTERM")?,
            interrupt: listen_for(SignalKind::interrupt(), "SIGINT")?,
            hangup: listen_for(SignalKind::hangup(), "SIGHUP")?,
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
}

fn listen_for(kind: SignalKind, name: &'static str) -> Result<Signal, StartupError> {
    signal(kind).map_err(|source| StartupError::Signal { name, source })
}
