"""Benchmarks; `make bench` prints ratios, nothing here is a timed test."""
