//! A control member: connects one [`egretseam_replica::ReplicaNode`] to TCP and disk, applies
//! committed commands to the catalog, and answers entries and operators.
//!
//! [`ControlRuntime`] owns the driver task. [`ControlHandler`] implements the RPC service of the
//! peer listener. [`OperatorHandler`] is the HTTP interface for operators; every process of the
//! system can serve it, because it reaches the control members as a client.
//!
//! Where [`ControlOptions::formation`] is set, a group forms and repairs itself without an
//! operator: founders, which know each other's addresses, bootstrap the group together, other
//! members request to join, and the leader replaces lost voters ([`RepairPolicy`]).

mod clock;
mod driver;
mod group_tasks;
mod handler;
mod operator;
mod outbox;
mod repair;
mod runtime;
mod watchers;

pub use crate::{
    handler::ControlHandler,
    operator::{OperatorHandler, ReadinessSource, TargetsSource},
    repair::{RepairPlanner, RepairPolicy},
    runtime::{ControlOptions, ControlRuntime, GroupFormation, StartError},
};
