//! A planned stop: requests that the stopping edge still reads later than 3 s after its SIGTERM are
//! cut off before their answer.

#[path = "../support/mod.rs"]
mod support;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use support::{
    Lcg,
    deployment::{Deployment, GRACE_S},
    has_trouble,
    http::{self, Connection},
    pause,
    record::Record,
    server::{Runs, Server, ServerSettings},
};

/// The machines of the zone that the clients are in.
const ZONE_MACHINES: [usize; 3] = [0, 3, 4];
/// The machine whose edge is stopped.
const STOPPED: usize = 3;
/// The work of a request at a server.
const WORK_MS: u64 = 2_000;
/// The time budget of a request and the timeout of its route.
const BUDGET_MS: u64 = 6_000;
const CLIENTS: u64 = 90;

/// One request of a client.
struct Sent {
    id: String,
    machine: usize,
    at: u64,
    ended: u64,
    result: Result<u16, String>,
}

/// Chooses a machine for a new connection, as the platform does: by the last readiness checks.
struct Balancer {
    in_rotation: Mutex<[bool; 3]>,
}

impl Balancer {
    fn pick(&self, client: u64) -> usize {
        let held = *self.in_rotation.lock().expect("no panic");
        let ready: Vec<_> = (0..3).filter(|place| held[*place]).collect();
        let places = if ready.len() * 2 < 3 { vec![0, 1, 2] } else { ready };
        ZONE_MACHINES[places[client as usize % places.len()]]
    }

    fn check(&self, deployment: &Deployment, record: &Record, is_over: &AtomicBool) {
        let mut misses = [0; 3];
        while !is_over.load(Ordering::SeqCst) {
            for place in 0..3 {
                let to = deployment.readiness_address(ZONE_MACHINES[place]);
                let limit = Duration::from_millis(900);
                let answer = http::call(to, "GET", "/-/ready", &[], b"", limit);
                let is_ready = answer.is_ok_and(|answer| answer.status == 200);
                misses[place] = if is_ready { 0 } else { misses[place] + 1 };
                let mut held = self.in_rotation.lock().expect("no panic");
                let is_in = is_ready || held[place] && misses[place] < 2;
                if held[place] != is_in {
                    let machine = ZONE_MACHINES[place];
                    record.line(&format!("machine {machine} in rotation: {is_in}"));
                }
                held[place] = is_in;
            }
            pause(1_000);
        }
    }
}

fn manifest() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"lookup\",\"host\":\"h.example\",\
         \"pathPrefix\":\"/lookup/\",\"type\":\"safe\",\"timeoutMs\":{BUDGET_MS},\
         \"targetLatencyMs\":3000,\"priority\":1,\"backend\":\"desk\",\"maxAttempts\":2}}],\
         \"services\":[{{\"name\":\"desk\",\"healthCheckPath\":\"/healthz\",\
         \"maxConnections\":120,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

/// Sends requests on kept connections with pauses until the case is over.
fn run_client(
    number: u64,
    deployment: &Deployment,
    balancer: &Balancer,
    record: &Record,
    sent: &Mutex<Vec<Sent>>,
    is_over: &AtomicBool,
) {
    let mut random = Lcg::new(number);
    let mut kept: Option<(usize, Connection)> = None;
    pause(random.range(0, 3_000));
    while !is_over.load(Ordering::SeqCst) {
        let (machine, mut connection) = match kept.take() {
            Some(kept) => kept,
            None => {
                let machine = balancer.pick(number);
                match Connection::open(deployment.caller_address(machine)) {
                    Ok(connection) => (machine, connection),
                    Err(_) => {
                        pause(100);
                        continue;
                    }
                }
            }
        };
        let id = http::new_id();
        let at = record.now();
        let budget = BUDGET_MS.to_string();
        let headers = [
            ("Host", "h.example"),
            ("Figglade-Request-Id", id.as_str()),
            ("Figglade-Request-Deadline", budget.as_str()),
        ];
        let answer = connection
            .send("GET", "/lookup/2f", &headers, b"")
            .and_then(|()| connection.read(Duration::from_millis(BUDGET_MS)));
        let ended = record.now();
        let text = match &answer {
            Ok(answer) => answer.status.to_string(),
            Err(error) => format!("no answer ({error})"),
        };
        record.line(&format!("request {id} on machine {machine}, sent at {at}: {text}"));
        if let Ok(answer) = &answer {
            let closes = answer.header("connection").is_some_and(|value| value == "close");
            if !closes {
                kept = Some((machine, connection));
            }
        }
        let result = answer.map(|answer| answer.status).map_err(|error| error.to_string());
        sent.lock().expect("no panic").push(Sent { id, machine, at, ended, result });
        // Well below four fifths of the idle timeout of the manifest.
        pause(random.range(500, 5_000));
    }
}

