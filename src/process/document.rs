//! An operator's file as a tree that knows its lines, and a reader that collects every fault in it.
//!
//! YAML 1.2 is read by serde-saphyr, and JSON as a subset of it. The library bounds depth, nodes and what
//! aliases may repeat, and refuses doubled keys; what it finds is a fault like any other.

use serde::de::{Deserializer, MapAccess, SeqAccess, Visitor};
use serde::Deserialize;
use serde_saphyr::Spanned;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

/// One thing wrong in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The line, from 1; 0 where it concerns the whole file.
    pub line: usize,
    /// The field's path; empty where the text is no document at all.
    pub field: String,
    /// What is wrong, for a person.
    pub problem: String,
}

/// Everything wrong in a file, in the order of its lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.field.as_str() {
            "" => write!(f, "{}: {}", self.line, self.problem),
            field => write!(f, "{}: `{field}`: {}", self.line, self.problem),
        }
    }
}

impl Faults {
    /// A line for each, with the file's name in front.
    pub fn in_file<'a>(&'a self, file: &'a Path) -> impl Iterator<Item = String> + 'a {
        self.0.iter().map(move |fault| format!("{}:{fault}", file.display()))
    }
}

impl fmt::Display for Faults {
    /// In one line, as a log takes it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("; "))
    }
}

impl std::error::Error for Faults {}

/// A value and its line.
#[derive(Debug, Clone)]
pub struct Node {
    /// The line it begins on, from 1.
    pub line: usize,
    kind: Kind,
}

#[derive(Debug, Clone)]
enum Kind {
    Null,
    Flag(bool),
    Number(f64),
    Text(String),
    List(Vec<Node>),
    Map(Vec<(Spanned<String>, Node)>),
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let spanned = Spanned::<Kind>::deserialize(from)?;
        Ok(Self { line: spanned.referenced.line() as usize, kind: spanned.value })
    }
}

impl<'de> Deserialize<'de> for Kind {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Any;
        impl<'de> Visitor<'de> for Any {
            type Value = Kind;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a value")
            }

            fn visit_unit<E>(self) -> Result<Kind, E> {
                Ok(Kind::Null)
            }

            fn visit_none<E>(self) -> Result<Kind, E> {
                Ok(Kind::Null)
            }

            fn visit_some<D: Deserializer<'de>>(self, from: D) -> Result<Kind, D::Error> {
                Kind::deserialize(from)
            }

            fn visit_bool<E>(self, flag: bool) -> Result<Kind, E> {
                Ok(Kind::Flag(flag))
            }

            fn visit_i64<E>(self, number: i64) -> Result<Kind, E> {
                Ok(Kind::Number(number as f64))
            }

            fn visit_u64<E>(self, number: u64) -> Result<Kind, E> {
                Ok(Kind::Number(number as f64))
            }

            fn visit_f64<E>(self, number: f64) -> Result<Kind, E> {
                Ok(Kind::Number(number))
            }

            fn visit_str<E>(self, text: &str) -> Result<Kind, E> {
                Ok(Kind::Text(text.into()))
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Kind, A::Error> {
                let mut list = Vec::new();
                while let Some(item) = items.next_element()? {
                    list.push(item);
                }
                Ok(Kind::List(list))
            }

            fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Kind, A::Error> {
                let mut map = Vec::new();
                while let Some(entry) = entries.next_entry()? {
                    map.push(entry);
                }
                Ok(Kind::Map(map))
            }
        }
        from.deserialize_any(Any)
    }
}

