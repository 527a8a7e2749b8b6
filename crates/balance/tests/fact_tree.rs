//! Tests of the tree in which gateways pass facts on, at the sizes of the fleets.

use oleander_balance::{TREE_CHILDREN, TreeMember, fact_sources, passing_capacity};
use oleander_base::FastMap;

/// The gateways and data centres of fleets, with the greatest number of steps to the reader.
const FLEETS: [(usize, usize, usize); 6] = [
    (1, 1, 0),
    (3, 3, 1),
    (6, 4, 2),
    (87, 4, 4),
    (295, 6, 5),
    (1_000, 24, 5),
];

struct Fleet {
    names: Vec<String>,
    centres: Vec<String>,
}

impl Fleet {
    fn new(gateways: usize, centres: usize) -> Self {
        Self {
            names: (0..gateways)
                .map(|number| format!("edge-{number}"))
                .collect(),
            centres: (0..centres)
                .map(|number| format!("zone-{number}"))
                .collect(),
        }
    }

    /// Returns the gateways; a third of them have more capacity than the others.
    fn members(&self) -> Vec<TreeMember<'_>> {
        let member = |number: usize| TreeMember {
            name: self.names[number].as_str(),
            centre: self.centres[number % self.centres.len()].as_str(),
            capacity: u32::from(number.is_multiple_of(3)),
        };
        (0..self.names.len()).map(member).collect()
    }
}

fn sources<'a>(members: &[TreeMember<'a>]) -> FastMap<&'a str, Vec<&'a str>> {
    let of = |own: &TreeMember<'a>| (own.name, fact_sources(members, *own));
    members.iter().map(of).collect()
}

/// Returns the number of steps from a gateway to the one that reads the store, without those that are down.
fn steps(sources: &FastMap<&str, Vec<&str>>, from: &str, down: &[&str]) -> Option<usize> {
    let mut at = from;
    for step in 0..20 {
        let mut up = sources[at].iter().filter(|source| !down.contains(source));
        match up.next() {
            Some(source) => at = source,
            None => return Some(step),
        }
    }
    None
}

// Guards against store calls and bytes sent that grow with the fleet.
#[test]
fn one_gateway_reads_the_store_and_none_has_many_children() {
    for (gateways, centres, most_steps) in FLEETS {
        let fleet = Fleet::new(gateways, centres);
        let members = fleet.members();
        let sources = sources(&members);
        let readers = sources.values().filter(|sources| sources.is_empty());
        assert_eq!(readers.count(), 1, "{gateways} gateways");
        let mut children: FastMap<&str, usize> = FastMap::default();
        for source in sources.values().filter_map(|sources| sources.first()) {
            *children.entry(source).or_default() += 1;
        }
        let most = children.values().max().copied().unwrap_or(0);
        assert!(
            most < TREE_CHILDREN + centres,
            "{gateways}: {most} children"
        );
        let many = children.values().filter(|count| **count > TREE_CHILDREN);
        assert!(many.count() <= 1, "only the reader may have more");
        for name in sources.keys() {
            let steps = steps(&sources, name, &[]).expect("the tree has no cycle");
            assert!(steps <= most_steps, "{gateways}: {steps} steps from {name}");
        }
    }
}

// Guards against gateways that hear of nothing because one other is down.
#[test]
fn every_gateway_has_another_way_if_one_is_down() {
    for (gateways, centres, most_steps) in FLEETS {
        let fleet = Fleet::new(gateways.min(300), centres);
        let members = fleet.members();
        let sources = sources(&members);
        for down in sources.keys() {
            for name in sources.keys().filter(|name| *name != down) {
                let steps = steps(&sources, name, &[down]).expect("no cycle");
                assert!(
                    steps <= most_steps + 1,
                    "{steps} from {name} without {down}"
                );
            }
            let readers = sources.iter().filter(|(name, sources)| {
                *name != down && sources.iter().all(|source| source == down)
            });
            assert!(readers.count() <= 1, "{gateways} gateways without {down}");
        }
    }
}

#[test]
fn the_place_of_the_reader_is_taken_in_another_data_centre() {
    let fleet = Fleet::new(87, 4);
    let members = fleet.members();
    let sources = sources(&members);
    let centre = |name: &str| {
        members
            .iter()
            .find(|member| member.name == name)
            .unwrap()
            .centre
    };
    let reader = sources
        .iter()
        .find(|(_, sources)| sources.is_empty())
        .unwrap()
        .0;
    let second = sources
        .iter()
        .find(|(_, sources)| **sources == [*reader])
        .unwrap()
        .0;
    assert_ne!(centre(reader), centre(second));
}

#[test]
fn a_gateway_that_is_not_announced_yet_queries_the_others() {
    let fleet = Fleet::new(87, 4);
    let members = fleet.members();
    let new = TreeMember {
        name: "edge-new",
        centre: "zone-1",
        capacity: 0,
    };
    assert_eq!(fact_sources(&members, new).len(), 2);
    assert!(fact_sources(&[], new).is_empty());
}

#[test]
fn capacity_follows_the_scarcer_resource() {
    assert_eq!(passing_capacity(Some(0.09), Some(200.0)), 0);
    assert_eq!(passing_capacity(Some(0.5), Some(10.0)), 1);
    assert_eq!(passing_capacity(Some(0.5), Some(200.0)), 3);
    assert!(passing_capacity(None, None) > 3);
}
