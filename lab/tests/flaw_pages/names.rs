//! What a page names in code style, and which of it is not in the tree.

use super::tree::{is_module, Function, Tree};

/// Identifiers of so many words are names of tests or of other functions, never of anything else.
const WORDS_OF_A_TEST: usize = 6;

/// Endings of the files that pages name.
const ENDINGS: [&str; 6] = [".rs", ".md", ".toml", ".txt", ".yaml", ".patch"];

/// Names of the operators' pages and of their kinds of trouble: none of ours.
const NAMES_OF_THE_OPERATORS: [&str; 2] = ["PROTOCOL.md", "config_storm"];

/// Line and complaint for each name on a page that the tree doesn't have.
pub fn wrong_names(tree: &Tree, page: &str) -> Vec<(usize, String)> {
    let mut wrong = Vec::new();
    for (number, line) in page.lines().enumerate() {
        let spans =
            spans(line).filter_map(|span| Some(format!("no {} `{span}`", what_is_missing(tree, span)?)));
        let programs = test_programs(line).filter(|name| !tree.has_test_program(name));
        let programs = programs.map(|name| format!("no test program `{name}`"));
        wrong.extend(spans.chain(programs).map(|complaint| (number + 1, complaint)));
    }
    wrong
}

/// The patches that a page names, by their whole names.
pub fn named_patches(tree: &Tree, page: &str) -> Vec<String> {
    let spans = page.lines().flat_map(spans).filter_map(patch_name);
    spans.filter_map(|name| Some(tree.patch(name)?.to_owned())).collect()
}

/// What stands in code style in a line.
fn spans(line: &str) -> impl Iterator<Item = &str> {
    line.split('`').skip(1).step_by(2)
}

fn test_programs(line: &str) -> impl Iterator<Item = &str> {
    let is_name = |letter: char| letter.is_alphanumeric() || letter == '_';
    let after = line.split("--test ").skip(1);
    after.map(move |rest| rest.split(|letter| !is_name(letter)).next().unwrap_or_default())
}

/// The kind of thing that is missing; none where it exists, or the span names nothing that can be looked up.
fn what_is_missing(tree: &Tree, span: &str) -> Option<&'static str> {
    if span.contains(' ') || NAMES_OF_THE_OPERATORS.contains(&span) {
        return None;
    }
    if let Some(patch) = patch_name(span) {
        return tree.patch(patch).is_none().then_some("patch");
    }
    if let Some(variant) = span.strip_prefix("Flaw::") {
        return (!tree.has_variant_of_flaw(variant)).then_some("flaw of a test");
    }
    let (path, function) = span
        .split_once(".rs::")
        .map_or((span, None), |(path, function)| (&span[..path.len() + ".rs".len()], Some(function)));
    if is_path(path) {
        let files = tree.files_at(path);
        let has = |name: &str| tree.functions().any(|f| files.contains(&f.file.as_str()) && fits(f, name));
        return match function {
            _ if files.is_empty() => Some("file"),
            Some(name) if !has(name) => Some("function in that file"),
            _ => None,
        };
    }
    missing_identifier(tree, span)
}

/// The name of a patch: words joined by hyphens, in the folder of patches or with their ending if the page gives those.
fn patch_name(span: &str) -> Option<&str> {
    let name = span.strip_prefix("lab/flaws/").unwrap_or(span);
    let name = name.strip_suffix(".patch").unwrap_or(name);
    let is_word = |word: &str| {
        !word.is_empty() && word.chars().all(|letter| letter.is_ascii_lowercase() || letter.is_ascii_digit())
    };
    (name.contains('-') && name.split('-').all(is_word)).then_some(name)
}

fn is_path(span: &str) -> bool {
    let plain = span.chars().all(|letter| letter.is_ascii_alphanumeric() || "_-./*".contains(letter));
    // A placeholder, not a path.
    let is_form = span.contains("NAME");
    plain && !is_form && (span.contains('/') || ENDINGS.iter().any(|ending| span.ends_with(ending)))
}

fn missing_identifier(tree: &Tree, span: &str) -> Option<&'static str> {
    if let Some((of, field)) = span.split_once('.').filter(|(_, field)| !field.contains('.')) {
        return missing_identifier(tree, &format!("{of}::{field}"));
    }
    let segments: Vec<&str> = span.split("::").collect();
    let is_name = |segment: &str| {
        !segment.is_empty()
            && segment.chars().all(|letter| letter.is_ascii_alphanumeric() || "_.…*".contains(letter))
            && segment.chars().any(|letter| letter.is_ascii_alphabetic() || letter == '*')
    };
    if !segments.iter().all(|segment| is_name(segment)) || !span.contains(['_', ':']) {
        return None;
    }
    let (last, modules) = segments.split_last()?;
    // The path of a function by its type or module; a method's type is looked up as a word.
    if modules.iter().any(|module| !tree.has_word(module)) {
        return Some("module or type of");
    }
    let is_shortened = last.contains("...") || last.contains('…');
    if is_shortened || last.split('_').count() >= WORDS_OF_A_TEST {
        let module = modules.last().filter(|module| module.starts_with(|letter: char| letter.is_lowercase()));
        let mut functions =
            tree.functions().filter(|f| module.is_none_or(|module| is_module(&f.file, module)));
        return (!functions.any(|function| fits(function, last))).then_some("function");
    }
    let exists =
        last.strip_suffix('*').map_or_else(|| tree.has_word(last), |start| tree.has_word_from(start));
    (!exists).then_some("name")
}

/// Whether a function's name is the one that a page gives, perhaps with parts left out.
fn fits(function: &Function, name: &str) -> bool {
    let name = name.replace('…', "...");
    let parts: Vec<&str> = name.split("...").collect();
    let [first, middle @ .., last] = parts.as_slice() else { return function.name == name };
    let Some(rest) = function.name.strip_prefix(first) else { return false };
    let Some(mut rest) = rest.strip_suffix(last) else { return false };
    for part in middle {
        let Some(at) = rest.find(part) else { return false };
        rest = &rest[at + part.len()..];
    }
    true
}
