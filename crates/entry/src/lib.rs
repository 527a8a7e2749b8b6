//! The entry VM's process: everything between the callers' and the backend servers' sockets.
//!
//! [`EntryProcess`] starts the parts and stops them in order. [`EntryNode`] is the state that they
//! share. docs/DESIGN.md tells the way of a request through the modules.

mod answer;
mod changes;
mod claim_route;
mod control;
mod counters;
mod desk;
mod dispatch;
mod dispatch_pool;
mod drive;
mod forward;
mod http_answer;
mod journal;
mod life;
mod limit_board;
mod limits;
mod logging;
mod metric_table;
mod node;
mod operator_desk;
mod order_role;
mod peering;
mod process;
mod reconnect;
mod record_reader;
mod records_feed;
mod report_watch;
mod retries;
mod roles;
mod screen_maker;
mod serve;
mod serve_service;
mod server;
mod service_job;
mod settings;
mod settings_check;
mod spill;
mod sse;
mod status;
mod ticket_flow;
mod tls;
mod view;
mod vm_watch;
mod worker;

pub use answer::{
    AnswerBuffer, AnswerEnd, AnswerEvent, AnswerReader, AnswerShelf, EventsDropped, ReadItem,
};
pub use changes::{ChangeEntry, ChangeLog};
pub use counters::{EntryCounters, ProcessCounters, ServiceKey, ServiceLine};
pub use desk::{DeskCount, GrantEffect, HeldSlot, RepeatedOffer, TicketDesk, TicketOutcome};
pub use dispatch::{DispatchBoard, OfferEnd, PoolStatus, PoolView};
pub use journal::{Journal, JournalEntry, JournalEvent};
pub use life::{LifeCycle, LifeStage};
pub use limit_board::{DemandLine, LimitBoard};
pub use limits::{LimitDesk, LimitUse};
pub use logging::start_logging;
pub use node::{EntryNode, PeerLink};
pub use order_role::OrderRole;
pub use process::{EntryProcess, StartError};
pub use records_feed::RecordFeed;
pub use retries::RetryDesk;
pub use settings::{
    CallerSettings, DispatchSection, EntrySettings, InstanceSettings, LogLevel, LogSection,
    OperatorSettings, PeerSection, PlatformSection, SettingsError, SettingsFault,
};
pub use spill::SpillBoard;
pub use sse::{EventBody, EventPlace};
pub use status::{BackendUse, InstanceStatus, SeenStatus, StatusBoard, StatusMessage};
pub use view::{FleetMember, FleetView, PoolRoute};
