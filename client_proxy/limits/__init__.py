"""Limits on the load sent to endpoints, without I/O; the time is an argument of every call that needs it."""
