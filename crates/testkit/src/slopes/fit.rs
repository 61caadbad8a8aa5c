//! Straight lines fitted to measured points.

use serde::Serialize;

/// A straight line fitted to points by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Increase of the value for each unit of the count.
    pub slope: f64,
    /// Value of the line at a count of zero.
    pub base: f64,
    /// Root mean square distance of the points from the line, as a share of
    /// the range of the values.
    pub error: f64,
}

impl Fit {
    /// Fits a line to points; each is a pair of count and value.
    ///
    /// # Panics
    ///
    /// Panics if the points have fewer than two different counts.
    pub fn new(points: &[(f64, f64)]) -> Self {
        let number = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / number;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / number;
        let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        assert!(sum_xx > 0.0, "a line fit needs two different counts");
        let sum_xy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = sum_xy / sum_xx;
        let base = mean_y - slope * mean_x;
        let squared_error: f64 = points.iter().map(|(x, y)| (y - base - slope * x).powi(2)).sum();
        let values = || points.iter().map(|(_, y)| *y);
        let range = values().fold(f64::MIN, f64::max) - values().fold(f64::MAX, f64::min);
        let error = if range > 0.0 { (squared_error / number).sqrt() / range } else { 0.0 };
        Fit { slope, base, error }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn points_on_a_line_are_fitted_exactly() {
        let fit = Fit::new(&[(1.0, 5.0), (2.0, 7.0), (10.0, 23.0)]);
        assert!((fit.slope - 2.0).abs() < 1e-9, "{fit:?}");
        assert!((fit.base - 3.0).abs() < 1e-9, "{fit:?}");
        assert!(fit.error < 1e-9, "{fit:?}");
    }
}
