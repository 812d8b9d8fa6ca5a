//! Request targets: a path and the fields of a query.

use std::collections::BTreeMap;

/// The target of a request; the query is percent-decoded.
pub(super) struct Target<'a> {
    pub(super) path: &'a str,
    query: BTreeMap<String, String>,
}

/// A query field that must be a number is something else.
pub(super) struct NotANumber;

impl<'a> Target<'a> {
    pub(super) fn parse(target: &'a str) -> Target<'a> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        Target {
            path,
            query: pairs.map(|(k, v)| (decoded(k), decoded(v))).collect(),
        }
    }

    /// Returns a field's text; empty if the field is missing.
    pub(super) fn text(&self, field: &str) -> &str {
        self.query.get(field).map_or("", String::as_str)
    }

    /// Returns a field's number; `default` if the field is missing.
    pub(super) fn number(&self, field: &str, default: u64) -> Result<u64, NotANumber> {
        match self.query.get(field) {
            Some(text) => text.parse().map_err(|_| NotANumber),
            None => Ok(default),
        }
    }
}

fn decoded(text: &str) -> String {
    percent_encoding::percent_decode_str(text)
        .decode_utf8_lossy()
        .into_owned()
}
