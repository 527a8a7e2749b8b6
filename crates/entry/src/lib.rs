//! The entry VM's process: everything between the callers' and the backend servers' sockets.
//!
//! [`EntryProcess`] starts the parts and stops them in order. [`EntryNode`] is the state that they
//! share. docs/DESIGN.md tells the way of a request through the modules.

mod answer;
mod changes;
mod counters;
mod desk;
mod dispatch;
mod journal;
mod life;
mod node;
mod settings;
mod settings_check;
mod sse;
mod view;

pub use answer::{AnswerBuffer, AnswerEnd, AnswerEvent, AnswerReader, AnswerShelf, ReadItem};
pub use changes::{ChangeEntry, ChangeLog};
pub use counters::{EntryCounters, ServiceCount, ServiceKey, ServiceLine};
pub use desk::{DeskCount, GrantEffect, HeldSlot, TicketDesk, TicketOutcome};
pub use dispatch::{DispatchBoard, OfferEnd, PoolStatus, PoolView};
pub use journal::{Journal, JournalEntry, JournalEvent};
pub use life::{LifeCycle, LifeStage};
pub use node::{EntryNode, PeerLink};
pub use settings::{EntrySettings, SettingsError, SettingsFault};
pub use sse::{EventBody, EventPlace};
pub use view::{FleetMember, FleetView, PoolRoute};
