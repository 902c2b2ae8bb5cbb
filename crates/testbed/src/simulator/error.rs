//! Errors of the simulator.

use arrowstand_balancer::SettingsError;

/// The reason why a scenario cannot be simulated.
#[derive(Debug, thiserror::Error)]
pub enum SimulatorError {
    /// The balancer rejects the settings that the scenario asks for.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// For callers that only show the message.
impl From<SimulatorError> for String {
    fn from(error: SimulatorError) -> Self {
        error.to_string()
    }
}
