//! The command line of egretseam. Each verb is one struct in [`commands`] whose `execute` is thin;
//! everything it does lives in the crates.

pub mod commands;
