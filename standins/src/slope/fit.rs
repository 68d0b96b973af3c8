//! A line or a power through a few points.

/// How a cost grows with size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Law {
    /// It does not.
    Constant,
    /// By a line.
    Linear,
    /// By a power above 1.
    Power,
}

impl Law {
    /// The word in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Constant => "constant",
            Self::Linear => "linear",
            Self::Power => "power",
        }
    }
}

/// A fitted cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// How it grows.
    pub law: Law,
    /// The intercept, or the factor of a power.
    pub base: f64,
    /// The slope, or the exponent of a power.
    pub slope: f64,
    /// Root mean square of the relative errors at the points, 0.1 for 10%.
    pub error: f64,
}

/// A cost whose log-log slope is above this grows by a power.
const POWER: f64 = 1.3;
/// A cost whose ends differ by less than this part counts as constant.
const FLAT: f64 = 0.1;

impl Fit {
    /// Fits points of (size, cost); `None` for fewer than two.
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < 2 {
            return None;
        }
        let mean = points.iter().map(|p| p.1).sum::<f64>() / points.len() as f64;
        let low = points.iter().map(|p| p.1).fold(f64::INFINITY, f64::min);
        let high = points.iter().map(|p| p.1).fold(f64::NEG_INFINITY, f64::max);
        if high - low <= FLAT * mean.abs() {
            return Some(
                Self { law: Law::Constant, base: mean, slope: 0.0, error: 0.0 }.judged(points),
            );
        }
        if points.iter().all(|p| p.0 > 0.0 && p.1 > 0.0) {
            let logs: Vec<(f64, f64)> = points.iter().map(|p| (p.0.ln(), p.1.ln())).collect();
            let (base, slope) = line(&logs);
            if slope > POWER {
                let fit = Self { law: Law::Power, base: base.exp(), slope, error: 0.0 };
                return Some(fit.judged(points));
            }
        }
        let (base, slope) = line(points);
        Some(Self { law: Law::Linear, base, slope, error: 0.0 }.judged(points))
    }

    /// The cost at a size.
    pub fn at(&self, size: f64) -> f64 {
        match self.law {
            Law::Constant => self.base,
            Law::Linear => self.base + self.slope * size,
            Law::Power => self.base * size.powf(self.slope),
        }
    }

    fn judged(self, points: &[(f64, f64)]) -> Self {
        let scale = points.iter().map(|p| p.1.abs()).fold(0.0, f64::max);
        let part = |p: &(f64, f64)| (self.at(p.0) - p.1) / p.1.abs().max(scale * 0.01).max(1e-12);
        let sum: f64 = points.iter().map(|p| part(p).powi(2)).sum();
        Self { error: (sum / points.len() as f64).sqrt(), ..self }
    }
}

/// Least squares: intercept and slope.
fn line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let over: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let under: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    let slope = if under > 0.0 { over / under } else { 0.0 };
    (y - slope * x, slope)
}
