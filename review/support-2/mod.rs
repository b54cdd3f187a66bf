//! A small deployment on loopback addresses, with stand-in replicas, clients and an operator.
//! Only the standard library is used.

#![allow(dead_code, unused_imports)]

use std::{
    collections::HashMap,
    fmt::Write as _,
    fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The numbers of Linux, the same on x86-64 and arm64.
const SIGXFSZ: i32 = 25;
const SIG_IGN: usize = 1;
const RLIMIT_FSIZE: i32 = 1;

#[repr(C)]
struct FileSizeLimit {
    current: u64,
    most: u64,
}

unsafe extern "C" {
    fn signal(number: i32, handler: usize) -> usize;
    fn prlimit(
        process: i32,
        resource: i32,
        limit: *const FileSizeLimit,
        former: *mut FileSizeLimit,
    ) -> i32;
}

/// The exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Returns whether the disruption is to take place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The lines of `record.txt`, in the order of their times.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    pub fn note(&self, line: impl Into<String>) {
        self.lines.lock().unwrap().push((self.started.elapsed(), line.into()));
    }

    /// Notes what happened at an earlier time.
    pub fn note_at(&self, at: Instant, line: impl Into<String>) {
        let at = at.saturating_duration_since(self.started);
        self.lines.lock().unwrap().push((at, line.into()));
    }

    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:9.3} s  {line}", at.as_secs_f64());
        }
        fs::write(path, text).expect("the record is written");
    }
}

/// The programs of one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    Hub,
    Edge,
}

/// A deployment of machines, the first of which have a disk and run a hub.
pub struct Deployment {
    pub folder: PathBuf,
    pub subnet: [u8; 2],
    pub hubs: usize,
    pub machines: usize,
    pub zones: usize,
    children: Vec<(usize, Program, Child)>,
    first_start: bool,
    pub extra_bounds: String,
    /// The seeds in the settings of single machines, where they differ from the usual ones.
    pub seeds: HashMap<usize, Vec<SocketAddr>>,
}

impl Deployment {
    /// Starts the programs with the commands of the deploy file.
    pub fn start(hubs: usize, machines: usize, zones: usize) -> Self {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-2-{pid}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut subnet = [10 + (pid % 200) as u8, (pid / 200 % 250) as u8];
        // Takes a loopback subnet whose ports are free.
        for _ in 0..50 {
            let ip = Ipv4Addr::new(127, subnet[0], subnet[1], 1);
            let free = [8_224, 8_226, 8_227, 7_740, 7_741].iter();
            if free.map(|port| TcpListener::bind((ip, *port))).all(|bound| bound.is_ok()) {
                break;
            }
            subnet[1] = subnet[1].wrapping_add(1);
        }
        let mut deployment = Self {
            folder,
            subnet,
            hubs,
            machines,
            zones,
            children: Vec::new(),
            first_start: true,
            extra_bounds: String::new(),
            seeds: HashMap::new(),
        };
        for machine in 0..machines {
            deployment.write_settings(machine);
        }
        for machine in 0..machines {
            if machine < hubs {
                deployment.spawn(machine, Program::Hub);
            }
            deployment.spawn(machine, Program::Edge);
        }
        deployment
    }

