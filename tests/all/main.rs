//! Integration tests, one module a subject.

mod attempt_limits;
mod bad_input;
mod caller_codec;
mod catalog_model;
mod fleet;
mod fleet_settings;
mod group_faults;
mod group_model;
mod group_repair;
mod http_client;
mod incarnations;
mod keyed_requests;
mod peer_lists;
mod processes;
mod scenarios;
mod seeders;
mod serving_config;
mod serving_documents;
mod serving_tables;
mod settings;
mod store;
mod streams;
mod support;
mod versions;
mod waiting;
mod weights;
