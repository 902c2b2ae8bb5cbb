//! Long computations on the only thread: they run in steps, and the other tasks run in between.

/// Calls `step` until it returns a value or an error. After each other call, the tasks that are
/// ready run, and the sockets are polled.
///
/// # Errors
/// The error of a step.
pub(crate) async fn run_in_steps<T, E>(
    mut step: impl FnMut() -> Result<Option<T>, E>,
) -> Result<T, E> {
    loop {
        if let Some(value) = step()? {
            return Ok(value);
        }
        tokio::task::yield_now().await;
    }
}

/// Amount of small work, in bytes processed, after which the other tasks run.
const BUDGET_BYTES: usize = 8 * 1024;

/// Lets the other tasks run after a bounded amount of work that consists of many small parts.
#[derive(Default)]
pub(crate) struct WorkBudget {
    spent_bytes: usize,
}

impl WorkBudget {
    /// Records as much work as processing `bytes` bytes takes.
    pub(crate) fn charge(&mut self, bytes: usize) {
        self.spent_bytes += bytes;
    }

    /// Records the work of a whole budget, so that the other tasks run next.
    pub(crate) fn charge_all(&mut self) {
        self.spent_bytes = BUDGET_BYTES;
    }

    /// If the budget is spent, lets the tasks that are ready run and the sockets be polled.
    pub(crate) async fn yield_if_spent(&mut self) {
        if self.spent_bytes >= BUDGET_BYTES {
            self.spent_bytes = 0;
            tokio::task::yield_now().await;
        }
    }
}

#[cfg(test)]
mod tests;
