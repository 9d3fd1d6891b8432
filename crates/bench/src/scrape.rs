//! Reads metrics of daemons as an operator's monitoring would.

use egretseam_http::{ClientOptions, http_client};
use std::collections::BTreeMap;

/// Sums of every metric over some daemons, labels left out.
#[derive(Clone, Debug, Default)]
pub(crate) struct MetricSums(BTreeMap<String, f64>);

impl MetricSums {
    /// Reads the metrics at these operators' addresses.
    ///
    /// # Errors
    /// Fails if a daemon does not answer.
    pub(crate) fn read(addresses: &[String]) -> anyhow::Result<Self> {
        let addresses = addresses.to_vec();
        actix_rt::System::new().block_on(async move {
            let client = http_client(ClientOptions::default());
            let mut sums = Self::default();
            for address in addresses {
                let call = client.get(format!("http://{address}/metrics")).send().await;
                let mut answer = call.map_err(|error| anyhow::anyhow!("{address}: {error}"))?;
                let body = answer.body().limit(4 * 1024 * 1024).await?;
                sums.add(&String::from_utf8_lossy(&body));
            }
            Ok(sums)
        })
    }

    fn add(&mut self, text: &str) {
        for line in text.lines().filter(|line| !line.starts_with('#')) {
            let Some((name, value)) = line.rsplit_once(' ') else { continue };
            let bare = name.split('{').next().unwrap_or(name);
            let Ok(value) = value.parse::<f64>() else { continue };
            *self.0.entry(bare.to_owned()).or_default() += value;
            if bare != name {
                *self.0.entry(name.to_owned()).or_default() += value;
            }
        }
    }

    /// Values above zero of a metric's only label.
    pub(crate) fn by_label(&self, name: &str) -> BTreeMap<String, f64> {
        let head = format!("{name}{{");
        let labelled = self.0.iter().filter(|(key, value)| key.starts_with(&head) && **value > 0.0);
        let label = |key: &str| key.split('"').nth(1).unwrap_or_default().to_owned();
        labelled.map(|(key, value)| (label(key), *value)).collect()
    }

    /// The sum of one metric.
    pub(crate) fn get(&self, name: &str) -> f64 {
        self.0.get(name).copied().unwrap_or(0.0)
    }
}
