//! Starts a plan on loopback and stops it.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;

use oleander_decide::PolicyKind;
use oleander_entry::{
    CallerSettings, DispatchSection, EntryNode, EntryProcess, EntrySettings, InstanceSettings,
    LogSection, OperatorSettings, PeerSection, PlatformSection, StartError,
};
use oleander_load::{EnginePlan, FaultAction, Scenario, ServicePlan};
use oleander_platform::{
    BudgetLimits, ClientSettings, Expected, KeyValueStore, PlatformClient, StoreError,
};
use oleander_standin::{
    EngineStandIn, FaultPlan, OutageKind, PlatformSettings, PlatformStandIn, ServiceStandIn,
};
use parking_lot::Mutex;
use thiserror::Error;
use tokio::runtime::Builder;

use crate::plan::{PlanDocument, scenario_documents};
use crate::secrets::FleetSecrets;

/// How often a deployment that starts is looked at.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Calls a second while the records of a plan are written.
const SETUP_CALLS_PER_SECOND: f64 = 10_000.0;
/// Worker threads of each entry VM.
const ENTRY_WORKERS: usize = 1;
/// The largest body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Requests that an entry VM may hold.
const MAX_REQUESTS: usize = 50_000;

/// Why a deployment could not be started.
#[derive(Debug, Error)]
pub enum DeployError {
    /// A stand-in could not be started, or files could not be written.
    #[error(transparent)]
    System(#[from] io::Error),
    /// The platform refused a record.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The entry VMs did not become ready in time.
    #[error("the entry VMs did not become ready in time")]
    NotReady,
    /// An entry VM could not be started.
    #[error(transparent)]
    Entry(#[from] StartError),
}

/// A deployment that runs; it stops when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// The scenario that it was made for.
    pub scenario: Scenario,
    /// The policy of its pools.
    pub policy: PolicyKind,
    /// The secrets.
    pub secrets: FleetSecrets,
    /// Model engines, in the order of the scenario's plan.
    pub engines: Vec<EngineStandIn>,
    /// Plain services, in the order of the scenario's plan.
    pub services: Vec<ServiceStandIn>,
    /// The platform.
    pub platform: PlatformStandIn,
    /// Entry VMs, on the data centres in turn.
    pub entries: Vec<DeployedEntry>,
}

/// The place of one entry VM, whose process may have been stopped.
#[derive(Debug)]
pub struct DeployedEntry {
    /// Its name.
    pub name: String,
    /// Its shared state, which outlives the process for the reports.
    pub node: Arc<EntryNode>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    process: Mutex<Option<EntryProcess>>,
}

impl DeployedEntry {
    fn new(name: &str, process: EntryProcess) -> Self {
        Self {
            name: name.to_owned(),
            node: Arc::clone(process.node()),
            callers: process.callers(),
            operators: process.operators(),
            process: Mutex::new(Some(process)),
        }
    }

    /// Ends the process without notice.
    pub fn crash(&self) {
        drop(self.process.lock().take());
    }

    /// Begins a planned stop; what still comes is served.
    pub fn leave(&self) {
        if let Some(process) = self.process.lock().as_ref() {
            process.leave("the scenario stops this entry VM");
        }
    }
}

impl Deployment {
    /// Starts the stand-ins, writes the scenario's records and starts the entry VMs.
    pub fn spawn(scenario: &Scenario, policy: PolicyKind) -> Result<Self, DeployError> {
        let engine_plans = scenario.deployment.engine_plans();
        let service_plans = scenario.deployment.service_plans();
        let bind_engine = |plan: &EnginePlan| EngineStandIn::bind(plan.settings.clone());
        let bind_service = |plan: &ServicePlan| ServiceStandIn::bind(plan.settings.clone());
        let mut deployment = Self {
            scenario: scenario.clone(),
            policy,
            secrets: FleetSecrets::generate()?,
            engines: engine_plans
                .iter()
                .map(bind_engine)
                .collect::<io::Result<_>>()?,
            services: service_plans
                .iter()
                .map(bind_service)
                .collect::<io::Result<_>>()?,
            platform: PlatformStandIn::bind(PlatformSettings::default())?,
            entries: Vec::new(),
        };
        deployment.write_records(&engine_plans, &service_plans)?;
        deployment.spawn_entries()?;
        Ok(deployment)
    }

    /// Returns where callers connect, one address for each entry VM.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.callers).collect()
    }

    /// Carries out a fault of a scenario; one that names nothing of this deployment is logged.
    pub fn inject_fault(&self, action: &FaultAction) {
        let injected = match action {
            FaultAction::Engine { name, fault } => {
                self.engine(name).map(|engine| engine.fault(*fault).is_ok())
            }
            FaultAction::Service { name, fault } => self
                .service(name)
                .map(|service| service.fault(*fault).is_ok()),
            FaultAction::EntryCrash { entry } => self.entries.get(*entry as usize).map(|entry| {
                entry.crash();
                true
            }),
            FaultAction::EntryStop { entry } => self.entries.get(*entry as usize).map(|entry| {
                entry.leave();
                true
            }),
            FaultAction::StoreDown => Some(self.set_outage(OutageKind::Close)),
            FaultAction::StoreUp => Some(self.set_outage(OutageKind::None)),
            FaultAction::CentreCut { .. } | FaultAction::CentreHeal { .. } => None,
        };
        match injected {
            Some(true) => log::info!("fault: {action:?}"),
            _ => log::error!("this deployment cannot carry out {action:?}"),
        }
    }

