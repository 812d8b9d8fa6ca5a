//! Snapshots that the leader stores for its successors beside jobs and ledger: learned run times,
//! and the images on each machine. A successor without them works, and relearns both.

use super::machine::CachedImage;
use super::{ImageHint, Leader};
use crate::bitmap::Bitmap;
use cherrywood_limits as limits;
use cherrywood_sched::predictor::{KeySnapshot, PredictorSnapshot};
use cherrywood_wire::records::{HistogramsRecord, ImageCacheRecord};
use std::collections::BTreeMap;

/// Maximum size of a histogram key beside its texts, bytes.
const KEY_BYTES: usize = 60;
/// Size of a machine's name beside its text, bytes.
const NAME_BYTES: usize = 3;
/// Maximum size of an image beside its bitmap, bytes.
const IMAGE_BYTES: usize = 50;

/// An image, and the machines that have it.
struct ImageOnMachines {
    id: u64,
    size_gb: f64,
    machines: Bitmap,
}

/// Decodes the predictor's snapshot from its stored record.
pub(super) fn predictor_snapshot(stored: &HistogramsRecord) -> PredictorSnapshot {
    let key =
        |(key, completions, censored_share, histogram): &(String, u64, f64, String)| KeySnapshot {
            key: key.clone(),
            completions: *completions,
            censored_share: *censored_share,
            histogram: histogram.clone(),
        };
    PredictorSnapshot {
        pooled: stored.pooled.clone(),
        keys: stored.keys.iter().map(key).collect(),
    }
}

impl Leader {
    /// The learned run times, with as many keys as fit one value.
    pub fn histograms_snapshot(&self) -> HistogramsRecord {
        let PredictorSnapshot { pooled, keys } = self.predictor.snapshot();
        let keys = keys.into_iter();
        let mut keys: Vec<_> = keys
            .map(|k| (k.key, k.completions, k.censored_share, k.histogram))
            .collect();
        let mut bytes = pooled.len();
        keys.retain(|k| {
            bytes += k.0.len() + k.3.len() + KEY_BYTES;
            bytes <= limits::SNAPSHOT_BYTES_MAX
        });
        HistogramsRecord {
            pooled,
            keys,
            chunks: None,
        }
    }

    /// The images on each machine: without them a new leader would have all images fetched again.
    /// While a controller of the previous version may become leader, the snapshot is limited to
    /// what one value holds: that version can't read a value in chunks.
    pub fn image_snapshot(&self, now: f64) -> ImageCacheRecord {
        let max_bytes = match self.store_limits.chunks_enabled() {
            true => limits::IMAGE_CACHE_BYTES_MAX,
            false => limits::SNAPSHOT_BYTES_MAX,
        };
        let mut bytes = 0;
        let mut machines = Vec::new();
        let mut previous = "";
        let mut images: BTreeMap<u64, ImageOnMachines> = BTreeMap::new();
        for (name, m) in self.machines.iter().filter(|(_, m)| m.up && !m.deleting) {
            let coded = ImageCacheRecord::front_coded(name, previous);
            bytes += coded.len() + NAME_BYTES;
            if bytes > max_bytes / 2 {
                break;
            }
            for i in m.cached_images.iter().filter(|i| i.ready_at <= now) {
                let image = images.entry(i.id).or_insert(ImageOnMachines {
                    id: i.id,
                    size_gb: i.size_gb,
                    machines: Bitmap::default(),
                });
                image.machines.set(machines.len() as u32);
            }
            machines.push(coded);
            previous = name;
        }
        ImageCacheRecord {
            front_coded_machines: machines,
            images: most_common_images(images, max_bytes - bytes.min(max_bytes)),
            chunks: None,
        }
    }

    /// Keeps the previous leader's record of images until this leader learns of their machines.
    pub(super) fn recover_image_hints(&mut self, record: ImageCacheRecord) {
        let names = record.machine_names();
        for (id, size_gb, bits) in &record.images {
            let bits = Bitmap::from_base64(bits, names.len() as u32);
            for (at, name) in names.iter().enumerate() {
                if bits.get(at as u32) {
                    let hints = self.image_cache_hints.entry(name.clone()).or_default();
                    hints.push(ImageHint {
                        id: *id,
                        size_gb: *size_gb,
                    });
                }
            }
        }
    }

    /// The images that an earlier leader knew to be on a machine that this one has just learned of.
    pub(super) fn take_image_hints(&mut self, machine: &str, now: f64) -> Vec<CachedImage> {
        let hints = self.image_cache_hints.remove(machine).unwrap_or_default();
        let image = |hint: ImageHint| CachedImage {
            id: hint.id,
            size_gb: hint.size_gb,
            ready_at: now,
            last_used_at: now,
        };
        hints.into_iter().map(image).collect()
    }
}

/// The images on the most machines, as many as fit, in their stored form: these matter most.
fn most_common_images(
    images: BTreeMap<u64, ImageOnMachines>,
    max_bytes: usize,
) -> Vec<(u64, f64, String)> {
    let mut images: Vec<ImageOnMachines> = images.into_values().collect();
    images.sort_by_key(|image| std::cmp::Reverse(image.machines.count()));
    let mut bytes = 0;
    images
        .into_iter()
        .map(|image| (image.id, image.size_gb, image.machines.to_base64()))
        .take_while(|(_, _, bits)| {
            bytes += bits.len() + IMAGE_BYTES;
            bytes <= max_bytes
        })
        .collect()
}
