//! Aliases of hash maps and sets with a fast hasher.

use rustc_hash::{FxHashMap, FxHashSet};

/// A hash map for keys that a caller cannot choose freely: its fast hasher doesn't resist chosen
/// collisions.
pub type FastMap<K, V> = FxHashMap<K, V>;

/// A hash set with the hasher of [`FastMap`].
pub type FastSet<K> = FxHashSet<K>;
