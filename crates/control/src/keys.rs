//! Keys in the state service, the only place that knows their form.
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `L/leader` | the leader of the term, under its lease | the elected controller |
//! | `L/epoch` | the number of the last term | the elected controller |
//! | `j/<job>` | a live job | any controller, on submission |
//! | `n/<job>/<slot>/<n>` | chunks of a submission that fits no value | any controller, on submission |
//! | `f/<job>` | the final state of a job | any controller, once |
//! | `w/<entry>` | an entry of the placement ledger, hexadecimal | the leader |
//! | `p/<job>`, `p/<job>/<n>` | finished tasks of a live job, whole or in chunks | the leader |
//! | `h/all`, `h/images`, `h/admission` | run time histograms, image locations, admission table | the leader |
//! | `v/<label>` | the version that a controller speaks | that controller |
//!
//! A value of `h/` that is too large is written as chunks beneath [`parts`].

/// The leader of the current term, under its lease.
pub const LEADER: &str = "L/leader";
/// The number of the last term, which outlives the leader key.
pub const EPOCH: &str = "L/epoch";
/// Prefix of live jobs.
pub const JOBS: &str = "j/";
/// Prefix of the placement ledger's entries.
pub const LEDGER: &str = "w/";
/// Prefix of the finished tasks of live jobs.
pub const PROGRESS: &str = "p/";
/// Histograms of run times.
pub const HISTOGRAMS: &str = "h/all";
/// Which machines have which images.
pub const IMAGES: &str = "h/images";
/// The admission table and the statistics behind it.
pub const ADMISSION: &str = "h/admission";
/// Prefix of the chunks of submissions that fit no value.
pub const SUBMISSIONS: &str = "n/";
/// Prefix of the versions that the controllers speak.
pub const MEMBERS: &str = "v/";

/// A live job.
pub fn job(id: &str) -> String {
    format!("{JOBS}{id}")
}

/// The job of a live job's key; `None` if it is no such key.
pub fn job_of(key: &str) -> Option<&str> {
    key.strip_prefix(JOBS)
}

/// The final state of a job.
pub fn ended(id: &str) -> String {
    format!("f/{id}")
}

/// The finished tasks of a job.
pub fn progress(id: &str) -> String {
    format!("{PROGRESS}{id}")
}

/// One chunk of the finished tasks of a job; chunk 0 is the whole, or the first of several.
pub fn progress_part(id: &str, part: u32) -> String {
    match part {
        0 => progress(id),
        _ => format!("{PROGRESS}{id}/{part}"),
    }
}

/// The job and the chunk of a progress key; `None` if it is no such key.
pub fn progress_of(key: &str) -> Option<(&str, u32)> {
    let rest = key.strip_prefix(PROGRESS)?;
    match rest.split_once('/') {
        None => Some((rest, 0)),
        Some((id, part)) => Some((id, part.parse().ok()?)),
    }
}

/// Prefix of the chunks of a value that doesn't fit under `key`. Successive values use
/// different slots, so that a reader never mixes the chunks of two.
pub fn parts(key: &str, slot: u64) -> String {
    format!("{key}/{slot}/")
}

/// The key under which [`parts`] has the chunks of a large submission.
pub fn submission(id: &str) -> String {
    format!("{SUBMISSIONS}{id}")
}

/// The job to whose submission this chunk belongs; `None` if it is no such key.
pub fn submission_of(key: &str) -> Option<&str> {
    key.strip_prefix(SUBMISSIONS)?.split('/').next()
}

/// The version that a controller speaks.
pub fn member(label: &str) -> String {
    format!("{MEMBERS}{label}")
}

/// An entry of the placement ledger. Entry numbers rise with time, and the keys sort like
/// them.
pub fn ledger(entry: u64) -> String {
    format!("{LEDGER}{entry:016x}")
}

/// The number of a ledger entry; `None` if it is no such key.
pub fn ledger_entry(key: &str) -> Option<u64> {
    u64::from_str_radix(key.strip_prefix(LEDGER)?, 16).ok()
}
