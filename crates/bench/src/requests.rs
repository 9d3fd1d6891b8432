//! placeholder
use clap::Args;
/// p
#[derive(Args, Debug)]
pub(crate) struct RequestsCommand;
impl RequestsCommand {
    pub(crate) fn execute(self) -> anyhow::Result<()> {
        Ok(())
    }
}
