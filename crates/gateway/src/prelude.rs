//! The types that most modules of the gateway use.

pub use oleander_base::prelude::*;

pub use crate::manifest::{Manifest, RepeatKind, RouteSpec};
pub use crate::port::{AnswerFacts, CallFacts, DecodeError, PlatformPort};
pub use crate::settings::GatewaySettings;
pub use crate::store_version::{StoreEra, StoreVersion};
