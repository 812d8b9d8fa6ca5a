//! A histogram of durations whose older observations lose weight (paper 3.4, equation 1).

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use cherrywood_limits as limits;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::{
    DeserializeError, Deserializer, Serializer, V2SerializeError, V2Serializer,
};

const MS_PER_S: f64 = 1000.0;
/// Bins are at most 1% wide: levels and trust checks compare durations by factors.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Maximum number of idle half-lives by which a history decays in one step: after this many no
/// weight is left, and many more would overflow the weight.
const MAX_IDLE_HALF_LIVES: f64 = 60.0;

/// Reason why a histogram could not be encoded as text.
#[derive(Debug, thiserror::Error)]
#[error("histogram serialization failed: {0}")]
pub struct EncodeError(#[from] V2SerializeError);

/// Reason why a text could not be decoded as a histogram.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The text is not base64 without padding.
    #[error("histogram text is not base64: {0}")]
    Base64(#[from] base64::DecodeError),
    /// The bytes are not a serialized HDR histogram.
    #[error("histogram bytes cannot be deserialized: {0}")]
    Histogram(#[from] DeserializeError),
}

/// A decaying histogram of durations.
///
/// Each observation multiplies the weight of all older ones by `decay`. Instead of shrinking
/// every count, each new observation is recorded with a larger weight, and all counts are
/// rescaled when that weight exceeds `limits::HISTOGRAM_RESCALE_WEIGHT`.
#[derive(Debug, Clone)]
pub struct DecayingHistogram {
    /// Counts by duration in ms; an observation of weight 1 counts
    /// `limits::HISTOGRAM_UNITS_PER_OBSERVATION`.
    counts: Histogram<u64>,
    decay: f64,
    /// Weight of the next observation.
    weight: f64,
}

impl DecayingHistogram {
    /// Returns an empty histogram; `decay` (the paper's *d*, below 1) is the factor that each
    /// observation applies to the weight of the older ones.
    pub fn new(decay: f64) -> Self {
        DecayingHistogram {
            counts: empty_counts(),
            decay,
            weight: 1.0,
        }
    }

    /// Records a duration, clamped to at least 1 ms and at most `limits::RUN_TIME_MAX_MS`.
    pub fn record(&mut self, duration_s: f64) {
        let duration_ms = ((duration_s * MS_PER_S) as u64).clamp(1, limits::RUN_TIME_MAX_MS);
        let count = (self.weight * limits::HISTOGRAM_UNITS_PER_OBSERVATION).round() as u64;
        self.counts.saturating_record_n(duration_ms, count);
        self.weight /= self.decay;
        if self.weight > limits::HISTOGRAM_RESCALE_WEIGHT {
            self.rescale(limits::HISTOGRAM_RESCALE_WEIGHT);
        }
    }

    /// Halves the weight of all recorded observations for every half-life that passed without an
    /// observation (paper, table 1, "idle half-life").
    pub(crate) fn decay_idle(&mut self, half_lives: f64) {
        self.weight *= libm::exp2(half_lives.min(MAX_IDLE_HALF_LIVES));
        if self.weight > limits::HISTOGRAM_RESCALE_WEIGHT {
            self.rescale(self.weight);
        }
    }

    /// Divides all counts and the weight of the next observation by `divisor`.
    fn rescale(&mut self, divisor: f64) {
        let mut rescaled = empty_counts();
        for bin in self.counts.iter_recorded() {
            let count = (bin.count_at_value() as f64 / divisor).round() as u64;
            if count > 0 {
                rescaled.saturating_record_n(bin.value_iterated_to(), count);
            }
        }
        self.counts = rescaled;
        self.weight /= divisor;
    }

    /// Returns the `q`-quantile in s, `q` in \[0, 1\]; None if nothing was recorded.
    pub fn quantile_s(&self, q: f64) -> Option<f64> {
        (!self.counts.is_empty()).then(|| self.counts.value_at_quantile(q) as f64 / MS_PER_S)
    }

    /// Returns the histogram as text, without its decay.
    ///
    /// The counts are scaled as if the next observation had weight 1, so that the weight need not
    /// be stored.
    ///
    /// # Errors
    ///
    /// If a count is too large for the serialized form.
    pub(crate) fn encode(&self) -> Result<String, EncodeError> {
        let mut normalized = self.clone();
        normalized.rescale(normalized.weight);
        let mut bytes = Vec::new();
        V2Serializer::new().serialize(&normalized.counts, &mut bytes)?;
        Ok(STANDARD_NO_PAD.encode(bytes))
    }

    /// Reads the text that [`encode`](Self::encode) wrote.
    ///
    /// # Errors
    ///
    /// If the text is not such a histogram.
    pub(crate) fn decode(text: &str, decay: f64) -> Result<Self, DecodeError> {
        let bytes = STANDARD_NO_PAD.decode(text)?;
        let counts = Deserializer::new().deserialize(&mut bytes.as_slice())?;
        Ok(DecayingHistogram {
            counts,
            decay,
            weight: 1.0,
        })
    }
}

fn empty_counts() -> Histogram<u64> {
    // Never fails: the lowest value is 1, the highest is at least twice that, and there are at
    // most five significant digits.
    Histogram::new_with_bounds(1, limits::RUN_TIME_MAX_MS, SIGNIFICANT_DIGITS)
        .expect("the bounds are constants that the library accepts")
}
