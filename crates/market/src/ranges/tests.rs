//! Unit tests of the parent module.

use super::*;

#[test]
fn overlapping_reversed_and_foreign_ranges_are_refused() {
    assert_eq!(Ranges(vec![(0, 2), (4, 4)]).check(5), Ok(()));
    assert_eq!(Ranges(vec![(0, 2), (4, 4)]).count(), 4);
    for wrong in [
        vec![(0, 2), (2, 3)],
        vec![(3, 2)],
        vec![(0, 5)],
        vec![(u32::MAX, u32::MAX)],
    ] {
        assert!(Ranges(wrong).check(5).is_err());
    }
}
