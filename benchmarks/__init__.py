"""Long measurements: commands that print their seed, the machine's cores and JSON. No part of the tests."""
