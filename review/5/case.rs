//! A server leaves soon after its start. Its Deregister is acknowledged; its first status report, held
//! up on the way, then brings it back into use.

#[path = "../support/mod.rs"]
mod support;

use std::{
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

use support::{
    deployment::{CONTACT_MS, DRAIN_TIMEOUT_MS, Deployment},
    has_trouble, http, pause, proxy,
    record::Record,
    server::{Behaviour, Runs, Server, ServerSettings},
};

const WORK_MS: u64 = 100;
/// How long the network holds up the first status report: "may arrive seconds late".
const HELD_UP_MS: u64 = 4_000;
/// The time from the start of the server to its Deregister.
const LIFE_MS: u64 = 600;
/// The requests that each machine is sent at the end, all at once.
const REQUESTS: usize = 12;
/// How long after the end of `drainTimeoutMs` they are sent.
const MARGIN_MS: u64 = 1_000;

fn manifest() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"booking\",\"host\":\"h.example\",\
     \"pathPrefix\":\"/booking/\",\"type\":\"safe\",\"timeoutMs\":8000,\"targetLatencyMs\":500,\
     \"priority\":2,\"backend\":\"desk\",\"maxAttempts\":2}],\"services\":[{\"name\":\"desk\",\
     \"healthCheckPath\":\"/healthz\",\"maxConnections\":38,\"protocol\":\"h1\",\"tls\":false}],\
     \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
     \"idleTimeoutMs\":15000}}"
        .to_owned()
}

fn main() {
    let record = Record::create("5");
    let zones = [("z1", true), ("z2", true), ("z3", true), ("z1", false), ("z2", false)];
    let deployment = Arc::new(Deployment::start(&record, &zones));
    let runs = Runs::default();
    let start = |number: usize, reports: bool| {
        let ip = deployment.server_ip(number);
        let settings = ServerSettings {
            id: format!("i-desk-{number}"),
            service: "desk".to_owned(),
            zone: format!("z{}", number % 3 + 1),
            address: format!("{ip}:9000").parse().expect("an address"),
            slots: 8,
            work_ms: WORK_MS,
        };
        // A server that leaves says so in its answers.
        let script = |server: &Server, request: &http::Message, mut stream: &std::net::TcpStream| {
            if !server.is_draining.load(Ordering::SeqCst) {
                return Behaviour::Usual;
            }
            server.record_run(request);
            pause(server.settings.work_ms);
            let id = request.header("figglade-request-id").unwrap_or_default();
            let text = server.success(id, b"desk", "Server-Leaving: 1\r\n");
            let _ = std::io::Write::write_all(&mut stream, &text);
            Behaviour::Bytes(Vec::new())
        };
        Server::start_with(settings, deployment.admins(), &record, &runs, reports, script)
    };
    let _servers: Vec<_> = (0..3).map(|number| start(number, true)).collect();
    deployment.put(&manifest());
    deployment.wait_served("h.example", "/booking/2f", Duration::from_secs(30));
    deployment.end_bootstrap();
    pause(CONTACT_MS);
    let leaving = start(3, false);
    record.line("i-desk-3 starts and sends its first status report");
    let delay = if has_trouble() { HELD_UP_MS } else { 0 };
    let slow = proxy::start_slow(&deployment.server_ip(20), deployment.admins()[0], delay, &record);
    let (path, body) = (format!("/-/Replicas.Heartbeat/{}", leaving.settings.id), leaving.report_body());
    thread::spawn(move || {
        // The server gives up after a second and closes the connection.
        let _ = http::call(slow, "POST", &path, &[], body.as_bytes(), Duration::from_secs(1));
    });
    pause(LIFE_MS);
    leaving.is_draining.store(true, Ordering::SeqCst);
    if !leaving.deregister() {
        record.say("the Deregister was not acknowledged");
        deployment.quit(2);
    }
    let acknowledged_at = record.now();
    record.line("the Deregister is acknowledged");
    pause(DRAIN_TIMEOUT_MS + MARGIN_MS);
    let callers: Vec<_> = (0..deployment.machines.len() * REQUESTS)
        .map(|number| {
            let (deployment, record) = (Arc::clone(&deployment), record.clone());
            thread::spawn(move || {
                let machine = number % deployment.machines.len();
                let id = http::new_id();
                let headers = [
                    ("Host", "h.example"),
                    ("Figglade-Request-Id", id.as_str()),
                    ("Figglade-Request-Deadline", "8000"),
                ];
                let to = deployment.caller_address(machine);
                let path = "/booking/2f";
                let answer = http::call(to, "GET", path, &headers, b"", Duration::from_secs(8));
                let status = answer.map(|answer| answer.status).unwrap_or_default();
                record.line(&format!("request {id} at machine {machine}: {status}"));
            })
        })
        .collect();
    for caller in callers {
        let _ = caller.join();
    }
    let runs = runs.lock().expect("no panic");
    let limit = acknowledged_at + DRAIN_TIMEOUT_MS;
    let late: Vec<_> =
        runs.iter().filter(|run| run.server == leaving.settings.id && run.at > limit).collect();
    for run in &late {
        record.line(&format!("late: request {} at {}", run.request, run.at));
    }
    record.say(&format!(
        "{} requests reached the leaving server later than {DRAIN_TIMEOUT_MS} ms after its ack",
        late.len()
    ));
    record.say(if late.is_empty() { "DRAIN: held" } else { "DRAIN: broken" });
    deployment.quit(i32::from(!late.is_empty()));
}
