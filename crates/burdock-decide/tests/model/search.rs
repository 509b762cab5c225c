//! Exhaustive breadth-first search of a model's states.

use std::cell::Cell;
use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::directed::bfs::bfs;

/// Result of a search.
#[derive(Debug)]
pub struct SearchResult<S> {
    /// Number of states whose successors were computed.
    pub explored_states: usize,
    /// Shortest trace to a state that violates the property.
    pub violation: Option<Vec<S>>,
}

/// Searches all states that can be reached, up to the first violation.
pub fn search<S: Clone + Eq + Hash>(
    initial: &S,
    next_states: impl Fn(&S) -> Vec<S>,
    violates: impl Fn(&S) -> bool,
) -> SearchResult<S> {
    let explored_states = Cell::new(0);
    let successors = |state: &S| {
        explored_states.set(explored_states.get() + 1);
        next_states(state)
    };
    let violation = bfs(initial, successors, |state| violates(state));
    SearchResult { explored_states: explored_states.get(), violation }
}

impl<S: Debug> SearchResult<S> {
    /// Panics with the trace if the property is violated.
    pub fn assert_safe(&self, property: &str) {
        if let Some(trace) = &self.violation {
            let steps: Vec<String> = trace.iter().map(|s| format!("{s:?}")).collect();
            panic!("{property} is violated after {} steps:\n{}", trace.len() - 1, steps.join("\n"));
        }
        println!("{property}: {} states, no violation", self.explored_states);
    }

    /// Panics if the mutated protocol does not violate the property.
    pub fn assert_caught(&self, mutation: &str) {
        let trace = self.violation.as_ref().unwrap_or_else(|| panic!("{mutation} was not caught"));
        println!("{mutation}: caught after {} steps, {} states", trace.len() - 1, self.explored_states);
    }
}
