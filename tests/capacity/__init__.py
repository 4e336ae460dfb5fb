"""Tests of the formulas and tables of the capacity page."""
