//! Prediction of run times from per-key statistics, and the level of a task based on them
//! (paper 3.4 and 3.5).
//!
//! A *key* identifies similar tasks, such as those of one class of one team. Completed tasks add
//! their run time to their key's histogram and to a pooled one. The median of a key is the
//! expected run time of its next task (equation 1); quantiles of the pooled histogram are the
//! boundaries between levels (equation 2). A key whose observations are too few, too old, too
//! variable or too often censored is not trusted (equation 3), and its tasks wait in the middle
//! level.

use crate::histogram::DecayingHistogram;
use cherrywood_limits as limits;
use std::collections::BTreeMap;

/// Run times in s that separate the levels, ascending (the paper's β).
pub type Boundaries = [f64; limits::LEVELS - 1];

/// Quantiles of a key's run times, in s; 0 without observations.
///
/// They are computed once per observation: querying the histogram for every waiting job took
/// most of the leader's CPU time.
#[derive(Debug, Clone, Copy)]
struct Quantiles {
    median_s: f64,
    p95_s: f64,
    p99_s: f64,
}

impl Quantiles {
    const NONE: Quantiles = Quantiles {
        median_s: 0.0,
        p95_s: 0.0,
        p99_s: 0.0,
    };

    fn of(histogram: &DecayingHistogram) -> Quantiles {
        let quantile_s = |q| histogram.quantile_s(q).unwrap_or(0.0);
        Quantiles {
            median_s: quantile_s(0.5),
            p95_s: quantile_s(0.95),
            p99_s: quantile_s(0.99),
        }
    }
}

/// Observations of a key.
#[derive(Debug, Clone)]
struct KeyHistory {
    histogram: DecayingHistogram,
    quantiles: Quantiles,
    /// Number of completed tasks, without decay.
    completions: u64,
    /// Decayed share of tasks that were lost or failed (the paper's *c*).
    censored_share: f64,
    /// Time when a task last completed or a trusted prediction was last made, s.
    last_active_s: f64,
}

impl KeyHistory {
    fn new(now_s: f64) -> KeyHistory {
        KeyHistory {
            histogram: DecayingHistogram::new(limits::KEY_DECAY),
            quantiles: Quantiles::NONE,
            completions: 0,
            censored_share: 0.0,
            last_active_s: now_s,
        }
    }

    fn has_enough_completions(&self) -> bool {
        self.completions >= limits::KEY_MIN_COMPLETIONS
    }

    /// Returns whether the four conditions of equation 3 hold.
    fn is_trusted(&self, now_s: f64) -> bool {
        self.has_enough_completions()
            && now_s - self.last_active_s <= limits::KEY_STALE_S
            && self.quantiles.p99_s <= limits::SPREAD_MAX_MEDIANS * self.quantiles.median_s
            && self.censored_share <= limits::CENSORED_SHARE_MAX
    }

    fn snapshot(&self, key: &str) -> KeySnapshot {
        KeySnapshot {
            key: key.to_string(),
            completions: self.completions,
            censored_share: self.censored_share,
            // `restore` skips a text that it cannot decode: the key then has no history.
            histogram: self.histogram.encode().unwrap_or_default(),
        }
    }
}

/// State of a [`Predictor`] in a form that can be stored.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PredictorSnapshot {
    /// The pooled histogram as text.
    pub pooled: String,
    /// All keys, the most recently active first.
    pub keys: Vec<KeySnapshot>,
}

/// State of one key of a [`Predictor`].
#[derive(Debug, Clone, PartialEq)]
pub struct KeySnapshot {
    /// The key's name.
    pub key: String,
    /// Number of completed tasks.
    pub completions: u64,
    /// Decayed share of tasks that were lost or failed.
    pub censored_share: f64,
    /// Histogram of run times as text.
    pub histogram: String,
}

/// Learns run times by key and assigns levels to tasks.
///
/// Memory is bounded: beyond `limits::KEYS_MAX` keys the least recently active one is evicted.
#[derive(Debug)]
pub struct Predictor {
    histories: BTreeMap<String, KeyHistory>,
    pooled: DecayingHistogram,
    /// Number of completed tasks of all keys.
    pooled_completions: u64,
    boundaries_s: Option<Boundaries>,
}

impl Default for Predictor {
    fn default() -> Self {
        Self::new()
    }
}

impl Predictor {
    /// Returns a predictor without observations.
    pub fn new() -> Self {
        Predictor {
            histories: BTreeMap::new(),
            pooled: DecayingHistogram::new(limits::POOLED_DECAY),
            pooled_completions: 0,
            boundaries_s: None,
        }
    }

    /// Restores a snapshot. Histograms that cannot be decoded are skipped: a key without a history
    /// is predicted like a new one.
    pub fn restore(snapshot: &PredictorSnapshot, now_s: f64) -> Self {
        let mut predictor = Predictor::new();
        if let Ok(pooled) = DecayingHistogram::decode(&snapshot.pooled, limits::POOLED_DECAY) {
            predictor.pooled = pooled;
        }
        for key in snapshot.keys.iter().take(limits::KEYS_MAX) {
            predictor.restore_key(key, now_s);
        }
        if predictor.pooled_completions >= limits::BOUNDARY_MIN_COMPLETIONS {
            predictor.refresh_boundaries();
        }
        predictor
    }

    fn restore_key(&mut self, snapshot: &KeySnapshot, now_s: f64) {
        let Ok(histogram) = DecayingHistogram::decode(&snapshot.histogram, limits::KEY_DECAY)
        else {
            return;
        };
        self.pooled_completions += snapshot.completions;
        let history = KeyHistory {
            quantiles: Quantiles::of(&histogram),
            histogram,
            completions: snapshot.completions,
            censored_share: snapshot.censored_share,
            last_active_s: now_s,
        };
        self.histories.insert(snapshot.key.clone(), history);
    }

