//! What differs between two configurations.

mod fields;

use crate::difference::fields::{ConfigItem, FieldValue};
use egretseam_serving::{ConfigField, ConfigPath, RawServing};
use indexmap::IndexMap;

/// How a part of a configuration differs from another configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigChange {
    /// The other configuration does not have it.
    Added,
    /// Only the other configuration has it.
    Removed,
    /// Both have it, with different values; `None` where a value is absent.
    Changed {
        /// The value in the other configuration.
        before: Option<String>,
        /// The value in this one.
        after: Option<String>,
    },
    /// Both have it, with different values that are secret.
    SecretChanged,
}

/// A difference from another configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigDifference {
    /// Place in the configuration; in the other one if it was removed.
    pub path: ConfigPath,
    /// What differs, such as `route orders`; empty for fields of the configuration as a whole.
    pub subject: String,
    /// How it differs.
    pub change: ConfigChange,
}

/// Compares a configuration with another one, which is usually the one in force. Routes, services
/// and organisations correspond by their names, and those of equal names by their order; the order
/// of different names means nothing. Keys are never part of the result.
pub fn compare(config: &RawServing, other: &RawServing) -> Vec<ConfigDifference> {
    let (settings, other_settings) = (fields::of_config(config), fields::of_config(other));
    let mut differences = compare_fields(&settings, &other_settings);
    let lists = [ConfigField::Routes, ConfigField::Services, ConfigField::Organisations];
    for list in lists {
        let items = fields::of_list(config, list);
        let other_items = fields::of_list(other, list);
        differences.extend(compare_items(&items, &other_items));
    }
    differences
}

/// Items by their names and, among equal names, their order.
fn by_name(items: &[ConfigItem]) -> IndexMap<(&str, usize), &ConfigItem> {
    let mut counts: IndexMap<&str, usize> = IndexMap::new();
    let numbered = items.iter().map(|item| {
        let count = counts.entry(&item.subject).or_default();
        *count += 1;
        ((item.subject.as_str(), *count), item)
    });
    numbered.collect()
}

fn compare_items(items: &[ConfigItem], other_items: &[ConfigItem]) -> Vec<ConfigDifference> {
    let (items, other_items) = (by_name(items), by_name(other_items));
    let mut differences = Vec::new();
    for (name, item) in &items {
        match other_items.get(name) {
            Some(other) => differences.extend(compare_fields(item, other)),
            None => differences.push(whole(item, ConfigChange::Added)),
        }
    }
    let removed = other_items.iter().filter(|(name, _)| !items.contains_key(*name));
    differences.extend(removed.map(|(_, item)| whole(item, ConfigChange::Removed)));
    differences
}

fn whole(item: &ConfigItem, change: ConfigChange) -> ConfigDifference {
    ConfigDifference { path: item.path.clone(), subject: item.subject.clone(), change }
}

/// The fields that differ. Both items list the same fields in the same order.
fn compare_fields(item: &ConfigItem, other: &ConfigItem) -> Vec<ConfigDifference> {
    let pairs = item.fields.iter().zip(&other.fields);
    let differing = pairs.filter(|((_, value), (_, before))| value != before);
    let describe = |((path, after), (_, before)): (&(_, FieldValue), &(_, FieldValue))| {
        let change = match (before, after) {
            (FieldValue::Plain(before), FieldValue::Plain(after)) => {
                ConfigChange::Changed { before: before.clone(), after: after.clone() }
            }
            _ => ConfigChange::SecretChanged,
        };
        ConfigDifference { path: ConfigPath::clone(path), subject: item.subject.clone(), change }
    };
    differing.map(describe).collect()
}
