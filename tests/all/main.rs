//! Integration tests, one module a subject.

mod catalog_model;
mod group_faults;
mod group_model;
mod scenarios;
mod store;
