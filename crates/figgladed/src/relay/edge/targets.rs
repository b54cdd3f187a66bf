//! The targets of the services as the data path knows them: records become replicas with their shares
//! of connections.

use std::{rc::Rc, time::Duration};

use figglade::{
    TargetId, Timestamp,
    controller::service_directory::TargetRecord,
    filter::scatter::{ReplicaSpec, ReplicaState, ServiceState, plan_connections},
};
use slog::info;

use super::EdgeState;

impl EdgeState {
    /// Merges records of targets into the directory and returns how many changed.
    pub fn apply_records(&self, records: Vec<TargetRecord>) -> usize {
        let now = self.clock.now();
        let mut changes = Vec::new();
        let mut has_moved = false;
        for record in records {
            let mut directory = self.directory.borrow_mut();
            has_moved |=
                directory.get(&record.id).is_some_and(|held| held.service != record.service);
            changes.extend(directory.merge(record, now));
        }
        self.apply_changes(&changes, now);
        if has_moved {
            self.remove_moved_replicas();
        }
        if !changes.is_empty() {
            self.coverages.borrow_mut().clear();
        }
        changes.len()
    }

    pub(super) fn apply_changes(&self, changes: &[TargetRecord], now: Timestamp) {
        for record in changes {
            info!(self.log, "relay: a target changed"; "target" => %record.id,
                "service" => %record.service, "phase" => %record.phase,
                "address" => %record.address, "lapsed" => record.is_lapsed,
                "incarnation" => %record.incarnation, "sequence" => record.sequence,
                "warm_up_ms" => record.warmup_ms);
            self.apply_record(record, now);
        }
    }

    /// Waits until targets say in their answers that they are leaving, and marks them as draining.
    /// Returns the changed records, for the other instances.
    pub async fn wait_drained(&self) -> Vec<TargetRecord> {
        let notices = self.drains.wait().await;
        let draining: Vec<_> = {
            let directory = self.directory.borrow();
            let named = notices.iter();
            named
                .filter_map(|notice| directory.drained(&notice.target, notice.incarnation))
                .collect()
        };
        self.apply_records(draining.clone());
        draining
    }

    /// Removes targets that have started again for another service from their former one. A record of
    /// a service that the route set does not name removes nothing: it may be an odd entry of another
    /// writer.
    pub(super) fn remove_moved_replicas(&self) {
        let Some(table) = self.routes.borrow().clone() else { return };
        let services: Vec<_> = self.services.borrow().values().cloned().collect();
        for service in services {
            let directory = self.directory.borrow();
            let has_moved = |id: &TargetId| {
                let held = directory.get(id);
                held.is_some_and(|record| {
                    record.service != service.name && table.find_service(&record.service).is_some()
                })
            };
            let mut replicas = service.replicas.borrow_mut();
            let count = replicas.len();
            replicas.retain(|held| {
                let is_kept = !has_moved(&held.spec.id);
                if !is_kept {
                    held.is_usable.set(false);
                }
                is_kept
            });
            let is_changed = replicas.len() != count;
            drop(replicas);
            if is_changed {
                self.divide_connections(&service);
            }
        }
    }

    fn apply_record(&self, record: &TargetRecord, now: Timestamp) {
        let service = self.service(&record.service);
        let mut replicas = service.replicas.borrow_mut();
        let spec = ReplicaSpec {
            id: record.id.clone(),
            incarnation: record.incarnation,
            address: record.address,
            is_local: record.zone == self.rules.zone,
            slots: record.slots,
        };
        let mut former = None;
        replicas.retain(|held| {
            let is_kept = held.spec.id != spec.id || held.spec == spec && record.is_usable();
            if !is_kept {
                held.is_usable.set(false);
                former = Some(Rc::clone(held));
            }
            is_kept
        });
        if !record.is_usable() {
            return;
        }
        let warm_up = Duration::from_millis(u64::from(record.warmup_ms));
        if let Some(held) = replicas.iter().find(|held| held.spec == spec) {
            held.is_lapsed.set(record.is_lapsed);
            held.begin_warm_up(warm_up, now);
            held.place_in(&record.zone, &self.evacuations.borrow());
            return;
        }
        let replica = ReplicaState::new(spec, 1);
        if let Some(former) = former {
            replica.inherit_backoff(&former);
        }
        replica.is_lapsed.set(record.is_lapsed);
        replica.place_in(&record.zone, &self.evacuations.borrow());
        replica.begin_warm_up(warm_up, now);
        replicas.push(Rc::new(replica));
        drop(replicas);
        self.divide_connections(&service);
    }

    /// Divides the connections that the targets of the service accept among the instances. The
    /// targets of evacuated zones get none.
    pub(super) fn divide_connections(&self, service: &ServiceState) {
        let replicas = service.replicas.borrow();
        let open: Vec<_> = replicas.iter().filter(|held| !held.is_evacuated.get()).collect();
        let specs: Vec<_> = open.iter().map(|replica| &replica.spec).collect();
        let (max_connections, share) =
            (self.max_connections_of(&service.name), self.instance_share(&service.name));
        let plans = plan_connections(&self.rules.instance, &specs, max_connections, &share);
        for (replica, plan) in open.into_iter().zip(plans) {
            replica.connection_limit.set(plan.limit);
            replica.is_in_subset.set(plan.is_in_subset);
            replica.ready_connections.set(plan.ready);
        }
    }

    pub(super) fn refresh_limits(&self) {
        for service in self.services.borrow().values() {
            service.budget_rules.set(self.budget_rules(&self.instance_share(&service.name)));
            self.divide_connections(service);
        }
    }

    /// Returns the services that the route set in force names.
    pub(super) fn routed_services(&self) -> Vec<Rc<ServiceState>> {
        let Some(table) = self.routes() else { return Vec::new() };
        let services = self.services.borrow();
        let named = table.set().services.iter();
        named.filter_map(|spec| services.get(&spec.name).cloned()).collect()
    }
}
