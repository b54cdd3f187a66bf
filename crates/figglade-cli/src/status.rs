//! Problems of the tier and the commands that resolve them.

use figglade::{
    InstanceId,
    controller::{membership::MemberState, quorum::MemberRole},
};
use serde::Serialize;
use serde_json::json;

use crate::{
    args::ConnectOptions,
    client::OperatorClient,
    error::CliError,
    output::{Tone, clean_text, or_unknown, paint, print_json, print_table, wants_colours},
    reply::{MembersReply, QuorumView, StatusReply},
};

/// The maximum number of problems shown, so that they fit on one screen.
const MAX_SHOWN_PROBLEMS: usize = 6;
/// The maximum number of indexes shown; those with a problem come first.
const MAX_SHOWN_INDEXES: usize = 5;

/// A problem and the next step to resolve it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StatusProblem {
    /// A description of the problem.
    pub what: String,
    /// The command to run or the step to take next.
    pub next: String,
}

impl StatusProblem {
    fn new(what: impl Into<String>, next: impl Into<String>) -> Self {
        Self { what: what.into(), next: next.into() }
    }
}

/// Shows the state of the tier, its problems first.
///
/// # Errors
///
/// Fails when no instance answers.
pub async fn show_status(connect: ConnectOptions) -> Result<(), CliError> {
    let client = OperatorClient::new(&connect)?;
    let reply = client.get("/v1/operator/status").await?;
    let status: StatusReply = reply.decode()?;
    let members: MembersReply = client.get("/v1/operator/members").await?.decode()?;
    let problems = find_problems(&status, &members);
    if connect.json {
        print_json(&json!({ "status": reply.value()?, "problems": problems }));
        return Ok(());
    }
    print_problems(&problems, wants_colours());
    print_summary(&status, &members);
    Ok(())
}

/// Lists the problems, the most urgent first.
pub fn find_problems(status: &StatusReply, members: &MembersReply) -> Vec<StatusProblem> {
    let mut problems = Vec::new();
    if let Some(reason) = &status.unready_reason {
        let what = format!("instance {} takes no requests: {reason}", status.instance);
        problems.push(StatusProblem::new(what, "figglade members"));
    }
    if let Some(control) = &status.control {
        if let Some(failure) = &control.failure {
            let what = format!("the control member {} stopped: {failure}", status.instance);
            let next = format!("figglade control replace {} NEW PEER", status.instance);
            problems.push(StatusProblem::new(what, next));
        }
        if let Some(quorum) = &control.quorum {
            find_quorum_problems(status, quorum, members, &mut problems);
        }
    }
    find_member_problems(status, members, &mut problems);
    find_index_problems(status, &mut problems);
    if status.config.in_force < status.config.instances {
        let what = format!(
            "configuration {} is in force at {} of {} instances",
            status.config.version, status.config.in_force, status.config.instances
        );
        let next = format!("figglade config wait --version {}", status.config.version);
        problems.push(StatusProblem::new(what, next));
    }
    problems
}

fn find_quorum_problems(
    status: &StatusReply,
    quorum: &QuorumView,
    members: &MembersReply,
    problems: &mut Vec<StatusProblem>,
) {
    if quorum.is_forgotten {
        let what = format!("{} lost its disk and may not vote", status.instance);
        let next = format!("figglade control remove {}, then add and promote it", status.instance);
        problems.push(StatusProblem::new(what, next));
    }
    if quorum.leader.is_none() {
        let what = match quorum.is_bootstrapping {
            true => "the control group waits for all of its first members",
            false => "the control group has no leader: too few voters reach each other",
        };
        problems.push(StatusProblem::new(what, "start the missing control members"));
    }
    for id in &quorum.replaced_storage {
        let what = format!("control member {id} came back with an empty disk");
        let next = format!("figglade control remove {id}, then add and promote it");
        problems.push(StatusProblem::new(what, next));
    }
    for (id, member) in &quorum.members {
        if is_unreachable_voter(quorum, members, id) {
            let what = format!("control member {id} does not answer");
            // A group without a leader cannot change its members.
            let next = match quorum.leader.is_some() {
                true => format!("restart it, or: figglade control replace {id} NEW PEER"),
                false => "restart it with its disk".to_owned(),
            };
            problems.push(StatusProblem::new(what, next));
        }
        if member.role == MemberRole::Learner {
            let what = format!("control member {id} is a learner and does not vote");
            problems.push(StatusProblem::new(what, format!("figglade control promote {id}")));
        }
    }
}

