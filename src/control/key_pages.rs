//! Selects the pages of a key prefix to read for a given set of names: as few pages as
//! possible, each of which begins just before the next unread name.
//!
//! Owns: the position in the prefix, and the names that are still unread. Called by the
//! key-value store's client, `server::store`.
//!
//! Must never: count a name as read that no page has covered.

/// Maximum number of keys requested in a page.
const MAX_PAGE_KEYS: usize = 500;
/// Number of keys requested in a page for each unread name, plus a fixed extra number,
/// because other keys may lie between the names.
const PAGE_KEYS_PER_NAME: usize = 2;
const EXTRA_PAGE_KEYS: usize = 10;

/// A page to read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PageRequest {
    /// The page begins after this key.
    pub after: String,
    /// Maximum number of keys in the page.
    pub max_keys: usize,
}

/// The state of a read of some names under a prefix.
#[derive(Debug)]
pub struct PrefixRead<'a> {
    prefix: &'a str,
    /// The requested names, sorted and without duplicates.
    names: Vec<&'a str>,
    /// Index of the first unread name.
    next: usize,
    /// The last key that was read.
    after: String,
}

impl<'a> PrefixRead<'a> {
    /// Starts a read of these names under the prefix, given in any order.
    pub fn new(prefix: &'a str, mut names: Vec<&'a str>) -> Self {
        names.sort_unstable();
        names.dedup();
        PrefixRead {
            prefix,
            names,
            next: 0,
            after: String::new(),
        }
    }

    /// Returns the names that are still unread.
    pub fn unread(&self) -> &[&'a str] {
        &self.names[self.next..]
    }

    /// Returns the page to read next; `None` when all names have been read.
    pub fn next_page(&self) -> Option<PageRequest> {
        let name = self.unread().first()?;
        // A key without its last character sorts before the key.
        let key = format!("{}{name}", self.prefix);
        let last_char = key.char_indices().last().map_or(0, |(index, _)| index);
        let after = self.after.as_str().max(&key[..last_char]);
        let max_keys = PAGE_KEYS_PER_NAME * self.unread().len() + EXTRA_PAGE_KEYS;
        Some(PageRequest {
            after: after.to_owned(),
            max_keys: max_keys.min(MAX_PAGE_KEYS),
        })
    }

    /// Whether the key belongs to an unread name.
    pub fn wants(&self, key: &str) -> bool {
        let name = key.strip_prefix(self.prefix);
        name.is_some_and(|name| self.unread().binary_search(&name).is_ok())
    }

    /// Records that the requested page was read, up to `last_key`. `more`: further keys
    /// follow it.
    pub fn page_read(&mut self, last_key: Option<&str>, more: bool) {
        let last_key = last_key.filter(|_| more);
        match last_key.and_then(|key| Some((key, key.strip_prefix(self.prefix)?))) {
            Some((key, name)) => {
                self.next += self.unread().partition_point(|unread| *unread <= name);
                self.after = key.to_owned();
            }
            None => self.next = self.names.len(),
        }
    }
}

#[cfg(test)]
mod tests;
