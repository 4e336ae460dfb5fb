"""Configuration files: their keys, when a new version is accepted, and the stored versions."""
