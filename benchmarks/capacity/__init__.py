"""What the planned fleet costs by role: formulas over measured slopes, held against budgets."""
