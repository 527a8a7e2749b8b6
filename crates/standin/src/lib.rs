//! Stand-ins (fake servers) for the external systems: model engines, plain services, the platform
//! and faulty networks.
//!
//! They implement the interfaces of these systems for tests, the demonstration and the experiments.
//! Except for those in [`users`], each stand-in runs on one thread of its own. Faults are set by
//! the methods of the handle; those of the engines, the services and the platform also over HTTP
//! under `/admin`. Every token of an engine's answer carries the answer's tag ([`AnswerTag`]), so
//! that a checker can prove that an answer is complete and holds no tokens of another one without
//! asking the engine that generated it.

mod answer;
mod batch;
mod cache;
mod counters;
mod engine;
mod engine_admin;
mod engine_answer;
mod engine_http;
mod engine_loop;
mod engine_state;
mod faults;
mod host;
mod platform;
mod platform_core;
mod platform_faults;
mod platform_http;
mod platform_state;
mod proxy;
mod proxy_udp;
mod service;
pub mod users;

pub use answer::{AnswerCheck, AnswerPlan, AnswerTag, AnswerWriter, answer_hint, token_text};
pub use batch::{BatchSequence, BatchSpeed, EngineBatch, SequenceId, StepToken};
pub use cache::PrefixCache;
pub use counters::{EngineCounters, EngineTotals, ServiceCounters, ServiceTotals};
pub use engine::{EngineSettings, EngineStandIn, run_engine};
pub use faults::{EngineFault, FaultError, OrderMode, ServiceFault};
pub use platform::{PlatformSettings, PlatformStandIn, run_platform};
pub use platform_faults::{FaultPlan, OutageKind, PlatformCounters};
pub use proxy::{CutPoint, DirectionFault, FaultProxy, ProxyFaults};
pub use proxy_udp::{DatagramFault, DatagramFaults, UdpFaultProxy};
pub use service::{EffectRecord, ServiceSettings, ServiceStandIn, run_service};
