//! Deployment of a scenario on loopback.

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

/// The interval between two checks whether a starting deployment is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The rate limit of reads and of writes while the scenario's records are written, in calls per
/// second.
const SETUP_CALLS_PER_SECOND: f64 = 10_000.0;
/// The number of worker threads of each entry VM.
const ENTRY_WORKERS: usize = 1;
/// The largest request body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// The number of requests that an entry VM may hold at a time.
const MAX_REQUESTS: usize = 50_000;

/// The reason why a deployment could not be started.
#[derive(Debug, Error)]
pub enum DeployError {
    /// A stand-in could not be started, or files could not be written.
    #[error(transparent)]
    System(#[from] io::Error),
    /// A record could not be written to the platform's key-value store.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The entry VMs did not become ready in time.
    #[error("the entry VMs did not become ready in time")]
    NotReady,
    /// An entry VM could not be started.
    #[error(transparent)]
    Entry(#[from] StartError),
}

/// A running deployment; dropping it stops it.
#[derive(Debug)]
pub struct Deployment {
    /// The scenario of the deployment.
    pub scenario: Scenario,
    /// The scheduling policy of the pools.
    pub policy: PolicyKind,
    /// The keys and certificates of the fleet.
    pub secrets: FleetSecrets,
    /// The engine stand-ins, in the order of the scenario's plan.
    pub engines: Vec<EngineStandIn>,
    /// The stand-ins of plain services, in the order of the scenario's plan.
    pub services: Vec<ServiceStandIn>,
    /// The platform stand-in.
    pub platform: PlatformStandIn,
    /// The entry VMs, assigned to the data centres round-robin.
    pub entries: Vec<DeployedEntry>,
}

/// An entry VM of the deployment, whose process may have been stopped.
#[derive(Debug)]
pub struct DeployedEntry {
    /// The entry VM's name.
    pub name: String,
    /// The entry VM's shared state, which outlives the process so that reports can read it.
    pub node: Arc<EntryNode>,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for operators.
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

    /// Stops the process at once, without a planned stop.
    pub fn crash(&self) {
        drop(self.process.lock().take());
    }

    /// Begins a planned stop; requests that still arrive are served.
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

    /// Returns the address for callers of each entry VM.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.callers).collect()
    }

    /// Injects a fault of a scenario; a fault that cannot be injected here is logged as an error.
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
            Some(true) => log::info!("injected fault: {action:?}"),
            _ => log::error!("cannot inject fault into this deployment: {action:?}"),
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

    /// Waits until every entry VM has the records in force and all others among its members.
    ///
    /// Returns whether that happened within the time limit.
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

    /// Writes the scenario's records to the platform's key-value store.
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
        // The caller may be a task of a runtime, and a second runtime cannot block its thread.
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

    /// Issues the certificate and key files of an entry VM and returns its settings.
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
