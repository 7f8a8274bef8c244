//! Property test: a `Table` behaves like a `BTreeMap`.

use std::collections::BTreeMap;

use fulmardrift::Table;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

proptest! {
    #![proptest_config(Config { cases: 64, rng_seed: RngSeed::Fixed(3), ..Config::default() })]

    #[test]
    fn a_table_behaves_like_a_btree_map(
        operations in prop::collection::vec((0_u8..4, 0_u16..2_000), 0..4_000)
    ) {
        let mut table = Table::default();
        let mut map = BTreeMap::new();
        for (operation, key) in operations {
            match operation {
                0 => prop_assert_eq!(table.remove(&key), map.remove(&key)),
                1 => prop_assert_eq!(table.get(&key), map.get(&key)),
                _ => prop_assert_eq!(table.insert(key, operation), map.insert(key, operation)),
            }
            prop_assert_eq!(table.len(), map.len());
        }
        prop_assert!(table.iter().eq(map.iter()));
        table.retain(|key, _| key % 3 == 0);
        map.retain(|key, _| key % 3 == 0);
        prop_assert!(table.iter().eq(map.iter()));
    }
}
