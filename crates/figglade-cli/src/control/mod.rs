//! Changes of the control group, each safe to interrupt and to repeat.
//!
//! Every command reads the group first and performs only the remaining steps, so a repeated command
//! resumes where an interrupted one stopped.

mod group;
mod plan;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use derive_more::{Display, Error, From};
use figglade::{InstanceId, controller::quorum::StorageId};
use serde_json::json;

use self::group::GroupClient;
pub use self::plan::{ControlStep, plan_replacement};
use crate::{
    args::{ConnectOptions, ControlCommand},
    client::ClientError,
    error::CliError,
    output::print_json,
};

/// How long `control add` may wait for the group.
const ADD_TIMEOUT: Duration = Duration::from_secs(60);

/// The reason a change of the control group failed.
#[derive(Clone, Debug, Display, Error, From)]
pub enum ControlError {
    /// The group could not be read, or it refused the change.
    Client(ClientError),
    /// No control member could be reached.
    #[display("no control member was reached through the given instances")]
    NoControlMember,
    /// The instance is already a member with another address.
    #[display("{id} is a member already, at {known}, and not at {given}")]
    #[from(ignore)]
    OtherAddress {
        /// The instance.
        id: InstanceId,
        /// Its address in the group.
        known: SocketAddr,
        /// The address given.
        given: SocketAddr,
    },
    /// The instance is not a member.
    #[display("{id} is not a member of the control group; add it first")]
    #[from(ignore)]
    NotMember {
        /// The instance.
        #[error(not(source))]
        id: InstanceId,
    },
    /// A member cannot be replaced by itself.
    #[display(
        "{id} cannot replace itself; after the loss of its disk run control remove, add and promote"
    )]
    #[from(ignore)]
    SameMember {
        /// The instance.
        #[error(not(source))]
        id: InstanceId,
    },
    /// The change did not succeed within the timeout.
    #[display("timed out after {waited_ms} ms: {last}; repeat the command to resume")]
    #[from(ignore)]
    TimedOut {
        /// The time waited, in milliseconds.
        waited_ms: u128,
        /// The last status of the change.
        last: String,
    },
}

/// Runs a `figglade control` command.
///
/// # Errors
///
/// Fails when the group refuses permanently or the change does not succeed within the timeout.
pub async fn run_control(command: ControlCommand) -> Result<(), CliError> {
    match command {
        ControlCommand::Add { connect, storage, id, peer } => {
            let group = open_group(&connect, ADD_TIMEOUT)?;
            add_member(&group, &id, peer, storage).await?;
            finish(
                &group,
                &connect,
                &format!("{id} receives the log; next: figglade control promote {id}"),
            )
            .await
        }
        ControlCommand::Promote { connect, timeout, id } => {
            let group = open_group(&connect, timeout.0)?;
            promote_member(&group, &id).await?;
            finish(&group, &connect, &format!("{id} is a voter")).await
        }
        ControlCommand::Remove { connect, timeout, id } => {
            let group = open_group(&connect, timeout.0)?;
            remove_member(&group, &id).await?;
            finish(&group, &connect, &format!("{id} is not a member")).await
        }
        ControlCommand::Replace { connect, timeout, old, new, peer } => {
            let group = open_group(&connect, timeout.0)?;
            replace_member(&group, &old, &new, peer).await?;
            finish(&group, &connect, &format!("{new} took the place of {old}")).await
        }
    }
}

fn open_group(connect: &ConnectOptions, timeout: Duration) -> Result<GroupClient, CliError> {
    Ok(GroupClient::new(connect, Instant::now() + timeout, timeout)?)
}

async fn finish(
    group: &GroupClient,
    connect: &ConnectOptions,
    message: &str,
) -> Result<(), CliError> {
    if connect.json {
        let view = group.read().await?;
        let members: Vec<_> = view
            .members
            .iter()
            .map(|(id, member)| json!({ "id": id, "role": member.role, "peer": member.peer }))
            .collect();
        print_json(&json!({ "done": true, "members": members }));
    } else {
        println!("{message}");
    }
    Ok(())
}

async fn add_member(
    group: &GroupClient,
    id: &InstanceId,
    peer: SocketAddr,
    storage: Option<StorageId>,
) -> Result<(), ControlError> {
    let mut body = json!({ "change": "add", "id": id, "peer": peer });
    if let Some(storage) = storage {
        body["storage"] = json!(storage);
    }
    group
        .change_until(&body, |view| match view.members.get(id) {
            Some(member) if member.peer == peer => Ok(true),
            Some(member) => {
                let known = member.peer;
                Err(ControlError::OtherAddress { id: id.clone(), known, given: peer })
            }
            None => Ok(false),
        })
        .await
}

async fn promote_member(group: &GroupClient, id: &InstanceId) -> Result<(), ControlError> {
    let body = json!({ "change": "promote", "id": id });
    group
        .change_until(&body, |view| match view.members.get(id) {
            Some(member) => Ok(plan::is_voter(member)),
            None => Err(ControlError::NotMember { id: id.clone() }),
        })
        .await
}

async fn remove_member(group: &GroupClient, id: &InstanceId) -> Result<(), ControlError> {
    let body = json!({ "change": "remove", "id": id });
    group.change_until(&body, |view| Ok(!view.members.contains_key(id))).await
}

async fn replace_member(
    group: &GroupClient,
    old: &InstanceId,
    new: &InstanceId,
    peer: SocketAddr,
) -> Result<(), ControlError> {
    if old == new {
        return Err(ControlError::SameMember { id: old.clone() });
    }
    loop {
        let view = group.read().await?;
        match plan_replacement(&view, old, new) {
            ControlStep::Add => {
                eprintln!("adding {new}");
                add_member(group, new, peer, None).await?;
            }
            ControlStep::Promote => {
                eprintln!("waiting for {new} to catch up");
                promote_member(group, new).await?;
            }
            ControlStep::Remove => {
                eprintln!("removing {old}");
                remove_member(group, old).await?;
            }
            ControlStep::Done => return Ok(()),
        }
    }
}
