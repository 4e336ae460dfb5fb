"""Tests of `client_proxy.rollout`."""
