//! Least-squares lines through measured points.

use serde_json::{Value, json};

/// Measured costs of one operation or structure over a size.
#[derive(Clone, Debug)]
pub struct Series {
    /// Name of the cost; the file name of the plot derives from it.
    pub name: &'static str,
    /// Unit of the size, such as one organisation.
    pub per: &'static str,
    /// Unit of the cost.
    pub unit: &'static str,
    /// Pairs of size and cost, in ascending order of size.
    pub points: Vec<(f64, f64)>,
}

/// Line fitted to the points of a series.
#[derive(Clone, Copy, Debug)]
pub struct FittedLine {
    /// Cost at size zero.
    pub base: f64,
    /// Cost of each further unit of size.
    pub slope: f64,
    /// Maximum distance of a point from the line, as a fraction of the highest cost.
    pub residual: f64,
}

impl Series {
    /// Fits a line by least squares.
    pub fn fit_line(&self) -> FittedLine {
        let n = self.points.len() as f64;
        let mean = |f: &dyn Fn(&(f64, f64)) -> f64| self.points.iter().map(f).sum::<f64>() / n;
        let (mean_x, mean_y) = (mean(&|p| p.0), mean(&|p| p.1));
        let covariance = mean(&|p| (p.0 - mean_x) * (p.1 - mean_y));
        let variance = mean(&|p| (p.0 - mean_x).powi(2));
        let slope = covariance / variance;
        let base = mean_y - slope * mean_x;
        let largest = self.points.iter().map(|p| p.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let distance = |p: &(f64, f64)| (p.1 - base - slope * p.0).abs();
        let residual = self.points.iter().map(distance).fold(0.0, f64::max) / largest;
        FittedLine { base, slope, residual }
    }

    /// Returns the cost at a size: interpolated between the measured points around it, or by the fitted line
    /// outside them.
    pub fn cost_at(&self, size: f64) -> f64 {
        let neighbours = self.points.windows(2).find(|w| (w[0].0..=w[1].0).contains(&size));
        let cost = match neighbours {
            Some(&[(x0, y0), (x1, y1)]) => y0 + (y1 - y0) * (size - x0) / (x1 - x0),
            _ => {
                let line = self.fit_line();
                line.base + line.slope * size
            }
        };
        cost.max(0.0)
    }

    /// Converts the series and its fitted line to JSON.
    pub fn to_json(&self) -> Value {
        let line = self.fit_line();
        json!({
            "name": self.name, "per": self.per, "unit": self.unit,
            "points": self.points,
            "base": line.base, "slope": line.slope, "residual": line.residual,
        })
    }
}

/// Returns the series of the given name; panics if it was not measured.
pub fn find_series<'a>(series: &'a [Series], name: &str) -> &'a Series {
    series.iter().find(|s| s.name == name).expect("the series was measured")
}
