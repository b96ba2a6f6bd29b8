use super::*;

fn mark(format: u32) -> VersionRecord {
    VersionRecord {
        format,
        program: "1".into(),
    }
}

#[test]
fn new_records_wait_for_the_last_controller_and_then_stay_in_use() {
    let nodes = || ["n0", "n1"].into_iter();
    let marks = |list: &[(&str, u32)]| {
        let all = list.iter().map(|(n, f)| (n.to_string(), mark(*f)));
        all.collect::<BTreeMap<_, _>>()
    };
    let u = Upgrade::default();
    // A mark of a controller that is not one of these says nothing.
    u.learned(marks(&[("n0", FORMAT), ("n7", FORMAT)]), nodes());
    assert!(!u.is_complete());
    assert_eq!(u.versions(nodes())[1], ("n1".to_owned(), None));
    u.learned(marks(&[("n0", FORMAT), ("n1", FORMAT - 1)]), nodes());
    assert!(!u.is_complete());
    u.learned(marks(&[("n0", FORMAT), ("n1", FORMAT + 1)]), nodes());
    assert!(u.is_complete());
    u.learned(marks(&[]), nodes());
    assert!(u.is_complete());
}
