//! Linear regression.

/// A fitted line.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// Value at 0.
    pub base: f64,
    /// Increase per unit.
    pub slope: f64,
    /// Coefficient of determination (R²): the share of the variance that the line
    /// explains.
    pub fit: f64,
}

/// Fits a line by least squares.
pub fn line(points: &[(f64, f64)]) -> Line {
    let n = points.len() as f64;
    let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (mx, my) = (mean(|p| p.0), mean(|p| p.1));
    let sxy: f64 = points.iter().map(|(x, y)| (x - mx) * (y - my)).sum();
    let sxx: f64 = points.iter().map(|(x, _)| (x - mx).powi(2)).sum();
    let syy: f64 = points.iter().map(|(_, y)| (y - my).powi(2)).sum();
    let slope = if sxx > 0.0 { sxy / sxx } else { 0.0 };
    let fit = if syy > 0.0 {
        sxy * sxy / (sxx * syy)
    } else {
        1.0
    };
    Line {
        base: my - slope * mx,
        slope,
        fit,
    }
}
