//! The command line of egretseam. Each subcommand is one struct in [`commands`] with a thin
//! `execute`; the functionality is in the crates.

pub mod commands;
