//! The two programs of a tier that serves route sets: the edge, which serves callers, and the hub,
//! which serves targets and operators. An adapter provides their settings and codecs. Each runs on
//! one thread, in addition to those of the peer links, the quorum log and the log writer.

mod edge;
mod error;
mod hub;
mod settings;
mod watch;

pub use self::{
    edge::{EdgeProcess, run_edge},
    error::ProcessError,
    hub::{AdminFactory, HubProcess, run_hub},
    settings::{DataFolder, ProcessSettings, SettingsReader},
};
