//! The process of an entry VM, which routes callers' requests to backend servers.
//!
//! [`EntryProcess`] starts the components and stops them in order. [`EntryNode`] is the state that
//! they share. docs/DESIGN.md describes how a request passes through the modules.

mod answer;
mod changes;
mod claim_route;
mod control;
mod counters;
mod crash_check;
mod dispatch;
mod dispatch_pool;
mod fleet_limits;
mod forward;
mod http_answer;
mod journal;
mod life;
mod limits;
mod logging;
mod metric_table;
mod node;
mod operator_api;
mod order_role;
mod peering;
mod pool_crashes;
mod process;
mod reconnect;
mod record_reader;
mod record_sync;
mod remote_pools;
mod report_watch;
mod request_driver;
mod retries;
mod roles;
mod screen_builder;
mod serve;
mod serve_service;
mod server;
mod service_job;
mod settings;
mod settings_check;
mod sse;
mod status;
mod ticket_flow;
mod ticket_tracker;
mod tls;
mod view;
mod vm_watch;
mod worker;

pub use answer::{
    AnswerBuffer, AnswerCache, AnswerEnd, AnswerEvent, AnswerReader, EventsDropped, ReadItem,
};
pub use changes::{ChangeEntry, ChangeLog};
pub use counters::{EntryCounters, ProcessCounters, TrafficKey, TrafficLine};
pub use dispatch::{DispatcherTable, OfferOutcome, PoolStatus, PoolView};
pub use fleet_limits::{DemandLine, FleetLimits};
pub use journal::{Journal, JournalEntry, JournalEvent};
pub use life::{LifeCycle, LifeStage};
pub use limits::{CustomerLimits, CustomerUsage};
pub use logging::start_logging;
pub use node::{EntryNode, PeerLink};
pub use order_role::OrderRole;
pub use process::{EntryProcess, StartError};
pub use record_sync::{RecordSync, invalid_change, write_refusal};
pub use remote_pools::RemotePools;
pub use retries::RetryControl;
pub use settings::{
    CallerSettings, DispatchSection, EntrySettings, InstanceSettings, LogLevel, LogSection,
    OperatorSettings, PeerSection, PlatformSection, SettingsError, SettingsFault,
};
pub use sse::{EventBody, EventPosition};
pub use status::{BackendUse, InstanceStatus, PeerStatusTable, ReceivedStatus, StatusMessage};
pub use ticket_tracker::{
    GrantEffect, HeldSlot, RepeatedOffer, TicketCount, TicketOutcome, TicketTracker,
};
pub use view::{FleetMember, FleetView, PoolRoute};
