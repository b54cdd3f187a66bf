//! Machines of a small deployment on loopback addresses. Each machine has an address of its own and
//! runs the programs of the deploy file.

use std::{
    fs,
    io::Write,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use super::{
    http::{self, Message},
    pause,
    record::Record,
};

const HTTP_PORT: u16 = 8226;
const READINESS_PORT: u16 = 8227;
const ADMIN_PORT: u16 = 8224;
/// The longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(112);

/// The bounds of the settings, with the values of illat-kereso.
pub const GRACE_S: u64 = 6;
pub const DRAIN_TIMEOUT_MS: u64 = 3_000;
pub const CONFIG_APPLY_MS: u64 = 3_000;
pub const CONTACT_MS: u64 = 4_000;
pub const HEARTBEAT_MS: u64 = 1_200;

struct Process {
    machine: usize,
    role: &'static str,
    child: Child,
}

/// One machine.
#[derive(Clone)]
pub struct Machine {
    pub ip: String,
    pub zone: String,
    pub has_disk: bool,
}

/// The machines of a deployment.
pub struct Deployment {
    pub machines: Vec<Machine>,
    subnet: String,
    folder: PathBuf,
    processes: Arc<Mutex<Vec<Process>>>,
    record: Record,
}

impl Deployment {
    /// Starts machines in the given zones; those marked true have a disk and run a hub too.
    pub fn start(record: &Record, machines: &[(&str, bool)]) -> Self {
        let subnet = free_subnet();
        let folder = std::env::temp_dir().join(format!("figglade-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let machines = machines.iter().enumerate().map(|(number, (zone, has_disk))| Machine {
            ip: format!("{subnet}.{}", number + 1),
            zone: (*zone).to_owned(),
            has_disk: *has_disk,
        });
        let machines: Vec<_> = machines.collect();
        let processes = Arc::default();
        let deployment = Self { machines, subnet, folder, processes, record: record.clone() };
        deployment.watch_time();
        for machine in 0..deployment.machines.len() {
            deployment.write_settings(machine, true);
            deployment.spawn_all(machine);
        }
        deployment
    }

    /// Ends the case with exit code 2 when it takes too long.
    fn watch_time(&self) {
        let (processes, record, folder) =
            (Arc::clone(&self.processes), self.record.clone(), self.folder.clone());
        thread::spawn(move || {
            thread::sleep(TIME_LIMIT);
            record.say("the case took too long");
            end_all(&processes);
            let _ = fs::remove_dir_all(folder);
            std::process::exit(2);
        });
    }

    fn settings_path(&self, machine: usize) -> PathBuf {
        self.folder.join(format!("{machine}.toml"))
    }

    fn data_folder(&self, machine: usize) -> PathBuf {
        self.folder.join(format!("data-{machine}"))
    }

    /// Writes the settings of a machine.
    pub fn write_settings(&self, machine: usize, is_first_start: bool) {
        let Machine { ip, zone, has_disk } = &self.machines[machine];
        let seeds: Vec<_> =
            self.admins().iter().take(3).map(|seed| format!("\"{seed}\"")).collect();
        let (data, disk) = if *has_disk {
            let folder = self.data_folder(machine);
            fs::create_dir_all(&folder).expect("a data folder");
            (format!("dataDir = \"{}\"\n", folder.display()), "diskMb = 64\n")
        } else {
            (String::new(), "")
        };
        let zones: Vec<_> = self.machines.iter().map(|machine| machine.zone.clone()).collect();
        let mut zones: Vec<_> = zones.iter().map(|zone| format!("{zone} = \"region\"")).collect();
        zones.sort();
        zones.dedup();
        let text = format!(
            "nodeName = \"edge-{zone}-{machine}\"\nrole = \"edge\"\nmachineClass = \"edge\"\n\
             serves = [\"edge\",\"control_plane\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"region\"\ninternalPorts = [7740,7755]\nseeds = [{}]\n\
             bootstrap = {is_first_start}\nlossCounts = {has_disk}\n{data}\
             discovery = \"registry\"\nentrypoint = \"vip\"\nheartbeatMs = {HEARTBEAT_MS}\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\"]\n\
             config_mode = \"highest\"\n[zones]\n{}\n[bindAddrs]\nhttp = \"{ip}:{HTTP_PORT}\"\n\
             readiness = \"{ip}:{READINESS_PORT}\"\nadmin = \"{ip}:{ADMIN_PORT}\"\n[limits]\n\
             cpuShare = 0.45\ncpus = 1\nmemoryMb = 260\nmaxFds = 4100\nbandwidthMbps = 1000.0\n\
             {disk}[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\nseedLagS = 3\n\
             reuseAfterS = 2\ncontactMs = {CONTACT_MS}\nackTimeoutMs = 5000\ncatchUpS = 4\n\
             drainTimeoutMs = {DRAIN_TIMEOUT_MS}\ngraceS = {GRACE_S}\nlossSlackMs = 200\n\
             configApplyMs = {CONFIG_APPLY_MS}\nrollbackSlackMs = 250\nmaxSkewMs = 12000\n\
             retryBudgetRatio = 0.2\nretryWindowS = 10\nbudgetSlack = 60\nrecoveryS = 12\n",
            seeds.join(","),
            zones.join("\n"),
        );
        fs::write(self.settings_path(machine), text).expect("the settings are written");
    }

    /// Writes the settings for later starts.
    pub fn end_bootstrap(&self) {
        for machine in 0..self.machines.len() {
            self.write_settings(machine, false);
        }
    }

    /// Starts the programs of a machine.
    pub fn spawn_all(&self, machine: usize) {
        if self.machines[machine].has_disk {
            self.spawn(machine, "hub");
        }
        self.spawn(machine, "edge");
    }

    /// Starts a program with the command of the deploy file.
    pub fn spawn(&self, machine: usize, role: &'static str) {
        let log = self.folder.join(format!("{machine}-{role}.log"));
        let output = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log");
        let child = Command::new("target/release/figglade-platform")
            .arg(role)
            .env("FIGGLADE_BOOT", self.settings_path(machine))
            .stdin(Stdio::null())
            .stderr(output.try_clone().expect("a log"))
            .stdout(output)
            .spawn();
        let child = child.unwrap_or_else(|error| {
            self.record.say(&format!("cannot start target/release/figglade-platform: {error}"));
            self.quit(2);
        });
        self.record.line(&format!("start {role} of machine {machine}"));
        list_process(&child);
        self.processes.lock().expect("no panic").push(Process { machine, role, child });
    }

    /// Sends a signal to a program that this deployment started.
    pub fn signal(&self, machine: usize, role: &str, name: &str) {
        for process in self.processes.lock().expect("no panic").iter() {
            if process.machine == machine && process.role == role {
                send_signal(&process.child, name);
            }
        }
        self.record.line(&format!("SIG{name} to {role} of machine {machine}"));
    }

    /// Waits until a program has ended; returns false after `limit`.
    pub fn wait_end(&self, machine: usize, role: &str, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            let mut processes = self.processes.lock().expect("no panic");
            processes.retain_mut(|process| {
                let is_named = process.machine == machine && process.role == role;
                !is_named || matches!(process.child.try_wait(), Ok(None))
            });
            let is_running = processes
                .iter()
                .any(|process| process.machine == machine && process.role == role);
            drop(processes);
            if !is_running {
                self.record.line(&format!("{role} of machine {machine} has ended"));
                return true;
            }
            pause(5);
        }
        false
    }

    /// Kills a program and waits for its end.
    pub fn kill(&self, machine: usize, role: &str) {
        self.signal(machine, role, "KILL");
        self.wait_end(machine, role, Duration::from_secs(5));
    }

    /// Returns the resident memory of a program in kilobytes, now and at its peak.
    pub fn memory_kb(&self, machine: usize, role: &str) -> (u64, u64) {
        let processes = self.processes.lock().expect("no panic");
        let found = processes.iter().find(|held| held.machine == machine && held.role == role);
        let Some(process) = found else { return (0, 0) };
        let path = format!("/proc/{}/status", process.child.id());
        let status = fs::read_to_string(path).unwrap_or_default();
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|rest| rest.trim().split(' ').next()?.parse().ok()).unwrap_or(0)
        };
        (field("VmRSS:"), field("VmHWM:"))
    }

    /// Returns whether a program that was started still runs.
    pub fn is_running(&self, machine: usize, role: &str) -> bool {
        let mut processes = self.processes.lock().expect("no panic");
        processes.iter_mut().any(|process| {
            process.machine == machine
                && process.role == role
                && matches!(process.child.try_wait(), Ok(None))
        })
    }

    /// Empties the disk of a machine whose hub does not run.
    pub fn wipe(&self, machine: usize) {
        let folder = self.data_folder(machine);
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a data folder");
        self.record.line(&format!("the disk of machine {machine} is emptied"));
    }

    /// Returns the output of a program.
    pub fn log(&self, machine: usize, role: &str) -> String {
        let path = self.folder.join(format!("{machine}-{role}.log"));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// Returns the addresses that serve targets and operators.
    pub fn admins(&self) -> Vec<SocketAddr> {
        let hubs = self.machines.iter().filter(|machine| machine.has_disk);
        hubs.map(|machine| address(&machine.ip, ADMIN_PORT)).collect()
    }

    pub fn caller_address(&self, machine: usize) -> SocketAddr {
        address(&self.machines[machine].ip, HTTP_PORT)
    }

    pub fn readiness_address(&self, machine: usize) -> SocketAddr {
        address(&self.machines[machine].ip, READINESS_PORT)
    }

    /// Returns an unused loopback address for a server.
    pub fn server_ip(&self, number: usize) -> String {
        format!("{}.{}", self.subnet, 100 + number)
    }

    /// Sends a manifest to the hubs in turn until one acknowledges it.
    pub fn put(&self, manifest: &str) {
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(30) {
            for hub in self.admins() {
                let path = "/-/Config.Replace";
                let limit = Duration::from_secs(3);
                let answer = http::call(hub, "POST", path, &[], manifest.as_bytes(), limit);
                if answer.is_ok_and(|answer| answer.status == 200) {
                    self.record.line(&format!("a manifest is acknowledged by {hub}"));
                    return;
                }
            }
            pause(100);
        }
        self.record.say("no hub acknowledged the manifest");
        self.quit(2);
    }

    /// Reads the manifest from a hub.
    pub fn get(&self, hub: SocketAddr) -> std::io::Result<Message> {
        http::call(hub, "GET", "/-/Config.Get", &[], b"", Duration::from_secs(2))
    }

    /// Waits until every machine answers the path with 200.
    pub fn wait_served(&self, host: &str, path: &str, limit: Duration) {
        for machine in 0..self.machines.len() {
            let started = Instant::now();
            loop {
                let id = http::new_id();
                let headers = [
                    ("Host", host),
                    ("Figglade-Request-Id", id.as_str()),
                    ("Figglade-Request-Deadline", "8000"),
                ];
                let to = self.caller_address(machine);
                let answer = http::call(to, "GET", path, &headers, b"", Duration::from_secs(8));
                if answer.is_ok_and(|answer| answer.status == 200) {
                    break;
                }
                if started.elapsed() > limit {
                    self.record.say(&format!("machine {machine} does not serve {path}"));
                    self.quit(2);
                }
                pause(50);
            }
        }
    }

    /// Ends all processes, removes the temporary folder and exits.
    pub fn quit(&self, code: i32) -> ! {
        end_all(&self.processes);
        if let Ok(kept) = std::env::var("KEEP_LOGS") {
            let _ = Command::new("cp").arg("-r").arg(&self.folder).arg(kept).status();
        }
        let _ = fs::remove_dir_all(&self.folder);
        std::process::exit(code);
    }
}

