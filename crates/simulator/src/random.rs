//! Random numbers, all drawn from a scenario's seed: equal seeds give equal runs.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A stream of random numbers.
#[derive(Clone, Debug)]
pub struct RandomSource(Pcg64Mcg);

impl RandomSource {
    /// A stream of its own for each purpose, so that more draws for one leave the others as they were.
    pub fn new(seed: u64, stream: u64) -> RandomSource {
        RandomSource(Pcg64Mcg::seed_from_u64(
            seed ^ stream.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        ))
    }

    /// From 0 to 1, evenly.
    pub fn uniform(&mut self) -> f64 {
        self.0.random_range(0.0..1.0)
    }

    /// One of so many.
    pub fn uniform_index(&mut self, of: usize) -> usize {
        self.0.random_range(0..of.max(1))
    }

    /// Exponential with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.uniform()).ln()
    }

    /// Log-normal with this mean; `sigma` is that of the logarithm.
    pub fn log_normal(&mut self, mean: f64, sigma: f64) -> f64 {
        // Box and Muller's way.
        let (one, other) = (1.0 - self.uniform(), self.uniform());
        let normal = (-2.0 * one.ln()).sqrt() * (2.0 * std::f64::consts::PI * other).cos();
        mean * (sigma * normal - sigma * sigma / 2.0).exp()
    }

    /// Whether something of this likelihood happens.
    pub fn happens_with_probability(&mut self, probability: f64) -> bool {
        self.uniform() < probability
    }
}
