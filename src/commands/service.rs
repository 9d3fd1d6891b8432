//! `egretseam service`: binds services to profiles.

use super::{
    OperatorArgs,
    output::{print_json, print_table},
    profile::print_revision,
};
use clap::{Args, Subcommand};
use egretseam_catalog::ConfigEdit;
use egretseam_operator::OperatorClient;
use egretseam_proto::{ProfileName, Revision, ServiceName};

/// Bind, unbind or list services.
#[derive(Args, Debug)]
pub(super) struct ServiceCommand {
    #[command(flatten)]
    operator: OperatorArgs,
    #[command(subcommand)]
    verb: ServiceVerb,
}

#[derive(Debug, Subcommand)]
enum ServiceVerb {
    /// Bind a service to a profile.
    Bind {
        /// Service.
        name: ServiceName,
        /// Profile.
        profile: ProfileName,
        /// Revision that the change is based on; the current one by default.
        #[arg(long)]
        base: Option<u64>,
    },
    /// Remove a service.
    Unbind {
        /// Service.
        name: ServiceName,
    },
    /// List services.
    List,
}

impl ServiceCommand {
    pub(super) fn execute(self) -> anyhow::Result<()> {
        let Self { operator, verb } = self;
        let json = operator.json;
        operator.run(async move |client| match verb {
            ServiceVerb::Bind { name, profile, base } => {
                let base = base_revision(&client, &name, base).await?;
                let edit = ConfigEdit::BindService { name, profile };
                print_revision(client.edit(base, edit).await?, json)
            }
            ServiceVerb::Unbind { name } => {
                let base = base_revision(&client, &name, None).await?;
                print_revision(client.edit(base, ConfigEdit::UnbindService { name }).await?, json)
            }
            ServiceVerb::List => list(&client, json).await,
        })
    }
}

async fn base_revision(
    client: &OperatorClient,
    name: &ServiceName,
    given: Option<u64>,
) -> anyhow::Result<Revision> {
    if let Some(base) = given {
        return Ok(Revision(base));
    }
    let view = client.config().await?;
    Ok(view.services.get(name).map_or(Revision(0), |binding| binding.revision))
}

async fn list(client: &OperatorClient, json: bool) -> anyhow::Result<()> {
    let view = client.config().await?;
    if json {
        return print_json(&view.services);
    }
    let rows: Vec<_> = view
        .services
        .iter()
        .map(|(name, b)| [name.to_string(), b.profile.to_string(), b.revision.to_string()])
        .collect();
    print_table(["SERVICE", "PROFILE", "REVISION"], &rows);
    Ok(())
}
