use super::{PageRequest, PrefixRead};
use std::collections::BTreeSet;

#[test]
fn existing_names_are_found_in_few_pages() {
    let mut rng = fastrand::Rng::with_seed(1);
    for round in 0..200 {
        // Ids of six to eight digits; some ranges of ids are dense.
        let mut random_id = || format!("j-{:0w$}", rng.u32(0..3_000), w = rng.usize(6..9));
        let stored: BTreeSet<String> = (0..2_000).map(|_| format!("f/{}", random_id())).collect();
        let requested: Vec<String> = (0..1 + round * 4).map(|_| random_id()).collect();
        let mut reader = PrefixRead::new("f/", requested.iter().map(String::as_str).collect());
        let (mut found, mut page_count) = (BTreeSet::new(), 0);
        while let Some(PageRequest { after, max_keys }) = reader.next_page() {
            page_count += 1;
            let mut page: Vec<&String> = stored
                .iter()
                .filter(|k| **k > after)
                .take(max_keys + 1)
                .collect();
            let more = page.len() > max_keys;
            page.truncate(max_keys);
            found.extend(
                page.iter()
                    .filter(|k| reader.wants(k))
                    .map(|k| k[2..].to_owned()),
            );
            reader.page_read(page.last().map(|k| k.as_str()), more);
        }
        let expected: BTreeSet<String> = (requested
            .iter()
            .filter(|a| stored.contains(&format!("f/{a}"))))
        .cloned()
        .collect();
        assert_eq!(found, expected, "round {round}");
        let distinct = requested.iter().collect::<BTreeSet<_>>().len();
        assert!(page_count <= distinct, "round {round}: {page_count} pages");
        // Reading about 800 of several thousand names takes far fewer than 800 requests.
        assert!(round < 199 || page_count < 40, "{page_count} pages");
    }
}
