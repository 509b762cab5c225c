//! Distribution of the requests of a route over its services by weight.

/// Smooth weighted round robin, which keeps requests close to the weights at every moment, not only on
/// average.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WeightedRoundRobin {
    credits: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Returns the index of the target of the next request: the one furthest below its weight.
    ///
    /// ```
    /// use burdock_decide::split::WeightedRoundRobin;
    /// let mut targets = WeightedRoundRobin::default();
    /// let chosen: Vec<usize> = (0..10).map(|_| targets.next_index(&[9.0, 1.0])).collect();
    /// assert_eq!(chosen.iter().filter(|ix| **ix == 1).count(), 1);
    /// ```
    pub fn next_index(&mut self, weights: &[f64]) -> usize {
        self.credits.resize(weights.len(), 0.0);
        let total: f64 = weights.iter().sum();
        for (credit, weight) in self.credits.iter_mut().zip(weights) {
            *credit += weight / total;
        }
        let highest =
            (0..weights.len()).max_by(|a, b| self.credits[*a].total_cmp(&self.credits[*b])).unwrap_or(0);
        if let Some(credit) = self.credits.get_mut(highest) {
            *credit -= 1.0;
        }
        highest
    }
}
