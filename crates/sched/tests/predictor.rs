//! Trust, levels, decay and snapshots of the predictor.

use cherrywood_limits as limits;
use cherrywood_sched::Predictor;
use cherrywood_sched::histogram::DecayingHistogram;
use cherrywood_sched::predictor::PredictorSnapshot;

#[test]
fn a_key_is_trusted_with_enough_completions_a_short_tail_few_censored_and_recent_activity() {
    let mut p = Predictor::new();
    for _ in 0..19 {
        p.record_completion("a", 10.0, 0.0);
    }
    assert_eq!(p.trusted_median_s("a", 0.0), None);
    p.record_completion("a", 10.0, 0.0);
    let est = p.trusted_median_s("a", 0.0).unwrap();
    assert!((est - 10.0).abs() < 0.2, "{est}");
    assert!(p.trusted_median_s("a", 1800.0).is_some());
    assert_eq!(p.trusted_median_s("a", 1800.1), None);
    // As in paper 3.5: 92% of the tasks are fast, 8% are thousands of times slower.
    for i in 0..100 {
        p.record_completion("b", if i % 12 == 0 { 1000.0 } else { 0.5 }, 0.0);
    }
    assert_eq!(p.trusted_median_s("b", 0.0), None);
    // 1 - 0.995^n exceeds 5% at the eleventh lost task.
    for _ in 0..10 {
        p.record_censored("a", 0.0);
    }
    assert!(p.trusted_median_s("a", 0.0).is_some());
    p.record_censored("a", 0.0);
    assert_eq!(p.trusted_median_s("a", 0.0), None);
}

#[test]
fn earlier_observations_have_half_of_the_weight_after_138_new_ones() {
    let mut h = DecayingHistogram::new(limits::KEY_DECAY);
    for _ in 0..2000 {
        h.record(10.0);
    }
    for _ in 0..137 {
        h.record(100.0);
    }
    assert!(h.quantile_s(0.5).unwrap() < 11.0);
    for _ in 0..3 {
        h.record(100.0);
    }
    assert!(h.quantile_s(0.5).unwrap() > 99.0);
}

#[test]
fn three_levels_are_split_at_the_tertiles_of_all_run_times() {
    let mut p = Predictor::new();
    for i in 0..99 {
        let (k, s) = [("s", 1.0), ("m", 10.0), ("l", 100.0)][i % 3];
        p.record_completion(k, s, 0.0);
    }
    assert_eq!(
        p.level("s", 0.0),
        limits::DEFAULT_LEVEL,
        "no boundaries yet"
    );
    for _ in 0..3 {
        p.record_completion("s", 1.0, 0.0);
        p.record_completion("m", 10.0, 0.0);
        p.record_completion("l", 100.0, 0.0);
    }
    // The tertiles are 1 and 10: an estimate equal to a boundary belongs to the level above it.
    let b = p.boundaries_s().unwrap();
    assert!(
        b[0] >= 1.0 && b[0] < 1.1 && b[1] >= 10.0 && b[1] < 10.2,
        "{b:?}"
    );
    assert_eq!(p.level("l", 0.0), 2);
    assert_eq!(p.level("nobody", 0.0), limits::DEFAULT_LEVEL);
}

#[test]
fn a_restored_snapshot_predicts_the_same_and_an_unreadable_one_is_ignored() {
    let mut p = Predictor::new();
    for i in 0..300 {
        p.record_completion("a", 5.0, 0.0);
        p.record_completion("b", 50.0 + f64::from(i % 7), 0.0);
    }
    let q = Predictor::restore(&p.snapshot(), 7.0);
    let (x, y) = (p.median_s("b").unwrap(), q.median_s("b").unwrap());
    assert!((x - y).abs() < 1.0, "{x} {y}");
    assert!(q.boundaries_s().is_some());
    let unreadable = PredictorSnapshot {
        pooled: "not a histogram".into(),
        keys: Vec::new(),
    };
    assert_eq!(Predictor::restore(&unreadable, 0.0).boundaries_s(), None);
}
