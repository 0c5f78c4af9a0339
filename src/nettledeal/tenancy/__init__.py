"""Isolation of tenants: who is asking, and under which ids a tenant's parts of prompts are looked up.

The data plane imports this package only once a configuration names tenants.
"""
