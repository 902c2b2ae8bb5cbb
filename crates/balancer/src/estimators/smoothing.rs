//! Weights of samples in moving means.

/// Weight of a new sample in the moving means over the fleet, a share: about the last 20 samples
/// count. Higher, and the means follow single responses; lower, and they lag behind a burst.
/// Inherited with the first version of the module; its source was not recorded.
pub(super) const FLEET_SMOOTHING_FACTOR: f64 = 0.05;
/// Weight of a new sample in the moving means of one server, a share: about the last 7 samples
/// count, as one server sees few. Inherited with the first version of the module; its source was
/// not recorded.
pub(super) const SERVER_SMOOTHING_FACTOR: f64 = 0.15;
