//! `GET /v1/addresses`: the entry addresses that a caller should use.

use crate::shared::EntryShared;
use egretseam_catalog::EntryRecord;
use egretseam_proto::{OrganisationName, ZoneName};
use serde::Serialize;

/// Maximum number of addresses in one response; a caller needs a few, not hundreds.
const MAX_ADDRESSES: usize = 6;

/// Address of one entry.
#[derive(Debug, Serialize)]
pub(crate) struct AddressItem {
    address: String,
    zone: ZoneName,
}

/// Body of the response.
#[derive(Debug, Serialize)]
pub(crate) struct AddressList {
    /// In the order in which the caller should try them.
    addresses: Vec<AddressItem>,
    /// How long the caller may cache the list.
    lifetime_seconds: u64,
}

/// Lists addresses for one caller. Entries of `zone`, or of this entry's zone if the caller names
/// none, come first; `salt` differs between callers and varies the order within these and within
/// the others, so that callers spread over the entries.
pub(crate) fn list_for(
    shared: &EntryShared,
    organisation: &OrganisationName,
    zone: Option<&str>,
    salt: u64,
) -> AddressList {
    let view = shared.view();
    let preferred_zone = zone.unwrap_or(shared.options.zone.as_str());
    // The configuration held may be outdated about this entry.
    let leaves = |entry: &EntryRecord| {
        entry.leaving || (shared.is_stopping() && entry.name == shared.options.name)
    };
    let mut entries: Vec<&EntryRecord> = view.entries.values().filter(|e| !leaves(e)).collect();
    entries.sort_by_key(|entry| {
        let rank = entry_rank(organisation.as_str(), entry.name.as_str(), salt);
        (entry.zone.as_str() != preferred_zone, rank)
    });
    let item = |entry: &&EntryRecord| AddressItem {
        address: entry.caller_address.clone(),
        zone: entry.zone.clone(),
    };
    AddressList {
        addresses: entries.iter().take(MAX_ADDRESSES).map(item).collect(),
        lifetime_seconds: shared.options.address_lifetime.as_secs(),
    }
}

fn entry_rank(organisation: &str, entry: &str, salt: u64) -> u64 {
    const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
    let bytes = organisation.bytes().chain(entry.bytes());
    let hash = bytes.fold(salt ^ 0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    hash ^ hash >> 29
}
