//! Checks one syntax tree against the schema.

use jsonc_parser::{
    ast::{Object, ObjectProp, Value},
    common::Ranged,
};

use crate::{
    names::{Names, closest, repeated},
    problem::Problem,
    schema::{Field, Kind, Map},
    text::Text,
    value::{describe, expectation, mismatch},
};

/// A walk over the syntax tree of one file.
pub(crate) struct Walk<'a> {
    text: &'a Text,
    names: &'a mut Names,
    problems: Vec<Problem>,
}

impl<'a> Walk<'a> {
    /// Makes a walk over `text` that notes names in `names`.
    pub(crate) fn new(text: &'a Text, names: &'a mut Names) -> Self {
        Walk { text, names, problems: Vec::new() }
    }

    /// Checks the whole file and returns what is wrong with it.
    pub(crate) fn file(mut self, object: &Object<'_>, fields: &[Field]) -> Vec<Problem> {
        self.fields(object, fields, "", 0);
        self.problems
    }

    /// Checks an object with fixed fields; `offset` is where its name begins.
    fn fields(&mut self, object: &Object<'_>, fields: &[Field], path: &str, offset: usize) {
        self.repeats(object, path);
        for property in &object.properties {
            let name = property.name.as_str();
            match fields.iter().find(|field| field.name == name) {
                Some(field) => self.value(property, field.kind, &join(path, name)),
                None => self.unknown(property, fields, path),
            }
        }
        for field in fields.iter().filter(|f| f.required && object.get(f.name).is_none()) {
            let message = "required field is missing".to_owned();
            self.report(offset, &join(path, field.name), message, expectation(field.kind));
        }
    }

    fn unknown(&mut self, property: &ObjectProp<'_>, fields: &[Field], path: &str) {
        let name = property.name.as_str();
        let known: Vec<_> = fields.iter().map(|field| field.name).collect();
        let remedy = match closest(name, known.iter().copied()) {
            Some(near) => format!("write {near:?}, or remove the field"),
            None => format!("remove it; the fields here are {}", known.join(", ")),
        };
        self.report(property.range.start, &join(path, name), "unknown field".to_owned(), remedy);
    }

    /// Reports fields that stand twice in one object.
    fn repeats(&mut self, object: &Object<'_>, path: &str) {
        for property in repeated(&object.properties, |property| Some(property.name.as_str())) {
            let field = join(path, property.name.as_str());
            let remedy = "remove one of the two".to_owned();
            self.report(property.range.start, &field, "field stands twice".to_owned(), remedy);
        }
    }

    fn value(&mut self, property: &ObjectProp<'_>, kind: Kind, path: &str) {
        let value = &property.value;
        let offset = value.range().start;
        match (kind, value) {
            (Kind::Object(fields), Value::Object(object)) => {
                self.fields(object, fields, path, property.range.start);
            }
            (Kind::Map(map), Value::Object(object)) => self.map(object, map, path, offset),
            (Kind::AddressMap, Value::Object(object)) => self.addresses(object, path),
            (Kind::References(thing), Value::Array(array)) => {
                self.list(&array.elements, Kind::Reference(thing), path);
            }
            (Kind::Addresses, Value::Array(array)) => {
                self.list(&array.elements, Kind::Address, path);
            }
            _ => self.scalar(value, kind, path),
        }
    }

    fn scalar(&mut self, value: &Value<'_>, kind: Kind, path: &str) {
        let offset = value.range().start;
        if let Some(found) = mismatch(value, kind) {
            return self.report(offset, path, found, expectation(kind));
        }
        let Some(text) = value.as_string_lit().map(|literal| literal.value.as_ref()) else {
            return;
        };
        let place = self.text.place(offset);
        match kind {
            Kind::Reference(thing) => self.names.refer(thing, text, place, path),
            Kind::UniqueAddress if !text.ends_with(":0") => {
                let problem = self.names.claim(text, place, path);
                self.problems.extend(problem);
            }
            _ => {}
        }
    }

    /// Checks a list of values of one kind without repetitions.
    fn list<'e>(&mut self, elements: &'e [Value<'e>], kind: Kind, path: &str) {
        for (index, element) in elements.iter().enumerate() {
            self.scalar(element, kind, &format!("{path}[{index}]"));
        }
        let text = |element: &'e Value<'_>| match element {
            Value::StringLit(literal) => Some(literal.value.as_ref()),
            _ => None,
        };
        for element in repeated(elements, text) {
            let message = format!("{} stands twice", describe(element));
            self.report(element.range().start, path, message, "remove one".to_owned());
        }
    }

    /// Checks things by name.
    fn map(&mut self, object: &Object<'_>, map: &Map, path: &str, offset: usize) {
        if map.non_empty && object.properties.is_empty() {
            let remedy =
                format!("define at least one {}, or remove the whole", map.entry_kind.label());
            self.report(offset, path, format!("no {} is defined", map.entry_kind.label()), remedy);
        }
        for property in &object.properties {
            self.entry(property, map, path);
        }
    }

    fn entry(&mut self, property: &ObjectProp<'_>, map: &Map, path: &str) {
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
        self.fields(object, map.fields, &field, offset);
        self.alternatives(object, map, &field, offset);
    }

    /// Checks that an object has one of the fields that may stand for each other.
    fn alternatives(&mut self, object: &Object<'_>, map: &Map, path: &str, offset: usize) {
        let empty = |value: &Value<'_>| matches!(value, Value::Array(a) if a.elements.is_empty());
        let given = |name: &&str| object.get(name).is_some_and(|p| !empty(&p.value));
        if map.any_of.is_empty() || map.any_of.iter().any(given) {
            return;
        }
        let fields = map.any_of.join("` or `");
        let message = format!("no caller may use this {}", map.entry_kind.label());
        self.report(offset, path, message, format!("give `{fields}`, or remove it"));
    }

    fn addresses(&mut self, object: &Object<'_>, path: &str) {
        self.repeats(object, path);
        for property in &object.properties {
            let name = property.name.as_str();
            let field = join(path, name);
            if let Err(found) = crate::value::address(name) {
                self.report(property.range.start, &field, found, expectation(Kind::Address));
            }
            self.scalar(&property.value, Kind::Address, &field);
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
