//! Differences between two configurations, for operators.

use std::fmt;

use chicoryhollow_core::id::Name;
use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;

use crate::{configuration::Configuration, schema::EntryKind};

/// How an entry changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// Only the newer configuration contains it.
    Added,
    /// Only the older configuration contains it.
    Removed,
    /// Both configurations contain it, with different values.
    Changed,
}

/// One entry that differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EntryChange {
    /// Section of the files, such as `accounts`.
    pub section: &'static str,
    /// Name of the entry.
    pub name: String,
    /// How it changed.
    pub change: Change,
    /// Fields of a changed entry, each as `FIELD: OLD -> NEW`.
    pub fields: Vec<String>,
}

impl fmt::Display for EntryChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.change {
            Change::Added => '+',
            Change::Removed => '-',
            Change::Changed => '~',
        };
        write!(f, "{sign} {}.{}", self.section, self.name)?;
        self.fields.iter().try_for_each(|field| write!(f, "\n    {field}"))
    }
}

/// All entries that differ between two configurations.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Difference(Vec<EntryChange>);

impl Difference {
    /// Compares two configurations.
    pub fn new(old: &Configuration, new: &Configuration) -> Self {
        let mut difference = Difference::default();
        difference.compare_section(EntryKind::DataCentre, &old.data_centres, &new.data_centres);
        difference.compare_section(EntryKind::Group, &old.groups, &new.groups);
        difference.compare_section(EntryKind::Account, &old.accounts, &new.accounts);
        difference.compare_section(EntryKind::Key, &old.keys, &new.keys);
        difference.compare_section(EntryKind::Route, &old.routes, &new.routes);
        difference
    }

    /// Returns whether the two configurations are equal.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the entries that differ.
    pub fn iter(&self) -> impl Iterator<Item = &EntryChange> {
        self.0.iter()
    }

    fn compare_section<K, V: PartialEq + Serialize>(
        &mut self,
        kind: EntryKind,
        old: &IndexMap<Name<K>, V>,
        new: &IndexMap<Name<K>, V>,
    ) {
        let section = kind.section();
        let entry = |name: &Name<K>, change, fields| {
            let name = name.to_string();
            EntryChange { section, name, change, fields }
        };
        for (name, before) in old {
            match new.get(name) {
                None => self.0.push(entry(name, Change::Removed, Vec::new())),
                Some(after) if after != before => {
                    self.0.push(entry(name, Change::Changed, changed_fields(before, after)));
                }
                Some(_) => {}
            }
        }
        let added = new.keys().filter(|name| !old.contains_key(*name));
        self.0.extend(added.map(|name| entry(name, Change::Added, Vec::new())));
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return f.write_str("no difference");
        }
        for (index, entry) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{entry}")?;
        }
        Ok(())
    }
}

/// Returns the fields in which two values differ, each as `FIELD: OLD -> NEW`.
fn changed_fields(before: &impl Serialize, after: &impl Serialize) -> Vec<String> {
    let value = |entry: Result<Value, _>| entry.expect("an entry is always JSON");
    let mut fields = Vec::new();
    let before = value(serde_json::to_value(before));
    let after = value(serde_json::to_value(after));
    collect_changes(&mut fields, "", Some(&before), Some(&after));
    fields
}

fn collect_changes(
    fields: &mut Vec<String>,
    path: &str,
    before: Option<&Value>,
    after: Option<&Value>,
) {
    if before == after {
        return;
    }
    if let (Some(Value::Object(old)), Some(Value::Object(new))) = (before, after) {
        let added = new.keys().filter(|key| !old.contains_key(*key));
        for key in old.keys().chain(added) {
            let inner = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
            collect_changes(fields, &inner, old.get(key), new.get(key));
        }
        return;
    }
    // Guessed keys can be tried against a verifier, so it is not shown in terminals
    // and logs.
    let show = |value: Option<&Value>| match value {
        None => "none".to_owned(),
        Some(_) if path == "verifier" => "...".to_owned(),
        Some(value) => value.to_string(),
    };
    fields.push(format!("{path}: {} -> {}", show(before), show(after)));
}
