//! Token budgets that bound hedges and retries by a share of first attempts.
