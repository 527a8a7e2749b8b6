//! The hash maps of the project: a fast hasher behind an alias.

use rustc_hash::{FxHashMap, FxHashSet};

/// A hash map with a fast hasher, for keys that a caller cannot choose freely.
pub type FastMap<K, V> = FxHashMap<K, V>;

/// A hash set with a fast hasher.
pub type FastSet<K> = FxHashSet<K>;
