//! Commands of the fleet configuration.

mod apply;
mod error;
mod except;
mod file;
mod show;
mod wait;

pub use self::{
    apply::apply_file,
    error::ConfigError,
    except::{add_exception, merge_exception, still_applies},
    file::{check_file, read_draft},
    show::{show_config, show_history},
    wait::wait_config,
};
