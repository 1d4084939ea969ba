//! The files of the checkout, with the names that its Rust sources define and use.

use std::collections::{BTreeSet, HashSet};
use std::fs;
use std::path::{Path, PathBuf};

/// Folders that hold no sources, and this test's own, whose samples name what doesn't exist.
const NOT_READ: [&str; 5] = ["target", ".git", "journal", "lab-out", "lab/tests/flaw_pages"];

/// A function of a Rust source.
pub struct Function {
    pub name: String,
    pub file: String,
    is_test: bool,
}

/// The checkout, or a small one made for a test.
pub struct Tree {
    root: PathBuf,
    files: BTreeSet<String>,
    functions: Vec<Function>,
    words: HashSet<String>,
    variants_of_flaw: HashSet<String>,
}

impl Tree {
    pub fn of_checkout() -> Tree {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
        let mut tree = Tree::empty(root.clone());
        tree.add_folder(&root);
        tree
    }

    pub fn of_texts<'a>(files: impl IntoIterator<Item = (&'a str, &'a str)>) -> Tree {
        let mut tree = Tree::empty(PathBuf::new());
        for (file, text) in files {
            tree.add(file, text);
        }
        tree
    }

    fn empty(root: PathBuf) -> Tree {
        Tree {
            root,
            files: BTreeSet::new(),
            functions: Vec::new(),
            words: HashSet::new(),
            variants_of_flaw: HashSet::new(),
        }
    }

    fn add_folder(&mut self, folder: &Path) {
        let Ok(entries) = fs::read_dir(folder) else { return };
        for path in entries.filter_map(|entry| Some(entry.ok()?.path())) {
            let Ok(inside) = path.strip_prefix(&self.root) else { continue };
            let name = inside.to_string_lossy().into_owned();
            if NOT_READ.contains(&name.as_str()) {
                continue;
            }
            if path.is_dir() {
                self.add_folder(&path);
            } else {
                let text = if is_rust(&name) {
                    fs::read_to_string(&path).unwrap_or_default()
                } else {
                    String::new()
                };
                self.add(&name, &text);
            }
        }
    }

    fn add(&mut self, file: &str, text: &str) {
        self.files.insert(file.to_owned());
        if !is_rust(file) {
            return;
        }
        let words = text.split(|letter: char| !letter.is_alphanumeric() && letter != '_');
        self.words.extend(words.map(str::to_owned));
        self.functions.extend(functions(file, text));
        if let Some((_, variants)) = text.split_once("enum Flaw {") {
            let variants = variants.split('}').next().unwrap_or_default();
            let words = variants.split(|letter: char| !letter.is_alphanumeric());
            self.variants_of_flaw.extend(words.map(str::to_owned));
        }
    }

    pub fn files(&self) -> impl Iterator<Item = &str> {
        self.files.iter().map(String::as_str)
    }

    pub fn read(&self, file: &str) -> String {
        fs::read_to_string(self.root.join(file)).unwrap_or_default()
    }

    /// Names of the patches, without folder and ending.
    pub fn patches(&self) -> impl Iterator<Item = &str> {
        self.files().filter_map(|file| file.strip_prefix("lab/flaws/")?.strip_suffix(".patch"))
    }

    /// The patch of this name, whole or without its point.
    pub fn patch(&self, name: &str) -> Option<&str> {
        let without_point = |patch: &str| patch.split_once('-').is_some_and(|(_, rest)| rest == name);
        let whole = self.patches().find(|patch| *patch == name);
        whole.or_else(|| self.patches().find(|patch| without_point(patch)))
    }

    pub fn functions(&self) -> impl Iterator<Item = &Function> {
        self.functions.iter()
    }

    /// Whether the word stands in a Rust source, as the name of whatever it may be, or names a source.
    pub fn has_word(&self, word: &str) -> bool {
        self.words.contains(word) || self.files().any(|file| is_module(file, word))
    }

    /// Whether a word of the Rust sources begins so.
    pub fn has_word_from(&self, start: &str) -> bool {
        self.words.iter().any(|word| word.starts_with(start))
    }

    pub fn has_variant_of_flaw(&self, name: &str) -> bool {
        self.variants_of_flaw.contains(name)
    }

    /// The files that a path names, which may begin below the root, lead to a folder, or hold a `*`.
    pub fn files_at(&self, path: &str) -> Vec<&str> {
        let path = path.trim_end_matches('/');
        let fits = |file: &str| {
            let whole = file == path || file.ends_with(&format!("/{path}"));
            let below = file.starts_with(&format!("{path}/")) || file.contains(&format!("/{path}/"));
            let among = path.split_once('*').is_some_and(|(start, end)| {
                file.starts_with(start) && file.ends_with(end) && file.len() >= start.len() + end.len()
            });
            whole || below || among
        };
        self.files().filter(|file| fits(file)).collect()
    }

    /// Whether there is a test program of this name.
    pub fn has_test_program(&self, name: &str) -> bool {
        self.files().any(|file| is_of_test_program(file, name))
    }

    /// Whether a test command runs a test.
    pub fn has_test(&self, command: &str) -> bool {
        let words: Vec<&str> = command.split_whitespace().take_while(|word| *word != "--").collect();
        let after = |option: &str| {
            let at = words.iter().position(|word| *word == option)?;
            words.get(at + 1).copied()
        };
        let folder = match after("-p") {
            None | Some("switchhill") => String::new(),
            Some("switchhill-lab") => "lab/".to_owned(),
            Some(package) => {
                format!("crates/{}/", package.trim_start_matches("switchhill-").replace('-', "_"))
            }
        };
        let program = after("--test");
        let filter = words.last().filter(|word| **word != "--lib" && Some(**word) != program);
        let is_of_program = |file: &str| match (file.strip_prefix(folder.as_str()), program) {
            (None, _) => false,
            (Some(inside), Some(program)) => {
                inside.starts_with("tests/") && is_of_test_program(inside, program)
            }
            (Some(inside), None) => inside.starts_with("src/"),
        };
        let tests =
            self.functions.iter().filter(|function| function.is_test && is_of_program(&function.file));
        let mut names = tests.map(|function| format!("{}::{}", module_path(&function.file), function.name));
        names.any(|name| filter.is_none_or(|filter| name.contains(*filter)))
    }
}

