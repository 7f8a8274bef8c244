//! A map kept as a sorted vector.

use serde::{Deserialize, Serialize};

/// Keys with their values in key order, found by binary search.
///
/// Appending a key above all others costs O(1), any other insertion moves the
/// keys behind it; meant for tables of up to a few thousand rows, or for keys
/// that rise.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Table<K, V> {
    rows: Vec<(K, V)>,
}

impl<K, V> Default for Table<K, V> {
    fn default() -> Self {
        Self { rows: Vec::new() }
    }
}

impl<K: Ord, V> Table<K, V> {
    fn find(&self, key: &K) -> Result<usize, usize> {
        match self.rows.last() {
            None => Err(0),
            Some((last, _)) if last < key => Err(self.rows.len()),
            Some(_) => self.rows.binary_search_by(|(k, _)| k.cmp(key)),
        }
    }

    /// The value under `key`.
    ///
    /// ```
    /// let mut table = fulmardrift::Table::default();
    /// table.insert(2, "two");
    /// assert_eq!(table.get(&2), Some(&"two"));
    /// assert_eq!(table.get(&3), None);
    /// ```
    #[must_use]
    pub fn get(&self, key: &K) -> Option<&V> {
        self.find(key).ok().map(|i| &self.rows[i].1)
    }

    /// The value under `key`, to be changed.
    ///
    /// ```
    /// let mut table = fulmardrift::Table::default();
    /// table.insert(1, 10);
    /// *table.get_mut(&1).unwrap() += 1;
    /// assert_eq!(table.get(&1), Some(&11));
    /// ```
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.find(key).ok().map(|i| &mut self.rows[i].1)
    }

    /// Puts `value` under `key` and returns the value it replaces.
    ///
    /// ```
    /// let mut table = fulmardrift::Table::default();
    /// assert_eq!(table.insert(1, "a"), None);
    /// assert_eq!(table.insert(1, "b"), Some("a"));
    /// ```
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.find(&key) {
            Ok(i) => Some(std::mem::replace(&mut self.rows[i].1, value)),
            Err(i) => {
                self.rows.insert(i, (key, value));
                None
            }
        }
    }

    /// The value under `key`, made by `make` when there is none.
    ///
    /// ```
    /// let mut table = fulmardrift::Table::default();
    /// *table.or_insert_with(7, || 0) += 2;
    /// assert_eq!(table.get(&7), Some(&2));
    /// ```
    pub fn or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        let i = match self.find(&key) {
            Ok(i) => i,
            Err(i) => {
                self.rows.insert(i, (key, make()));
                i
            }
        };
        &mut self.rows[i].1
    }

    /// Takes the value out from under `key`.
    ///
    /// ```
    /// let mut table = fulmardrift::Table::default();
    /// table.insert(1, "a");
    /// assert_eq!(table.remove(&1), Some("a"));
    /// assert!(table.is_empty());
    /// ```
    pub fn remove(&mut self, key: &K) -> Option<V> {
        self.find(key).ok().map(|i| self.rows.remove(i).1)
    }

    /// Keeps the rows for which `keep` is true.
    ///
    /// ```
    /// let mut table = fulmardrift::Table::default();
    /// table.insert(1, 1);
    /// table.insert(2, 4);
    /// table.retain(|key, _| *key > 1);
    /// assert_eq!(table.len(), 1);
    /// ```
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.rows.retain_mut(|(k, v)| keep(k, v));
    }

    /// The rows in key order.
    ///
    /// ```
    /// let mut table = fulmardrift::Table::default();
    /// table.insert("b", 2);
    /// table.insert("a", 1);
    /// let keys: Vec<_> = table.iter().map(|(key, _)| *key).collect();
    /// assert_eq!(keys, ["a", "b"]);
    /// ```
    #[must_use]
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> {
        self.rows.iter().map(|(k, v)| (k, v))
    }

    /// The rows in key order, values to be changed.
    ///
    /// ```
    /// let mut table = fulmardrift::Table::default();
    /// table.insert(1, 1);
    /// for (_, value) in table.iter_mut() {
    ///     *value = 5;
    /// }
    /// assert_eq!(table.get(&1), Some(&5));
    /// ```
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.rows.iter_mut().map(|(k, v)| (&*k, v))
    }

    /// Number of rows.
    ///
    /// ```
    /// assert_eq!(fulmardrift::Table::<u8, u8>::default().len(), 0);
    /// ```
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// True when there is no row.
    ///
    /// ```
    /// assert!(fulmardrift::Table::<u8, u8>::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
