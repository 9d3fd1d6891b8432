//! Parses a JSON object field by field and collects every error.

use egretseam_proto::{GroupName, InstanceName, RegionName, ServiceName, ZoneName};
use serde_json::{Map, Value};
use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
};
use thiserror::Error;

/// An invalid, missing or unknown field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// JSON path of the field, such as `$.entry.lease_millis`.
    pub path: String,
    /// What is wrong with it.
    pub message: String,
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Why settings are invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct SettingsError {
    /// All errors; at least one.
    pub field_errors: Vec<FieldError>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.field_errors.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// A type that a setting can have.
pub(crate) trait SettingValue: Sized {
    /// Parses the value; an error says what was expected.
    fn parse(value: &Value) -> Result<Self, String>;
}

impl SettingValue for String {
    fn parse(value: &Value) -> Result<Self, String> {
        value.as_str().map(str::to_owned).ok_or_else(|| "expected text".to_owned())
    }
}

impl SettingValue for u64 {
    fn parse(value: &Value) -> Result<Self, String> {
        value.as_u64().ok_or_else(|| "expected a whole number of 0 or more".to_owned())
    }
}

impl SettingValue for f64 {
    fn parse(value: &Value) -> Result<Self, String> {
        value.as_f64().ok_or_else(|| "expected a number".to_owned())
    }
}

impl SettingValue for bool {
    fn parse(value: &Value) -> Result<Self, String> {
        value.as_bool().ok_or_else(|| "expected true or false".to_owned())
    }
}

impl SettingValue for IpAddr {
    fn parse(value: &Value) -> Result<Self, String> {
        let text = String::parse(value)?;
        text.parse().map_err(|_| format!("{text:?} is not an IP number"))
    }
}

impl SettingValue for SocketAddr {
    fn parse(value: &Value) -> Result<Self, String> {
        let text = AddressText::parse(value)?.0;
        text.parse().map_err(|_| format!("{text:?} is not an address"))
    }
}

impl SettingValue for PathBuf {
    fn parse(value: &Value) -> Result<Self, String> {
        let text = String::parse(value)?;
        if text.is_empty() { Err("expected a path".to_owned()) } else { Ok(text.into()) }
    }
}

macro_rules! name_value {
    ($($name:ty),*) => {$(
        impl SettingValue for $name {
            fn parse(value: &Value) -> Result<Self, String> {
                Self::try_from(String::parse(value)?).map_err(|error| error.to_string())
            }
        }
    )*};
}

name_value!(InstanceName, ZoneName, RegionName, GroupName, ServiceName);

/// A valid IP address and port, as they were written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AddressText(pub(crate) String);

impl SettingValue for AddressText {
    fn parse(value: &Value) -> Result<Self, String> {
        let text = String::parse(value)?;
        let parsed: Result<std::net::SocketAddr, _> = text.parse();
        match parsed {
            Ok(_) => Ok(Self(text)),
            Err(_) => Err(format!("{text:?} is not an IP number and port, like 10.0.0.1:7101")),
        }
    }
}

/// A list of at least one address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AddressList(pub(crate) Vec<String>);

impl SettingValue for AddressList {
    fn parse(value: &Value) -> Result<Self, String> {
        let items = value.as_array().ok_or_else(|| "expected a list of addresses".to_owned())?;
        if items.is_empty() {
            return Err("expected at least one address".to_owned());
        }
        let read = |item| AddressText::parse(item).map(|address| address.0);
        Ok(Self(items.iter().map(read).collect::<Result<_, _>>()?))
    }
}

/// Takes the fields out of a JSON object and parses them.
pub(crate) struct SectionReader<'a> {
    path: String,
    fields: Map<String, Value>,
    field_errors: &'a mut Vec<FieldError>,
}

impl<'a> SectionReader<'a> {
    /// A reader of `value`; `None`, with an error recorded, if it is not an object.
    pub(crate) fn new(
        path: &str,
        value: &Value,
        field_errors: &'a mut Vec<FieldError>,
    ) -> Option<Self> {
        match value.as_object() {
            Some(fields) => {
                Some(Self { path: path.to_owned(), fields: fields.clone(), field_errors })
            }
            None => {
                let message = "expected an object".to_owned();
                field_errors.push(FieldError { path: path.to_owned(), message });
                None
            }
        }
    }

    /// Parses a field that must be present.
    pub(crate) fn required<T: SettingValue>(&mut self, name: &str) -> Option<T> {
        if !self.fields.contains_key(name) {
            self.add_error(name, "is missing".to_owned());
            return None;
        }
        self.optional(name)
    }

    /// Parses a field that may be absent.
    pub(crate) fn optional<T: SettingValue>(&mut self, name: &str) -> Option<T> {
        let value = self.fields.remove(name)?;
        match T::parse(&value) {
            Ok(value) => Some(value),
            Err(message) => {
                self.add_error(name, message);
                None
            }
        }
    }

    /// Parses a number from `low` to `high`; `default` if it is absent or invalid.
    pub(crate) fn number(&mut self, name: &str, default: u64, low: u64, high: u64) -> u64 {
        let Some(value) = self.optional::<u64>(name) else { return default };
        if !(low..=high).contains(&value) {
            self.add_error(name, format!("{value} is not between {low} and {high}"));
            return default;
        }
        value
    }

    /// Parses a string that must be one of `choices`.
    pub(crate) fn choice(&mut self, name: &str, choices: &[&'static str]) -> Option<&'static str> {
        let text: String = self.optional(name)?;
        let found = choices.iter().copied().find(|choice| *choice == text);
        if found.is_none() {
            self.add_error(name, format!("{text:?} is not one of {}", choices.join(", ")));
        }
        found
    }

    /// Parses a nested object, all of whose fields `read` must take.
    pub(crate) fn section<T>(
        &mut self,
        name: &str,
        read: impl FnOnce(&mut SectionReader<'_>) -> Option<T>,
    ) -> Option<T> {
        let value = self.fields.remove(name)?;
        let path = format!("{}.{name}", self.path);
        let mut section = SectionReader::new(&path, &value, self.field_errors)?;
        let result = read(&mut section);
        section.finish();
        result
    }

    /// Whether the field is present and not parsed yet, valid or not.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.fields.contains_key(name)
    }

    /// Records an error in the field `name`.
    pub(crate) fn add_error(&mut self, name: &str, message: String) {
        let path = format!("{}.{name}", self.path);
        self.field_errors.push(FieldError { path, message });
    }

    /// Records an error for every field that was not parsed.
    pub(crate) fn finish(self) {
        for name in self.fields.keys() {
            let path = format!("{}.{name}", self.path);
            let message = "is not a known field".to_owned();
            self.field_errors.push(FieldError { path, message });
        }
    }
}
