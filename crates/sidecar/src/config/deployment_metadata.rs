//! What the network code knows of the deployment: the names and rules behind the numeric ids that
//! the balancer uses.

use std::time::Duration;

use arrowstand_balancer::Idempotency;
use arrowstand_control::MachineCatalogue;
use arrowstand_platform::PlatformSettings;

/// Names of request classes and zones, the rules of each class, and the known machine types. Each
/// per-class list has one entry for each class, in the order of the balancer's class ids.
#[derive(Clone, Debug, Default)]
pub(crate) struct DeploymentMetadata {
    /// Names of the request classes.
    pub(crate) class_names: Vec<String>,
    /// Whether a request of the class must carry an idempotency key.
    pub(crate) requires_idempotency_key: Vec<bool>,
    /// Whether a request of the class may run any number of times.
    pub(crate) is_idempotent: Vec<bool>,
    /// Deadline of the class, the timeout of a request that carries none.
    pub(crate) deadlines: Vec<Duration>,
    /// How long servers drop repeated requests with the same idempotency key.
    pub(crate) deduplication_windows: Vec<Duration>,
    /// Names of the zones.
    pub(crate) zones: Vec<String>,
    /// Machine types and their capacity.
    pub(crate) machines: MachineCatalogue,
}

impl DeploymentMetadata {
    /// Collects the metadata from the platform's settings and the operator's machine table.
    pub(crate) fn new(platform: &PlatformSettings, machines: MachineCatalogue) -> Self {
        let classes = &platform.balancer.classes;
        Self {
            class_names: platform.class_names.clone(),
            requires_idempotency_key: classes
                .iter()
                .map(|class| class.idempotency == Idempotency::IdempotencyKey)
                .collect(),
            is_idempotent: classes
                .iter()
                .map(|class| class.idempotency == Idempotency::Idempotent)
                .collect(),
            deadlines: classes
                .iter()
                .map(|class| Duration::from_micros(class.deadline))
                .collect(),
            deduplication_windows: classes
                .iter()
                .map(|class| Duration::from_micros(class.deduplication_window))
                .collect(),
            zones: platform.zones.clone(),
            machines,
        }
    }
}
