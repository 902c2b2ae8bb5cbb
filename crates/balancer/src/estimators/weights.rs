//! Weights of samples in moving means.

/// Weight of a new sample in the moving means over the fleet.
pub(super) const FLEET_WEIGHT: f64 = 0.05;
/// Weight of a new sample in the moving means of one server, which sees fewer.
pub(super) const SERVER_WEIGHT: f64 = 0.15;
