//! Starts a plan on loopback and stops it.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use oleander_entry::{
    CallerSettings, DispatchSection, EntryProcess, EntrySettings, InstanceSettings, LogSection,
    OperatorSettings, PeerSection, PlatformSection, StartError,
};
use oleander_standin::{EngineSettings, EngineStandIn, ServiceSettings, ServiceStandIn};
use thiserror::Error;

use crate::plan::{DeploymentPlan, EnginePlan, ServicePlan};
use crate::secrets::FleetSecrets;

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
        let mut deployment = Self {
            plan,
            secrets,
            engines,
            services,
            entries: Vec::new(),
        };
        deployment.spawn_entries()?;
        Ok(deployment)
    }

    /// Returns where callers connect, one address for each entry VM.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(EntryProcess::callers).collect()
    }

    fn spawn_entries(&mut self) -> Result<(), DeployError> {
        let engines: Vec<SocketAddr> = self.engines.iter().map(EngineStandIn::address).collect();
        let services: Vec<SocketAddr> = self.services.iter().map(ServiceStandIn::address).collect();
        let records = self.plan.records(&engines, &services);
        let mut seeds = Vec::new();
        for centre in self.plan.centres.clone() {
            for number in 1..=centre.entries {
                let name = format!("{}-entry-{number}", centre.name);
                let settings = self.entry_settings(&name, &centre.name, &seeds)?;
                let process = EntryProcess::spawn(settings)?;
                process.records().set(records.clone());
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
                address: any,
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
