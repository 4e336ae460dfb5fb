"""Tests of the command line, the control socket and the log."""
