//! Mutex locking that ignores poisoning, since the process ends on a panic anyway.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex, also when a thread panicked while it held the lock.
///
/// # Examples
///
/// ```
/// use std::sync::Mutex;
///
/// use carobreel::lock::lock;
///
/// let count = Mutex::new(1);
/// *lock(&count) += 1;
/// assert_eq!(*lock(&count), 2);
/// ```
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    match mutex.lock() {
        Ok(guard) => guard,
        Err(poisoned) => poisoned.into_inner(),
    }
}
