//! An immutable view of the fleet at one time.

use std::collections::BTreeMap;
use std::fmt::Write;

use oleander_base::prelude::*;

use crate::member::{Member, MemberState};

/// The view of one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CentreView {
    /// Whether the data centre is visible from this instance.
    pub visible: bool,
    /// The time at which `visible` last changed.
    pub since: MonoTime,
    /// The number of members that accept new work.
    pub live: u32,
    /// The sum of the weights of these members.
    pub weight: u32,
    /// The oldest revision in force on the data centre's members past the joining phase, as the
    /// data centre itself reports it.
    pub oldest_revision: Option<Revision>,
    /// The members that probe other data centres, in the order of their rank.
    pub relays: Vec<InstanceId>,
}

/// A view of the fleet, which is shared and replaced as a whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberView {
    /// The local instance.
    pub me: InstanceId,
    /// The local data centre.
    pub centre: CentreId,
    /// Every known member, including the local instance.
    pub members: BTreeMap<InstanceId, Member>,
    /// Every known data centre, including the local one.
    pub centres: BTreeMap<CentreId, CentreView>,
    /// The end of the last pause, until a member acknowledges a probe or the stale timeout expires.
    pub stale_since: Option<MonoTime>,
    /// The version of the view, which increases with each change.
    pub version: u64,
}

impl MemberView {
    /// Returns the view of an instance that knows no other member.
    pub fn alone(me: Member) -> Self {
        let mut view = Self {
            me: me.instance,
            centre: me.centre,
            members: BTreeMap::from([(me.instance, me)]),
            centres: BTreeMap::new(),
            stale_since: None,
            version: 0,
        };
        view.centres.insert(
            me.centre,
            CentreView {
                visible: true,
                since: me.since,
                live: u32::from(me.state.takes_work()),
                weight: if me.state.takes_work() {
                    me.weight.into()
                } else {
                    0
                },
                oldest_revision: Some(me.revision),
                relays: vec![me.instance],
            },
        );
        view
    }

    /// Returns one member.
    pub fn get(&self, instance: InstanceId) -> Option<&Member> {
        self.members.get(&instance)
    }

    /// Returns a member's state; an unknown instance counts as gone.
    pub fn state(&self, instance: InstanceId) -> MemberState {
        self.get(instance).map_or(MemberState::Gone, |m| m.state)
    }

    /// Returns the members of one data centre that accept new work.
    pub fn working_in(&self, centre: CentreId) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(move |m| m.centre == centre && m.state.takes_work())
    }

    /// Returns all members except the local instance to which messages are expected to arrive.
    pub fn reachable_others(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|m| m.instance != self.me && m.state.is_reachable())
    }

    /// Returns whether the local instance is a relay.
    pub fn is_relay(&self) -> bool {
        let centre = self.centres.get(&self.centre);
        centre.is_some_and(|centre| centre.relays.contains(&self.me))
    }

    /// Returns whether the program may act on the view, which it may not right after a pause.
    pub fn is_current(&self) -> bool {
        self.stale_since.is_none()
    }

    /// Returns the view as text, with one line per data centre and one per member.
    pub fn dump(&self) -> String {
        let mut text = format!(
            "me {} in {} version {}\n",
            self.me, self.centre, self.version
        );
        if let Some(since) = self.stale_since {
            let _ = writeln!(text, "stale since {since}");
        }
        for (id, centre) in &self.centres {
            let visibility = if centre.visible { "visible" } else { "cut off" };
            let _ = write!(text, "{id} {visibility} since {}", centre.since);
            let _ = write!(text, " live {} weight {}", centre.live, centre.weight);
            match centre.oldest_revision {
                Some(revision) => _ = writeln!(text, " oldest revision {revision}"),
                None => text.push('\n'),
            }
        }
        for member in self.members.values() {
            let _ = writeln!(text, "{member}");
        }
        text
    }
}
