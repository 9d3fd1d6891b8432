//! Processor time and memory of this process, from `/proc/self`.

use std::fs;

/// Kernel ticks in a second; fixed at 100 on the machines in use.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor seconds used so far by all threads.
pub(crate) fn cpu_seconds() -> f64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // Fields 14 and 15, counted behind the name, which may hold spaces.
    let rest = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let tick = |at: usize| fields.get(at).and_then(|field| field.parse::<f64>().ok());
    (tick(11).unwrap_or(0.0) + tick(12).unwrap_or(0.0)) / TICKS_PER_SECOND
}

/// Resident memory now, in MiB.
pub(crate) fn resident_mib() -> f64 {
    status_mib("VmRSS:")
}

/// Largest resident memory so far, in MiB.
pub(crate) fn peak_mib() -> f64 {
    status_mib("VmHWM:")
}

fn status_mib(field: &str) -> f64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with(field)).unwrap_or_default();
    let kib: f64 = line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0.0);
    kib / 1024.0
}

/// Straight line through points by least squares.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub(crate) struct LineFit {
    /// Value at zero.
    pub(crate) base: f64,
    /// Growth for each step.
    pub(crate) slope: f64,
    /// Largest distance of a point from the line, as a part of the largest value.
    pub(crate) worst_residual: f64,
}

impl LineFit {
    /// Fits a line; needs at least two different sizes.
    pub(crate) fn of(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let (sx, sy): (f64, f64) =
            points.iter().fold((0.0, 0.0), |(sx, sy), (x, y)| (sx + x, sy + y));
        let (mx, my) = (sx / n, sy / n);
        let (sxy, sxx) = points.iter().fold((0.0, 0.0), |(sxy, sxx), (x, y)| {
            (sxy + (x - mx) * (y - my), sxx + (x - mx) * (x - mx))
        });
        let slope = if sxx > 0.0 { sxy / sxx } else { 0.0 };
        let base = my - slope * mx;
        let largest = points.iter().map(|(_, y)| y.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let residual = |(x, y): &(f64, f64)| (y - base - slope * x).abs() / largest;
        let worst_residual = points.iter().map(residual).fold(0.0, f64::max);
        Self { base, slope, worst_residual }
    }
}
