//! Exhaustive breadth-first search.

use std::cell::Cell;
use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::directed::bfs::bfs;

/// What a search found.
#[derive(Debug)]
pub struct Found<S> {
    /// States whose successors were worked out.
    pub explored: usize,
    /// The shortest trace to a violation.
    pub violation: Option<Vec<S>>,
}

/// Searches everything that can be reached.
pub fn search<S: Clone + Eq + Hash>(
    start: &S,
    next: impl Fn(&S) -> Vec<S>,
    violates: impl Fn(&S) -> bool,
) -> Found<S> {
    let explored = Cell::new(0);
    let successors = |state: &S| {
        explored.set(explored.get() + 1);
        next(state)
    };
    let violation = bfs(start, successors, |state| violates(state));
    Found { explored: explored.get(), violation }
}

impl<S: Debug> Found<S> {
    /// Fails with the trace if there is a violation.
    pub fn assert_safe(&self, what: &str) {
        if let Some(trace) = &self.violation {
            let steps: Vec<String> = trace.iter().map(|s| format!("{s:?}")).collect();
            panic!("{what} is violated after {} steps:\n{}", trace.len() - 1, steps.join("\n"));
        }
        println!("{what}: {} states, no violation", self.explored);
    }

    /// Fails if a mutated protocol was not caught.
    pub fn assert_caught(&self, mutation: &str) {
        let trace = self.violation.as_ref().unwrap_or_else(|| panic!("{mutation} was not caught"));
        println!("{mutation}: caught after {} steps, {} states", trace.len() - 1, self.explored);
    }
}
