//! Stand-in servers: they report to the hubs, check the intended instance, stamp their answers and
//! record each run.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use super::{
    http::{self, Message, read_message},
    pause,
    record::Record,
};

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub server: String,
    /// When it began, in milliseconds since the start of the record.
    pub at: u64,
    pub body: Vec<u8>,
}

/// What a server does with a request instead of its usual work.
pub enum Behaviour {
    /// Answers with 200 after the usual work.
    Usual,
    /// Sends these bytes as its answer and keeps the connection.
    Bytes(Vec<u8>),
    /// Has written its answer to the stream itself and ends the connection.
    Handled,
}

/// Decides what a server does with a request.
pub type Script = dyn Fn(&Server, &Message, &TcpStream) -> Behaviour + Send + Sync;

/// The settings of one start of a server.
#[derive(Clone)]
pub struct ServerSettings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub work_ms: u64,
}

/// One start of a server.
pub struct Server {
    pub settings: ServerSettings,
    pub born: u128,
    pub record: Record,
    pub runs: Arc<Mutex<Vec<Run>>>,
    hubs: Vec<SocketAddr>,
    preferred: Mutex<Option<SocketAddr>>,
    sequence: AtomicU64,
    pub is_draining: AtomicBool,
    pub is_reporting: AtomicBool,
    pub is_gone: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    script: Box<Script>,
}

/// The runs of all servers.
pub type Runs = Arc<Mutex<Vec<Run>>>;

impl Server {
    /// Starts a server with the usual behaviour.
    pub fn start(settings: ServerSettings, hubs: Vec<SocketAddr>, record: &Record, runs: &Runs) -> Arc<Self> {
        Self::start_with(settings, hubs, record, runs, true, |_, _, _| Behaviour::Usual)
    }