fn main() {
    let record = Record::create("1");
    let zones = [("z1", true), ("z2", true), ("z3", true), ("z1", false), ("z1", false)];
    let deployment = Arc::new(Deployment::start(&record, &zones));
    let runs = Runs::default();
    let servers: Vec<_> = (0..12)
        .map(|number| {
            let address = format!("{}:9000", deployment.server_ip(number)).parse().expect("valid");
            let settings = ServerSettings {
                id: format!("i-desk-{number}"),
                service: "desk".to_owned(),
                zone: format!("z{}", number % 3 + 1),
                address,
                slots: 16,
                work_ms: WORK_MS,
            };
            Server::start(settings, deployment.admins(), &record, &runs)
        })
        .collect();
    deployment.put(&manifest());
    deployment.wait_served("h.example", "/lookup/2f", Duration::from_secs(30));
    deployment.end_bootstrap();
    let balancer = Arc::new(Balancer { in_rotation: Mutex::new([true; 3]) });
    let sent = Arc::new(Mutex::new(Vec::new()));
    let (is_over, checks_over) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    {
        let (balancer, deployment) = (Arc::clone(&balancer), Arc::clone(&deployment));
        let (record, is_over) = (record.clone(), Arc::clone(&checks_over));
        thread::spawn(move || balancer.check(&deployment, &record, &is_over));
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (balancer, deployment) = (Arc::clone(&balancer), Arc::clone(&deployment));
            let (record, sent) = (record.clone(), Arc::clone(&sent));
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || {
                run_client(number, &deployment, &balancer, &record, &sent, &is_over);
            })
        })
        .collect();
    // Longer than contactMs, so that all machines are in touch.
    pause(12_000);
    let stopped_at = record.now();
    if has_trouble() {
        deployment.signal(STOPPED, "edge", "TERM");
        if !deployment.wait_end(STOPPED, "edge", Duration::from_millis(GRACE_S * 1_000)) {
            deployment.signal(STOPPED, "edge", "KILL");
        }
        pause(300);
        deployment.spawn(STOPPED, "edge");
    }
    pause(6_000);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    checks_over.store(true, Ordering::SeqCst);
    let sent = sent.lock().expect("no panic");
    let runs = runs.lock().expect("no panic");
    let answered = sent.iter().filter(|sent| sent.result == Ok(200)).count();
    record.say(&format!("{} requests, {answered} answered with 200", sent.len()));
    let mut lost = 0;
    for request in sent.iter().filter(|sent| sent.result.is_err() && sent.machine == STOPPED) {
        let run = runs.iter().find(|run| run.request == request.id);
        let since = request.at as i64 - stopped_at as i64;
        let lasted = request.ended - request.at;
        record.say(&format!(
            "request {} sent {since} ms after the SIGTERM ended without an answer after {lasted} ms; \
             passed on to a server: {}",
            request.id,
            run.is_some()
        ));
        // The rule does not count those sent no later than 3 s after the SIGTERM.
        if run.is_some() && since > 3_000 && lasted < BUDGET_MS {
            lost += 1;
        }
    }
    drop(servers);
    record.say(&format!("LOST: {lost} requests"));
    deployment.quit(i32::from(lost > 0));
}
