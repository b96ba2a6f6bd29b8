//! Log lines that name many tasks.

/// Maximum number of tasks in one log line.
const MAX_TASKS_PER_LINE: usize = 50;

/// Calls `write` with the entries, joined to texts of at most `MAX_TASKS_PER_LINE` of them.
pub fn for_each_line(entries: &[String], write: impl Fn(&str)) {
    for line in entries.chunks(MAX_TASKS_PER_LINE) {
        write(&line.join("; "));
    }
}
