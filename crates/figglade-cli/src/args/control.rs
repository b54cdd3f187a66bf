//! Arguments of `figglade control`.

use std::{net::SocketAddr, time::Duration};

use bpaf::Bpaf;
use figglade::{InstanceId, controller::quorum::StorageId};

use super::{ConnectOptions, DurationArg, connect_options};

/// Commands of the control group. Each is idempotent and may be interrupted and repeated.
#[derive(Clone, Debug, Bpaf)]
pub enum ControlCommand {
    /// Adds an instance as a learner, which receives the log and does not vote
    #[bpaf(command("add"), footer("Example: figglade control add i4 10.0.0.4:7101"))]
    Add {
        #[bpaf(external(connect_options))]
        /// Where the tier is.
        connect: ConnectOptions,
        /// The storage identity of its data folder, if known
        #[bpaf(long, argument("UUID"))]
        storage: Option<StorageId>,
        /// The instance
        #[bpaf(positional("ID"))]
        id: InstanceId,
        /// The address where it listens for peers
        #[bpaf(positional("PEER"))]
        peer: SocketAddr,
    },
    /// Waits until a learner has caught up and makes it a voter
    #[bpaf(command("promote"), footer("Example: figglade control promote i4"))]
    Promote {
        #[bpaf(external(connect_options))]
        /// Where the tier is.
        connect: ConnectOptions,
        /// The maximum time to wait, such as 30s or 10m
        #[bpaf(long, argument("AGE"), fallback(DEFAULT_CATCH_UP_TIMEOUT), display_fallback)]
        timeout: DurationArg,
        /// The instance
        #[bpaf(positional("ID"))]
        id: InstanceId,
    },
    /// Removes a member
    #[bpaf(command("remove"), footer("Example: figglade control remove i2"))]
    Remove {
        #[bpaf(external(connect_options))]
        /// Where the tier is.
        connect: ConnectOptions,
        /// The maximum time to wait, such as 30s or 10m
        #[bpaf(long, argument("AGE"), fallback(DEFAULT_CATCH_UP_TIMEOUT), display_fallback)]
        timeout: DurationArg,
        /// The instance
        #[bpaf(positional("ID"))]
        id: InstanceId,
    },
    /// Adds NEW, waits until it has caught up, promotes it and removes OLD
    #[bpaf(command("replace"), footer("Example: figglade control replace i2 i4 10.0.0.4:7101"))]
    Replace {
        #[bpaf(external(connect_options))]
        /// Where the tier is.
        connect: ConnectOptions,
        /// The maximum time for the whole command, such as 30s or 10m
        #[bpaf(long, argument("AGE"), fallback(DEFAULT_CATCH_UP_TIMEOUT), display_fallback)]
        timeout: DurationArg,
        /// The member to remove
        #[bpaf(positional("OLD"))]
        old: InstanceId,
        /// The instance to add
        #[bpaf(positional("NEW"))]
        new: InstanceId,
        /// The address where the new instance listens for peers
        #[bpaf(positional("PEER"))]
        peer: SocketAddr,
    },
}

/// The default time that a learner may take to catch up.
const DEFAULT_CATCH_UP_TIMEOUT: DurationArg = DurationArg(Duration::from_secs(600));
