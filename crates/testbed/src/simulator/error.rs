//! Why a scenario cannot be simulated.

use arrowstand_balancer::SettingsError;

/// Why a scenario cannot be simulated.
#[derive(Debug, thiserror::Error)]
pub enum SimulatorError {
    /// The balancer refuses the settings that the scenario asks for.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// For callers that only show the message.
impl From<SimulatorError> for String {
    fn from(error: SimulatorError) -> Self {
        error.to_string()
    }
}
