//! The result of a check, as it is printed.

use egretseam_config_check::{ConfigChange, ConfigDifference, Finding, Severity};
use egretseam_serving::FieldNames;
use serde::Serialize;
use std::fmt::{self, Display};

/// The result of a check. Serialized, it is the document that `--json` prints; displayed, it has one
/// line for each finding and difference.
#[derive(Debug, Serialize)]
pub(super) struct CheckReport {
    /// Path of the checked file.
    pub(super) file: String,
    /// Number of errors.
    pub(super) errors: usize,
    /// Number of warnings.
    warnings: usize,
    findings: Vec<ReportedFinding>,
    /// Absent if there was nothing to compare with.
    #[serde(skip_serializing_if = "Option::is_none")]
    differences: Option<Vec<ReportedDifference>>,
}

#[derive(Debug, Serialize)]
struct ReportedFinding {
    /// `error` or `warning`.
    severity: &'static str,
    /// Place in the file; empty for the file as a whole.
    path: String,
    message: String,
}

#[derive(Debug, Serialize)]
struct ReportedDifference {
    /// `added`, `removed` or `changed`.
    change: &'static str,
    /// Place in the file, or in the other file if it was removed.
    path: String,
    /// Kind and name of the item; empty for fields of the configuration as a whole.
    subject: String,
    /// Values of a changed field; `null` if absent or secret.
    before: Option<String>,
    after: Option<String>,
    /// Whether the values are secret.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    secret: bool,
}

impl CheckReport {
    /// The result for a file that cannot be parsed.
    pub(super) fn unparsable(file: String, message: String) -> Self {
        let severity = Severity::Error.as_str();
        let findings = vec![ReportedFinding { severity, path: String::new(), message }];
        Self { file, errors: 1, warnings: 0, findings, differences: None }
    }

    /// The result for a configuration, with paths in the words of its format.
    pub(super) fn new(
        file: String,
        findings: &[Finding],
        differences: Option<&[ConfigDifference]>,
        names: &dyn FieldNames,
    ) -> Self {
        let is_error = |finding: &&Finding| finding.severity() == Severity::Error;
        let errors = findings.iter().filter(is_error).count();
        Self {
            file,
            errors,
            warnings: findings.len() - errors,
            findings: findings.iter().map(|item| ReportedFinding::new(item, names)).collect(),
            differences: differences
                .map(|all| all.iter().map(|item| ReportedDifference::new(item, names)).collect()),
        }
    }
}

impl ReportedFinding {
    fn new(finding: &Finding, names: &dyn FieldNames) -> Self {
        let path = finding.path.display(names).to_string();
        Self { severity: finding.severity().as_str(), path, message: finding.cause.to_string() }
    }
}

impl ReportedDifference {
    fn new(difference: &ConfigDifference, names: &dyn FieldNames) -> Self {
        let (change, before, after) = match difference.change.clone() {
            ConfigChange::Added => ("added", None, None),
            ConfigChange::Removed => ("removed", None, None),
            ConfigChange::Changed { before, after } => ("changed", before, after),
            ConfigChange::SecretChanged => ("changed", None, None),
        };
        let path = difference.path.display(names).to_string();
        let subject = difference.subject.clone();
        let secret = difference.change == ConfigChange::SecretChanged;
        Self { change, path, subject, before, after, secret }
    }
}

impl Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(f, "{}", one_line(&finding.to_string()))?;
        }
        for difference in self.differences.iter().flatten() {
            writeln!(f, "{}", one_line(&difference.to_string()))?;
        }
        Ok(())
    }
}

impl Display for ReportedFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { severity, path, message } = self;
        match path.as_str() {
            "" => write!(f, "{severity}: {message}"),
            _ => write!(f, "{severity} {path}: {message}"),
        }
    }
}

impl Display for ReportedDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { change, path, subject, before, after, secret } = self;
        write!(f, "{change} {path}")?;
        if !subject.is_empty() {
            write!(f, ": {subject}")?;
        }
        if *change != "changed" {
            return Ok(());
        }
        if *secret {
            return write!(f, ": the values differ");
        }
        let shown = |value: &Option<String>| value.clone().unwrap_or_else(|| "absent".to_owned());
        write!(f, ": {} -> {}", shown(before), shown(after))
    }
}

/// Escapes control characters, so that a name with a line break or a terminal sequence in it cannot
/// forge a line.
fn one_line(text: &str) -> String {
    let escape = |c: char| if c.is_control() { c.escape_default().to_string() } else { c.into() };
    text.chars().map(escape).collect()
}