impl Node {
    /// Reads a document.
    ///
    /// # Errors
    /// The first thing that makes the text no document: its line, and what the parser says.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let broken = |e: serde_saphyr::Error| {
            let line = e.location().map_or(0, |at| at.line() as usize);
            // The library's own text repeats the place and shows the source around it.
            let said = e.without_snippet().to_string();
            let problem = said.lines().next().unwrap_or("cannot be read").to_string();
            Faults(vec![Fault { line, field: String::new(), problem }])
        };
        serde_saphyr::from_str(text).map_err(broken)
    }

    /// The line of the innermost field of `path` (dots and `[n]`) that is there.
    #[must_use]
    pub fn line_of(&self, path: &str) -> usize {
        let mut node = self;
        for step in path.split(['.', '[']).map(|step| step.trim_end_matches(']')) {
            let next = match &node.kind {
                Kind::Map(map) => map.iter().find(|(key, _)| key.value == step).map(|(_, node)| node),
                Kind::List(list) => step.parse::<usize>().ok().and_then(|n| list.get(n)),
                _ => None,
            };
            let Some(next) = next else { break };
            node = next;
        }
        node.line
    }

    /// The path of the last field that begins at or above a line; empty where there is none.
    #[must_use]
    pub fn field_at(&self, line: usize) -> String {
        let mut found = (0, String::new());
        self.find_field(line, "", &mut found);
        found.1
    }

    /// Notes in `found` the line and path of the last field below this one that begins at or above a line.
    fn find_field(&self, line: usize, path: &str, found: &mut (usize, String)) {
        let mut note = |begins: usize, path: String, node: &Node| {
            if begins <= line && begins >= found.0 {
                *found = (begins, path.clone());
            }
            node.find_field(line, &path, found);
        };
        match &self.kind {
            Kind::Map(map) => {
                for (key, node) in map {
                    let dot = if path.is_empty() { "" } else { "." };
                    note(key.referenced.line() as usize, format!("{path}{dot}{}", key.value), node);
                }
            }
            Kind::List(list) => {
                for (index, node) in list.iter().enumerate() {
                    note(node.line, format!("{path}[{index}]"), node);
                }
            }
            _ => {}
        }
    }

    /// Paths (dots) of all fields that have a value. A list counts as one, whatever the number of its items.
    #[must_use]
    pub fn field_paths(&self) -> BTreeSet<String> {
        let mut paths = BTreeSet::new();
        self.collect_paths("", &mut paths);
        paths
    }

    fn collect_paths(&self, path: &str, paths: &mut BTreeSet<String>) {
        let Kind::Map(map) = &self.kind else { return };
        let dot = if path.is_empty() { "" } else { "." };
        for (key, node) in map.iter().filter(|(_, node)| !matches!(node.kind, Kind::Null)) {
            let path = format!("{path}{dot}{}", key.value);
            node.collect_paths(&path, paths);
            paths.insert(path);
        }
    }

    /// Whether a mapping has this key.
    #[must_use]
    pub fn has(&self, key: &str) -> bool {
        matches!(&self.kind, Kind::Map(map) if map.iter().any(|(k, _)| k.value == key))
    }

    /// Reads the document with `read`, which reports what is wrong to its reader.
    ///
    /// # Errors
    /// All that was reported, by line.
    pub fn read<T>(&self, read: impl FnOnce(&Reader<'_>) -> T) -> Result<T, Faults> {
        let faults = RefCell::new(Vec::new());
        let value = read(&Reader { node: Some(self), line: self.line, path: String::new(), faults: &faults });
        let mut faults = faults.into_inner();
        if faults.is_empty() {
            return Ok(value);
        }
        faults.sort_by_key(|fault: &Fault| fault.line);
        Err(Faults(faults))
    }
}

/// A place in a document that may be absent. What is wrong is collected, and a default stands in for it, so
/// that one reading finds every fault.
pub struct Reader<'a> {
    node: Option<&'a Node>,
    line: usize,
    path: String,
    faults: &'a RefCell<Vec<Fault>>,
}

impl<'a> Reader<'a> {
    /// Reports a fault here.
    pub fn fault(&self, problem: impl Into<String>) {
        let fault = Fault { line: self.line, field: self.path.clone(), problem: problem.into() };
        self.faults.borrow_mut().push(fault);
    }

    /// Whether it is there at all.
    #[must_use]
    pub fn given(&self) -> bool {
        self.node.is_some()
    }

    /// Its line.
    #[must_use]
    pub fn line(&self) -> usize {
        self.line
    }

    /// The members of a mapping, by key. Anything but a mapping is a fault.
    #[must_use]
    pub fn members(&self) -> Vec<(String, Reader<'a>)> {
        match self.node.map(|node| &node.kind) {
            None => Vec::new(),
            Some(Kind::Map(map)) => {
                map.iter().map(|entry| (entry.0.value.clone(), self.member(entry))).collect()
            }
            Some(_) => {
                self.fault("must be a mapping");
                Vec::new()
            }
        }
    }

