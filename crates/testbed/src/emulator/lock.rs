//! Locking of mutexes, whether or not they are poisoned.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex and ignores poisoning: the records that a task made before its panic are valid.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
