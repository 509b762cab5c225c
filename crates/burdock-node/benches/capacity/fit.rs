//! Straight lines through measured points.

use serde_json::{Value, json};

/// One cost over one size.
#[derive(Clone, Debug)]
pub struct Series {
    /// What costs.
    pub name: &'static str,
    /// What the size counts.
    pub per: &'static str,
    /// The cost's unit.
    pub unit: &'static str,
    /// Sizes and costs.
    pub points: Vec<(f64, f64)>,
}

/// A fitted line.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// Cost at size zero.
    pub base: f64,
    /// Cost for each.
    pub slope: f64,
    /// The largest distance of a point from the line, as a part of the largest cost.
    pub residual: f64,
}

impl Series {
    /// The line of least squares.
    pub fn line(&self) -> Line {
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
        Line { base, slope, residual }
    }

    /// The cost at a size: straight between the measured points around it, by the line beyond them.
    pub fn at(&self, size: f64) -> f64 {
        let around = self.points.windows(2).find(|w| (w[0].0..=w[1].0).contains(&size));
        let cost = match around {
            Some(&[(x0, y0), (x1, y1)]) => y0 + (y1 - y0) * (size - x0) / (x1 - x0),
            _ => {
                let line = self.line();
                line.base + line.slope * size
            }
        };
        cost.max(0.0)
    }

    /// The series with its line.
    pub fn to_json(&self) -> Value {
        let line = self.line();
        json!({
            "name": self.name, "per": self.per, "unit": self.unit,
            "points": self.points,
            "base": line.base, "slope": line.slope, "residual": line.residual,
        })
    }
}

/// The series of a name.
pub fn find<'a>(series: &'a [Series], name: &str) -> &'a Series {
    series.iter().find(|s| s.name == name).expect("the series is measured")
}
