"""Frozen bytes on the wire and on disk, which every later version must read and write unchanged."""
