//! A TCP proxy that injects faults between two processes.

mod pump;

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
};

use self::pump::{PumpEnd, run_pump};

/// The pause after a failed accept, such as when no file handle is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The direction of bytes through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProxyDirection {
    /// From the side that connected to the target.
    ToTarget,
    /// From the target to the side that connected.
    ToClient,
}

/// What a proxy does to the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyFault {
    /// Nothing.
    #[default]
    None,
    /// Delivers every byte later, in order.
    Delay {
        /// The delay.
        delay: Duration,
    },
    /// Resets each connection at its next byte.
    Reset,
    /// Holds the bytes until the fault changes.
    Stall,
    /// Drops the bytes; a connection that lost some is reset when the fault changes.
    Cut,
    /// Closes each connection once it carried this many bytes in this direction.
    Truncate {
        /// The bytes that are still delivered.
        bytes: u64,
    },
    /// Delivers the bytes in pieces with a pause before each.
    Drip {
        /// The size of a piece, in bytes.
        piece_bytes: usize,
        /// The pause.
        pause: Duration,
    },
    /// Resets new connections at once; open ones go on.
    Refuse,
}

/// The faults of both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ProxyFaults {
    to_target: ProxyFault,
    to_client: ProxyFault,
}

impl ProxyFaults {
    /// Returns the fault of a direction.
    const fn of(&self, direction: ProxyDirection) -> ProxyFault {
        match direction {
            ProxyDirection::ToTarget => self.to_target,
            ProxyDirection::ToClient => self.to_client,
        }
    }

    /// Returns whether new connections are refused.
    fn refuses(&self) -> bool {
        self.to_target == ProxyFault::Refuse || self.to_client == ProxyFault::Refuse
    }
}

/// Passes TCP connections on to a target and injects faults on the way.
///
/// Dropping it ends its connections without waiting.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    faults: Arc<watch::Sender<ProxyFaults>>,
    /// Rises each time every open connection is to be reset.
    resets: Arc<watch::Sender<u64>>,
    accepted: Arc<AtomicU64>,
    task: Option<JoinHandle<()>>,
}

impl FaultProxy {
    /// Listens at a free loopback port and passes connections on to `target`.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let faults = Arc::new(watch::Sender::new(ProxyFaults::default()));
        let resets = Arc::new(watch::Sender::new(0));
        let accepted = Arc::new(AtomicU64::new(0));
        let acceptor = ProxyAcceptor {
            listener,
            target,
            faults: Arc::clone(&faults),
            resets: Arc::clone(&resets),
            accepted: Arc::clone(&accepted),
        };
        let task = Some(tokio::spawn(acceptor.run()));
        Ok(Self { address, faults, resets, accepted, task })
    }

    /// Returns the address to connect to in place of the target.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the connections accepted so far, refused ones among them.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }

    /// Sets the fault of both directions, for open and new connections.
    pub fn set_fault(&self, fault: ProxyFault) {
        self.faults.send_replace(ProxyFaults { to_target: fault, to_client: fault });
    }

    /// Sets the fault of one direction, for open and new connections.
    pub fn set_direction_fault(&self, direction: ProxyDirection, fault: ProxyFault) {
        self.faults.send_modify(|faults| match direction {
            ProxyDirection::ToTarget => faults.to_target = fault,
            ProxyDirection::ToClient => faults.to_client = fault,
        });
    }

    /// Resets every open connection now.
    pub fn reset_connections(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    /// Closes the listener and every connection.
    pub async fn close(mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
            let _ = task.await;
        }
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

/// Accepts the connections of a proxy.
struct ProxyAcceptor {
    listener: TcpListener,
    target: SocketAddr,
    faults: Arc<watch::Sender<ProxyFaults>>,
    resets: Arc<watch::Sender<u64>>,
    accepted: Arc<AtomicU64>,
}

impl ProxyAcceptor {
    /// Accepts until the proxy is closed.
    async fn run(self) {
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                Some(_) = connections.join_next() => continue,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            self.accepted.fetch_add(1, Ordering::SeqCst);
            if self.faults.borrow().refuses() {
                let _ = stream.set_zero_linger();
                continue;
            }
            let faults = self.faults.subscribe();
            let resets = self.resets.subscribe();
            connections.spawn(serve_connection(stream, self.target, faults, resets));
        }
    }
}

/// Passes one connection on until either side or a fault ends it.
async fn serve_connection(
    mut client: TcpStream,
    target: SocketAddr,
    faults: watch::Receiver<ProxyFaults>,
    mut resets: watch::Receiver<u64>,
) {
    let Ok(mut server) = TcpStream::connect(target).await else {
        let _ = client.set_zero_linger();
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let pumps = async {
        tokio::try_join!(
            run_pump(client_read, server_write, faults.clone(), ProxyDirection::ToTarget),
            run_pump(server_read, client_write, faults.clone(), ProxyDirection::ToClient),
        )
    };
    let end = tokio::select! {
        result = pumps => result.err(),
        _ = resets.changed() => Some(PumpEnd::Reset),
    };
    if end == Some(PumpEnd::Reset) {
        let _ = client.set_zero_linger();
        let _ = server.set_zero_linger();
    }
}
