//! An ordered map, stored in sorted vectors.

use serde::{Deserialize, Serialize};

/// Maximum number of rows in a chunk.
const MAX_CHUNK_ROWS: usize = 256;

/// An ordered map with lookup by binary search.
///
/// The rows are stored in sorted chunks of bounded length, so that an insertion moves few rows
/// even in a large table.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Table<K, V> {
    // No chunk is empty.
    chunks: Vec<Vec<(K, V)>>,
    len: usize,
}

impl<K, V> Default for Table<K, V> {
    fn default() -> Self {
        Self {
            chunks: Vec::new(),
            len: 0,
        }
    }
}

/// The position of a row, or the one at which a missing row would be inserted.
#[derive(Debug, Clone, Copy)]
struct RowPosition {
    chunk: usize,
    row: usize,
}

impl<K: Ord, V> Table<K, V> {
    fn find(&self, key: &K) -> Result<RowPosition, RowPosition> {
        // The last chunk whose first key is not above `key`.
        let after = self.chunks.partition_point(|chunk| chunk[0].0 <= *key);
        let chunk = after.saturating_sub(1);
        let Some(rows) = self.chunks.get(chunk) else {
            return Err(RowPosition { chunk, row: 0 });
        };
        match rows.binary_search_by(|(k, _)| k.cmp(key)) {
            Ok(row) => Ok(RowPosition { chunk, row }),
            Err(row) => Err(RowPosition { chunk, row }),
        }
    }

    /// Inserts a new row and returns its position.
    fn insert_at(&mut self, at: RowPosition, key: K, value: V) -> RowPosition {
        self.len += 1;
        if self.chunks.is_empty() {
            self.chunks.push(Vec::new());
        }
        let rows = &mut self.chunks[at.chunk];
        if rows.len() < MAX_CHUNK_ROWS {
            rows.insert(at.row, (key, value));
            return at;
        }
        if at.row == rows.len() {
            // Starting a new chunk instead of splitting keeps chunks full when keys are appended in
            // order.
            let position = RowPosition {
                chunk: at.chunk + 1,
                row: 0,
            };
            self.chunks.insert(position.chunk, vec![(key, value)]);
            return position;
        }
        let half = rows.len() / 2;
        let upper = rows.split_off(half);
        self.chunks.insert(at.chunk + 1, upper);
        let position = if at.row <= half {
            at
        } else {
            RowPosition {
                chunk: at.chunk + 1,
                row: at.row - half,
            }
        };
        self.chunks[position.chunk].insert(position.row, (key, value));
        position
    }

    /// The value of `key`.
    ///
    /// ```
    /// let mut table = fulmardrift::Table::default();
    /// table.insert(2, "two");
    /// assert_eq!(table.get(&2), Some(&"two"));
    /// assert_eq!(table.get(&3), None);
    /// ```
    #[must_use]
    pub fn get(&self, key: &K) -> Option<&V> {
        let at = self.find(key).ok()?;
        Some(&self.chunks[at.chunk][at.row].1)
    }

    /// A mutable reference to the value of `key`.
    ///
    /// ```
    /// let mut table = fulmardrift::Table::default();
    /// table.insert(1, 10);
    /// *table.get_mut(&1).unwrap() += 1;
    /// assert_eq!(table.get(&1), Some(&11));
    /// ```
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        let at = self.find(key).ok()?;
        Some(&mut self.chunks[at.chunk][at.row].1)
    }

    /// Sets the value of `key` and returns the previous one.
    ///
    /// ```
    /// let mut table = fulmardrift::Table::default();
    /// assert_eq!(table.insert(1, "a"), None);
    /// assert_eq!(table.insert(1, "b"), Some("a"));
    /// ```
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.find(&key) {
            Ok(at) => Some(std::mem::replace(
                &mut self.chunks[at.chunk][at.row].1,
                value,
            )),
            Err(at) => {
                self.insert_at(at, key, value);
                None
            }
        }
    }

    /// The value of `key`, which is inserted from `make` if missing.
    ///
    /// ```
    /// let mut table = fulmardrift::Table::default();
    /// *table.or_insert_with(7, || 0) += 2;
    /// assert_eq!(table.get(&7), Some(&2));
    /// ```
    pub fn or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        let at = match self.find(&key) {
            Ok(at) => at,
            Err(at) => self.insert_at(at, key, make()),
        };
        &mut self.chunks[at.chunk][at.row].1
    }

    /// Removes `key` and returns its value.
    ///
    /// ```
    /// let mut table = fulmardrift::Table::default();
    /// table.insert(1, "a");
    /// assert_eq!(table.remove(&1), Some("a"));
    /// assert!(table.is_empty());
    /// ```
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let at = self.find(key).ok()?;
        let (_, value) = self.chunks[at.chunk].remove(at.row);
        if self.chunks[at.chunk].is_empty() {
            self.chunks.remove(at.chunk);
        }
        self.len -= 1;
        Some(value)
    }

    /// Keeps only the rows for which `keep` returns true.
    ///
    /// ```
    /// let mut table = fulmardrift::Table::default();
    /// table.insert(1, 1);
    /// table.insert(2, 4);
    /// table.retain(|key, _| *key > 1);
    /// assert_eq!(table.len(), 1);
    /// ```
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        for rows in &mut self.chunks {
            rows.retain_mut(|(k, v)| keep(k, v));
        }
        self.chunks.retain(|rows| !rows.is_empty());
        self.len = self.chunks.iter().map(Vec::len).sum();
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
        self.chunks.iter().flatten().map(|(k, v)| (k, v))
    }

    /// The rows in key order, with mutable values.
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
        self.chunks.iter_mut().flatten().map(|(k, v)| (&*k, v))
    }

    /// Number of rows.
    ///
    /// ```
    /// assert_eq!(fulmardrift::Table::<u8, u8>::default().len(), 0);
    /// ```
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// True if the table has no rows.
    ///
    /// ```
    /// assert!(fulmardrift::Table::<u8, u8>::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}
