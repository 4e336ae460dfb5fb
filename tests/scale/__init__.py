"""Tests of scale runs."""
