//! The control plane: membership, the target directory, the quorum log and what follows from them.

mod error;
mod gauges;
mod gossip;
mod group;
mod member;
mod message;
mod operator;
mod plane;
mod state;

pub use self::{
    error::{ControlError, ProposeFailure},
    gossip::{GossipDriver, GossipParts},
    group::{ControlGroup, ProposeMode},
    member::{
        ControlMember, ELECTION_TIMEOUT, HEARTBEAT_PERIOD, LEASE_MARGIN, MemberHandle, MemberInput,
        MemberParts,
    },
    message::{ControlReply, ControlRequest, LeaderAddress, MemberRequest},
    plane::{ControlPlane, PlaneHandler, PlaneParts},
    state::ControlState,
};
