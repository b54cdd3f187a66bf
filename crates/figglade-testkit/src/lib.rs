//! Tools for testing figglade from outside: a stand-in target, a fault-injecting proxy and a
//! harness for real processes.
//!
//! Nothing here decides anything for the tier; the crate only speaks its published interfaces.

pub mod client;
pub mod crowd;
pub mod harness;
pub mod meter;
pub mod proxy;
pub mod scenario;
pub mod stand_in;

pub use crate::{
    client::{TestClient, TestClientError, TestReply},
    crowd::{connect_crowd, send_on_each},
    harness::{
        HarnessError, HarnessOptions, ManagedProcess, ProcessHarness, StandInAddress,
        StandInProcess,
    },
    meter::{HeldMeter, HeldSample},
    proxy::{FaultProxy, ProxyDirection, ProxyFault},
    scenario::run_scenario,
    stand_in::{
        AnswerFault, ControlChange, FleetSettings, IndexLayout, RanAction, RegisterData,
        ResetPoint, StandIn, StandInControl, StandInError, StandInFaults, StandInSettings,
        StandInState,
    },
};
