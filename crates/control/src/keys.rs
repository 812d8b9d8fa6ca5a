//! Keys in the key-value store. Only this module knows their format.
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `L/leader` | the leader of the term, under its lease | the elected controller |
//! | `L/epoch` | the number of the last term | the elected controller |
//! | `j/<job>` | a live job | any controller, on submission |
//! | `n/<job>/<slot>/<n>` | chunks of a submission too large for one value | any controller, on submission |
//! | `f/<job>` | the final state of a job | any controller, once |
//! | `w/<entry>` | an entry of the placement ledger, hexadecimal | the leader |
//! | `p/<job>`, `p/<job>/<n>` | finished tasks of a live job, whole or in parts | the leader |
//! | `h/all`, `h/images`, `h/admission` | run-time histograms, image locations, admission table | the leader |
//! | `v/<label>` | the protocol version of a controller | that controller |
//!
//! A value under `h/` that is too large for one value is written as chunks under the prefix
//! [`chunk_prefix`].

/// Key of the leader of the current term, under its lease.
pub const LEADER: &str = "L/leader";
/// Key of the number of the last term, which outlives the leader key.
pub const LAST_TERM: &str = "L/epoch";
/// Prefix of the live jobs.
pub const JOBS: &str = "j/";
/// Prefix of the placement ledger's entries.
pub const LEDGER: &str = "w/";
/// Prefix of the finished tasks of live jobs.
pub const PROGRESS: &str = "p/";
/// Key of the run-time histograms.
pub const HISTOGRAMS: &str = "h/all";
/// Key of the image locations: which machines have which images.
pub const IMAGES: &str = "h/images";
/// Key of the admission table and the statistics that it is derived from.
pub const ADMISSION: &str = "h/admission";
/// Prefix of the chunks of submissions too large for one value.
pub const SUBMISSIONS: &str = "n/";
/// Prefix of the protocol versions of the controllers.
pub const MEMBERS: &str = "v/";

/// Returns the key of a live job.
pub fn job(id: &str) -> String {
    format!("{JOBS}{id}")
}

/// Returns the job of a live job's key; `None` for any other key.
pub fn job_of(key: &str) -> Option<&str> {
    key.strip_prefix(JOBS)
}

/// Returns the key of the final state of a job.
pub fn final_state(id: &str) -> String {
    format!("f/{id}")
}

/// Returns the key of the finished tasks of a job.
pub fn progress(id: &str) -> String {
    format!("{PROGRESS}{id}")
}

/// Returns the key of one part of the finished tasks of a job; part 0 is the whole, or the first
/// of several.
pub fn progress_part(id: &str, part: u32) -> String {
    match part {
        0 => progress(id),
        _ => format!("{PROGRESS}{id}/{part}"),
    }
}

/// Returns the job and the part of a progress key; `None` for any other key.
pub fn progress_of(key: &str) -> Option<(&str, u32)> {
    let rest = key.strip_prefix(PROGRESS)?;
    match rest.split_once('/') {
        None => Some((rest, 0)),
        Some((id, part)) => Some((id, part.parse().ok()?)),
    }
}

/// Returns the prefix of the chunks of a value that is too large for `key`. Successive values use
/// different slots, so that a reader never mixes the chunks of two values.
pub fn chunk_prefix(key: &str, slot: u64) -> String {
    format!("{key}/{slot}/")
}

/// Returns the key that is passed to [`chunk_prefix`] for the chunks of a large submission.
pub fn submission(id: &str) -> String {
    format!("{SUBMISSIONS}{id}")
}

/// Returns the job of a key of a submission's chunk; `None` for any other key.
pub fn submission_of(key: &str) -> Option<&str> {
    key.strip_prefix(SUBMISSIONS)?.split('/').next()
}

/// Returns the key of the protocol version of a controller.
pub fn member(label: &str) -> String {
    format!("{MEMBERS}{label}")
}

/// Returns the key of an entry of the placement ledger. Entry numbers increase with time, and the
/// keys sort in the order of the numbers.
pub fn ledger(entry: u64) -> String {
    format!("{LEDGER}{entry:016x}")
}

/// Returns the number of the ledger entry of a key; `None` for any other key.
pub fn ledger_entry(key: &str) -> Option<u64> {
    u64::from_str_radix(key.strip_prefix(LEDGER)?, 16).ok()
}
