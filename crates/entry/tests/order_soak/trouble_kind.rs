//! The kinds of faults, and which of them each test plays.

use serde::Deserialize;

/// A kind of fault. A command line names it in kebab case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Trouble {
    /// An engine is killed and starts again soon at its address under a new id.
    EngineRestart,
    /// An engine is killed and starts again soon under its id, as another boot.
    EngineReboot,
    /// An engine is killed and starts again soon under its id, at the other software version.
    EngineUpgrade,
    /// An engine is killed and stays away for some seconds.
    EngineLoss,
    /// An engine stops for a second and goes on.
    EnginePause,
    /// A gateway is killed and starts again.
    GatewayKill,
    /// A gateway stops for a second and goes on.
    GatewayPause,
    /// A gateway is told to end and starts again.
    GatewayStop,
    /// Several gateways, at times all, are killed at the same moment.
    GatewayHerd,
    /// All connections to an engine are reset.
    LinkReset,
    /// All bytes to and from an engine are delayed.
    LinkDelay,
    /// Nothing passes between the gateways and an engine for a second.
    LinkCut,
    /// An engine is killed, and its link falls silent at once. Behind that it starts again under its id at the other
    /// software version, is killed and starts again at its own.
    SilentUpgrade,
    /// Some pieces to and from an engine, and some ends of its connections, come late as after a lost segment.
    LossyLink,
    /// As `LossyLink`, while the engine starts again under its id at the other software version.
    LossyUpgrade,
    /// Answers of an engine that lives end inside an event, have a spoiled chunk or are followed by a second answer.
    EngineFailure,
    /// An engine refuses its report for a moment, or answers it late.
    ReportFailure,
    /// An engine starts again under its id at the other software version and refuses its report with status 503 at
    /// first. Then it starts again at its own.
    ReportBusyUpgrade,
    /// The same with status 404.
    ReportMissingUpgrade,
    /// The same with a report that comes late.
    ReportLateUpgrade,
    /// The store refuses, drops or holds all calls.
    StoreAway,
    /// The store answers slowly.
    StoreSlow,
    /// Answers to writes to the store are lost, and they take effect later.
    StoreAnswersLost,
    /// The store discards its history.
    StoreCompacted,
    /// The store comes back from an older copy, in a new era.
    StoreRestored,
    /// Some gateways do not reach the store.
    StoreCut,
    /// The links of some gateways to the store lose segments.
    StoreLossy,
    /// Several gateways stop and go on in turn, several times.
    GatewayStutter,
    /// The entry of an engine that lives goes for a moment. At times the engine starts again meanwhile, at the other
    /// software version.
    EntryAway,
    /// The entry of an engine is written once without the time at which its process started. At times the engine starts
    /// again soon after, at the other software version.
    EntryWithoutStart,
    /// An engine is killed, and one of the other service serves at its address for some time.
    AddressReuse,
    /// The manifest is written again under a higher version.
    ManifestChange,
    /// All callers read slowly.
    SlowCallers,
    /// All callers repeat requests at once.
    HastyCallers,
}

/// Faults of all kinds at which engines keep their software version, as often as they are chosen.
pub const FAULTS: [Trouble; 16] = [
    Trouble::EngineRestart,
    Trouble::EngineRestart,
    Trouble::EngineRestart,
    Trouble::EngineReboot,
    Trouble::EngineReboot,
    Trouble::EngineReboot,
    Trouble::EngineLoss,
    Trouble::EngineLoss,
    Trouble::EnginePause,
    Trouble::GatewayKill,
    Trouble::GatewayPause,
    Trouble::GatewayStop,
    Trouble::GatewayHerd,
    Trouble::LinkReset,
    Trouble::LinkDelay,
    Trouble::LinkCut,
];

/// Engines that start again, mostly at the other software version, as often as they are chosen.
pub const UPGRADES: [Trouble; 3] = [
    Trouble::EngineUpgrade,
    Trouble::EngineUpgrade,
    Trouble::EngineRestart,
];

/// Engines that are killed while nothing passes between them and the gateways.
pub const SILENT_UPGRADES: [Trouble; 1] = [Trouble::SilentUpgrade];

/// Links that lose segments, and engines that fail without an end of their process.
pub const DOUBTS: [Trouble; 4] = [
    Trouble::LossyLink,
    Trouble::LossyUpgrade,
    Trouble::EngineFailure,
    Trouble::EngineUpgrade,
];

/// Engines that do not report themselves for a moment.
pub const UNREPORTED: [Trouble; 5] = [
    Trouble::ReportFailure,
    Trouble::ReportBusyUpgrade,
    Trouble::ReportMissingUpgrade,
    Trouble::ReportLateUpgrade,
    Trouble::EngineUpgrade,
];

/// Faults around the engines: at the store, in the registry, at gateways and callers, while engines start again
/// at the other software version.
pub const SURROUNDINGS: [Trouble; 16] = [
    Trouble::StoreAway,
    Trouble::StoreSlow,
    Trouble::StoreAnswersLost,
    Trouble::StoreCompacted,
    Trouble::StoreRestored,
    Trouble::StoreCut,
    Trouble::StoreLossy,
    Trouble::GatewayStutter,
    Trouble::EntryAway,
    Trouble::EntryWithoutStart,
    Trouble::AddressReuse,
    Trouble::ManifestChange,
    Trouble::SlowCallers,
    Trouble::HastyCallers,
    Trouble::EngineUpgrade,
    Trouble::EngineUpgrade,
];
