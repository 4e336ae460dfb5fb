"""Tests of the balancer package."""
