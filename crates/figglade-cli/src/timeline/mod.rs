//! The time line of all reachable instances.

mod gather;
mod html;
mod time;

use figglade::{WallTime, controller::event::EventRecord};
use serde_json::json;

use self::gather::gather_events;
pub use self::{
    gather::GatheredEvents,
    html::render_page,
    time::{format_time, wall_now},
};
use crate::{
    args::{ConnectOptions, TimelineOptions},
    client::OperatorClient,
    error::CliError,
    output::{print_json, print_table},
};

/// Shows the events of all reachable instances in causal order.
///
/// # Errors
///
/// Fails when no instance returns its events or the page cannot be written.
pub async fn show_timeline(
    options: TimelineOptions,
    connect: ConnectOptions,
) -> Result<(), CliError> {
    let client = OperatorClient::new(&connect)?;
    let age = options.since.0.as_millis() as u64;
    let since = WallTime::from_millis(wall_now().as_millis().saturating_sub(age));
    let gathered = gather_events(&client, since, options.request).await?;
    if let Some(path) = &options.html {
        std::fs::write(path, render_page(&gathered))
            .map_err(|error| CliError::Write { path: path.clone(), reason: error.to_string() })?;
        eprintln!("wrote {}", path.display());
    }
    if connect.json {
        print_json(&json!({
            "events": gathered.events, "unreachable": gathered.unreachable,
            "truncated": gathered.truncated,
        }));
    } else {
        print_events(&gathered.events);
    }
    for note in gathered.notes() {
        eprintln!("{note}");
    }
    Ok(())
}

fn print_events(events: &[EventRecord]) {
    let rows = events.iter().map(|event| {
        vec![
            format_time(event.stamp.wall),
            event.source.instance.to_string(),
            event.kind.to_string(),
            event.request.map_or_else(String::new, |request| request.to_string()),
            event.detail.clone(),
        ]
    });
    print_table(&["time (UTC)", "instance", "event", "request", "detail"], rows.collect());
}
