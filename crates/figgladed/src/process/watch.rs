//! Watches for signals and changed settings.

use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::{Interval, interval},
};

use super::settings::{ProcessSettings, SettingsReader};

/// The time between two reads of the settings, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Waits for the request to stop and applies changed settings until then.
pub(super) struct ProcessWatch {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    polls: Interval,
    settings: ProcessSettings,
    log: Logger,
}

impl ProcessWatch {
    pub(super) fn start(settings: ProcessSettings, log: Logger) -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
            polls: interval(SETTINGS_POLL_INTERVAL),
            settings,
            log,
        })
    }

    /// Waits for the request to stop; passes changed settings to `apply`.
    pub(super) async fn wait_for_stop(
        &mut self,
        reader: &dyn SettingsReader,
        apply: impl Fn(&ProcessSettings),
    ) {
        loop {
            let is_requested = tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => true,
                _ = self.polls.tick() => false,
            };
            match reader.read_settings() {
                Ok(settings) if settings != self.settings => {
                    info!(self.log, "process: the settings changed";
                        "seeds" => format!("{:?}", settings.seeds));
                    apply(&settings);
                    self.settings = settings;
                }
                Ok(_) if is_requested => info!(self.log, "process: the settings are unchanged"),
                Ok(_) => {}
                Err(error) => warn!(self.log, "process: cannot use the changed settings";
                    "reason" => %error),
            }
        }
    }
}
