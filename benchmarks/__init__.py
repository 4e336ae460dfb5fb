"""Long measurements, run as commands that print JSON with their seed and the machine's cores; not tests."""
