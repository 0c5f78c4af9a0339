"""Schedules of faults in virtual time, and what mechanisms are compared with; nothing that serves uses it."""
