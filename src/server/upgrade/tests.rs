use super::{BTreeMap, FORMAT, Upgrade, VersionRecord};

fn version_record(format: u32) -> VersionRecord {
    VersionRecord {
        format,
        program: "1".into(),
    }
}

#[test]
fn upgrade_completes_for_good_when_all_controllers_have_current_records() {
    let nodes = || ["n0", "n1"].into_iter();
    let records = |list: &[(&str, u32)]| {
        let all = list
            .iter()
            .map(|(n, f)| (n.to_string(), version_record(*f)));
        all.collect::<BTreeMap<_, _>>()
    };
    let upgrade = Upgrade::default();
    // The record of a controller that isn't in the settings is ignored.
    upgrade.update_records(records(&[("n0", FORMAT), ("n7", FORMAT)]), nodes());
    assert!(!upgrade.is_complete());
    assert_eq!(upgrade.versions(nodes())[1], ("n1".to_owned(), None));
    upgrade.update_records(records(&[("n0", FORMAT), ("n1", FORMAT - 1)]), nodes());
    assert!(!upgrade.is_complete());
    upgrade.update_records(records(&[("n0", FORMAT), ("n1", FORMAT + 1)]), nodes());
    assert!(upgrade.is_complete());
    upgrade.update_records(records(&[]), nodes());
    assert!(upgrade.is_complete());
}
