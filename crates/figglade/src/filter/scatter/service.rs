//! The targets of one service as the scatter filter uses them.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use rand::Rng;

use super::{
    budget::{BudgetRules, ExtraBudget},
    choice::{ChoicePurpose, choose_replica},
    load::ReplicaState,
};
use crate::{ServiceName, Timestamp};

/// The targets of one service and its budget of extra attempts, as held by this instance.
#[derive(Debug)]
pub struct ServiceState {
    /// The name of the service.
    pub name: ServiceName,
    /// The targets of the service.
    pub replicas: RefCell<Vec<Rc<ReplicaState>>>,
    /// The bound on extra attempts.
    pub budget_rules: Cell<BudgetRules>,
    budget: RefCell<ExtraBudget>,
}

impl ServiceState {
    /// Creates a service without targets.
    pub fn new(name: ServiceName, rules: BudgetRules) -> Self {
        Self {
            name,
            replicas: RefCell::default(),
            budget_rules: Cell::new(rules),
            budget: RefCell::default(),
        }
    }

    pub(super) fn count_first(&self, now: Timestamp) {
        self.budget.borrow_mut().count_first(&self.budget_rules.get(), now);
    }

    pub(super) fn try_spend(&self, now: Timestamp) -> bool {
        self.budget.borrow_mut().try_spend(&self.budget_rules.get(), now)
    }

    /// Returns whether some target can be sent an attempt, now or once a connection is free.
    pub(super) fn is_reachable(&self, now: Timestamp) -> bool {
        let replicas = self.replicas.borrow();
        replicas.iter().any(|replica| replica.is_open(now))
    }

    /// Returns the earliest time at which some target can be sent an attempt, or `None` if the
    /// service has no target.
    pub(super) fn opens_at(&self) -> Option<Timestamp> {
        let replicas = self.replicas.borrow();
        replicas.iter().filter_map(|replica| replica.opens_at()).min()
    }

    pub(super) fn choose(
        &self,
        tried: impl Fn(&ReplicaState) -> bool,
        purpose: ChoicePurpose,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<Rc<ReplicaState>> {
        let replicas = self.replicas.borrow();
        choose_replica(&replicas, tried, purpose, now, rng).cloned()
    }
}
