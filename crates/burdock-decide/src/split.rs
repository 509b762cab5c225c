//! Distribution of a route's requests over its services by weight.

/// Counts that keep a route's requests close to the weights at every moment, not only in the mean.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WeightedRoundRobin {
    credit: Vec<f64>,
}

impl WeightedRoundRobin {
    /// The part that the next request goes to: the one furthest below its weight.
    ///
    /// ```
    /// use burdock_decide::split::WeightedRoundRobin;
    /// let mut counts = WeightedRoundRobin::default();
    /// let taken: Vec<usize> = (0..10).map(|_| counts.next_index(&[9.0, 1.0])).collect();
    /// assert_eq!(taken.iter().filter(|ix| **ix == 1).count(), 1);
    /// ```
    pub fn next_index(&mut self, weights: &[f64]) -> usize {
        self.credit.resize(weights.len(), 0.0);
        let total: f64 = weights.iter().sum();
        for (credit, weight) in self.credit.iter_mut().zip(weights) {
            *credit += weight / total;
        }
        let most = (0..weights.len()).max_by(|a, b| self.credit[*a].total_cmp(&self.credit[*b])).unwrap_or(0);
        if let Some(credit) = self.credit.get_mut(most) {
            *credit -= 1.0;
        }
        most
    }
}
