//! What the network code knows of the numbers that the balancer uses.

use std::time::Duration;

use arrowstand_balancer::Idempotency;
use arrowstand_control::MachineCatalogue;
use arrowstand_platform::PlatformSettings;

/// Names of request classes, zones and machine types, and what requests of a class are allowed.
/// Each list that describes classes has one entry for each, in the balancer's numbering.
#[derive(Clone, Debug, Default)]
pub(crate) struct Names {
    /// Names of the classes.
    pub(crate) classes: Vec<String>,
    /// Whether requests of the class carry an idempotency key.
    pub(crate) keyed: Vec<bool>,
    /// Timeout of a client that states none.
    pub(crate) deadlines: Vec<Duration>,
    /// For how long servers drop repeats with the same idempotency key.
    pub(crate) windows: Vec<Duration>,
    /// Names of the zones.
    pub(crate) zones: Vec<String>,
    /// The machine types and their capacity.
    pub(crate) machines: MachineCatalogue,
}

impl Names {
    /// Collects what the settings and the operator's machine table name.
    pub(crate) fn new(platform: &PlatformSettings, machines: MachineCatalogue) -> Self {
        let classes = &platform.balancer.classes;
        Self {
            classes: platform.class_names.clone(),
            keyed: classes
                .iter()
                .map(|class| class.idempotency == Idempotency::IdempotencyKey)
                .collect(),
            deadlines: classes
                .iter()
                .map(|class| Duration::from_micros(class.deadline))
                .collect(),
            windows: classes
                .iter()
                .map(|class| Duration::from_micros(class.deduplication_window))
                .collect(),
            zones: platform.zones.clone(),
            machines,
        }
    }
}
