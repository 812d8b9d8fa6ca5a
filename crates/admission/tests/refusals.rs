//! Refused jobs, as controllers remember them and send them to each other.

use cherrywood_admission::{JobHash, RecentRefusals, TenantClassId};
use cherrywood_limits::admission as limits;

const CLASS: TenantClassId = TenantClassId(1);

#[test]
fn a_refusal_is_sent_to_a_peer_once_with_its_age() {
    let mut here = RecentRefusals::default();
    for n in 0..5 {
        here.record_local(JobHash(n), CLASS, 10.0, 100.0 + n as f64);
    }
    let first = here.local_since(0, 110.0);
    assert_eq!(first.refused.len(), 5);
    assert_eq!(
        (
            first.refused[0].first_attempt_age_s,
            first.refused[4].first_attempt_age_s
        ),
        (10.0, 6.0)
    );
    let next = first.next_sequence;
    assert!(here.local_since(next, 111.0).refused.is_empty());
    here.record_local(JobHash(2), CLASS, 10.0, 112.0);
    let second = here.local_since(next, 112.0);
    let again = second.refused[0];
    assert_eq!(
        (
            again.job,
            again.first_attempt_age_s,
            again.last_attempt_age_s
        ),
        (JobHash(2), 10.0, 0.0)
    );
    // The other controller's clock differs: only ages were sent.
    let mut there = RecentRefusals::default();
    for refused in first.refused.iter().chain(&second.refused) {
        there.record_from_peer(refused, 5000.0);
    }
    assert_eq!(there.waited_s(JobHash(2), 5001.0), 11.0);
    there.remove(JobHash(2));
    assert_eq!(there.waited_s(JobHash(2), 5001.0), 0.0);
    assert_eq!(there.retrying(5001.0).len(), 4);
    assert_eq!(there.retrying(5040.0).len(), 0, "the users have given up");
}

#[test]
fn the_number_of_remembered_and_sent_refusals_is_bounded() {
    let mut refusals = RecentRefusals::default();
    for n in 0..2 * limits::REFUSED_JOBS_REMEMBERED_MAX as u64 {
        refusals.record_local(JobHash(n), CLASS, 1.0, n as f64 * 0.001);
    }
    assert_eq!(
        refusals.retrying(20.0).len(),
        limits::REFUSED_JOBS_REMEMBERED_MAX
    );
    let batch = refusals.local_since(0, 20.0);
    assert!(batch.refused.len() <= limits::REFUSED_JOBS_PER_FRAME_MAX);
    // Refusals that were evicted before they were sent are skipped.
    let oldest_kept =
        2 * limits::REFUSED_JOBS_REMEMBERED_MAX as u64 - limits::REFUSED_JOBS_TO_SEND_MAX as u64;
    assert!(batch.next_sequence > oldest_kept);
    refusals.expire(1000.0);
    assert!(refusals.retrying(20.0).is_empty());
}
