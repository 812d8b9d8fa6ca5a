//! Reads and validates YAML files. An error is reported in one line, with the file, the line, the
//! field, the value found and the values allowed.

use crate::Scenario;
use garde::Validate;
use serde::de::DeserializeOwned;
use std::path::Path;

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct FileError(String);

impl FileError {
    pub fn new(text: impl Into<String>) -> FileError {
        FileError(text.into())
    }
}

impl Scenario {
    pub fn load(path: &Path) -> Result<Scenario, FileError> {
        let name = path.display().to_string();
        Scenario::parse(&name, &read(path)?)
    }

    pub fn parse(file: &str, text: &str) -> Result<Scenario, FileError> {
        parse::<CheckedScenario>(file, text).map(|c| c.0)
    }
}

/// Reads a text file whole.
pub fn read(path: &Path) -> Result<String, FileError> {
    std::fs::read_to_string(path).map_err(|e| FileError(format!("{}: {e}", path.display())))
}

/// Parses and validates YAML.
pub fn parse<T>(file: &str, text: &str) -> Result<T, FileError>
where
    T: DeserializeOwned + Validate,
    T::Context: Default,
{
    serde_saphyr::from_str_valid(text).map_err(|e| FileError(format_error(file, text, &e)))
}

/// A scenario that is also validated across its fields.
#[derive(serde::Deserialize)]
#[serde(transparent)]
struct CheckedScenario(Scenario);

impl Validate for CheckedScenario {
    type Context = ();

    fn validate_into(
        &self,
        ctx: &Self::Context,
        parent: &mut dyn FnMut() -> garde::Path,
        report: &mut garde::Report,
    ) {
        self.0.validate_into(ctx, parent, report);
        if report.is_empty() {
            crate::check::check(&self.0, report);
        }
    }
}

/// Formats an error as one line.
fn format_error(file: &str, text: &str, error: &serde_saphyr::Error) -> String {
    let plain = error.without_snippet().to_string();
    // Only the first error is reported: the others show once it is corrected.
    let first = plain.lines().next().unwrap_or_default();
    let (what, at) = match first.rsplit_once(" at line ") {
        Some((what, at)) => (what, at.split(',').next().unwrap_or_default()),
        None => (first, ""),
    };
    let line: usize = at.trim().parse().unwrap_or(0);
    let mut line = if line == 0 {
        error.location().map_or(0, |l| l.line() as usize)
    } else {
        line
    };
    let mut field = String::new();
    let mut what = what.to_string();
    if let Some(rest) = what.strip_prefix("validation error at ")
        && let Some((path, why)) = rest.split_once(": ")
    {
        // garde numbers the value of an enum variant, which has no name of its own in the file.
        (field, what) = (path.replace("][0]", "]"), why.to_string());
    }
    let key = field
        .rsplit(['.', ']'])
        .next()
        .unwrap_or_default()
        .to_string();
    // For a field of a list entry the position is that of the entry: the field may be on a later
    // line.
    let lines: Vec<&str> = text.lines().collect();
    let has = |n: usize, key: &str| lines.get(n - 1).is_some_and(|l| value_of(l, key).is_some());
    if line > 0
        && !key.is_empty()
        && let Some(n) = (line..line + 30).find(|n| has(*n, &key))
    {
        line = n;
    }
    let source = lines.get(line.wrapping_sub(1)).copied().unwrap_or_default();
    if field.is_empty() {
        field = key_of(source).unwrap_or_default();
    }
    let key = if key.is_empty() { field.clone() } else { key };
    let mut out = format!("{file}, line {line}");
    if !field.is_empty() {
        out.push_str(&format!(", {field}"));
    }
    out.push_str(&format!(": {what}"));
    if let Some(found) = value_of(source, &key).filter(|f| !f.is_empty()) {
        out.push_str(&format!(", found {found}"));
    }
    out.replace('\n', " ")
}

/// Returns `key` of a line such as `  - key: value`.
fn key_of(line: &str) -> Option<String> {
    let line = line.trim().trim_start_matches("- ").trim_start_matches('{');
    let (key, _) = line.split_once(':')?;
    Some(key.trim().to_string())
}

/// Returns the value after `key:` in the line.
fn value_of(line: &str, key: &str) -> Option<String> {
    if key.is_empty() {
        return None;
    }
    let code = line.split(" #").next().unwrap_or_default();
    let mut from = 0;
    while let Some(at) = code[from..].find(key) {
        let at = from + at;
        let before = code[..at].chars().next_back();
        let rest = code[at + key.len()..].trim_start();
        let starts = before.is_none_or(|c| !c.is_alphanumeric() && c != '_');
        if starts && let Some(value) = rest.strip_prefix(':') {
            let value = value.trim();
            let end = if value.starts_with(['[', '{', '"', '\'']) {
                value.len()
            } else {
                value.find([',', '}']).unwrap_or(value.len())
            };
            return Some(value[..end].trim().to_string());
        }
        from = at + key.len();
    }
    None
}
