//! A set of small integers as a bitmap, stored in the key-value store as base64: the finished
//! tasks of a job, or the machines that have an image.

use base64::Engine as _;

/// A bitmap that grows as bits are set; bits beyond its end are not set.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Bitmap {
    bytes: Vec<u8>,
    count: u32,
}

impl Bitmap {
    /// Whether bit `i` is set.
    pub fn get(&self, i: u32) -> bool {
        self.bytes
            .get(i as usize / 8)
            .is_some_and(|b| b & (1 << (i % 8)) != 0)
    }

    /// Sets bit `i`; returns whether the bit was not set before.
    pub fn set(&mut self, i: u32) -> bool {
        if self.get(i) {
            return false;
        }
        let at = i as usize / 8;
        if self.bytes.len() <= at {
            self.bytes.resize(at + 1, 0);
        }
        self.bytes[at] |= 1 << (i % 8);
        self.count += 1;
        true
    }

    /// Returns the number of bits that are set.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Encodes the whole bitmap as base64 without padding.
    pub fn to_base64(&self) -> String {
        base64::engine::general_purpose::STANDARD_NO_PAD.encode(&self.bytes)
    }

    /// Returns the bytes of chunk `n` of the bitmap split into chunks of `size` bytes; None past
    /// the end.
    pub fn chunk(&self, n: usize, size: usize) -> Option<&[u8]> {
        let from = n * size;
        (from < self.bytes.len()).then(|| &self.bytes[from..self.bytes.len().min(from + size)])
    }

    /// Encodes the bytes of a chunk as base64 without padding.
    pub fn encode_base64(bytes: &[u8]) -> String {
        base64::engine::general_purpose::STANDARD_NO_PAD.encode(bytes)
    }

    /// Sets the bits that are set in `bytes`, whose first bit is bit `first` of this bitmap.
    pub fn union_bytes(&mut self, bytes: &[u8], first: u32) {
        for (at, byte) in bytes.iter().enumerate().filter(|(_, byte)| **byte != 0) {
            for bit in (0..8).filter(|bit| byte & (1 << bit) != 0) {
                self.set(first + at as u32 * 8 + bit);
            }
        }
    }

    /// Sets the bits that are set in a base64 text, whose first bit is bit `first` of this bitmap.
    /// Bits at `limit` and beyond are dropped.
    pub fn union_base64(&mut self, text: &str, first: u32, limit: u32) {
        let part = Bitmap::from_base64(text, limit.saturating_sub(first));
        self.union_bytes(&part.bytes, first);
    }

    /// Decodes a base64 text; a text that can't be decoded gives an empty bitmap. Bits at `limit`
    /// and beyond are dropped.
    pub fn from_base64(text: &str, limit: u32) -> Bitmap {
        let mut map = Bitmap::default();
        if let Ok(bytes) = base64::engine::general_purpose::STANDARD_NO_PAD.decode(text) {
            for i in 0..limit.min(bytes.len() as u32 * 8) {
                if bytes[i as usize / 8] & (1 << (i % 8)) != 0 {
                    map.set(i);
                }
            }
        }
        map
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn finished_tasks_of_the_largest_job_fit_one_value_and_round_trip() {
        let mut map = Bitmap::default();
        for i in (0..100_000).step_by(3) {
            assert!(map.set(i));
        }
        assert!(map.set(99_998) && !map.set(99_998));
        let text = map.to_base64();
        assert!(text.len() < 20_000, "{}", text.len());
        assert_eq!(Bitmap::from_base64(&text, 100_000), map);
    }
}
