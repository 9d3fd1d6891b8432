//! `egretseam organisation`: the organisations that may send requests, their keys and shares.

use super::{
    OperatorArgs,
    output::{print_json, print_table},
    profile::print_revision,
};
use anyhow::Context;
use clap::{Args, Subcommand};
use egretseam_catalog::{ConfigEdit, OrganisationSpec};
use egretseam_operator::OperatorClient;
use egretseam_proto::{ChunkDigest, OrganisationName, Revision};
use std::path::PathBuf;

/// Set, remove or list organisations.
#[derive(Args, Debug)]
pub(super) struct OrganisationCommand {
    #[command(flatten)]
    operator: OperatorArgs,
    #[command(subcommand)]
    verb: OrganisationVerb,
}

#[derive(Debug, Subcommand)]
enum OrganisationVerb {
    /// Set an organisation. Only the digests of its keys are sent and stored.
    Set {
        /// Name of the organisation.
        name: OrganisationName,
        /// File with one API key per line.
        #[arg(long)]
        keys_file: PathBuf,
        /// Weight of its share relative to other organisations.
        #[arg(long, default_value_t = 1)]
        weight: u32,
    },
    /// Remove an organisation.
    Remove {
        /// Name of the organisation.
        name: OrganisationName,
    },
    /// List organisations.
    List,
}

impl OrganisationCommand {
    pub(super) fn execute(self) -> anyhow::Result<()> {
        let Self { operator, verb } = self;
        let json = operator.json;
        operator.run(async move |client| match verb {
            OrganisationVerb::Set { name, keys_file, weight } => {
                let shown = keys_file.display().to_string();
                let text =
                    std::fs::read_to_string(keys_file).with_context(|| format!("read {shown}"))?;
                let keys = text.lines().map(str::trim).filter(|line| !line.is_empty());
                let key_digests = keys.map(|key| ChunkDigest::of(key.as_bytes())).collect();
                let spec = OrganisationSpec { weight, key_digests };
                let base = current_revision(&client, &name).await?;
                print_revision(
                    client.edit(base, ConfigEdit::SetOrganisation { name, spec }).await?,
                    json,
                )
            }
            OrganisationVerb::Remove { name } => {
                let base = current_revision(&client, &name).await?;
                print_revision(
                    client.edit(base, ConfigEdit::RemoveOrganisation { name }).await?,
                    json,
                )
            }
            OrganisationVerb::List => list(&client, json).await,
        })
    }
}

async fn current_revision(
    client: &OperatorClient,
    name: &OrganisationName,
) -> anyhow::Result<Revision> {
    let view = client.config().await?;
    Ok(view.organisations.get(name).map_or(Revision(0), |record| record.revision))
}

async fn list(client: &OperatorClient, json: bool) -> anyhow::Result<()> {
    let view = client.config().await?;
    if json {
        return print_json(&view.organisations);
    }
    let rows: Vec<_> = view
        .organisations
        .iter()
        .map(|(name, record)| {
            let keys = record.spec.key_digests.len().to_string();
            [name.to_string(), record.spec.weight.to_string(), keys, record.revision.to_string()]
        })
        .collect();
    print_table(["ORGANISATION", "WEIGHT", "KEYS", "REVISION"], &rows);
    Ok(())
}
