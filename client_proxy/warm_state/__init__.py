"""Warm state: what a balancer has learned of its servers, kept across policy changes and restarts.

`snapshot`, `capture`, `restore` and `in_flight_handover` do no I/O and read no clock; `snapshot_store` does
the disk access.
"""
