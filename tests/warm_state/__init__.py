"""Tests of `client_proxy.warm_state`."""
