//! One running instance: it assembles the parts and stops them in order.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use derive_more::{Display, Error, From};
use figglade::Incarnation;
use slog::{Logger, info};

use crate::{
    api::{ApiContext, ApiError, ApiServer, start_server},
    clock::ProcessClock,
    metrics::TierMetrics,
    settings::{InstanceSettings, LoadedKeys, SettingsError},
    solo::{SoloControl, SoloSettings},
    target_client::HttpTargetClient,
    tier::{IndexBoard, QueryTier, TierParts},
};

/// The reason an instance could not start.
#[derive(Debug, Display, Error, From)]
pub enum RuntimeError {
    /// A setting or key file cannot be used.
    Settings(SettingsError),
    /// The HTTP interface could not start.
    Api(ApiError),
}

/// One running instance.
pub struct InstanceRuntime {
    server: ApiServer,
    /// How long the balancer may take to notice that the instance is not ready.
    drain_wait: Duration,
    log: Logger,
}

impl InstanceRuntime {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// Fails when a key file is not usable or an address cannot be bound.
    pub async fn start(settings: InstanceSettings, log: Logger) -> Result<Self, RuntimeError> {
        let keys = Arc::new(LoadedKeys::load(&settings)?);
        let clock = ProcessClock::start();
        let zone = settings.instance.availability_zone.clone();
        let source = Arc::new(SoloSettings);
        let board = Arc::new(IndexBoard::new(zone, Arc::clone(&source) as _));
        let control = Arc::new(SoloControl::new(clock, Arc::clone(&board)));
        let metrics = Arc::new(TierMetrics::default());
        let parts = TierParts {
            clock,
            instance: settings.instance.id.clone(),
            incarnation: Incarnation::new(clock.wall().as_millis()),
            board,
            client: Arc::new(HttpTargetClient::new(settings.limits.max_answer_bytes)),
            claims: Arc::clone(&control) as _,
            control: Arc::clone(&control) as _,
            metrics: Arc::clone(&metrics),
            log: log.clone(),
        };
        let tier = Arc::new(QueryTier::new(parts, source));
        let context = Arc::new(ApiContext { tier, control, keys, clock, metrics });
        let max_body = settings.limits.max_body_bytes;
        let server = start_server(settings.listen.http, max_body, context, &log)?;
        info!(log, "instance: started"; "http" => %server.local_addr());
        Ok(Self { server, drain_wait: Duration::ZERO, log })
    }

    /// Returns where the HTTP interface listens.
    pub fn http_address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Stops the instance: finishes what is in flight, then closes.
    pub async fn close(self) {
        info!(self.log, "instance: stopping");
        tokio::time::sleep(self.drain_wait).await;
        if let Err(error) = self.server.close().await {
            slog::error!(self.log, "instance: the HTTP interface did not close"; "error" => error);
        }
        info!(self.log, "instance: stopped");
    }
}