    fn engine(&self, name: &str) -> Option<&EngineStandIn> {
        self.engines
            .iter()
            .find(|engine| engine.settings().name == name)
    }

    fn service(&self, name: &str) -> Option<&ServiceStandIn> {
        let plans = self.scenario.deployment.service_plans();
        let index = plans.iter().position(|plan| plan.settings.name == name)?;
        self.services.get(index)
    }

    fn set_outage(&self, outage: OutageKind) -> bool {
        self.platform.set_faults(FaultPlan {
            outage,
            ..FaultPlan::default()
        });
        true
    }

    /// Waits until every entry VM has the records in force and sees all others.
    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while !self.is_ready() {
            if Instant::now() > deadline {
                return false;
            }
            std::thread::sleep(READY_POLL_INTERVAL);
        }
        true
    }

    fn is_ready(&self) -> bool {
        let count = self.entries.len();
        self.entries.iter().all(|entry| {
            let view = entry.node.view();
            let live = view
                .members
                .iter()
                .filter(|member| member.takes_roles)
                .count();
            entry.node.is_ready() && live == count
        })
    }

    /// Writes the scenario's records to the platform.
    fn write_records(
        &self,
        engine_plans: &[EnginePlan],
        service_plans: &[ServicePlan],
    ) -> Result<(), DeployError> {
        let mut documents = scenario_documents(&self.scenario);
        for (plan, engine) in engine_plans.iter().zip(&self.engines) {
            documents.push(PlanDocument::of_engine(plan, engine.address()));
        }
        for (plan, service) in service_plans.iter().zip(&self.services) {
            let operations = &self.scenario.operations;
            documents.push(PlanDocument::of_service(
                plan,
                operations,
                service.address(),
            ));
        }
        let address = self.platform.address();
        // The caller may be a task of a runtime, in which another one cannot be driven.
        let written =
            std::thread::scope(|scope| scope.spawn(|| write_documents(address, &documents)).join());
        written.unwrap_or_else(|panic| std::panic::resume_unwind(panic))
    }

    fn spawn_entries(&mut self) -> Result<(), DeployError> {
        let mut seeds = Vec::new();
        let centres = self.scenario.deployment.centres.clone();
        for number in 0..self.scenario.deployment.entries {
            let centre = &centres[number as usize % centres.len()];
            let name = format!("{centre}-entry-{number}");
            let process = EntryProcess::spawn(self.entry_settings(&name, centre, &seeds)?)?;
            seeds.push(process.node().me.address);
            self.entries.push(DeployedEntry::new(&name, process));
        }
        Ok(())
    }

    /// Returns the settings of an entry VM of this deployment, with its files issued.
    pub fn entry_settings(
        &self,
        name: &str,
        centre: &str,
        seeds: &[SocketAddr],
    ) -> io::Result<EntrySettings> {
        let files = self.secrets.issue(name)?;
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Ok(EntrySettings {
            instance: InstanceSettings {
                name: name.to_owned(),
                centre: centre.to_owned(),
                weight: 1.0,
            },
            callers: CallerSettings {
                listen: any_port,
                workers: ENTRY_WORKERS,
                body_limit: MAX_BODY_BYTES,
                request_limit: MAX_REQUESTS,
                tls_certificate: None,
                tls_key: None,
            },
            operators: OperatorSettings {
                listen: any_port,
                key_file: files.operator_key,
            },
            peers: PeerSection {
                listen: any_port,
                advertise: None,
                seeds: seeds.to_vec(),
                certificate: files.certificate,
                key: files.key,
                authority: files.authority,
            },
            platform: PlatformSection {
                address: self.platform.address(),
                calls_per_second: 200.0,
                token_key_file: files.token_key,
            },
            dispatch: DispatchSection {
                policy: self.policy,
                ..DispatchSection::default()
            },
            log: LogSection::default(),
        })
    }
}

fn write_documents(address: SocketAddr, documents: &[PlanDocument]) -> Result<(), DeployError> {
    let mut settings = ClientSettings::new(address);
    settings.limits = BudgetLimits {
        reads_per_second: SETUP_CALLS_PER_SECOND,
        writes_per_second: SETUP_CALLS_PER_SECOND,
    };
    let client = PlatformClient::open(settings)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        for document in documents {
            let value = Bytes::copy_from_slice(document.text.as_bytes());
            client
                .put(&document.key, Expected::Absent, value, None)
                .await?;
        }
        Ok(())
    })
}
