//! The arguments of the control family.

use std::{net::SocketAddr, time::Duration};

use bpaf::Bpaf;
use figglade::{InstanceId, controller::quorum::StorageId};

use super::{ConnectOptions, SpanArg, connect_options};

/// Commands of the control group. Each may be interrupted and repeated.
#[derive(Clone, Debug, Bpaf)]
pub enum ControlCommand {
    /// Adds an instance as a learner, which receives the log and does not vote
    #[bpaf(command("add"), footer("Example: figglade control add i4 10.0.0.4:7101"))]
    Add {
        #[bpaf(external(connect_options))]
        /// Where the tier is.
        connect: ConnectOptions,
        /// The identity of its data folder, where known
        #[bpaf(long, argument("UUID"))]
        storage: Option<StorageId>,
        /// The instance
        #[bpaf(positional("ID"))]
        id: InstanceId,
        /// Where it listens for peers
        #[bpaf(positional("PEER"))]
        peer: SocketAddr,
    },
    /// Waits until a learner has caught up and makes it a voter
    #[bpaf(command("promote"), footer("Example: figglade control promote i4"))]
    Promote {
        #[bpaf(external(connect_options))]
        /// Where the tier is.
        connect: ConnectOptions,
        /// The longest wait, such as 30s or 10m
        #[bpaf(long, argument("AGE"), fallback(DEFAULT_CATCH_UP), display_fallback)]
        timeout: SpanArg,
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
        /// The longest wait, such as 30s or 10m
        #[bpaf(long, argument("AGE"), fallback(DEFAULT_CATCH_UP), display_fallback)]
        timeout: SpanArg,
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
        /// The longest wait of the whole command, such as 30s or 10m
        #[bpaf(long, argument("AGE"), fallback(DEFAULT_CATCH_UP), display_fallback)]
        timeout: SpanArg,
        /// The member that goes
        #[bpaf(positional("OLD"))]
        old: InstanceId,
        /// The instance that comes
        #[bpaf(positional("NEW"))]
        new: InstanceId,
        /// Where the new one listens for peers
        #[bpaf(positional("PEER"))]
        peer: SocketAddr,
    },
}

/// How long a learner may take to catch up unless told otherwise.
const DEFAULT_CATCH_UP: SpanArg = SpanArg(Duration::from_secs(600));
