//! A control member: drives one [`egretseam_replica::ReplicaNode`] over TCP and disk, applies
//! committed commands to the catalog, and answers entries and operators.
//!
//! [`ControlRuntime`] owns the driver task; [`ControlHandler`] is what the peer listener calls;
//! [`OperatorHandler`] is the HTTP interface for operators, which any of our processes can serve
//! because it reaches control as a client.
//!
//! A group forms and mends itself where [`ControlOptions::formation`] is set: founders that know
//! each other beforehand begin together, everybody else asks to join, and the leader replaces
//! voters that are lost ([`RepairPolicy`]).

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
