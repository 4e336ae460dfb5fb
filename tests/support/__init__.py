"""Test helpers: small scenarios, faulty relays, a guard against child processes, fixed Hypothesis seeds."""
