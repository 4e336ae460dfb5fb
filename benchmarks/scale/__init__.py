"""Measures what each part of a fleet costs at the sizes that operators plan for."""
