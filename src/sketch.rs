//! Finds the busiest keys in bounded memory.
//!
//! Source: Metwally, Agrawal and El Abbadi, "Efficient Computation of Frequent and Top-k Elements in
//! Data Streams", 2005 (space saving).

use std::collections::BTreeMap;

/// Counts the busiest of many items with a fixed number of counters.
#[derive(Clone, Debug)]
pub struct SpaceSavingSketch<K> {
    counters: BTreeMap<K, u32>,
    capacity: usize,
}

impl<K: Ord + Copy> SpaceSavingSketch<K> {
    /// Returns an empty sketch of `capacity` counters.
    pub fn new(capacity: usize) -> SpaceSavingSketch<K> {
        SpaceSavingSketch {
            counters: BTreeMap::new(),
            capacity: capacity.max(1),
        }
    }

    /// Counts one item; a new item takes over the smallest counter when all are taken.
    ///
    /// # Examples
    ///
    /// ```
    /// use carobreel::sketch::SpaceSavingSketch;
    ///
    /// let mut sketch = SpaceSavingSketch::new(2);
    /// for item in ["a", "b", "a", "c", "a"] {
    ///     sketch.count(item);
    /// }
    /// assert_eq!(sketch.take_top(1), [("a", 3)]);
    /// ```
    pub fn count(&mut self, item: K) {
        if let Some(n) = self.counters.get_mut(&item) {
            *n += 1;
            return;
        }
        let mut n = 0;
        if self.counters.len() >= self.capacity {
            let smallest = self.counters.iter().min_by_key(|(_, n)| **n);
            if let Some((key, count)) = smallest.map(|(k, n)| (*k, *n)) {
                self.counters.remove(&key);
                n = count;
            }
        }
        self.counters.insert(item, n + 1);
    }

    /// Returns the `most` busiest items, busiest first, and starts over.
    pub fn take_top(&mut self, limit: usize) -> Vec<(K, u32)> {
        let counters = std::mem::take(&mut self.counters);
        let mut items: Vec<(K, u32)> = counters.into_iter().collect();
        items.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(&b.0)));
        items.truncate(limit);
        items
    }
}
