//! Which pages of a prefix to read for some names under it: as few as it takes,
//! each beginning just before the next name that is still open.

/// Names in a page.
const PAGE: usize = 500;

#[derive(Debug)]
pub struct Pages<'a> {
    prefix: &'a str,
    /// Sorted.
    names: Vec<&'a str>,
    next: usize,
    after: String,
}

impl<'a> Pages<'a> {
    pub fn new(prefix: &'a str, mut names: Vec<&'a str>) -> Self {
        names.sort_unstable();
        names.dedup();
        Pages {
            prefix,
            names,
            next: 0,
            after: String::new(),
        }
    }

    /// Names of which nothing is known yet.
    pub fn open(&self) -> &[&'a str] {
        &self.names[self.next..]
    }

    /// After which key to read on, and how many; `None`: all is known.
    pub fn ask(&self) -> Option<(String, usize)> {
        let name = self.open().first()?;
        // The key without its last character comes before it.
        let key = format!("{}{name}", self.prefix);
        let cut = key.char_indices().last().map_or(0, |(at, _)| at);
        let after = self.after.as_str().max(&key[..cut]);
        let most = (2 * self.open().len() + 10).min(PAGE);
        Some((after.to_owned(), most))
    }

    /// Whether the key is of one that is open.
    pub fn wants(&self, key: &str) -> bool {
        let name = key.strip_prefix(self.prefix);
        name.is_some_and(|n| self.open().binary_search(&n).is_ok())
    }

    /// The page that was asked for has been read, up to this key.
    pub fn read(&mut self, last: Option<&str>, more: bool) {
        let last = last.filter(|_| more);
        match last.and_then(|key| Some((key, key.strip_prefix(self.prefix)?))) {
            Some((key, name)) => {
                self.next += self.open().partition_point(|n| *n <= name);
                self.after = key.to_owned();
            }
            None => self.next = self.names.len(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeSet;

    #[test]
    fn whatever_stands_is_found_in_few_pages() {
        let mut rng = fastrand::Rng::with_seed(1);
        for round in 0..200 {
            // Ids of six to eight digits, dense in places.
            let mut any = || format!("j-{:0w$}", rng.u32(0..3_000), w = rng.usize(6..9));
            let stored: BTreeSet<String> = (0..2_000).map(|_| format!("f/{}", any())).collect();
            let asked: Vec<String> = (0..1 + round * 4).map(|_| any()).collect();
            let mut p = Pages::new("f/", asked.iter().map(String::as_str).collect());
            let (mut found, mut pages) = (BTreeSet::new(), 0);
            while let Some((after, most)) = p.ask() {
                pages += 1;
                let mut page: Vec<&String> = stored
                    .iter()
                    .filter(|k| **k > after)
                    .take(most + 1)
                    .collect();
                let more = page.len() > most;
                page.truncate(most);
                found.extend(
                    page.iter()
                        .filter(|k| p.wants(k))
                        .map(|k| k[2..].to_owned()),
                );
                p.read(page.last().map(|k| k.as_str()), more);
            }
            let expected: BTreeSet<String> =
                (asked.iter().filter(|a| stored.contains(&format!("f/{a}"))))
                    .cloned()
                    .collect();
            assert_eq!(found, expected, "round {round}");
            let distinct = asked.iter().collect::<BTreeSet<_>>().len();
            assert!(pages <= distinct, "round {round}: {pages} pages");
            // 800 of some thousands are not 800 requests.
            assert!(round < 199 || pages < 40, "{pages} pages");
        }
    }
}