    /// The member `key`; absent where the mapping has none.
    #[must_use]
    pub fn at(&self, key: &str) -> Reader<'a> {
        let found = match self.node.map(|node| &node.kind) {
            Some(Kind::Map(map)) => map.iter().find(|(name, _)| name.value == key),
            _ => None,
        };
        match found {
            Some(entry) => self.member(entry),
            None => Reader { node: None, line: self.line, path: self.below(key), faults: self.faults },
        }
    }

    fn member(&self, (key, node): &'a (Spanned<String>, Node)) -> Reader<'a> {
        let node = Some(node).filter(|node| !matches!(node.kind, Kind::Null));
        let line = key.referenced.line() as usize;
        Reader { node, line, path: self.below(&key.value), faults: self.faults }
    }

    fn below(&self, key: &str) -> String {
        match self.path.as_str() {
            "" => key.into(),
            path => format!("{path}.{key}"),
        }
    }

    /// Reports every member that is none of these, and a place that is no mapping.
    pub fn only(&self, keys: &[&str]) {
        for (key, member) in self.members() {
            if !keys.contains(&key.as_str()) {
                member.fault(format!("unknown field; known here: {}", keys.join(", ")));
            }
        }
    }

    /// A number in a range, or what stands for an absent one.
    #[must_use]
    pub fn number(&self, range: RangeInclusive<f64>, absent: f64) -> f64 {
        match self.node.map(|node| &node.kind) {
            None => absent,
            Some(Kind::Number(number)) if range.contains(number) => *number,
            Some(Kind::Number(number)) => {
                self.fault(format!("{number} is not from {} to {}", range.start(), range.end()));
                absent
            }
            Some(_) => {
                self.fault("is no number");
                absent
            }
        }
    }

    /// A whole number in a range, or what stands for an absent one.
    #[must_use]
    pub fn count(&self, range: RangeInclusive<u64>, absent: u64) -> u64 {
        let number = self.number(*range.start() as f64..=*range.end() as f64, absent as f64);
        if number.fract() != 0.0 {
            self.fault("is no whole number");
            return absent;
        }
        number as u64
    }

    /// True or false.
    #[must_use]
    pub fn flag(&self, absent: bool) -> bool {
        match self.node.map(|node| &node.kind) {
            None => absent,
            Some(Kind::Flag(flag)) => *flag,
            Some(_) => {
                self.fault("is neither true nor false");
                absent
            }
        }
    }

    /// A text, or what stands for an absent one.
    #[must_use]
    pub fn text(&self, absent: &str) -> String {
        match self.node.map(|node| &node.kind) {
            None => absent.into(),
            Some(Kind::Text(text)) => text.clone(),
            Some(_) => {
                self.fault("is no text");
                absent.into()
            }
        }
    }

    /// One of these words, or the first of them where absent.
    #[must_use]
    pub fn word(&self, words: &[&'static str]) -> &'static str {
        let text = self.text(words[0]);
        let found = words.iter().find(|word| **word == text);
        found.copied().unwrap_or_else(|| {
            self.fault(format!("`{text}` is none of: {}", words.join(", ")));
            words[0]
        })
    }

    /// An address and port. It must be there.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        let nothing = SocketAddr::from(([127, 0, 0, 1], 0));
        if !self.given() {
            self.fault("missing: an address and port, such as 127.0.0.1:6379");
            return nothing;
        }
        self.text("127.0.0.1:0").parse().unwrap_or_else(|_| {
            self.fault("is no address and port");
            nothing
        })
    }

    /// The elements of a list, or the place itself where it is no list.
    #[must_use]
    pub fn list_or_one(&self) -> Vec<Reader<'a>> {
        match self.node.map(|node| &node.kind) {
            Some(Kind::List(_)) => self.list(),
            node => vec![Reader {
                node: node.and(self.node),
                line: self.line,
                path: self.path.clone(),
                faults: self.faults,
            }],
        }
    }

    /// The elements of a list; none where absent.
    #[must_use]
    pub fn list(&self) -> Vec<Reader<'a>> {
        match self.node.map(|node| &node.kind) {
            None => Vec::new(),
            Some(Kind::List(list)) => {
                let place = |(n, node): (usize, &'a Node)| Reader {
                    node: Some(node),
                    line: node.line,
                    path: format!("{}[{n}]", self.path),
                    faults: self.faults,
                };
                list.iter().enumerate().map(place).collect()
            }
            Some(_) => {
                self.fault("is no list");
                Vec::new()
            }
        }
    }
}
