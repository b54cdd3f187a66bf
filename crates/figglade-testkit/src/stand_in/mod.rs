//! A stand-in for a target: it speaks the target side of the published interface, holds a small
//! register and can be told to misbehave.

mod announcer;
mod answer;
mod control;
mod core;
mod falsify;
mod layout;
mod refusal;
mod register;
mod server;
mod service;
mod settings;
mod slots;

use std::{
    net::SocketAddr,
    path::Path,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use derive_more::{Display, Error, From};
use figglade::{Incarnation, wire::TargetState};
use tokio::{net::TcpListener, task::JoinSet};

use self::{
    announcer::TargetAnnouncer,
    core::StandInCore,
    server::{ListenerKind, run_listener},
    service::StandInService,
};

pub use self::{
    control::{ControlChange, StandInControl},
    core::{RanAction, StandInState},
    layout::IndexLayout,
    register::{RegisterData, RegisterSlice},
    settings::{
        AnswerFault, ColdStart, FleetSettings, ResetPoint, ServiceKind, ServiceTime, SettingsError,
        StandInFaults, StandInSettings,
    },
};

/// The reason a stand-in target did not start.
#[derive(Debug, Display, Error, From)]
pub enum StandInError {
    /// The settings are out of range.
    #[display("{_0}")]
    Settings(SettingsError),
    /// The address could not be bound.
    #[display("listening at {address} failed: {source}")]
    #[from(ignore)]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The key file could not be read.
    #[display("reading the key file {path} failed: {source}")]
    #[from(ignore)]
    Key {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
}

/// One stand-in target, running in tasks of this process.
///
/// Dropping it ends it like a kill.
#[derive(Debug)]
pub struct StandIn {
    core: Arc<StandInCore>,
    control: StandInControl,
    control_address: Option<SocketAddr>,
    tasks: JoinSet<()>,
}

impl StandIn {
    /// Binds the address, starts serving and announces the target.
    ///
    /// # Errors
    ///
    /// Fails when a setting is out of range, the key file cannot be read or an address cannot be
    /// bound.
    pub async fn start(settings: StandInSettings) -> Result<Self, StandInError> {
        settings.check()?;
        let key = settings.target_key_file.as_deref().map(read_key).transpose()?;
        let listener = bind_listener(settings.listen).await?;
        let control_listener = match settings.control_listen {
            Some(address) => Some(bind_listener(address).await?),
            None => None,
        };
        let address = bound_address(&listener, settings.listen)?;
        let incarnation = settings.incarnation.unwrap_or_else(wall_incarnation);
        let core = Arc::new(StandInCore::new(settings, address, incarnation));
        let announcer = Arc::new(TargetAnnouncer::new(Arc::clone(&core), key));
        let control = StandInControl::new(Arc::clone(&core), Arc::clone(&announcer));
        let service = Arc::new(StandInService::new(Arc::clone(&core), control.clone()));

        let mut tasks = JoinSet::new();
        let control_address = match control_listener {
            Some(listener) => {
                let address = bound_address(&listener, address)?;
                let service = Arc::clone(&service);
                tasks.spawn(run_listener(listener, service, ListenerKind::Control));
                Some(address)
            }
            None => None,
        };
        tasks.spawn(run_listener(listener, service, ListenerKind::Target));
        tasks.spawn(leave_starting_state(Arc::clone(&core)));
        tasks.spawn(announcer.run());
        Ok(Self { core, control, control_address, tasks })
    }

    /// Returns the address the target listens at.
    pub fn address(&self) -> SocketAddr {
        self.core.address
    }

    /// Returns the address of the control interface outside the connection cap.
    pub const fn control_address(&self) -> Option<SocketAddr> {
        self.control_address
    }

    /// Returns the control of the target.
    pub const fn control(&self) -> &StandInControl {
        &self.control
    }

    /// Returns every action the target ran, in order.
    pub fn ran_actions(&self) -> Vec<RanAction> {
        self.core.ran_actions()
    }

    /// Returns the counters.
    pub fn state(&self) -> StandInState {
        self.core.report_state()
    }

    /// Ends the target without a drain.
    pub async fn close(mut self) {
        self.control.kill();
        while self.tasks.join_next().await.is_some() {}
    }
}

/// Binds one address.
async fn bind_listener(address: SocketAddr) -> Result<TcpListener, StandInError> {
    TcpListener::bind(address).await.map_err(|source| StandInError::Listen { address, source })
}

/// Returns the address that was bound.
fn bound_address(listener: &TcpListener, asked: SocketAddr) -> Result<SocketAddr, StandInError> {
    listener.local_addr().map_err(|source| StandInError::Listen { address: asked, source })
}

/// Reads a key file.
fn read_key(path: &Path) -> Result<String, StandInError> {
    std::fs::read_to_string(path)
        .map(|text| text.trim().to_owned())
        .map_err(|source| StandInError::Key { path: path.display().to_string(), source })
}

/// Returns an incarnation that rises with each start.
fn wall_incarnation() -> Incarnation {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation::new(elapsed.as_millis() as u64)
}

/// Turns the target ready once its start is over.
async fn leave_starting_state(core: Arc<StandInCore>) {
    tokio::time::sleep(Duration::from_millis(core.settings.starting_ms)).await;
    core.advance_state(TargetState::Ready);
}