    pub fn ip(&self, machine: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet[0], self.subnet[1], machine as u8 + 1)
    }

    /// Returns an address for a replica.
    pub fn replica_ip(&self, number: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet[0], self.subnet[1], 101 + number as u8)
    }

    pub fn admin(&self, machine: usize) -> SocketAddr {
        SocketAddr::from((self.ip(machine), 8_224))
    }

    pub fn callers(&self, machine: usize) -> SocketAddr {
        SocketAddr::from((self.ip(machine), 8_226))
    }

    pub fn readiness(&self, machine: usize) -> SocketAddr {
        SocketAddr::from((self.ip(machine), 8_227))
    }

    pub fn admins(&self) -> Vec<SocketAddr> {
        (0..self.hubs).map(|machine| self.admin(machine)).collect()
    }

    pub fn zone(&self, machine: usize) -> String {
        format!("zone-{}", (b'a' + (machine % self.zones) as u8) as char)
    }

    fn settings_path(&self, machine: usize) -> PathBuf {
        self.folder.join(format!("{machine}.toml"))
    }

    pub fn log_path(&self, machine: usize, program: Program) -> PathBuf {
        self.folder.join(format!("{machine}-{program:?}.log"))
    }

    pub fn log(&self, machine: usize, program: Program) -> String {
        fs::read_to_string(self.log_path(machine, program)).unwrap_or_default()
    }

    /// Writes the settings file of a machine with the values of DEPLOY.md.
    pub fn write_settings(&self, machine: usize) {
        let ip = self.ip(machine);
        let usual = self.admins().into_iter().take(3).collect();
        let seeds = self.seeds.get(&machine).unwrap_or(&usual);
        let seeds: Vec<_> = seeds.iter().map(|address| format!("\"{address}\"")).collect();
        let data = if machine < self.hubs {
            let data = self.folder.join(format!("data-{machine}"));
            fs::create_dir_all(&data).expect("a data folder");
            format!("dataDir = \"{}\"\n", data.display())
        } else {
            String::new()
        };
        let zones: String =
            (0..self.zones).map(|zone| format!("{} = \"region\"\n", self.zone(zone))).collect();
        let text = format!(
            "nodeName = \"edge-{machine}\"\nmachineClass = \"edge\"\nip = \"{ip}\"\n\
             zone = \"{}\"\nregion = \"region\"\ninternalPorts = [7740, 7755]\n\
             seeds = [{}]\nbootstrap = {}\nlossCounts = {}\n{data}\
             discovery = \"registry\"\nentrypoint = \"vip\"\nheartbeatMs = 1200\n\
             config_mode = \"highest\"\n[zones]\n{zones}[bindAddrs]\nhttp = \"{ip}:8226\"\n\
             readiness = \"{ip}:8227\"\nadmin = \"{ip}:8224\"\n[limits]\ncpuShare = 0.45\ncpus = 1\n\
             memoryMb = 260\nmaxFds = 4100\nbandwidthMbps = 1000.0\ndiskMb = 64\n\
             [faultTolerance]\nmachines = {}\nzones = 0\nregions = 0\n[bounds]\nseedLagS = 3\n\
             reuseAfterS = 2\ncontactMs = 4000\nackTimeoutMs = 5000\ncatchUpS = 4\n\
             drainTimeoutMs = 3000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 3000\n\
             rollbackSlackMs = 250\nmaxSkewMs = 12000\nretryBudgetRatio = 0.2\nretryWindowS = 10\n\
             budgetSlack = 60\nrecoveryS = 12\n{}",
            self.zone(machine),
            seeds.join(","),
            self.first_start,
            machine < self.hubs,
            (self.hubs - 1) / 2,
            self.extra_bounds,
        );
        fs::write(self.settings_path(machine), text).expect("the settings are written");
    }

    /// Rewrites all settings with `bootstrap` off, for restarts.
    pub fn end_first_start(&mut self) {
        self.first_start = false;
        for machine in 0..self.machines {
            self.write_settings(machine);
        }
    }

    pub fn spawn(&mut self, machine: usize, program: Program) {
        let name = if program == Program::Hub { "hub" } else { "edge" };
        let mut log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_path(machine, program))
            .expect("a log file");
        let mut command = Command::new("target/release/figglade-platform");
        command
            .arg(name)
            .env("FIGGLADE_BOOT", self.settings_path(machine))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log.try_clone().expect("a log file"));
        // A write that a full disk refuses must return an error, not end the process.
        // SAFETY: `signal` is safe to call between fork and exec.
        unsafe {
            command.pre_exec(|| {
                signal(SIGXFSZ, SIG_IGN);
                Ok(())
            });
        }
        let mut child = command.spawn().expect("the program starts");
        // The log reaches its file through this process, so that `fill_disk` leaves it alone.
        if let Some(mut output) = child.stdout.take() {
            thread::spawn(move || io::copy(&mut output, &mut log));
        }
        self.children.push((machine, program, child));
    }

    /// Makes the disk of a program take no more bytes, or makes it take them again: a limit on the size of
    /// files holds for this process alone, and each of its writes to a file then fails.
    pub fn fill_disk(&mut self, machine: usize, program: Program, is_full: bool) -> bool {
        self.children.retain_mut(|(_, _, child)| matches!(child.try_wait(), Ok(None)));
        let limit = FileSizeLimit { current: if is_full { 0 } else { u64::MAX }, most: u64::MAX };
        let mut held = self.children.iter().filter(|(at, kind, _)| *at == machine && *kind == program);
        held.all(|(_, _, child)| {
            // SAFETY: the limit outlives the call, and no old limit is asked for.
            unsafe { prlimit(child.id() as i32, RLIMIT_FSIZE, &limit, std::ptr::null_mut()) == 0 }
        })
    }

    /// Sends a signal to a program that this deployment started and that still runs.
    pub fn signal(&mut self, machine: usize, program: Program, name: &str) {
        self.children.retain_mut(|(_, _, child)| matches!(child.try_wait(), Ok(None)));
        for (held, kind, child) in &self.children {
            if *held == machine && *kind == program {
                let id = child.id().to_string();
                let _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
            }
        }
    }

    /// Kills a program and waits until it has ended.
    pub fn kill(&mut self, machine: usize, program: Program) {
        for (held, kind, child) in &mut self.children {
            if *held == machine && *kind == program {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        self.children.retain(|(held, kind, _)| *held != machine || *kind != program);
    }

    /// Returns the process id of a program that this deployment started.
    pub fn pid(&self, machine: usize, program: Program) -> u32 {
        let mut held = self.children.iter();
        held.find(|(at, kind, _)| *at == machine && *kind == program)
            .map_or(0, |(_, _, child)| child.id())
    }

    /// Returns whether a program still runs.
    pub fn is_running(&mut self, machine: usize, program: Program) -> bool {
        self.children.iter_mut().any(|(held, kind, child)| {
            *held == machine && *kind == program && matches!(child.try_wait(), Ok(None))
        })
    }

    /// Sends a manifest to the hubs in turn until one acknowledges it.
    pub fn put_manifest(&self, record: &Record, manifest: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            for hub in self.admins() {
                let answer = call(hub, "POST", "/-/Config.Replace", &[], manifest.as_bytes());
                if answer.is_ok_and(|answer| answer.status == 200) {
                    record.note(format!("operator: the manifest is acknowledged by {hub}"));
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Ends every program that this deployment started.
    pub fn end(&mut self) {
        for (_, _, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.children.clear();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.end();
    }
}

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Of an answer.
    pub status: u16,
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.headers.iter();
        fields.find(|(held, _)| held.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads one message; a connection that ends early is an error.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    message.start = line.trim_end().to_owned();
    if message.start.starts_with("HTTP/") {
        let code = message.start.split(' ').nth(1).and_then(|code| code.parse().ok());
        message.status = code.unwrap_or_default();
    }
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok());
    if let Some(length) = length {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(message)
}

/// Sends one request on a new connection and returns the answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<Message> {
    call_within(to, method, path, headers, body, Duration::from_secs(5))
}

pub fn call_within(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    let mut client = Client::from_stream(stream, limit)?;
    client.request(method, path, headers, body)
}

/// A kept connection of a client.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(to: SocketAddr, limit: Duration) -> io::Result<Self> {
        Self::from_stream(TcpStream::connect_timeout(&to, Duration::from_secs(1))?, limit)
    }

    fn from_stream(stream: TcpStream, limit: Duration) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = format!("{method} {path} HTTP/1.1\r\n");
        if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
            text.push_str("Host: h.example\r\n");
        }
        for (name, value) in headers {
            let _ = write!(text, "{name}: {value}\r\n");
        }
        if method == "POST" {
            let _ = write!(text, "Content-Length: {}\r\n", body.len());
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    pub fn read(&mut self) -> io::Result<Message> {
        read_message(&mut self.reader)
    }

    pub fn request(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Message> {
        self.send(method, path, headers, body)?;
        self.read()
    }
}

/// What a replica does with a request that it was sent.
pub enum Reply {
    /// Answers with these bytes; the connection stays open.
    Bytes(Vec<u8>),
    /// Closes the connection.
    Close,
}

/// Builds the bytes of an answer that a replica stamps.
pub fn stamped(status: &str, id: &str, stamp: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\nFigglade-Request-Id: {id}\r\n\
         Figglade-Response-Stamp: {stamp}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Decides on a request; the arguments are the replica, the request and its number on the connection.
pub type Behaviour = Arc<dyn Fn(&Replica, &Message, usize) -> Reply + Send + Sync>;

/// A run of a request at a replica.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub replica: String,
    pub at: Instant,
}

/// The runs of all replicas.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A stand-in replica, which sends status reports and answers requests.
pub struct Replica {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub runs: Runs,
    pub record: Record,
    pub is_draining: AtomicBool,
    pub is_ended: AtomicBool,
    pub served: AtomicU64,
    born: u128,
    sequence: AtomicU64,
    hubs: Vec<SocketAddr>,
    behaviour: Behaviour,
}

impl Replica {
    pub fn start(
        deployment: &Deployment,
        record: &Record,
        runs: &Runs,
        number: usize,
        service: &str,
        zone: &str,
        behaviour: Behaviour,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((deployment.replica_ip(number), 0)).expect("an address");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let replica = Arc::new(Self {
            id: format!("i-{service}-{number}"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            runs: Arc::clone(runs),
            record: record.clone(),
            is_draining: AtomicBool::new(false),
            is_ended: AtomicBool::new(false),
            served: AtomicU64::new(0),
            born,
            sequence: AtomicU64::new(0),
            hubs: deployment.admins(),
            behaviour,
        });
        let accepting = Arc::clone(&replica);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_ended.load(Ordering::SeqCst) {
                    return;
                }
                let serving = Arc::clone(&accepting);
                thread::spawn(move || serving.serve(&stream));
            }
        });
        let reporting = Arc::clone(&replica);
        thread::spawn(move || {
            while !reporting.is_ended.load(Ordering::SeqCst) {
                reporting.report();
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        replica
    }

    /// Notes that a request runs.
    pub fn run(&self, request: &Message) {
        let id = request.header("figglade-request-id").unwrap_or_default().to_owned();
        self.record.note(format!("{}: runs {} of request {id}", self.id, request.start));
        let run = Run { request: id, replica: self.id.clone(), at: Instant::now() };
        self.runs.lock().unwrap().push(run);
    }

    /// Sends a status report to one hub after the other until one acknowledges it.
    pub fn report(&self) -> bool {
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let body = format!(
            "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":3,\
             \"state\":\"{state}\",\"warmupLeftMs\":0,\"sequence\":{},\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.sequence.fetch_add(1, Ordering::SeqCst),
            self.born
        );
        let path = format!("/-/Replicas.Heartbeat/{}", self.id);
        self.hubs.iter().any(|hub| {
            let limit = Duration::from_secs(1);
            call_within(*hub, "POST", &path, &[], body.as_bytes(), limit)
                .is_ok_and(|answer| answer.status == 200)
        })
    }

    fn serve(&self, stream: &TcpStream) {
        let Ok(mut writing) = stream.try_clone() else { return };
        let _ = writing.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        let mut number = 0;
        while let Ok(request) = read_message(&mut reader) {
            if self.is_ended.load(Ordering::SeqCst) {
                return;
            }
            let intended = request.header("figglade-target-instance");
            let reply = if intended.is_some_and(|id| id != self.id) {
                Reply::Bytes(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n".to_vec())
            } else {
                (self.behaviour)(self, &request, number)
            };
            number += 1;
            match reply {
                Reply::Bytes(bytes) => {
                    if writing.write_all(&bytes).is_err() {
                        return;
                    }
                }
                Reply::Close => return,
            }
        }
    }
}

/// Returns the number of runs of each request.
pub fn count_runs(runs: &Runs) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for run in runs.lock().unwrap().iter() {
        *counts.entry(run.request.clone()).or_default() += 1;
    }
    counts
}

/// Waits until a condition holds; returns whether it did within `limit`.
pub fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// A manifest with the given routes and services, in JSON.
pub fn manifest(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<_> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"healthCheckPath\":\"/healthz\",\"maxConnections\":32,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// A route to one service.
pub fn route(name: &str, prefix: &str, kind: &str, backend: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"h.example\",\"pathPrefix\":\"{prefix}\",\"type\":\"{kind}\",\
         \"timeoutMs\":6000,\"targetLatencyMs\":600,\"priority\":1,\"backend\":\"{backend}\",\
         \"maxAttempts\":2}}"
    )
}
