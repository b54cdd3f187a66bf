//! Measures the resources that each instance of an idle fleet uses.

use std::time::Duration;

use super::{
    FakeTargets, RowTable,
    fleet::{ControlFleet, InstanceUsage, machine_load},
};
use crate::cluster::BenchError;

/// The fleet sizes and times of the measurement.
#[derive(Clone, Debug)]
pub struct CostOptions {
    /// The numbers of instances.
    pub instances: Vec<usize>,
    /// The numbers of targets, in ascending order.
    pub targets: Vec<usize>,
    /// The time between the loading of the directory and the measurement.
    pub settle: Duration,
    /// The measured time.
    pub measured: Duration,
}

/// Measures each number of targets at each number of instances.
pub(super) async fn measure_costs(options: &CostOptions) -> Result<String, BenchError> {
    let mut table = RowTable::new(&[
        "instances",
        "targets",
        "role",
        "out B/s",
        "in B/s",
        "CPU % of a core",
        "RSS MB",
        "load",
    ]);
    for instances in &options.instances {
        for count in &options.targets {
            // The others load the directory from the first, so that no gossip updates are pending.
            let mut fleet = ControlFleet::start_first(*instances).await?;
            FakeTargets::announce_once(fleet.addresses()[0], *count).await?;
            fleet.start_others()?;
            fleet.wait_for_targets(*count, "starting").await?;
            // Announcements start only now, since a load balancer sends nothing to an instance that
            // has not loaded the directory.
            let targets = FakeTargets::keep_announcing(&fleet.addresses(), *count);
            fleet.wait_for_ready().await?;
            tokio::time::sleep(options.settle).await;
            measure_size(&mut fleet, *count, options, &mut table).await?;
            targets.close().await;
            fleet.harness.close().await;
        }
    }
    Ok(table.text)
}

/// Measures one fleet size and adds a row for each role.
async fn measure_size(
    fleet: &mut ControlFleet,
    targets: usize,
    options: &CostOptions,
    table: &mut RowTable,
) -> Result<(), BenchError> {
    let before = fleet.read_usage().await?;
    tokio::time::sleep(options.measured).await;
    let after = fleet.read_usage().await?;
    let control_members = before.len().min(3);
    let pairs: Vec<_> = before.into_iter().zip(after).collect();
    let (control, others) = pairs.split_at(control_members);
    let (leaders, followers): (Vec<_>, Vec<_>) =
        control.iter().partition(|(_, after)| after.is_leader);
    for (role, uses) in
        [("leader", leaders), ("follower", followers), ("other", others.iter().collect())]
    {
        if !uses.is_empty() {
            push_row(table, (pairs.len(), targets, role), &uses, options.measured);
        }
    }
    Ok(())
}

/// Adds a row with the mean usage of the instances of one role.
fn push_row(
    table: &mut RowTable,
    (instances, targets, role): (usize, usize, &str),
    uses: &[&(InstanceUsage, InstanceUsage)],
    measured: Duration,
) {
    let scale = uses.len() as f64 * measured.as_secs_f64();
    let sum = |read: fn(&InstanceUsage) -> f64| -> f64 {
        uses.iter().map(|(before, after)| read(after) - read(before)).sum()
    };
    let resident: u64 = uses.iter().map(|(_, after)| after.resident).sum();
    table.push(&[
        instances.to_string(),
        targets.to_string(),
        role.to_owned(),
        format!("{:.0}", sum(|usage| usage.bytes_out as f64) / scale),
        format!("{:.0}", sum(|usage| usage.bytes_in as f64) / scale),
        format!("{:.2}", sum(|usage| usage.cpu.as_secs_f64()) / scale * 100.0),
        format!("{:.1}", resident as f64 / uses.len() as f64 / 1e6),
        machine_load(),
    ]);
}
