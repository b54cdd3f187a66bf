//! Cuts peer links between instances, each direction of each pair by itself.

use std::{
    collections::HashMap,
    fs, io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use parking_lot::Mutex;
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

use crate::proxy::{FaultProxy, ProxyFault};

/// The column of the local address in the kernel's table of sockets.
const LOCAL_COLUMN: usize = 1;
/// The column of the inode.
const INODE_COLUMN: usize = 9;

/// The processes of the instances, by number.
pub(super) type ProcessIds = Arc<Mutex<HashMap<usize, u32>>>;

/// Stands between all instances and passes each peer link through a proxy of its own.
///
/// An instance advertises one address to all others, so the dialling side is told apart by the
/// process that owns the other end of the connection.
#[derive(Default)]
pub(super) struct PeerSwitchboard {
    addresses: Vec<SocketAddr>,
    links: HashMap<(usize, usize), Arc<FaultProxy>>,
    processes: ProcessIds,
    tasks: Vec<JoinHandle<()>>,
}

impl PeerSwitchboard {
    /// Starts proxies for the instances that listen for peers at `targets`.
    pub(super) async fn start(targets: &[SocketAddr]) -> io::Result<Self> {
        let mut switchboard = Self::default();
        for (to, target) in targets.iter().enumerate() {
            let mut inbound = HashMap::new();
            for from in (0..targets.len()).filter(|from| *from != to) {
                let proxy = Arc::new(FaultProxy::start(*target).await?);
                inbound.insert(from, Arc::clone(&proxy));
                switchboard.links.insert((from, to), proxy);
            }
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            switchboard.addresses.push(listener.local_addr()?);
            let processes = Arc::clone(&switchboard.processes);
            switchboard.tasks.push(tokio::spawn(accept_links(listener, inbound, processes)));
        }
        Ok(switchboard)
    }

    /// Returns the address to advertise for each instance.
    pub(super) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Notes the process of an instance.
    pub(super) fn note_process(&self, number: usize, process: u32) {
        self.processes.lock().insert(number, process);
    }

    /// Cuts the instances in `side` off from all others, without a word to either side.
    pub(super) fn cut(&self, side: &[usize]) {
        for ((from, to), proxy) in &self.links {
            if side.contains(from) != side.contains(to) {
                proxy.set_fault(ProxyFault::Cut);
            }
        }
    }

    /// Lets every link work again.
    pub(super) fn heal(&self) {
        for proxy in self.links.values() {
            proxy.set_fault(ProxyFault::None);
        }
    }

    /// Closes the listeners; the proxies end with their last holder.
    pub(super) async fn close(self) {
        for task in self.tasks {
            task.abort();
            let _ = task.await;
        }
    }
}

/// Accepts links to one instance and passes each on by the process that dialled.
async fn accept_links(
    listener: TcpListener,
    inbound: HashMap<usize, Arc<FaultProxy>>,
    processes: ProcessIds,
) {
    while let Ok((mut stream, peer)) = listener.accept().await {
        let from = find_dialler(peer, &processes.lock());
        let Some(proxy) = from.and_then(|from| inbound.get(&from)) else { continue };
        let address = proxy.address();
        tokio::spawn(async move {
            let Ok(mut link) = TcpStream::connect(address).await else { return };
            let _ = stream.set_nodelay(true);
            let _ = link.set_nodelay(true);
            let _ = copy_bidirectional(&mut stream, &mut link).await;
        });
    }
}

/// Returns the instance whose process owns the socket bound to `address`.
fn find_dialler(address: SocketAddr, processes: &HashMap<usize, u32>) -> Option<usize> {
    let socket = format!("socket:[{}]", find_inode(address)?);
    let owns = |process: u32| {
        let Ok(entries) = fs::read_dir(format!("/proc/{process}/fd")) else { return false };
        let mut targets = entries.flatten().filter_map(|entry| fs::read_link(entry.path()).ok());
        targets.any(|target| target.as_os_str() == socket.as_str())
    };
    processes.iter().find(|(_, process)| owns(**process)).map(|(number, _)| *number)
}

/// Returns the inode of the socket bound to a loopback address.
fn find_inode(address: SocketAddr) -> Option<String> {
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let local = format!("0100007F:{:04X}", address.port());
    let mut rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let row = rows.find(|row| row.get(LOCAL_COLUMN) == Some(&local.as_str()))?;
    row.get(INODE_COLUMN).map(|inode| (*inode).to_owned())
}
