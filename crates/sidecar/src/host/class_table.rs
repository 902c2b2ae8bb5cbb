//! The configuration of each request class, looked up by the id that the balancer uses for it.

use std::time::Duration;

use arrowstand_balancer::ClassId;

use crate::config::DeploymentMetadata;

struct ClassConfig {
    name: String,
    requires_idempotency_key: bool,
    is_idempotent: bool,
    deadline: Duration,
    deduplication_window: Duration,
}

/// The request classes in configuration order. A class's index is its id.
pub(crate) struct ClassTable(Vec<ClassConfig>);

impl ClassTable {
    /// Creates the table from the configuration. A class for which a per-class list has no entry
    /// gets the default of that list: no idempotency key is required, the class is not idempotent, or
    /// the duration is zero.
    pub(crate) fn new(deployment: &DeploymentMetadata) -> Self {
        let classes = deployment.class_names.iter().enumerate();
        let class = |(index, name): (usize, &String)| ClassConfig {
            name: name.clone(),
            requires_idempotency_key: deployment
                .requires_idempotency_key
                .get(index)
                .copied()
                .unwrap_or_default(),
            is_idempotent: deployment
                .is_idempotent
                .get(index)
                .copied()
                .unwrap_or_default(),
            deadline: deployment.deadlines.get(index).copied().unwrap_or_default(),
            deduplication_window: deployment
                .deduplication_windows
                .get(index)
                .copied()
                .unwrap_or_default(),
        };
        Self(classes.map(class).collect())
    }

    /// Returns the id of the class with this name; `None` if none is configured.
    pub(crate) fn id(&self, name: &str) -> Option<ClassId> {
        let index = self.0.iter().position(|class| class.name == name)?;
        u16::try_from(index).ok().map(ClassId)
    }

    /// True if requests of the class must carry an idempotency key.
    pub(crate) fn requires_idempotency_key(&self, class: ClassId) -> bool {
        self.get(class)
            .is_some_and(|class| class.requires_idempotency_key)
    }

    /// True if requests of the class may run any number of times; false for an unknown class.
    pub(crate) fn is_idempotent(&self, class: ClassId) -> bool {
        self.get(class).is_some_and(|class| class.is_idempotent)
    }

    /// The client timeout of a request that states none; zero for an unknown class.
    pub(crate) fn default_client_timeout(&self, class: ClassId) -> Duration {
        self.get(class)
            .map(|class| class.deadline)
            .unwrap_or_default()
    }

    /// How long servers deduplicate a request by its idempotency key; `None` for a class without
    /// keys.
    pub(crate) fn deduplication_window(&self, class: ClassId) -> Option<Duration> {
        self.get(class)
            .filter(|class| class.requires_idempotency_key)
            .map(|class| class.deduplication_window)
    }

    fn get(&self, class: ClassId) -> Option<&ClassConfig> {
        self.0.get(usize::from(class.0))
    }
}

#[cfg(test)]
mod tests;
