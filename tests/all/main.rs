//! Integration tests, one module a subject.

mod catalog_model;
mod group_model;
mod store;
