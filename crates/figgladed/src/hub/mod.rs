//! Hubs: the control instances that take the reports of targets and the route sets of operators,
//! and the instances that follow one of them.
//!
//! Hubs tell each other of changes and compare digests, so that each knows every target. An
//! instance follows one hub and turns to another when it falls silent or cannot prove that it is
//! current. What ends a target is acknowledged only once as many other hubs hold it as may be lost.

mod follower;
mod frames;
mod message;
mod node;
mod peers;
mod start;
mod target_store;

pub use self::{
    follower::HubFollower,
    frames::{HubHandler, HubInput},
    message::{HubGreeting, HubMessage, HubStatus, SubscribeRequest},
    node::{HubError, HubNode, HubParts},
    start::{MemberOptions, start_member},
    target_store::{TargetStore, TargetStoreError},
};
