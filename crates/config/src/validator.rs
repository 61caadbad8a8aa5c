//! Checks the syntax tree of one file against the schema.
//!
//! The check does not stop at the first problem, so that an operator sees all of
//! them at once. References to names are only recorded here, as other files may
//! define the names.

use jsonc_parser::{
    ast::{Object, ObjectProp, Value},
    common::Ranged,
};

use crate::{
    names::{Names, closest, duplicates},
    problem::Problem,
    schema::{Field, Kind, Map},
    text::Text,
    value::{describe, expectation, mismatch},
};

/// Checks the syntax tree of one file and collects its problems.
pub(crate) struct Validator<'a> {
    text: &'a Text,
    names: &'a mut Names,
    problems: Vec<Problem>,
}

impl<'a> Validator<'a> {
    /// Creates a validator of `text` that records names in `names`.
    pub(crate) fn new(text: &'a Text, names: &'a mut Names) -> Self {
        Validator { text, names, problems: Vec::new() }
    }

    /// Checks the whole file and returns its problems.
    pub(crate) fn validate(mut self, object: &Object<'_>, fields: &[Field]) -> Vec<Problem> {
        self.check_fields(object, fields, "", 0);
        self.problems
    }

    /// Checks an object with fixed fields.
    ///
    /// Missing fields are reported at `offset`, where the name of the object begins.
    fn check_fields(&mut self, object: &Object<'_>, fields: &[Field], path: &str, offset: usize) {
        self.report_duplicates(object, path);
        for property in &object.properties {
            let name = property.name.as_str();
            match fields.iter().find(|field| field.name == name) {
                Some(field) => self.check_value(property, field.kind, &join(path, name)),
                None => self.report_unknown(property, fields, path),
            }
        }
        for field in fields.iter().filter(|f| f.required && object.get(f.name).is_none()) {
            let message = "required field is missing".to_owned();
            self.report(offset, &join(path, field.name), message, expectation(field.kind));
        }
    }

    fn report_unknown(&mut self, property: &ObjectProp<'_>, fields: &[Field], path: &str) {
        let name = property.name.as_str();
        let known: Vec<_> = fields.iter().map(|field| field.name).collect();
        let remedy = match closest(name, known.iter().copied()) {
            Some(suggestion) => format!("write {suggestion:?}, or remove the field"),
            None => format!("remove it; the fields here are {}", known.join(", ")),
        };
        self.report(property.range.start, &join(path, name), "unknown field".to_owned(), remedy);
    }

    /// Reports duplicate fields of one object.
    fn report_duplicates(&mut self, object: &Object<'_>, path: &str) {
        for property in duplicates(&object.properties, |property| Some(property.name.as_str())) {
            let field = join(path, property.name.as_str());
            let remedy = "remove one of the two".to_owned();
            self.report(property.range.start, &field, "duplicate field".to_owned(), remedy);
        }
    }

    fn check_value(&mut self, property: &ObjectProp<'_>, kind: Kind, path: &str) {
        let value = &property.value;
        let offset = value.range().start;
        match (kind, value) {
            (Kind::Object(fields), Value::Object(object)) => {
                self.check_fields(object, fields, path, property.range.start);
            }
            (Kind::Map(map), Value::Object(object)) => self.check_map(object, map, path, offset),
            (Kind::AddressMap, Value::Object(object)) => self.check_addresses(object, path),
            (Kind::References(entry_kind), Value::Array(array)) => {
                self.check_list(&array.elements, Kind::Reference(entry_kind), path);
            }
            (Kind::Addresses, Value::Array(array)) => {
                self.check_list(&array.elements, Kind::Address, path);
            }
            _ => self.check_scalar(value, kind, path),
        }
    }

    fn check_scalar(&mut self, value: &Value<'_>, kind: Kind, path: &str) {
        let offset = value.range().start;
        if let Some(found) = mismatch(value, kind) {
            return self.report(offset, path, found, expectation(kind));
        }
        let Some(text) = value.as_string_lit().map(|literal| literal.value.as_ref()) else {
            return;
        };
        let place = self.text.place(offset);
        match kind {
            Kind::Reference(entry_kind) => self.names.add_reference(entry_kind, text, place, path),
            Kind::UniqueAddress if !text.ends_with(":0") => {
                let problem = self.names.define_address(text, place, path);
                self.problems.extend(problem);
            }
            _ => {}
        }
    }

    /// Checks a list of values of one kind, which may not contain a value twice.
    fn check_list<'e>(&mut self, elements: &'e [Value<'e>], kind: Kind, path: &str) {
        for (index, element) in elements.iter().enumerate() {
            self.check_scalar(element, kind, &format!("{path}[{index}]"));
        }
        let text = |element: &'e Value<'_>| match element {
            Value::StringLit(literal) => Some(literal.value.as_ref()),
            _ => None,
        };
        for element in duplicates(elements, text) {
            let message = format!("{} is listed twice", describe(element));
            self.report(element.range().start, path, message, "remove one".to_owned());
        }
    }

    /// Checks a section, which contains entries by name.
    fn check_map(&mut self, object: &Object<'_>, map: &Map, path: &str, offset: usize) {
        if map.non_empty && object.properties.is_empty() {
            let remedy =
                format!("define at least one {}, or remove the section", map.entry_kind.label());
            self.report(offset, path, format!("no {} is defined", map.entry_kind.label()), remedy);
        }
        for property in &object.properties {
            self.check_entry(property, map, path);
        }
    }

    fn check_entry(&mut self, property: &ObjectProp<'_>, map: &Map, path: &str) {
        let name = property.name.as_str();
        let field = join(path, name);
        let offset = property.range.start;
        if let Err(error) = chicoryhollow_core::GroupId::new(name) {
            let remedy = "rename it".to_owned();
            self.report(offset, &field, error.to_string(), remedy);
        }
        let place = self.text.place(offset);
        let problem = self.names.define(map.entry_kind, name, place, &field);
        self.problems.extend(problem);
        let Value::Object(object) = &property.value else {
            let message = format!("expected an object, found {}", describe(&property.value));
            let remedy = format!("write the fields of the {} in braces", map.entry_kind.label());
            return self.report(property.value.range().start, &field, message, remedy);
        };
        self.check_fields(object, map.fields, &field, offset);
        self.check_alternatives(object, map, &field, offset);
    }

    /// Checks that an object has at least one of the fields in `map.any_of`; an empty
    /// list counts as absent.
    fn check_alternatives(&mut self, object: &Object<'_>, map: &Map, path: &str, offset: usize) {
        let empty = |value: &Value<'_>| matches!(value, Value::Array(a) if a.elements.is_empty());
        let given = |name: &&str| object.get(name).is_some_and(|p| !empty(&p.value));
        if map.any_of.is_empty() || map.any_of.iter().any(given) {
            return;
        }
        let fields = map.any_of.join("` or `");
        let message = format!("no caller may use this {}", map.entry_kind.label());
        self.report(offset, path, message, format!("give `{fields}`, or remove it"));
    }

    fn check_addresses(&mut self, object: &Object<'_>, path: &str) {
        self.report_duplicates(object, path);
        for property in &object.properties {
            let name = property.name.as_str();
            let field = join(path, name);
            if let Err(found) = crate::value::parse_address(name) {
                self.report(property.range.start, &field, found, expectation(Kind::Address));
            }
            self.check_scalar(&property.value, Kind::Address, &field);
        }
    }

    fn report(&mut self, offset: usize, field: &str, message: String, remedy: String) {
        let place = self.text.place(offset);
        self.problems.push(Problem { place, field: field.to_owned(), message, remedy });
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}
