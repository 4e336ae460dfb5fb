"""Tests of the cost measurements by size."""
