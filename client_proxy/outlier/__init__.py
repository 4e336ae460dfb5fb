"""Outlier detection: which servers and zones one instance ejects, and when it probes them again."""
