//! Finished tasks, final states and the histograms' snapshot.

use super::*;

impl Leader {
    /// The next job transaction: final states first, then progress.
    pub fn job_batch(&mut self, progress_too: bool) -> Option<JobBatch> {
        let mut batch = JobBatch {
            txn: Txn {
                guards: Vec::new(),
                changes: Vec::new(),
            },
            progress: Vec::new(),
            finals: Vec::new(),
        };
        batch.txn.guards.push(self.leader_guard());
        // Small ones, which find room in the budget soon.
        let share = self.settings.state.write_rps * limits::JOB_BATCH_SHARE;
        let ops = self.settings.state.txn_ops.min(share as usize).max(3);
        let mut bytes = 200;
        let jobs = &self.jobs;
        let behind = |job: &Job| job.done.count() != job.durable.count();
        self.news.retain(|no| jobs.get(no).is_some_and(behind));
        if self.news.is_empty() {
            return None;
        }
        for finals in [true, false] {
            if !finals && (!progress_too || !batch.finals.is_empty()) {
                break;
            }
            for no in &self.news {
                let Some(job) = self.jobs.get_mut(no) else {
                    continue;
                };
                let id = &job.spec.id;
                let over = job.done.count() >= job.spec.tasks;
                if job.writing
                    || over != finals
                    || job.done.count() == job.durable.count()
                    || self.reread.contains(&keys::job(id))
                    || self.reread.contains(&keys::progress(id))
                {
                    continue;
                }
                bytes += 300
                    + if finals {
                        0
                    } else {
                        job.spec.tasks as usize / 6
                    };
                let full = batch.txn.changes.len() + 3 > ops || bytes > limits::TXN_BYTES;
                if full && !batch.txn.changes.is_empty() {
                    break;
                }
                job.writing = true;
                let guards = &mut batch.txn.guards;
                let changes = &mut batch.txn.changes;
                guards.push(Guard {
                    key: keys::job(id),
                    version: job.mark,
                });
                if finals {
                    changes.push(Change::Delete { key: keys::job(id) });
                    if job.progress_mark > 0 {
                        changes.push(Change::Delete {
                            key: keys::progress(id),
                        });
                    }
                    let value = FinalValue {
                        ended: JobState::Done,
                        tasks: job.spec.tasks,
                    };
                    changes.push(Change::Put {
                        key: keys::ended(id),
                        value: Value::Final(value),
                        lease: None,
                    });
                    crate::life!(id, "final state on its way");
                    batch.finals.push(*no);
                } else {
                    guards.push(Guard {
                        key: keys::progress(id),
                        version: job.progress_mark,
                    });
                    let value = ProgressValue {
                        finished: job.done.to_text(),
                    };
                    changes.push(Change::Put {
                        key: keys::progress(id),
                        value: Value::Progress(value),
                        lease: None,
                    });
                    batch.progress.push((*no, job.done.clone()));
                }
            }
        }
        (!batch.txn.changes.is_empty()).then_some(batch)
    }

    /// Returns the jobs that are now done for everybody.
    pub fn job_done(&mut self, batch: JobBatch, outcome: &Outcome) -> Vec<String> {
        let mut ended = Vec::new();
        for no in batch
            .finals
            .iter()
            .chain(batch.progress.iter().map(|(no, _)| no))
        {
            if let Some(job) = self.jobs.get_mut(no) {
                job.writing = false;
            }
        }
        match outcome {
            Outcome::Applied(rev) => {
                for no in &batch.finals {
                    if let Some(job) = self.jobs.get(no) {
                        crate::life!(job.spec.id, "final state written");
                        ended.push(job.spec.id.clone());
                    }
                }
                for (no, bits) in batch.progress {
                    if let Some(job) = self.jobs.get_mut(&no) {
                        job.durable = bits;
                        job.progress_mark = *rev;
                    }
                }
                for id in &ended {
                    self.remove_job(id);
                }
            }
            Outcome::Conflict(failed) => self.conflict(failed),
            Outcome::Refused => {}
            Outcome::Unknown => {
                for g in &batch.txn.guards {
                    if g.key != keys::LEADER {
                        self.reread.insert(g.key.clone());
                    }
                }
            }
        }
        ended
    }

    pub fn snapshot(&self) -> HistogramsValue {
        let (pooled, mut keys) = self.predictor.save();
        let most = (self.settings.state.value_kb * 1024.0) as usize - 1024;
        let mut bytes = pooled.len();
        keys.retain(|k| {
            bytes += k.0.len() + k.3.len() + 60;
            bytes <= most
        });
        HistogramsValue { pooled, keys }
    }

    /// Where images are, as far as a value holds it: without it a new leader
    /// would have all of them fetched again.
    pub fn image_snapshot(&self, now: f64) -> ImagesValue {
        let most = (self.settings.state.value_kb * 1024.0) as usize - 1024;
        let mut bytes = 0;
        let mut machines = Vec::new();
        let mut before = "";
        let mut images: BTreeMap<u64, (f64, Bitmap)> = BTreeMap::new();
        for (name, m) in self.machines.iter().filter(|(_, m)| m.up && !m.deleting) {
            let folded = ImagesValue::folded(name, before);
            bytes += folded.len() + 3;
            if bytes > most / 2 {
                break;
            }
            for i in m.images.iter().filter(|i| i.ready_at <= now) {
                let (_, bits) = images.entry(i.no).or_insert((i.gb, Bitmap::default()));
                bits.set(machines.len() as u32);
            }
            machines.push(folded);
            before = name;
        }
        // The images on most machines matter most.
        let mut images: Vec<(u64, f64, Bitmap)> = images
            .into_iter()
            .map(|(no, (gb, b))| (no, gb, b))
            .collect();
        images.sort_by_key(|i| std::cmp::Reverse(i.2.count()));
        let images = images
            .into_iter()
            .map(|(no, gb, bits)| (no, gb, bits.to_text()))
            .take_while(|i| {
                bytes += i.2.len() + 50;
                bytes <= most
            })
            .collect();
        ImagesValue { machines, images }
    }

    pub(super) fn inherit_images(&mut self, value: ImagesValue) {
        let names = value.names();
        for (no, gb, bits) in &value.images {
            let bits = Bitmap::from_text(bits, names.len() as u32);
            for (at, name) in names.iter().enumerate() {
                if bits.get(at as u32) {
                    self.hints.entry(name.clone()).or_default().push((*no, *gb));
                }
            }
        }
    }

    /// The images that an earlier leader knew on a machine met just now.
    pub(super) fn recall(&mut self, machine: &str, now: f64) -> Vec<Image> {
        let hints = self.hints.remove(machine).unwrap_or_default();
        let image = |(no, gb)| Image {
            no,
            gb,
            ready_at: now,
            used: now,
        };
        hints.into_iter().map(image).collect()
    }
}
