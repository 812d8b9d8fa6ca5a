//! Every package, file and code item that docs/ARCHITECTURE.md names must exist.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

/// Prefixes of code spans that are not names in the code: keys of the key-value store, paths and
/// statuses of the protocol, settings.
const PREFIXES_OF_OTHER_NAMES: &[&str] = &[
    "L/", "j/", "f/", "p/", "w/", "h/", "n/", "v/", "GET ", "POST ", "PUT ", "--", "http",
];

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the code spans of a Markdown page, without fenced blocks.
fn code_spans(page: &str) -> Vec<String> {
    let mut spans = Vec::new();
    let mut in_fence = false;
    for line in page.lines() {
        if line.trim_start().starts_with("```") {
            in_fence = !in_fence;
            continue;
        }
        if in_fence {
            continue;
        }
        let inside = line.split('`').skip(1).step_by(2);
        spans.extend(inside.map(str::to_owned));
    }
    spans
}

fn rust_files(directory: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            rust_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

/// Returns the sources of each package, by the name of its directory.
fn sources_by_package() -> BTreeMap<String, String> {
    let mut sources = BTreeMap::new();
    for entry in fs::read_dir(repository().join("crates")).unwrap() {
        let package = entry.unwrap().path();
        let mut files = Vec::new();
        rust_files(&package.join("src"), &mut files);
        let text: String = files
            .iter()
            .map(|file| fs::read_to_string(file).unwrap())
            .collect();
        let name = package.file_name().unwrap().to_string_lossy().into_owned();
        sources.insert(name, text);
    }
    sources
}

fn is_identifier(word: &str) -> bool {
    !word.is_empty() && word.chars().all(|c| c.is_alphanumeric() || c == '_')
}

fn contains_word(text: &str, word: &str) -> bool {
    let boundary = |c: Option<char>| c.is_none_or(|c| !c.is_alphanumeric() && c != '_');
    text.match_indices(word).any(|(at, _)| {
        boundary(text[..at].chars().next_back()) && boundary(text[at + word.len()..].chars().next())
    })
}

/// Returns why a code span names nothing in the code; None if its name exists.
fn missing(span: &str, sources: &BTreeMap<String, String>) -> Option<String> {
    if PREFIXES_OF_OTHER_NAMES
        .iter()
        .any(|prefix| span.starts_with(prefix))
    {
        return None;
    }
    if span.contains('/') || span.contains('.') && !span.contains("::") {
        let exists = repository().join(span).exists();
        return (!exists).then(|| format!("`{span}`: no such file"));
    }
    let path: Vec<&str> = span.trim_end_matches("()").split("::").collect();
    if !path.iter().all(|segment| is_identifier(segment)) {
        return Some(format!("`{span}`: not a name"));
    }
    if path.len() == 1 {
        let known =
            sources.contains_key(span) || sources.values().any(|text| contains_word(text, path[0]));
        return (!known).then(|| format!("`{span}`: no such name in any package"));
    }
    let Some(text) = sources.get(path[0]) else {
        return Some(format!("`{span}`: no package `{}`", path[0]));
    };
    let lost = path[1..]
        .iter()
        .find(|segment| !contains_word(text, segment));
    lost.map(|segment| format!("`{span}`: no `{segment}` in the package"))
}

#[test]
fn every_name_on_the_architecture_page_is_a_name_in_the_code() {
    let page = fs::read_to_string(repository().join("docs/ARCHITECTURE.md")).unwrap();
    let sources = sources_by_package();
    let spans = code_spans(&page);
    assert!(spans.len() > 50, "only {} names were found", spans.len());
    let lost: Vec<String> = spans
        .iter()
        .filter_map(|span| missing(span, &sources))
        .collect();
    assert!(lost.is_empty(), "{}", lost.join("\n"));
}

#[test]
fn a_name_that_the_code_lacks_is_found() {
    let sources = sources_by_package();
    assert_eq!(missing("node::run", &sources), None);
    assert_eq!(missing("crates/node", &sources), None);
    assert!(missing("node::no_such_function", &sources).is_some());
    assert!(missing("crates/no-such-package", &sources).is_some());
    assert!(missing("NoSuchTypeAnywhere", &sources).is_some());
}
