"""Tests of the consensus package."""
