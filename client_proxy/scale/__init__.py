"""Scale runs: many hollow instances and a few real ones, on real sockets of one machine."""
