//! Integration tests, one module a subject.

mod bad_input;
mod catalog_model;
mod group_faults;
mod group_model;
mod http_client;
mod keyed_requests;
mod processes;
mod scenarios;
mod settings;
mod store;
mod streams;
mod support;
mod weights;
