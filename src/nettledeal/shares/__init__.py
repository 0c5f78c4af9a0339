"""Budgets that data planes share: who is counted, by the control state, and what each may spend."""
