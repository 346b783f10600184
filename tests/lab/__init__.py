"""Tests of the benchmarks and the soak."""
