use super::Resources;

#[test]
fn need_that_fits_any_machine_fits_the_widened_maximum() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut any = |max_amount: i64| Resources {
        cpus: rng.i64(0..=max_amount),
        gpus: rng.i64(0..=max_amount),
        memory: rng.i64(0..=max_amount),
    };
    let (mut fitting, mut not_fitting) = (0, 0);
    for _ in 0..2000 {
        let machines: Vec<Resources> = (0..5).map(|_| any(8)).collect();
        let need = any(10);
        let mut widened = machines[0];
        machines.iter().for_each(|m| widened.max_assign(m));
        let fits = machines.iter().any(|m| need.fits(m));
        assert!(!fits || need.fits(&widened), "{need:?} {machines:?}");
        fitting += u32::from(fits);
        not_fitting += u32::from(!need.fits(&widened));
    }
    assert!(fitting > 100 && not_fitting > 100);
}
