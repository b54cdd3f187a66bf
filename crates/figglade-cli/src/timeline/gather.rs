//! Collects the events of every instance.

use std::{collections::BTreeMap, net::SocketAddr};

use figglade::{
    RequestId, WallTime,
    controller::{
        event::{EventRecord, merge_events},
        membership::MemberState,
    },
};
use tokio::task::JoinSet;

use crate::{
    client::{Call, ClientError, OperatorClient},
    error::CliError,
    reply::{EventsReply, MembersReply},
};

/// Events of many instances in one order.
#[derive(Clone, Debug, Default)]
pub struct GatheredEvents {
    /// The events in causal order.
    pub events: Vec<EventRecord>,
    /// The instances that did not answer and why.
    pub unreachable: BTreeMap<String, String>,
    /// The instances that left older events out.
    pub truncated: Vec<String>,
}

impl GatheredEvents {
    /// Returns one line for each instance whose events are missing or incomplete.
    pub fn notes(&self) -> Vec<String> {
        let unreachable =
            self.unreachable.iter().map(|(id, reason)| format!("not reached: {id} ({reason})"));
        let truncated =
            self.truncated.iter().map(|id| format!("not complete: {id} left older events out"));
        unreachable.chain(truncated).collect()
    }
}

/// Queries every known instance for its events since a wall time.
pub(super) async fn gather_events(
    client: &OperatorClient,
    since: WallTime,
    request: Option<RequestId>,
) -> Result<GatheredEvents, CliError> {
    let mut path = format!("/v1/operator/events?since={}", since.as_millis());
    if let Some(request) = request {
        path.push_str(&format!("&request={request}"));
    }
    let mut asked = JoinSet::new();
    for (name, address) in list_instances(client).await? {
        let (client, call) = (client.clone(), Call::get(path.clone()));
        asked.spawn(async move { (name, ask_instance(&client, address, &call).await) });
    }
    let mut gathered = GatheredEvents::default();
    let mut sources = Vec::new();
    while let Some(answer) = asked.join_next().await {
        let Ok((name, answer)) = answer else { continue };
        match answer {
            Ok(reply) => {
                if reply.truncated {
                    gathered.truncated.push(name);
                }
                sources.push(reply.events);
            }
            Err(error) => {
                gathered.unreachable.insert(name, error.to_string());
            }
        }
    }
    if sources.is_empty() {
        return Err(CliError::NoEvents { reason: gathered.notes().join("; ") });
    }
    gathered.truncated.sort();
    gathered.events = merge_events(sources);
    Ok(gathered)
}

/// Lists every instance except those that left by a planned stop. Instances in state `dead` are
/// included: they may be reachable from here, on the other side of a network partition.
async fn list_instances(
    client: &OperatorClient,
) -> Result<BTreeMap<String, SocketAddr>, ClientError> {
    let members: MembersReply = client.get("/v1/operator/members").await?.decode()?;
    let present = members.members.iter().filter(|member| member.state != MemberState::Left);
    Ok(present.map(|member| (member.id.to_string(), member.http)).collect())
}

async fn ask_instance(
    client: &OperatorClient,
    address: SocketAddr,
    call: &Call,
) -> Result<EventsReply, ClientError> {
    client.send(address, call).await?.decode()
}
