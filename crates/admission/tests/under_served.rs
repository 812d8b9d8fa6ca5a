//! Detection of under-served classes.

use cherrywood_admission::TenantClassId;
use cherrywood_admission::under_served::{ClassService, under_served};
use cherrywood_limits::admission as limits;

#[test]
fn classes_with_less_than_half_of_due_jobs_done_are_listed_least_served_first() {
    let service = |class, done, overdue| ClassService {
        class: TenantClassId(class),
        done,
        overdue,
    };
    let classes = vec![
        service(1, 10.0, 9.0),
        service(2, 1.0, 9.0),
        service(3, 4.0, 6.0),
        service(4, 0.0, 0.0),
    ];
    assert_eq!(
        under_served(classes, limits::UNDER_SERVED_SHARE),
        [TenantClassId(2), TenantClassId(3)]
    );
}
