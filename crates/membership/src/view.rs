//! A view of the whole fleet at one time, for the rest of the program.

use std::collections::BTreeMap;
use std::fmt::Write;

use oleander_base::prelude::*;

use crate::member::{Member, MemberState};

/// What an instance knows of one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CentreView {
    /// Whether the data centre can be seen from here.
    pub visible: bool,
    /// Since when that is so.
    pub since: MonoTime,
    /// How many of its members take new work.
    pub live: u32,
    /// The sum of their weights.
    pub weight: u32,
    /// The oldest revision in force on a member that serves, by the data centre's own word.
    pub oldest_revision: Option<Revision>,
    /// The members that talk to other data centres, in the order of their rank.
    pub relays: Vec<InstanceId>,
}

/// A view of the fleet; immutable, shared and replaced as a whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberView {
    /// The instance whose view it is.
    pub me: InstanceId,
    /// Its data centre.
    pub centre: CentreId,
    /// Every known member, this one included.
    pub members: BTreeMap<InstanceId, Member>,
    /// Every known data centre, this one included.
    pub centres: BTreeMap<CentreId, CentreView>,
    /// Set while this instance was paused and has not yet heard from another member.
    pub stale_since: Option<MonoTime>,
    /// Counts the changes of the view.
    pub version: u64,
}

impl MemberView {
    /// Returns the view of an instance that knows nobody else.
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

    /// Returns a member's state; an unknown one counts as gone.
    pub fn state(&self, instance: InstanceId) -> MemberState {
        self.get(instance).map_or(MemberState::Gone, |m| m.state)
    }

    /// Returns the members of one data centre that take new work.
    pub fn working_in(&self, centre: CentreId) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(move |m| m.centre == centre && m.state.takes_work())
    }

    /// Returns all members that messages can be expected to reach, without this one.
    pub fn reachable_others(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|m| m.instance != self.me && m.state.is_reachable())
    }

    /// Returns whether this instance talks to other data centres.
    pub fn is_relay(&self) -> bool {
        let centre = self.centres.get(&self.centre);
        centre.is_some_and(|centre| centre.relays.contains(&self.me))
    }

    /// Returns whether the view may be acted on: the instance was not just paused.
    pub fn is_current(&self) -> bool {
        self.stale_since.is_none()
    }

    /// Returns the view as text, one line a data centre and a member.
    pub fn dump(&self) -> String {
        let mut text = format!(
            "me {} in {} version {}\n",
            self.me, self.centre, self.version
        );
        if let Some(since) = self.stale_since {
            let _ = writeln!(text, "stale since {since}");
        }
        for (id, centre) in &self.centres {
            let sight = if centre.visible { "visible" } else { "cut off" };
            let _ = write!(text, "{id} {sight} since {}", centre.since);
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