fn is_rust(file: &str) -> bool {
    file.ends_with(".rs")
}

/// Whether a source is the module of this name or stands in its folder.
pub fn is_module(file: &str, name: &str) -> bool {
    file.trim_end_matches(".rs").split('/').any(|part| part == name)
}

fn is_of_test_program(file: &str, program: &str) -> bool {
    file.contains(&format!("tests/{program}.rs")) || file.contains(&format!("tests/{program}/"))
}

/// `data_plane::tests::every_byte` for `src/data_plane/tests/every_byte.rs`.
fn module_path(file: &str) -> String {
    let inside = file.split_once("src/").map_or(file, |(_, inside)| inside);
    inside.trim_end_matches(".rs").trim_end_matches("/mod").replace('/', "::")
}

fn functions(file: &str, text: &str) -> Vec<Function> {
    let mut found = Vec::new();
    let mut is_test = false;
    for line in text.lines().map(str::trim_start) {
        if line.starts_with("#[") && line.contains("test") {
            is_test = true;
        } else if let Some(name) = function_name(line) {
            found.push(Function { name, file: file.to_owned(), is_test });
            is_test = false;
        } else if line.is_empty() || line.starts_with('}') {
            is_test = false;
        }
    }
    found
}

fn function_name(line: &str) -> Option<String> {
    let (before, rest) = line.split_once("fn ")?;
    let only_keywords = before.split_whitespace().all(|word| {
        ["pub", "async", "const", "unsafe"].contains(&word) || word.starts_with("pub(") || word.ends_with(')')
    });
    let name: String = rest.chars().take_while(|letter| letter.is_alphanumeric() || *letter == '_').collect();
    (only_keywords && !name.is_empty()).then_some(name)
}