    /// Starts a server; `reports` tells whether it reports to the hubs from the start.
    pub fn start_with(
        settings: ServerSettings,
        hubs: Vec<SocketAddr>,
        record: &Record,
        runs: &Runs,
        reports: bool,
        script: impl Fn(&Server, &Message, &TcpStream) -> Behaviour + Send + Sync + 'static,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(settings.address).unwrap_or_else(|error| {
            eprintln!("cannot listen on {}: {error}", settings.address);
            std::process::exit(2);
        });
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let server = Arc::new(Self {
            settings,
            born,
            record: record.clone(),
            runs: Arc::clone(runs),
            hubs,
            preferred: Mutex::default(),
            sequence: AtomicU64::new(1),
            is_draining: AtomicBool::new(false),
            is_reporting: AtomicBool::new(reports),
            is_gone: AtomicBool::new(false),
            streams: Mutex::default(),
            script: Box::new(script),
        });
        let accepting = Arc::clone(&server);
        thread::spawn(move || accepting.accept(&listener));
        let reporting = Arc::clone(&server);
        thread::spawn(move || {
            while !reporting.is_gone.load(Ordering::SeqCst) {
                if reporting.is_reporting.load(Ordering::SeqCst) {
                    reporting.report();
                }
                pause(super::deployment::HEARTBEAT_MS);
            }
        });
        server
    }

    /// Builds the body of the next status report.
    pub fn report_body(&self) -> String {
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let ServerSettings { service, zone, address, slots, .. } = &self.settings;
        format!(
            "{{\"backend\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"warmupLeftMs\":0,\
             \"sequence\":{},\"born\":{}}}",
            self.sequence.fetch_add(1, Ordering::SeqCst),
            self.born,
        )
    }

    /// Sends a status report to a hub, or to the next if it fails; returns whether it was
    /// acknowledged.
    pub fn report(&self) -> bool {
        let path = format!("/-/Replicas.Heartbeat/{}", self.settings.id);
        let body = self.report_body();
        let is_acknowledged = self.call_hubs(&path, &body);
        if self.is_draining.load(Ordering::SeqCst) {
            let id = &self.settings.id;
            self.record.line(&format!("{id} reports draining, acknowledged: {is_acknowledged}"));
        }
        is_acknowledged
    }

    /// Deregisters the server; returns whether it was acknowledged.
    pub fn deregister(&self) -> bool {
        let path = format!("/-/Replicas.Deregister/{}", self.settings.id);
        let body = format!("{{\"born\":{}}}", self.born);
        let is_acknowledged = self.call_hubs(&path, &body);
        let id = &self.settings.id;
        self.record.line(&format!("{id} deregisters, acknowledged: {is_acknowledged}"));
        is_acknowledged
    }

    /// Ends the server: it closes its address and all connections and reports nothing more.
    pub fn end(&self) {
        self.is_gone.store(true, Ordering::SeqCst);
        if let Ok(mut streams) = self.streams.lock() {
            for stream in streams.drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        }
        self.record.line(&format!("{} of {} ends", self.settings.id, self.born));
        pause(50);
    }

    fn call_hubs(&self, path: &str, body: &str) -> bool {
        let preferred = self.preferred.lock().ok().and_then(|held| *held);
        for hub in preferred.into_iter().chain(self.hubs.iter().copied()) {
            let limit = Duration::from_secs(1);
            let answer = http::call(hub, "POST", path, &[], body.as_bytes(), limit);
            if let Ok(answer) = answer
                && answer.status == 200
            {
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let named = text.split('"').nth(3).and_then(|text| text.parse().ok());
                if let Ok(mut preferred) = self.preferred.lock() {
                    *preferred = named.or(Some(hub));
                }
                return true;
            }
            if let Ok(mut preferred) = self.preferred.lock() {
                *preferred = None;
            }
        }
        false
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        listener.set_nonblocking(true).expect("a non-blocking listener");
        while !self.is_gone.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    if let (Ok(held), Ok(mut streams)) = (stream.try_clone(), self.streams.lock()) {
                        streams.push(held);
                    }
                    let server = Arc::clone(&self);
                    thread::spawn(move || server.serve(&stream));
                }
                Err(_) => pause(2),
            }
        }
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        while let Ok(request) = read_message(&mut reader, true) {
            if self.is_gone.load(Ordering::SeqCst) || !self.answer(stream, &request) {
                return;
            }
        }
    }

    fn answer(&self, mut stream: &TcpStream, request: &Message) -> bool {
        let own = &self.settings.id;
        let id = request.header("figglade-request-id").unwrap_or_default().to_owned();
        if request.header("figglade-target-instance").is_some_and(|named| named != own) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nFigglade-Request-Id: {id}\r\n\
                 Figglade-Not-Executed: 1\r\nFigglade-Instance-Id: {own}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            return stream.write_all(text.as_bytes()).is_ok();
        }
        match (self.script)(self, request, stream) {
            Behaviour::Usual => {
                self.record_run(request);
                pause(self.settings.work_ms);
                stream.write_all(&self.success(&id, own.as_bytes(), "")).is_ok()
            }
            Behaviour::Bytes(bytes) => stream.write_all(&bytes).is_ok(),
            Behaviour::Handled => false,
        }
    }

    /// Records that a request begins to run.
    pub fn record_run(&self, request: &Message) {
        let id = request.header("figglade-request-id").unwrap_or_default().to_owned();
        let at = self.record.now();
        self.record.line(&format!("run {id} at {}", self.settings.id));
        if let Ok(mut runs) = self.runs.lock() {
            let (server, body) = (self.settings.id.clone(), request.body.clone());
            runs.push(Run { request: id, server, at, body });
        }
    }

    /// Encodes a success with the stamp of this server.
    pub fn success(&self, id: &str, body: &[u8], headers: &str) -> Vec<u8> {
        let mut text = format!(
            "HTTP/1.1 200 OK\r\nFigglade-Request-Id: {id}\r\n\
             Figglade-Response-Stamp: {}.{id}\r\n{headers}Content-Length: {}\r\n\r\n",
            self.settings.id,
            body.len()
        )
        .into_bytes();
        text.extend_from_slice(body);
        text
    }
}