    /// Returns the state, to be restored by another process.
    pub fn snapshot(&self) -> PredictorSnapshot {
        let mut histories: Vec<_> = self.histories.iter().collect();
        histories.sort_by(|a, b| b.1.last_active_s.total_cmp(&a.1.last_active_s));
        PredictorSnapshot {
            pooled: self.pooled.encode().unwrap_or_default(),
            keys: histories
                .into_iter()
                .map(|(key, history)| history.snapshot(key))
                .collect(),
        }
    }

    /// Returns the history of `key`, which is created if it does not exist.
    fn history_mut(&mut self, key: &str, now_s: f64) -> &mut KeyHistory {
        if !self.histories.contains_key(key) && self.histories.len() >= limits::KEYS_MAX {
            self.evict_least_recently_active();
        }
        self.histories
            .entry(key.to_string())
            .or_insert_with(|| KeyHistory::new(now_s))
    }

    fn evict_least_recently_active(&mut self) {
        let least = self
            .histories
            .iter()
            .min_by(|a, b| a.1.last_active_s.total_cmp(&b.1.last_active_s))
            .map(|(key, _)| key.clone());
        if let Some(key) = least {
            self.histories.remove(&key);
        }
    }

    /// Records that a task of `key` completed with a run time of `run_s`.
    pub fn record_completion(&mut self, key: &str, run_s: f64, now_s: f64) {
        let history = self.history_mut(key, now_s);
        let idle_s = (now_s - history.last_active_s).max(0.0);
        history
            .histogram
            .decay_idle(idle_s / limits::KEY_IDLE_HALF_LIFE_S);
        history.histogram.record(run_s);
        history.quantiles = Quantiles::of(&history.histogram);
        history.completions += 1;
        history.censored_share *= limits::KEY_DECAY;
        history.last_active_s = now_s;
        self.pooled.record(run_s);
        self.pooled_completions += 1;
        if self.boundaries_are_due() {
            self.refresh_boundaries();
        }
    }

    /// Records that a task of `key` was lost or failed: a censored observation. Its duration is
    /// not a run time, and a key whose slow tasks fail must not appear fast (paper 3.5).
    pub fn record_censored(&mut self, key: &str, now_s: f64) {
        let history = self.history_mut(key, now_s);
        history.censored_share =
            history.censored_share * limits::KEY_DECAY + (1.0 - limits::KEY_DECAY);
    }

    fn boundaries_are_due(&self) -> bool {
        let first = self.boundaries_s.is_none()
            && self.pooled_completions >= limits::BOUNDARY_MIN_COMPLETIONS;
        first
            || self
                .pooled_completions
                .is_multiple_of(limits::BOUNDARY_REFRESH_COMPLETIONS)
    }

    /// Computes the boundaries by equation 2: with L levels, boundary j is the j/L quantile of all
    /// run times.
    fn refresh_boundaries(&mut self) {
        let mut boundaries_s = [0.0; limits::LEVELS - 1];
        for (j, boundary_s) in boundaries_s.iter_mut().enumerate() {
            let q = (j + 1) as f64 / limits::LEVELS as f64;
            match self.pooled.quantile_s(q) {
                Some(quantile_s) => *boundary_s = quantile_s,
                None => return,
            }
        }
        self.boundaries_s = Some(boundaries_s);
    }

    /// Returns the boundaries between levels; None until enough tasks have completed.
    pub fn boundaries_s(&self) -> Option<Boundaries> {
        self.boundaries_s
    }

    /// Returns the quantiles of a key with enough observations.
    fn quantiles(&self, key: &str) -> Option<Quantiles> {
        let history = self.histories.get(key)?;
        history
            .has_enough_completions()
            .then_some(history.quantiles)
    }

    /// Returns the median run time of `key`, once enough of its tasks have completed.
    pub fn median_s(&self, key: &str) -> Option<f64> {
        Some(self.quantiles(key)?.median_s)
    }

    /// Returns the 95th percentile of the run times of `key`, once enough of its tasks have
    /// completed.
    pub fn p95_s(&self, key: &str) -> Option<f64> {
        Some(self.quantiles(key)?.p95_s)
    }

    /// Returns all keys with enough observations, each with its median run time.
    pub fn medians_s(&self) -> impl Iterator<Item = (&str, f64)> {
        let keys = self.histories.keys().map(String::as_str);
        keys.filter_map(|key| Some((key, self.median_s(key)?)))
    }

    /// Returns the median run time of `key` if the key is trusted (equation 3).
    pub fn trusted_median_s(&self, key: &str, now_s: f64) -> Option<f64> {
        let history = self.histories.get(key)?;
        history
            .is_trusted(now_s)
            .then_some(history.quantiles.median_s)
    }

    /// Returns the level in which a task of `key` waits: the number of boundaries that its
    /// expected run time has reached (equation 2), or the middle level if the key is not trusted
    /// or there are no boundaries yet.
    ///
    /// A prediction made while the key is trusted counts as activity (paper 3.5), so that keys
    /// whose tasks wait in a backlog don't become stale.
    pub fn level(&mut self, key: &str, now_s: f64) -> usize {
        let (Some(expected_s), Some(boundaries_s)) =
            (self.trusted_median_s(key, now_s), self.boundaries_s)
        else {
            return limits::DEFAULT_LEVEL;
        };
        if let Some(history) = self.histories.get_mut(key) {
            history.last_active_s = now_s;
        }
        let reached = boundaries_s.iter().filter(|b| **b <= expected_s);
        reached.count()
    }
}