fn end_all(processes: &Mutex<Vec<Process>>) {
    let mut processes = match processes.lock() {
        Ok(processes) => processes,
        Err(poisoned) => poisoned.into_inner(),
    };
    for process in processes.iter_mut() {
        let _ = process.child.kill();
        let _ = process.child.wait();
    }
    processes.clear();
}

/// Adds a process to the list by which `run.sh` ends what a broken off case leaves.
fn list_process(child: &Child) {
    let Ok(path) = std::env::var("REVIEW_PROCESSES") else { return };
    let file = fs::OpenOptions::new().create(true).append(true).open(path);
    if let Ok(mut file) = file {
        let _ = writeln!(file, "{}", child.id());
    }
}

fn send_signal(child: &Child, name: &str) {
    // The child is not waited for before, so its id belongs to it.
    let command = format!("kill -{name} {}", child.id());
    let _ = Command::new("sh").arg("-c").arg(command).status();
}

fn address(ip: &str, port: u16) -> SocketAddr {
    format!("{ip}:{port}").parse().expect("an address")
}

/// Returns the first three parts of loopback addresses on which the ports of the machines are free.
fn free_subnet() -> String {
    let process = std::process::id();
    for shift in 0..200 {
        let (second, third) = (20 + (process + shift) % 200, 1 + (process / 200) % 200);
        let subnet = format!("127.{second}.{third}");
        let ports = [HTTP_PORT, READINESS_PORT, ADMIN_PORT, 7740, 7741, 9464, 9465];
        let is_free = |host: u8| {
            let free = |port: &u16| TcpListener::bind(format!("{subnet}.{host}:{port}")).is_ok();
            ports.iter().all(free)
        };
        if (1..=6).all(is_free) {
            return subnet;
        }
    }
    eprintln!("no free loopback addresses");
    std::process::exit(2);
}