/// Returns whether the instance is a voter that is not live.
fn is_unreachable_voter(quorum: &QuorumView, members: &MembersReply, id: &InstanceId) -> bool {
    let votes = quorum.members.get(id).is_some_and(|member| member.role == MemberRole::Voter);
    votes && !members.find(id).is_some_and(|row| row.state.is_live())
}

fn find_member_problems(
    status: &StatusReply,
    members: &MembersReply,
    problems: &mut Vec<StatusProblem>,
) {
    let quorum = status.control.as_ref().and_then(|control| control.quorum.as_ref());
    let named = |id: &InstanceId| {
        *id == status.instance
            || quorum.is_some_and(|quorum| is_unreachable_voter(quorum, members, id))
    };
    for member in members.members.iter().filter(|member| !named(&member.id)) {
        let id = &member.id;
        let (what, next) = match member.state {
            MemberState::Dead => (format!("instance {id} failed"), "restart it".to_owned()),
            MemberState::Suspect => {
                (format!("instance {id} does not answer"), "figglade members".to_owned())
            }
            MemberState::Alive if !member.ready => {
                let next = format!("figglade status --addr {}", member.http);
                (format!("instance {id} is not ready"), next)
            }
            _ => continue,
        };
        problems.push(StatusProblem::new(what, next));
    }
}

fn find_index_problems(status: &StatusReply, problems: &mut Vec<StatusProblem>) {
    for index in status.indexes.iter().filter(|index| !index.covered) {
        let shards: Vec<_> = index.uncovered_shards.iter().map(ToString::to_string).collect();
        let what = match shards.is_empty() {
            true => format!("index {} has no usable snapshot", index.index),
            false => {
                format!("index {}: no live replica of shard {}", index.index, shards.join(", "))
            }
        };
        let next = format!("figglade targets --index {}", index.index);
        problems.push(StatusProblem::new(what, next));
    }
    if status.targets.get("ready").copied().unwrap_or(0) == 0 {
        problems.push(StatusProblem::new("no target is ready", "figglade targets"));
    }
}

fn print_problems(problems: &[StatusProblem], colours: bool) {
    if problems.is_empty() {
        println!("{}", paint("no problem found", Tone::Good, colours));
        return;
    }
    for problem in problems.iter().take(MAX_SHOWN_PROBLEMS) {
        println!("{}", paint(&clean_text(&problem.what), Tone::Bad, colours));
        println!("  next: {}", paint(&clean_text(&problem.next), Tone::Next, colours));
    }
    if problems.len() > MAX_SHOWN_PROBLEMS {
        println!("and {} more; see --json", problems.len() - MAX_SHOWN_PROBLEMS);
    }
}

fn print_summary(status: &StatusReply, members: &MembersReply) {
    println!(
        "asked {}; {} live instances; configuration {} in force at {} of {}",
        status.instance,
        members.live().count(),
        status.config.version,
        status.config.in_force,
        status.config.instances,
    );
    let targets: Vec<_> =
        status.targets.iter().map(|(state, count)| format!("{count} {state}")).collect();
    println!(
        "targets: {}",
        if targets.is_empty() { "none".to_owned() } else { targets.join(", ") }
    );
    if let Some(quorum) = status.control.as_ref().and_then(|control| control.quorum.as_ref()) {
        println!(
            "control group: leader {}, {} members",
            or_unknown(quorum.leader.as_ref()),
            quorum.members.len()
        );
    }
    if status.indexes.is_empty() {
        return;
    }
    let mut indexes: Vec<_> = status.indexes.iter().collect();
    indexes.sort_by_key(|index| (index.covered, &index.index));
    let rows = indexes.iter().take(MAX_SHOWN_INDEXES).map(|index| {
        vec![
            index.index.to_string(),
            or_unknown(index.version),
            or_unknown(index.shards),
            if index.covered { "yes" } else { "NO" }.to_owned(),
        ]
    });
    print_table(&["index", "version", "shards", "covered"], rows.collect());
    if indexes.len() > MAX_SHOWN_INDEXES {
        println!("and {} more indexes; see --json", indexes.len() - MAX_SHOWN_INDEXES);
    }
}
