//! A table is a sorted map, whatever is done to it.

use std::collections::BTreeMap;

use fulmardrift::Table;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

proptest! {
    #![proptest_config(Config { cases: 64, rng_seed: RngSeed::Fixed(3), ..Config::default() })]

    #[test]
    fn it_does_what_a_map_does(steps in prop::collection::vec((0_u8..4, 0_u16..2_000), 0..4_000)) {
        let mut table = Table::default();
        let mut map = BTreeMap::new();
        for (step, key) in steps {
            match step {
                0 => prop_assert_eq!(table.remove(&key), map.remove(&key)),
                1 => prop_assert_eq!(table.get(&key), map.get(&key)),
                _ => prop_assert_eq!(table.insert(key, step), map.insert(key, step)),
            }
            prop_assert_eq!(table.len(), map.len());
        }
        prop_assert!(table.iter().eq(map.iter()));
        table.retain(|key, _| key % 3 == 0);
        map.retain(|key, _| key % 3 == 0);
        prop_assert!(table.iter().eq(map.iter()));
    }
}
