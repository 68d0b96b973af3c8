//! Fits a constant, a line or a power to a few measured costs.

/// How a cost grows with size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrowthLaw {
    /// The cost does not grow.
    Constant,
    /// The cost grows linearly.
    Linear,
    /// The cost grows by a power above 1.
    Power,
}

impl GrowthLaw {
    /// The name in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Constant => "constant",
            Self::Linear => "linear",
            Self::Power => "power",
        }
    }
}

/// A cost as a function of the size, fitted to measured points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// How the cost grows.
    pub law: GrowthLaw,
    /// The cost of a constant, the intercept of a line or the factor of a power.
    pub base: f64,
    /// The slope of a line or the exponent of a power; 0 for a constant.
    pub slope: f64,
    /// Root mean square of the relative errors at the points; 0.1 is 10%.
    pub relative_error: f64,
}

/// A cost is fitted by a power if its log-log slope is above this.
const MIN_POWER_SLOPE: f64 = 1.3;
/// A cost is constant if its range is at most this fraction of its mean.
const CONSTANT_TOLERANCE: f64 = 0.1;

impl Fit {
    /// Fits a cost to points of (size, cost). Returns `None` for fewer than two points.
    pub fn from_points(points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < 2 {
            return None;
        }
        let mean = points.iter().map(|p| p.1).sum::<f64>() / points.len() as f64;
        let low = points.iter().map(|p| p.1).fold(f64::INFINITY, f64::min);
        let high = points.iter().map(|p| p.1).fold(f64::NEG_INFINITY, f64::max);
        if high - low <= CONSTANT_TOLERANCE * mean.abs() {
            return Some(
                Self { law: GrowthLaw::Constant, base: mean, slope: 0.0, relative_error: 0.0 }
                    .with_error(points),
            );
        }
        if points.iter().all(|p| p.0 > 0.0 && p.1 > 0.0) {
            let logs: Vec<(f64, f64)> = points.iter().map(|p| (p.0.ln(), p.1.ln())).collect();
            let (base, slope) = least_squares_line(&logs);
            if slope > MIN_POWER_SLOPE {
                let fit =
                    Self { law: GrowthLaw::Power, base: base.exp(), slope, relative_error: 0.0 };
                return Some(fit.with_error(points));
            }
        }
        let (base, slope) = least_squares_line(points);
        Some(Self { law: GrowthLaw::Linear, base, slope, relative_error: 0.0 }.with_error(points))
    }

    /// Returns the fitted cost at a size.
    pub fn cost_at(&self, size: f64) -> f64 {
        match self.law {
            GrowthLaw::Constant => self.base,
            GrowthLaw::Linear => self.base + self.slope * size,
            GrowthLaw::Power => self.base * size.powf(self.slope),
        }
    }

    /// Computes the error at the points. A cost near 0 is compared with 1% of the largest cost
    /// instead of itself.
    fn with_error(self, points: &[(f64, f64)]) -> Self {
        let scale = points.iter().map(|p| p.1.abs()).fold(0.0, f64::max);
        let relative =
            |p: &(f64, f64)| (self.cost_at(p.0) - p.1) / p.1.abs().max(scale * 0.01).max(1e-12);
        let sum: f64 = points.iter().map(|p| relative(p).powi(2)).sum();
        Self { relative_error: (sum / points.len() as f64).sqrt(), ..self }
    }
}

/// Fits a line by least squares and returns its intercept and slope.
fn least_squares_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    (y - slope * x, slope)
}
