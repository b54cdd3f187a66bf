//! Hubs are the control instances that receive the reports of targets and the route sets of
//! operators. Every edge instance follows one of them.
//!
//! Hubs send each other changes and compare digests, so that each knows every target. An instance
//! switches to another hub when the followed one is unreachable or cannot prove that it is current.
//! A change after which a target accepts no more requests is acknowledged only once as many other
//! hubs hold it as may be lost at once.

mod follower;
mod frames;
mod message;
mod node;
mod peers;
mod quota;
mod quota_message;
mod start;
mod target_store;

pub use self::{
    follower::HubFollower,
    frames::{HubHandler, HubInput},
    message::{HubGreeting, HubMessage, HubStatus, SubscribeRequest},
    node::{HubError, HubNode, HubParts},
    quota::{HubQuota, QuotaInput, QuotaParts},
    quota_message::{QuotaMessage, QuotaReply, TakeRequest, TokenReturn},
    start::{MemberOptions, start_member},
    target_store::{TargetStore, TargetStoreError},
};
