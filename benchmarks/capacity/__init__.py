"""Cost of the planned fleet by role: formulas over measured slopes, compared with budgets."""
