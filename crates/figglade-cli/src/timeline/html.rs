//! The time line as an HTML page without external resources.

use std::{collections::BTreeMap, fmt::Write};

use figglade::{
    InstanceId,
    controller::event::{EventKind, EventRecord},
};

use super::{GatheredEvents, format_time};

/// The height of an event, in pixels.
const ROW_HEIGHT: usize = 22;
/// The height of the heading with the names of the instances, in pixels.
const HEAD_HEIGHT: usize = 34;
/// The width of the time, in pixels.
const TIME_WIDTH: usize = 190;
/// The width of a lane, in pixels.
const LANE_WIDTH: usize = 110;
/// The width of the text to the right of the lanes, in pixels.
const TEXT_WIDTH: usize = 760;
/// The maximum number of characters of a text; the tooltip shows the whole text.
const MAX_TEXT_CHARS: usize = 110;

/// The style sheet of the page, for light and dark colour schemes.
const STYLE: &str = "\
:root { color-scheme: light dark; --back: #fff; --text: #1b1b1b; --line: #c9c9c9; --mute: #666; \
--plain: #3565b0; --bad: #b3261e; --good: #1e7a3c; }\n\
@media (prefers-color-scheme: dark) { :root { --back: #16181c; --text: #e6e6e6; --line: #444; \
--mute: #a0a0a0; --plain: #8ab4f8; --bad: #f28b82; --good: #81c995; } }\n\
body { background: var(--back); color: var(--text); font: 14px system-ui, sans-serif; \
margin: 1.5rem; }\n\
.scroll { overflow-x: auto; }\n\
text { fill: var(--text); font: 13px system-ui, sans-serif; }\n\
text.time { fill: var(--mute); font-family: ui-monospace, monospace; font-size: 12px; }\n\
text.lane { font-weight: 600; text-anchor: middle; }\n\
line { stroke: var(--line); }\n\
circle.plain { fill: var(--plain); } circle.bad { fill: var(--bad); } \
circle.good { fill: var(--good); }\n\
.note { color: var(--bad); }\n";

/// Renders a page with a lane for each instance and a row for each event, in causal order.
pub fn render_page(gathered: &GatheredEvents) -> String {
    let lanes = list_lanes(&gathered.events);
    let mut page = String::new();
    page.push_str("<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n");
    page.push_str("<meta name=\"viewport\" content=\"width=device-width\">\n");
    page.push_str("<title>figglade time line</title>\n<style>\n");
    page.push_str(STYLE);
    page.push_str("</style>\n</head>\n<body>\n<h1>Time line</h1>\n");
    let _ = writeln!(
        page,
        "<p>{} events of {} instances, in causal order; times in UTC.</p>",
        gathered.events.len(),
        lanes.len(),
    );
    for note in gathered.notes() {
        let _ = writeln!(page, "<p class=\"note\">{}</p>", escape_text(&note));
    }
    page.push_str("<div class=\"scroll\">\n");
    draw_lanes(&mut page, &gathered.events, &lanes);
    page.push_str("</div>\n</body>\n</html>\n");
    page
}

/// Escapes the special characters of HTML and replaces control characters.
fn escape_text(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&#39;"),
            c if c.is_control() => escaped.push('\u{fffd}'),
            c => escaped.push(c),
        }
    }
    escaped
}

/// Assigns a lane to each instance that events come from, in the order of their ids.
fn list_lanes(events: &[EventRecord]) -> BTreeMap<InstanceId, usize> {
    let mut lanes: BTreeMap<InstanceId, usize> = BTreeMap::new();
    for event in events {
        lanes.insert(event.source.instance.clone(), 0);
    }
    for (number, lane) in lanes.values_mut().enumerate() {
        *lane = number;
    }
    lanes
}

fn draw_lanes(page: &mut String, events: &[EventRecord], lanes: &BTreeMap<InstanceId, usize>) {
    let width = TIME_WIDTH + lanes.len() * LANE_WIDTH + TEXT_WIDTH;
    let height = HEAD_HEIGHT + (events.len() + 1) * ROW_HEIGHT;
    let _ = writeln!(
        page,
        "<svg width=\"{width}\" height=\"{height}\" role=\"img\" aria-label=\"time line\">"
    );
    for (instance, lane) in lanes {
        let x = lane_middle(*lane);
        let name = escape_text(instance.as_str());
        let _ = writeln!(page, "<text class=\"lane\" x=\"{x}\" y=\"18\">{name}</text>");
        let _ =
            writeln!(page, "<line x1=\"{x}\" y1=\"{HEAD_HEIGHT}\" x2=\"{x}\" y2=\"{height}\"/>");
    }
    let text_start = TIME_WIDTH + lanes.len() * LANE_WIDTH;
    for (row, event) in events.iter().enumerate() {
        let y = HEAD_HEIGHT + row * ROW_HEIGHT + ROW_HEIGHT / 2;
        let lane = lanes.get(&event.source.instance).copied().unwrap_or(0);
        draw_event(page, event, lane_middle(lane), text_start, y);
    }
    page.push_str("</svg>\n");
}

fn draw_event(page: &mut String, event: &EventRecord, x: usize, text_start: usize, y: usize) {
    let time = format_time(event.stamp.wall);
    let whole = describe_event(event);
    let short = shorten(&whole);
    let (whole, short) = (escape_text(&whole), escape_text(&short));
    let class = mark_class(event.kind);
    let base = y + 4;
    let _ = writeln!(
        page,
        "<g><title>{time} {whole}</title><text class=\"time\" x=\"0\" y=\"{base}\">{time}</text>\
         <circle class=\"{class}\" cx=\"{x}\" cy=\"{y}\" r=\"5\"/>\
         <text x=\"{text_start}\" y=\"{base}\">{short}</text></g>"
    );
}

fn describe_event(event: &EventRecord) -> String {
    let mut text = format!("{}: {}", event.source.instance, event.kind);
    if let Some(request) = event.request {
        let _ = write!(text, " [{request}]");
    }
    if !event.detail.is_empty() {
        let _ = write!(text, " {}", event.detail);
    }
    text
}

fn shorten(text: &str) -> String {
    match text.char_indices().nth(MAX_TEXT_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}

const fn lane_middle(lane: usize) -> usize {
    TIME_WIDTH + lane * LANE_WIDTH + LANE_WIDTH / 2
}

/// Returns the CSS class of the mark: `bad` for failures, `good` for recovery, `plain` otherwise.
const fn mark_class(kind: EventKind) -> &'static str {
    match kind {
        EventKind::InstanceNotReady
        | EventKind::AdmissionRefused
        | EventKind::AnswerDiscarded
        | EventKind::AnswerPartial
        | EventKind::TargetEjected
        | EventKind::TargetLapsed
        | EventKind::MemberSuspected
        | EventKind::MemberFailed
        | EventKind::StaleEntered
        | EventKind::DiskFault => "bad",
        EventKind::InstanceReady
        | EventKind::TargetReturned
        | EventKind::MemberJoined
        | EventKind::StaleLeft
        | EventKind::ConfigInForce => "good",
        _ => "plain",
    }
}
