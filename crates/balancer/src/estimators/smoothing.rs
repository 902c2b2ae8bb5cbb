//! Smoothing factors of exponentially weighted moving averages.

/// Smoothing factor of averages over the fleet: about the last 20 samples count. Higher, and the
/// averages follow single responses; lower, and they lag behind a burst.
pub(super) const FLEET_SMOOTHING_FACTOR: f64 = 0.05;
/// Smoothing factor of averages of one server: about the last 7 samples count, as few responses
/// come from a single server.
pub(super) const SERVER_SMOOTHING_FACTOR: f64 = 0.15;
