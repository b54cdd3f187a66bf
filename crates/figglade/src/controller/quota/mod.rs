//! Bounds the requests of a customer over all instances together.
//!
//! Tokens pass from the [`QuotaGranter`] at the leader of the control group to a [`QuotaReserve`] at
//! each hub, and from there to instances as a [`QuotaToken`] for one request each.
//! All points in time come from a clock that includes the time during which the machine was
//! suspended, because tokens and authority must expire meanwhile.

mod authority;
mod granter;
mod plan;
mod reserve;
mod tally;
mod token;

pub use self::{
    authority::{AUTHORITY_LIFETIME, CONFIRM_INTERVAL, GrantAuthority},
    granter::{QuotaGranter, RefillAsk, RefillGrant},
    plan::{HubCensus, QuotaPlan, QuotaRules, QuotaTable, RETURN_LIFETIME, TOKEN_LIFETIME},
    reserve::{QuotaReserve, REFILL_TIMEOUT, RESERVE_LIFETIME, TakeOutcome},
    tally::{CustomerTally, QuotaTally},
    token::{QuotaToken, RefusalCache, TokenStamp},
};
