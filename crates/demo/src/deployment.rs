//! Starts a plan on loopback and stops it.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use bytes::Bytes;

use oleander_entry::{
    CallerSettings, DispatchSection, EntryProcess, EntrySettings, InstanceSettings, LogSection,
    OperatorSettings, PeerSection, PlatformSection, StartError,
};
use oleander_platform::{
    BudgetLimits, ClientSettings, Expected, KeyValueStore, PlatformClient, StoreError,
};
use oleander_standin::{
    EngineSettings, EngineStandIn, PlatformSettings, PlatformStandIn, ServiceSettings,
    ServiceStandIn,
};
use thiserror::Error;
use tokio::runtime::Builder;

use crate::plan::{DeploymentPlan, EnginePlan, PlanDocument, ServicePlan};
use crate::secrets::FleetSecrets;

/// How often a deployment that starts is looked at.
const READY_PERIOD: Duration = Duration::from_millis(20);
/// Calls a second while the records of a plan are written.
const SETUP_CALLS: f64 = 10_000.0;
/// The largest body, in bytes.
const BODY_LIMIT: usize = 4 * 1024 * 1024;
/// Requests that an entry VM may hold.
const REQUEST_LIMIT: usize = 50_000;

/// Why a deployment could not be started.
#[derive(Debug, Error)]
pub enum DeployError {
    /// A stand-in could not be started, or files could not be written.
    #[error(transparent)]
    System(#[from] io::Error),
    /// The platform refused a record.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// An entry VM could not be started.
    #[error(transparent)]
    Entry(#[from] StartError),
}

/// A deployment that runs; it stops when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// The plan.
    pub plan: DeploymentPlan,
    /// The secrets.
    pub secrets: FleetSecrets,
    /// Model engines, in the order of the plan.
    pub engines: Vec<EngineStandIn>,
    /// Plain services, in the order of the plan.
    pub services: Vec<ServiceStandIn>,
    /// The platform.
    pub platform: PlatformStandIn,
    /// Entry VMs, by data centre in the order of the plan.
    pub entries: Vec<EntryProcess>,
}

impl Deployment {
    /// Starts the stand-ins and the entry VMs and puts the plan's records into force.
    pub fn spawn(plan: DeploymentPlan) -> Result<Self, DeployError> {
        let secrets = FleetSecrets::generate()?;
        let engines = plan
            .engines
            .iter()
            .map(spawn_engine)
            .collect::<io::Result<Vec<_>>>()?;
        let services = plan
            .services
            .iter()
            .map(spawn_service)
            .collect::<io::Result<Vec<_>>>()?;
        let platform = PlatformStandIn::bind(PlatformSettings::default())?;
        let mut deployment = Self {
            plan,
            secrets,
            engines,
            services,
            platform,
            entries: Vec::new(),
        };
        deployment.write_records()?;
        deployment.spawn_entries()?;
        Ok(deployment)
    }

    /// Returns where callers connect, one address for each entry VM.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(EntryProcess::callers).collect()
    }

    /// Waits until every entry VM has the records in force and sees all others.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while !self.is_ready() {
            if Instant::now() > until {
                return false;
            }
            std::thread::sleep(READY_PERIOD);
        }
        true
    }

    fn is_ready(&self) -> bool {
        let count = self.entries.len();
        self.entries.iter().all(|entry| {
            let view = entry.node().view();
            let live = view
                .members
                .iter()
                .filter(|member| member.takes_roles)
                .count();
            entry.node().is_ready() && live == count
        })
    }

    /// Writes the plan's records to the platform.
    fn write_records(&self) -> Result<(), DeployError> {
        let engines: Vec<SocketAddr> = self.engines.iter().map(EngineStandIn::address).collect();
        let services: Vec<SocketAddr> = self.services.iter().map(ServiceStandIn::address).collect();
        let documents = self.plan.documents(&engines, &services);
        let address = self.platform.address();
        // The caller may be a task of a runtime, in which another one cannot be driven.
        let written =
            std::thread::scope(|scope| scope.spawn(|| write_documents(address, &documents)).join());
        written.unwrap_or_else(|panic| std::panic::resume_unwind(panic))
    }

    fn spawn_entries(&mut self) -> Result<(), DeployError> {
        let mut seeds = Vec::new();
        for centre in self.plan.centres.clone() {
            for number in 1..=centre.entries {
                let name = format!("{}-entry-{number}", centre.name);
                let settings = self.entry_settings(&name, &centre.name, &seeds)?;
                let process = EntryProcess::spawn(settings)?;
                seeds.push(process.node().me.address);
                self.entries.push(process);
            }
        }
        Ok(())
    }

    fn entry_settings(
        &self,
        name: &str,
        centre: &str,
        seeds: &[SocketAddr],
    ) -> io::Result<EntrySettings> {
        let files = self.secrets.issue(name)?;
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Ok(EntrySettings {
            instance: InstanceSettings {
                name: name.to_owned(),
                centre: centre.to_owned(),
                weight: 1.0,
            },
            callers: CallerSettings {
                listen: any,
                workers: self.plan.workers,
                body_limit: BODY_LIMIT,
                request_limit: REQUEST_LIMIT,
                tls_certificate: None,
                tls_key: None,
            },
            operators: OperatorSettings {
                listen: any,
                key_file: files.operator_key,
            },
            peers: PeerSection {
                listen: any,
                seeds: seeds.to_vec(),
                certificate: files.certificate,
                key: files.key,
                authority: files.authority,
            },
            platform: PlatformSection {
                address: self.platform.address(),
                calls_per_second: 50.0,
                token_key_file: files.token_key,
            },
            dispatch: DispatchSection {
                policy: self.plan.policy,
                ..DispatchSection::default()
            },
            log: LogSection::default(),
        })
    }
}

fn write_documents(address: SocketAddr, documents: &[PlanDocument]) -> Result<(), DeployError> {
    let mut settings = ClientSettings::new(address);
    settings.limits = BudgetLimits {
        reads_per_second: SETUP_CALLS,
        writes_per_second: SETUP_CALLS,
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

fn spawn_engine(plan: &EnginePlan) -> io::Result<EngineStandIn> {
    EngineStandIn::bind(EngineSettings {
        name: plan.name.clone(),
        models: vec![plan.model.clone()],
        speed: plan.speed,
        batch_limit: plan.slots,
        ..EngineSettings::default()
    })
}

fn spawn_service(plan: &ServicePlan) -> io::Result<ServiceStandIn> {
    ServiceStandIn::bind(ServiceSettings {
        name: plan.name.clone(),
        ..ServiceSettings::default()
    })
}
