//! The control plane: membership, the target directory, the quorum log, and the configuration,
//! claims, manifests and connection shares that depend on them.

mod claims;
mod error;
mod gauges;
mod gossip;
mod group;
mod handler;
mod member;
mod member_driver;
mod member_shares;
mod message;
mod operator;
mod plane;
mod reports;
mod shares;
mod state;

pub use self::{
    error::{ControlError, ProposeFailure},
    gossip::{GossipDriver, GossipParts},
    group::{ControlGroupClient, ProposeMode, ask_member},
    handler::PlaneHandler,
    member::{
        ControlMember, ELECTION_TIMEOUT, HEARTBEAT_PERIOD, LEASE_MARGIN, MemberHandle, MemberInput,
        MemberParts, MemberView, StoreOpener,
    },
    message::{ControlReply, ControlRequest, LeaderAddress, MemberRequest},
    plane::{ControlPlane, PlaneParts},
    state::ControlState,
};
