//! Order of service and aging of the multi-level queue.

use cherrywood_limits as limits;
use cherrywood_sched::queue::{Aging, MultiLevelQueue, Position, Selection};

/// Returns the range to serve next among those of eligible jobs.
fn select_eligible<J: Clone + PartialEq>(
    q: &mut MultiLevelQueue<J>,
    mut eligible: impl FnMut(&J, f64) -> bool,
) -> Option<Selection<J>> {
    let mut found = [None; limits::LEVELS];
    for (position, range) in q.positions() {
        if found[position.level].is_none() && eligible(&range.job, range.waiting_since) {
            found[position.level] = Some(position);
        }
    }
    q.select(found)
}

/// Serves one task of an eligible job and returns it.
fn serve_one<J: Clone + PartialEq>(
    q: &mut MultiLevelQueue<J>,
    eligible: impl FnMut(&J, f64) -> bool,
) -> Option<(J, u32)> {
    let selection = select_eligible(q, eligible)?;
    q.serve(&selection, 1, 1.0);
    Some((selection.job, selection.first_task))
}

#[test]
fn levels_that_all_have_work_are_served_8_to_3_to_1() {
    let mut q = MultiLevelQueue::default();
    for l in 0..3 {
        q.push_back(l, l, 0..1000, 0.0);
    }
    let mut served = [0; 3];
    for _ in 0..120 {
        served[serve_one(&mut q, |_, _| true).unwrap().0] += 1;
    }
    // 120 tasks of equal cost: 80, 30 and 10, each within one task.
    for (n, want) in served.iter().zip([80i32, 30, 10]) {
        assert!((n - want).abs() <= 1, "{served:?}");
    }
}

#[test]
fn tasks_served_together_are_charged_like_tasks_served_one_by_one() {
    let mut q = MultiLevelQueue::default();
    for l in 0..3 {
        q.push_back(l, l, 0..1000, 0.0);
    }
    let mut served = [0; 3];
    for _ in 0..60 {
        let selection = select_eligible(&mut q, |_, _| true).unwrap();
        q.serve(&selection, 4, 1.0);
        served[selection.job] += 4;
    }
    // 240 tasks: 160, 60 and 20, each within one group of 4.
    for (n, want) in served.iter().zip([160i32, 60, 20]) {
        assert!((n - want).abs() <= 4, "{served:?}");
    }
}

#[test]
fn a_level_that_was_empty_has_no_credit_when_tasks_arrive() {
    let mut q = MultiLevelQueue::default();
    q.push_back(2, 2, 0..100, 0.0);
    for _ in 0..50 {
        serve_one(&mut q, |_, _| true);
    }
    q.push_back(0, 0, 0..100, 0.0);
    let mut low = 0;
    for _ in 0..18 {
        low += i32::from(serve_one(&mut q, |_, _| true).unwrap().0 == 2);
    }
    assert_eq!(
        low, 2,
        "one in nine, without credit for the 50 tasks served before"
    );
}

#[test]
fn pausing_aging_promotes_one_task_per_pass_unless_the_level_above_is_behind() {
    let mut q = MultiLevelQueue::default();
    q.push_back(2, 'x', 0..10, 0.0);
    q.age(4.9);
    assert_eq!(q.waiting_tasks(2), 10);
    q.age(5.5);
    assert_eq!((q.waiting_tasks(2), q.waiting_tasks(1)), (9, 1));
    q.age(5.7);
    assert_eq!(
        q.waiting_tasks(2),
        9,
        "no pass before half a second has passed"
    );
    q.age(6.0);
    assert_eq!((q.waiting_tasks(2), q.waiting_tasks(1)), (8, 2));
    // At 10.5 s the first promoted task has waited 5 s in level 1, so that level is behind: no
    // task is promoted into it, while its own oldest task is promoted.
    let lens =
        |q: &MultiLevelQueue<char>| [q.waiting_tasks(2), q.waiting_tasks(1), q.waiting_tasks(0)];
    q.age(10.5);
    assert_eq!(lens(&q), [8, 1, 1]);
    q.age(11.0);
    assert_eq!(lens(&q), [8, 0, 2]);
    // An empty level is not behind: promotion into it resumes.
    q.age(11.5);
    assert_eq!(lens(&q), [7, 1, 2]);
}

#[test]
fn plain_aging_promotes_more_than_pausing_and_off_promotes_none() {
    let left_in_lowest = |aging| {
        let mut q = MultiLevelQueue::new(aging);
        q.push_back(2, 'x', 0..40, 0.0);
        q.push_back(1, 'y', 0..40, 0.0);
        for tick in 10..40 {
            q.age(f64::from(tick) * 0.5);
        }
        q.waiting_tasks(2)
    };
    let (pausing, plain) = (left_in_lowest(Aging::Pausing), left_in_lowest(Aging::Plain));
    assert!(plain < pausing && pausing < 40, "{plain} {pausing}");
    assert_eq!(left_in_lowest(Aging::Off), 40);
}

/// A pass keeps the positions of ranges while it serves other ranges: no position may shift, and
/// an emptied range is neither served again nor counted as waiting.
#[test]
fn positions_stay_valid_while_ranges_are_emptied() {
    let mut q = MultiLevelQueue::default();
    for job in ['a', 'b', 'c'] {
        q.push_back(1, job, 0..2, 0.0);
    }
    let positions: Vec<Position> = q.positions().map(|(p, _)| p).collect();
    let first = q.get(positions[0]).unwrap();
    q.serve(&first, 2, 1.0);
    assert_eq!(q.get(positions[0]), None);
    assert_eq!(q.get(positions[2]).unwrap().job, 'c');
    assert_eq!(q.ranges().count(), 2);
    for position in &positions[1..] {
        let selection = q.get(*position).unwrap();
        q.discard(&selection, 9);
    }
    assert!(q.is_empty());
    // A level that was emptied has no credit, although it still contains its emptied ranges.
    q.push_back(2, 'd', 0..50, 0.0);
    for _ in 0..50 {
        serve_one(&mut q, |_, _| true);
    }
    q.push_back(1, 'e', 0..9, 0.0);
    q.push_back(2, 'f', 0..9, 0.0);
    let served: String = (0..4)
        .map(|_| serve_one(&mut q, |_, _| true).unwrap().0)
        .collect();
    assert_eq!(served.matches('f').count(), 1, "{served}");
}

#[test]
fn a_task_pushed_to_the_front_is_served_first_and_an_ineligible_job_is_skipped() {
    let mut q = MultiLevelQueue::default();
    q.push_back(1, 'a', 0..2, 0.0);
    q.push_back(1, 'b', 0..1, 0.0);
    q.push_front(1, 'b', 7, 0.0);
    assert_eq!(serve_one(&mut q, |j, _| *j == 'a'), Some(('a', 0)));
    assert_eq!(serve_one(&mut q, |_, _| true), Some(('b', 7)));
}
