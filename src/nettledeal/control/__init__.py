"""Replicated control state: epochs, primary-backup replication, storage and the reader's appointment."""
