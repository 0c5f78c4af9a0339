"""Budgets shared by data planes: which of them the control state counts, and how much each may spend."""
