//! Random numbers derived from the scenario's seed: equal seeds give equal runs.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A deterministic stream of random numbers.
#[derive(Clone, Debug)]
pub struct RandomSource(Pcg64Mcg);

impl RandomSource {
    /// Creates an independent stream per `stream` number: more draws from one leave the others unchanged.
    pub fn new(seed: u64, stream: u64) -> RandomSource {
        RandomSource(Pcg64Mcg::seed_from_u64(
            seed ^ stream.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        ))
    }

    /// Uniform in `[0, 1)`.
    pub fn uniform(&mut self) -> f64 {
        self.0.random_range(0.0..1.0)
    }

    /// Uniform in `0..of`; 0 if `of` is 0.
    pub fn uniform_index(&mut self, of: usize) -> usize {
        self.0.random_range(0..of.max(1))
    }

    /// Exponentially distributed with the given mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.uniform()).ln()
    }

    /// Log-normally distributed with the given mean; `sigma` is the standard deviation of the logarithm.
    pub fn log_normal(&mut self, mean: f64, sigma: f64) -> f64 {
        // Box-Muller transform.
        let (first, second) = (1.0 - self.uniform(), self.uniform());
        let normal = (-2.0 * first.ln()).sqrt() * (2.0 * std::f64::consts::PI * second).cos();
        mean * (sigma * normal - sigma * sigma / 2.0).exp()
    }

    /// True with the given probability.
    pub fn happens_with_probability(&mut self, probability: f64) -> bool {
        self.uniform() < probability
    }
}
