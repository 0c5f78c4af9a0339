"""Versioned maps published by core machines and streamed to subscribers as changes."""
