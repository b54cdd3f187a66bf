//! Targets that said in an answer that they are leaving.

use std::cell::RefCell;

use figglade::{Incarnation, TargetId};
use tokio::sync::Notify;

/// A target that said in an answer that it is leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct DrainNotice {
    pub(super) target: TargetId,
    /// The start of the target that said so; a later start is not affected.
    pub(super) incarnation: Incarnation,
}

/// Collects notices until the directory records them.
#[derive(Debug, Default)]
pub(super) struct DrainInbox {
    notices: RefCell<Vec<DrainNotice>>,
    arrived: Notify,
}

impl DrainInbox {
    pub(super) fn push(&self, notice: DrainNotice) {
        self.notices.borrow_mut().push(notice);
        self.arrived.notify_one();
    }

    /// Waits for a notice and takes all of them.
    pub(super) async fn wait(&self) -> Vec<DrainNotice> {
        loop {
            let notices = std::mem::take(&mut *self.notices.borrow_mut());
            if !notices.is_empty() {
                return notices;
            }
            self.arrived.notified().await;
        }
    }
}
