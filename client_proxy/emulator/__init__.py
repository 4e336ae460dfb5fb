"""Emulated servers, discovery and clients for rehearsals and tests, on a real or a virtual clock."""
