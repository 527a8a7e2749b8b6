//! Compares the state that an engine should have with the state that it reports.

use std::collections::BTreeSet;

use oleander_base::LoadReport;
use oleander_base::prelude::*;
use oleander_engine::EngineOrder;
use oleander_records::WantedState;

/// Describes how an engine differs from its wanted state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Difference {
    /// The engine is in the wanted state.
    None,
    /// The engine can change without the weight store: another role, fewer adapters or fewer
    /// models.
    Reconfigure,
    /// The engine has to load weights or adapters.
    Load,
}

/// Compares an engine's report with its wanted state.
pub fn compare(wanted: &WantedState, report: &LoadReport) -> Difference {
    let model = ModelId::from_name(&wanted.model);
    let loaded = report.models.iter().find(|loaded| loaded.model == model);
    let Some(loaded) = loaded.filter(|loaded| loaded.version == wanted.version) else {
        return Difference::Load;
    };
    let has: BTreeSet<_> = loaded.adapters.iter().copied().collect();
    let needs = wanted
        .adapters
        .iter()
        .map(|name| AdapterId::from_name(name));
    let needs: BTreeSet<_> = needs.collect();
    if !needs.is_subset(&has) {
        return Difference::Load;
    }
    if needs != has || report.models.len() > 1 || report.role != wanted.role {
        return Difference::Reconfigure;
    }
    Difference::None
}

/// Returns the order that brings an engine to the wanted state, whatever its current state.
pub fn build_order(wanted: &WantedState, fencing: Revision) -> EngineOrder {
    EngineOrder {
        fencing: fencing.0,
        models: vec![wanted.model.clone()],
        version: wanted.version.clone(),
        adapters: wanted.adapters.clone(),
        role: wanted.role,
    }
}
