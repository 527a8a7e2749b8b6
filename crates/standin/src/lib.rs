//! Stand-ins of what surrounds the system, for tests and demonstrations.

mod platform;
mod platform_core;
mod platform_faults;
mod platform_http;
mod platform_state;

pub use platform::{PlatformSettings, PlatformStandIn, run_platform};
pub use platform_faults::{FaultPlan, OutageKind, PlatformCounters};
