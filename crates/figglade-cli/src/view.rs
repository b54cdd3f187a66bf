//! Lists of targets and instances.

use std::collections::BTreeMap;

use figglade::{IndexName, wire::AnnouncedReplica};
use serde_json::Value;

use crate::{
    args::ConnectOptions,
    client::OperatorClient,
    error::CliError,
    output::{or_unknown, print_json, print_table},
    reply::{MembersReply, QuorumView, TargetRow, TargetsReply},
};

/// Lists the known targets.
///
/// # Errors
///
/// Fails when no instance answers.
pub async fn show_targets(
    index: Option<IndexName>,
    connect: ConnectOptions,
) -> Result<(), CliError> {
    let reply = OperatorClient::new(&connect)?.get("/v1/operator/targets").await?;
    let mut targets = reply.decode::<TargetsReply>()?.targets;
    let serves = |target: &TargetRow| match &index {
        Some(index) => target.replicas.iter().any(|replica| replica.index == *index),
        None => true,
    };
    if connect.json {
        let mut value = reply.value()?;
        if let Some(Value::Array(items)) = value.get_mut("targets") {
            let mut keep = targets.iter().map(serves);
            items.retain(|_| keep.next().unwrap_or(true));
        }
        print_json(&value);
        return Ok(());
    }
    targets.sort_by(|left, right| left.target_id.cmp(&right.target_id));
    let rows: Vec<_> = targets.iter().filter(|target| serves(target)).map(target_row).collect();
    let count = rows.len();
    print_table(&["target", "state", "zone", "address", "slots", "conns", "replicas"], rows);
    println!("{count} targets");
    Ok(())
}

fn target_row(target: &TargetRow) -> Vec<String> {
    vec![
        target.target_id.to_string(),
        target.state.to_string(),
        target.availability_zone.to_string(),
        target.address.to_string(),
        target.slots.to_string(),
        target.connections.to_string(),
        summarize_replicas(&target.replicas),
    ]
}

/// Formats the shards of each index with the newest version held, such as `INDEX 0@v1 1@v1`.
fn summarize_replicas(replicas: &[AnnouncedReplica]) -> String {
    let mut indexes: BTreeMap<&IndexName, Vec<String>> = BTreeMap::new();
    for replica in replicas {
        let newest = replica.versions.iter().map(|held| held.version).max();
        let text = format!("{}@v{}", replica.shard, or_unknown(newest));
        indexes.entry(&replica.index).or_default().push(text);
    }
    let parts = indexes.iter().map(|(index, shards)| format!("{index} {}", shards.join(" ")));
    parts.collect::<Vec<_>>().join("; ")
}

/// Lists the known instances and the control group.
///
/// # Errors
///
/// Fails when no instance answers.
pub async fn show_members(connect: ConnectOptions) -> Result<(), CliError> {
    let reply = OperatorClient::new(&connect)?.get("/v1/operator/members").await?;
    let mut members: MembersReply = reply.decode()?;
    if connect.json {
        print_json(&reply.value()?);
        return Ok(());
    }
    members.members.sort_by(|left, right| left.id.cmp(&right.id));
    let rows = members.members.iter().map(|member| {
        vec![
            member.id.to_string(),
            member.state.to_string(),
            if member.ready { "yes" } else { "no" }.to_owned(),
            member.availability_zone.to_string(),
            member.http.to_string(),
            member.peer.to_string(),
            member.config_version.to_string(),
        ]
    });
    let headers = ["instance", "state", "ready", "zone", "http", "peer", "config"];
    print_table(&headers, rows.collect());
    match &members.control {
        Some(control) => print_group(control),
        None => println!("{} has no disk; ask a control member for the group", reply.address),
    }
    Ok(())
}

fn print_group(control: &QuorumView) {
    println!(
        "control group: leader {}, term {}, committed {}",
        or_unknown(control.leader.as_ref()),
        control.term,
        control.commit,
    );
    let rows = control.members.iter().map(|(id, member)| {
        vec![
            id.to_string(),
            member.role.to_string(),
            member.peer.to_string(),
            control.progress.get(id).map_or_else(String::new, ToString::to_string),
            or_unknown(member.storage),
        ]
    });
    print_table(&["member", "role", "peer", "log", "storage"], rows.collect());
}
