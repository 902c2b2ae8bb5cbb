//! Locking that outlives a panic of another thread.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex, also a poisoned one: what a task that panicked has recorded is still what
/// happened.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
