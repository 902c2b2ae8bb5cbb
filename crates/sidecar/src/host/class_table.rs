//! What the configuration says of each request class, by the number under which the balancer knows
//! it.

use std::time::Duration;

use arrowstand_balancer::ClassId;

use crate::config::DeploymentMetadata;

struct Class {
    name: String,
    requires_idempotency_key: bool,
    deadline: Duration,
    deduplication_window: Duration,
}

/// The request classes in the order of the configuration, which is that of their ids.
pub(crate) struct ClassTable(Vec<Class>);

impl ClassTable {
    /// Reads the classes from the configuration's names; a value that a class does not have counts
    /// as none.
    pub(crate) fn new(deployment: &DeploymentMetadata) -> Self {
        let classes = deployment.class_names.iter().enumerate();
        let class = |(index, name): (usize, &String)| Class {
            name: name.clone(),
            requires_idempotency_key: deployment
                .requires_idempotency_key
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

    /// The class of that name; `None` where the configuration has none.
    pub(crate) fn id(&self, name: &str) -> Option<ClassId> {
        let index = self.0.iter().position(|class| class.name == name)?;
        u16::try_from(index).ok().map(ClassId)
    }

    /// True for a class whose requests carry an idempotency key.
    pub(crate) fn requires_idempotency_key(&self, class: ClassId) -> bool {
        self.get(class)
            .is_some_and(|class| class.requires_idempotency_key)
    }

    /// How long a client of the class waits that does not say so; zero for an unknown class.
    pub(crate) fn default_client_timeout(&self, class: ClassId) -> Duration {
        self.get(class)
            .map(|class| class.deadline)
            .unwrap_or_default()
    }

    /// For how long servers drop retries of a request by its idempotency key; `None` for a class
    /// without keys.
    pub(crate) fn deduplication_window(&self, class: ClassId) -> Option<Duration> {
        self.get(class)
            .filter(|class| class.requires_idempotency_key)
            .map(|class| class.deduplication_window)
    }

    fn get(&self, class: ClassId) -> Option<&Class> {
        self.0.get(usize::from(class.0))
    }
}

#[cfg(test)]
mod tests;
